package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// newsPause is for how long news of contents are gathered: the end of one runner is news of
	// each request that was there, from each router that had one, and a rack takes many
	// runners along. What is gathered is one message to each router, some milliseconds later.
	newsPause = 10 * time.Millisecond
	// mostNews bounds the records in one message: some 30 KB.
	mostNews = 256
)

// suspectOutbox gathers changed records for other routers. What was found out here goes to the
// seeds, and everything to the routers that pull from this one.
type suspectOutbox struct {
	gateway *Gateway
	mutex   sync.Mutex
	// forAll are the contents that have changed, and forSeeds those of them that were found
	// out here.
	forAll, forSeeds map[quarantine.Content]bool
	// wanted is told when there is something to send.
	wanted chan struct{}
}

func newSuspectOutbox(g *Gateway) *suspectOutbox {
	return &suspectOutbox{
		gateway: g, forAll: map[quarantine.Content]bool{}, forSeeds: map[quarantine.Content]bool{}, wanted: make(chan struct{}, 1),
	}
}

// add has the records sent soon, to the seeds too if they were found out here.
func (o *suspectOutbox) add(records []quarantine.Record, found bool) {
	if o.gateway.relays.transport == nil {
		return
	}
	o.mutex.Lock()
	for _, record := range records {
		o.forAll[record.Content] = true
		if found {
			o.forSeeds[record.Content] = true
		}
	}
	o.mutex.Unlock()
	select {
	case o.wanted <- struct{}{}:
	default:
	}
}

// run sends what is gathered until the gateway stops.
func (o *suspectOutbox) run() {
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
func (o *suspectOutbox) send() {
	o.mutex.Lock()
	forAll, forSeeds := o.forAll, o.forSeeds
	o.forAll, o.forSeeds = map[quarantine.Content]bool{}, map[quarantine.Content]bool{}
	o.mutex.Unlock()
	// Seeds that miss it hear of it by the store, and followers by their next pull.
	o.sendTo(o.gateway.schedulers.others(), forSeeds)
	o.sendTo(o.gateway.relays.pushed(o.gateway.now()), forAll)
}

func (o *suspectOutbox) sendTo(addresses []string, contents map[quarantine.Content]bool) {
	if len(addresses) == 0 || len(contents) == 0 {
		return
	}
	now, records := o.gateway.now(), make([]quarantine.Record, 0, len(contents))
	for content := range contents {
		if record, _ := o.gateway.suspects.record(content); len(record.Ends) > 0 {
			records = append(records, record)
		}
	}
	for len(records) > 0 {
		part := records[:min(len(records), mostNews)]
		records = records[len(part):]
		news := suspectNews(now, part)
		for _, address := range addresses {
			o.gateway.relays.Send(address, &wire.Envelope{Body: &wire.Envelope_SuspectNews{SuspectNews: news}})
		}
	}
}
