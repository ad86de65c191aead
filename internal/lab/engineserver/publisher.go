package engineserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/fleet"
	"github.com/clovertiller/clovertiller/internal/prefix"
)

// publisher numbers the cache events and sends them to the subscribers of the event stream, with
// the lag and the losses that the fault settings demand.
type publisher struct {
	server *Server

	mutex       sync.Mutex
	sequence    uint64
	subscribers map[chan []byte]struct{}
	// publishRequests makes run publish an event immediately.
	publishRequests chan struct{}
}

func newPublisher(server *Server) *publisher {
	return &publisher{server: server, subscribers: map[chan []byte]struct{}{}, publishRequests: make(chan struct{}, 1)}
}

// publishNow makes run publish the next event without waiting for the interval. It doesn't
// block.
func (p *publisher) publishNow() {
	select {
	case p.publishRequests <- struct{}{}:
	default:
	}
}

// run publishes an event per interval, and one on each publish request, until ctx is done.
func (p *publisher) run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.publishRequests:
		case <-ctx.Done():
			return
		}
		p.publish()
	}
}

// publish sends an event with the cache changes since the last event and the current status. A
// lost event uses up its sequence number, so that readers notice the gap.
func (p *publisher) publish() {
	s := p.server
	s.mutex.Lock()
	if s.faults.Frozen || s.stopped {
		s.mutex.Unlock()
		return
	}
	faults := s.faults
	p.mutex.Lock()
	event := engineapi.CacheEvent{}
	event.Added, event.Removed = s.engine.TakeCacheChanges()
	event.Status = s.statusLocked()
	p.sequence++
	event.Sequence = p.sequence
	lost := s.random.Float64() < faults.EventLoss
	p.mutex.Unlock()
	s.mutex.Unlock()
	if lost {
		return
	}
	encoded, _ := json.Marshal(event)
	encoded = append(encoded, '\n')
	if faults.EventLagMillis == 0 {
		p.broadcast(encoded)
		return
	}
	time.AfterFunc(time.Duration(faults.EventLagMillis)*time.Millisecond, func() { p.broadcast(encoded) })
}

func (p *publisher) broadcast(encoded []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for subscriber := range p.subscribers {
		select {
		case subscriber <- encoded:
		default:
			// A subscriber that doesn't keep up loses events, as the specification of the
			// engine's interface demands.
		}
	}
}

// handleEvents streams the published events to a subscriber. It has an event published at once, so
// that the subscriber does not have to wait for the current status.
func (p *publisher) handleEvents(writer http.ResponseWriter, request *http.Request) {
	events := make(chan []byte, 256)
	p.mutex.Lock()
	p.subscribers[events] = struct{}{}
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		delete(p.subscribers, events)
		p.mutex.Unlock()
	}()
	writer.WriteHeader(http.StatusOK)
	writer.(http.Flusher).Flush()
	p.publishNow()
	for {
		select {
		case event := <-events:
			if _, err := writer.Write(event); err != nil {
				return
			}
			writer.(http.Flusher).Flush()
		case <-request.Context().Done():
			return
		case <-p.server.done:
			return
		}
	}
}

// blockList returns all cached blocks with the sequence number of the last event that they
// include. It publishes pending changes first.
func (p *publisher) blockList() engineapi.BlockList {
	p.publish()
	s := p.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return engineapi.BlockList{Incarnation: s.incarnation, Sequence: p.sequence, Blocks: s.engine.Blocks()}
}

// statusLocked returns the engine's current status. The caller must hold s.mutex.
func (s *Server) statusLocked() *engineapi.Status {
	return &engineapi.Status{
		Incarnation:   s.incarnation,
		State:         s.state,
		Model:         s.model,
		WeightVersion: s.weightVersion,
		Adapters:      append([]string(nil), s.adapters...),
		Role:          s.role,
		Load:          encodeLoad(s.engine.Load()),
	}
}

func encodeLoad(load fleet.Load) engineapi.Load {
	return engineapi.Load{
		Running: load.Running, Waiting: load.Waiting, QueuedTokens: load.QueuedTokens[:],
		PrefillRate: load.PrefillRate, MaxRunning: load.MaxRunning,
	}
}

func promptTokens(stream *attemptStream) int {
	return prefix.EstimateTokens(len(stream.request.Prompt))
}
