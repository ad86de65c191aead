package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// newsPause is for how long news are gathered: the end of one runner is news of each
	// request that was there, from each router that had one, and a rack takes many runners
	// along. What is gathered is one message to each router, some milliseconds later.
	newsPause = 10 * time.Millisecond
	// mostNews bounds the records in one message: some 30 KB.
	mostNews = 256
)

// newsOutbox gathers what has changed for other routers, by key. What was found out here goes
// to the seeds, and everything to the routers that pull from this one.
type newsOutbox[K comparable] struct {
	gateway *Gateway
	// message writes what is known by now of the keys, nil for nothing.
	message func(now time.Time, keys []K) *wire.Envelope
	mutex   sync.Mutex
	// forAll are the keys of what has changed, and forSeeds those of what was found out here.
	forAll, forSeeds map[K]bool
	// wanted is told when there is something to send.
	wanted chan struct{}
}

func newNewsOutbox[K comparable](g *Gateway, message func(time.Time, []K) *wire.Envelope) *newsOutbox[K] {
	return &newsOutbox[K]{
		gateway: g, message: message, forAll: map[K]bool{}, forSeeds: map[K]bool{}, wanted: make(chan struct{}, 1),
	}
}

// add has what is known of the keys sent soon, to the seeds too if it was found out here.
func (o *newsOutbox[K]) add(keys []K, found bool) {
	if o.gateway.relays.transport == nil || len(keys) == 0 {
		return
	}
	o.mutex.Lock()
	for _, key := range keys {
		o.forAll[key] = true
		if found {
			o.forSeeds[key] = true
		}
	}
	o.mutex.Unlock()
	select {
	case o.wanted <- struct{}{}:
	default:
	}
}

// run sends what is gathered until the gateway stops.
func (o *newsOutbox[K]) run() {
	for {
		select {
		case <-o.wanted:
		case <-o.gateway.ctx.Done():
			return
		}
		if !o.gateway.pause(newsPause) {
			return
		}
		o.send()
	}
}

// send sends all that is gathered as it is known by now.
func (o *newsOutbox[K]) send() {
	o.mutex.Lock()
	forAll, forSeeds := o.forAll, o.forSeeds
	o.forAll, o.forSeeds = map[K]bool{}, map[K]bool{}
	o.mutex.Unlock()
	// Whoever misses it hears of it by its next pull, and seeds from the next router that
	// finds it out.
	o.sendTo(o.gateway.schedulers.others(), forSeeds)
	o.sendTo(o.gateway.relays.pushTargets(o.gateway.now()), forAll)
}

func (o *newsOutbox[K]) sendTo(addresses []string, changed map[K]bool) {
	if len(addresses) == 0 || len(changed) == 0 {
		return
	}
	now, keys := o.gateway.now(), make([]K, 0, len(changed))
	for key := range changed {
		keys = append(keys, key)
	}
	for len(keys) > 0 {
		part := keys[:min(len(keys), mostNews)]
		keys = keys[len(part):]
		message := o.message(now, part)
		if message == nil {
			continue
		}
		for _, address := range addresses {
			o.gateway.relays.Send(address, message)
		}
	}
}
