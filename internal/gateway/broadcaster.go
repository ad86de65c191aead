package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	// broadcastDelay is how long changes are collected before they are sent. The crash of one
	// runner changes one record per request that was running there, at each router that had sent
	// one, and a failing rack takes many runners down. The delay turns these changes into one
	// message per router, some milliseconds later.
	broadcastDelay = 10 * time.Millisecond
	// maxBroadcastRecords is the maximum number of records in one message, about 30 KB.
	maxBroadcastRecords = 256
	// broadcastAckTimeout is the timeout of the acknowledgement of a message by a seed.
	broadcastAckTimeout = 250 * time.Millisecond
	// minBroadcastRetryDelay is the delay before records that a seed has not acknowledged are sent to it again. It doubles with
	// each failure, maxDoublings times.
	minBroadcastRetryDelay = 50 * time.Millisecond
)

// broadcaster collects the keys of changed records and sends the records to other routers. Changes
// that this router detected itself go to the seeds, and all changes go to the routers that pull
// from this one.
//
// A router that misses a message gets the records with its next pull. Seeds pull from nobody, so they acknowledge what they get,
// and without that it is sent again: a message may be lost on an open connection.
type broadcaster[K comparable] struct {
	gateway *Gateway
	// encode returns a message with the current records of the keys, or nil if there are none.
	encode func(now time.Time, keys []K) *wire.Envelope
	mutex  sync.Mutex
	// forFollowers holds the keys of all changed records, and forSeeds of those whose change this
	// router detected itself.
	forFollowers, forSeeds map[K]bool
	// receivers holds what each seed has not acknowledged, by address.
	receivers map[string]*broadcastReceiver[K]
	// wakeup receives a value when there is something to send.
	wakeup chan struct{}
}

// broadcastReceiver is a seed to which records are sent.
type broadcastReceiver[K comparable] struct {
	// keys holds the keys of the records to be sent.
	keys map[K]bool
	// sending is the number of deliveries that are under way.
	sending int
	// failures is the number of messages in succession that were not acknowledged, and retryAt when the next one is sent
	// although no record has changed.
	failures int
	retryAt  time.Time
}

func newBroadcaster[K comparable](g *Gateway, encode func(time.Time, []K) *wire.Envelope) *broadcaster[K] {
	return &broadcaster[K]{
		gateway: g, encode: encode, forFollowers: map[K]bool{}, forSeeds: map[K]bool{},
		receivers: map[string]*broadcastReceiver[K]{}, wakeup: make(chan struct{}, 1),
	}
}

// add queues the records of the keys. local means that this router detected the changes, so that
// they go to the seeds as well.
func (b *broadcaster[K]) add(keys []K, local bool) {
	if b.gateway.peerRouters.transport == nil || len(keys) == 0 {
		return
	}
	b.mutex.Lock()
	for _, key := range keys {
		b.forFollowers[key] = true
		if local {
			b.forSeeds[key] = true
		}
	}
	b.mutex.Unlock()
	wake(b.wakeup)
}

// run sends queued records until the gateway stops.
func (b *broadcaster[K]) run() {
	for {
		var retry <-chan time.Time
		if delay, waits := b.retryDelay(); waits {
			retry = time.After(delay)
		}
		select {
		case <-b.wakeup:
		case <-retry:
		case <-b.gateway.ctx.Done():
			return
		}
		if !b.gateway.pause(broadcastDelay) {
			return
		}
		b.flush()
	}
}

// flush sends all queued records in their current state.
func (b *broadcaster[K]) flush() {
	b.mutex.Lock()
	forFollowers, forSeeds := b.forFollowers, b.forSeeds
	b.forFollowers, b.forSeeds = map[K]bool{}, map[K]bool{}
	b.mutex.Unlock()
	for address, keys := range b.due(b.gateway.schedulers.recordReceivers(), forSeeds) {
		b.gateway.spawn(func() { b.deliver(address, keys) })
	}
	b.sendTo(b.gateway.peerRouters.pushTargets(b.gateway.now()), forFollowers)
}

// due adds the changed records to what the seeds at the addresses lack, and returns what is to be sent to them now.
func (b *broadcaster[K]) due(addresses []string, changed map[K]bool) map[string]map[K]bool {
	now := b.gateway.now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	receivers, due := map[string]*broadcastReceiver[K]{}, map[string]map[K]bool{}
	for _, address := range addresses {
		receiver := b.receivers[address]
		if receiver == nil {
			receiver = &broadcastReceiver[K]{keys: map[K]bool{}}
		}
		receivers[address] = receiver
		maps.Copy(receiver.keys, changed)
		if len(changed) > 0 || len(receiver.keys) > 0 && receiver.sending == 0 && !now.Before(receiver.retryAt) {
			due[address], receiver.keys = receiver.keys, map[K]bool{}
			receiver.sending++
		}
	}
	for address, receiver := range b.receivers {
		if receiver.sending > 0 {
			// It may be a receiver again before its delivery ends.
			receivers[address] = receiver
		}
	}
	b.receivers = receivers
	return due
}

// retryDelay returns how long to wait before records are sent again, false if none are to be.
func (b *broadcaster[K]) retryDelay() (delay time.Duration, waits bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, receiver := range b.receivers {
		if remaining := b.gateway.until(receiver.retryAt); len(receiver.keys) > 0 && receiver.sending == 0 && (!waits || remaining < delay) {
			delay, waits = remaining, true
		}
	}
	return delay, waits
}

// deliver sends the records to the seed and keeps the keys of those that it does not acknowledge.
func (b *broadcaster[K]) deliver(address string, keys map[K]bool) {
	var err error
	for batch := range b.batches(keys) {
		if err = b.call(address, batch.message); err != nil {
			break
		}
		for _, key := range batch.keys {
			delete(keys, key)
		}
	}
	if failures := b.endDelivery(address, keys, err); failures == 1 && b.gateway.ctx.Err() == nil {
		b.gateway.log.Log(events.BroadcastNotAcknowledged, events.Fields{"router": address, "records": len(keys), "error": err.Error()})
	}
	wake(b.wakeup)
}

// endDelivery records the result of a delivery, and returns the number of failures in succession.
func (b *broadcaster[K]) endDelivery(address string, unacknowledged map[K]bool, err error) (failures int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	receiver := b.receivers[address]
	if receiver == nil {
		return 0
	}
	receiver.sending--
	if err == nil {
		receiver.failures, receiver.retryAt = 0, time.Time{}
		return 0
	}
	maps.Copy(receiver.keys, unacknowledged)
	receiver.retryAt = b.gateway.now().Add(minBroadcastRetryDelay << min(receiver.failures, maxDoublings))
	receiver.failures++
	return receiver.failures
}

// call sends a message and waits for its acknowledgement.
func (b *broadcaster[K]) call(address string, message *wire.Envelope) error {
	ctx, cancel := context.WithTimeout(b.gateway.ctx, broadcastAckTimeout)
	defer cancel()
	_, err := b.gateway.peerRouters.transport.Call(ctx, "", address, message)
	return err
}

// broadcastBatch holds the keys of the records in a message. The message is nil if there are no such records any more.
type broadcastBatch[K comparable] struct {
	keys    []K
	message *wire.Envelope
}

// batches returns the messages with the current records of the keys. Keys without a record are left out.
func (b *broadcaster[K]) batches(changed map[K]bool) func(yield func(broadcastBatch[K]) bool) {
	keys := make([]K, 0, len(changed))
	for key := range changed {
		keys = append(keys, key)
	}
	return func(yield func(broadcastBatch[K]) bool) {
		for len(keys) > 0 {
			batch := broadcastBatch[K]{keys: keys[:min(len(keys), maxBroadcastRecords)]}
			keys = keys[len(batch.keys):]
			batch.message = b.encode(b.gateway.now(), batch.keys)
			if batch.message != nil && !yield(batch) {
				return
			}
		}
	}
}

func (b *broadcaster[K]) sendTo(addresses []string, changed map[K]bool) {
	if len(addresses) == 0 {
		return
	}
	for batch := range b.batches(changed) {
		for _, address := range addresses {
			b.gateway.peerRouters.Send(address, batch.message)
		}
	}
}
