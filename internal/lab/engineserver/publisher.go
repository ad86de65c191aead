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

// publisher gives each event a sequence and sends it, late and with losses, to
// the readers of the event stream.
type publisher struct {
	server *Server

	mutex    sync.Mutex
	sequence uint64
	readers  map[chan []byte]struct{}
	wake     chan struct{}
}

func newPublisher(server *Server) *publisher {
	return &publisher{server: server, readers: map[chan []byte]struct{}{}, wake: make(chan struct{}, 1)}
}

// tell makes the next event come at once.
func (p *publisher) tell() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) run(ctx context.Context) {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		p.publish()
	}
}

// publish sends the cache changes since the last event and the current status.
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
		p.send(encoded)
		return
	}
	time.AfterFunc(time.Duration(faults.EventLagMillis)*time.Millisecond, func() { p.send(encoded) })
}

func (p *publisher) send(encoded []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for reader := range p.readers {
		select {
		case reader <- encoded:
		default:
			// A reader that does not keep up loses events, as the brief has it.
		}
	}
}

func (p *publisher) handleEvents(writer http.ResponseWriter, request *http.Request) {
	events := make(chan []byte, 256)
	p.mutex.Lock()
	p.readers[events] = struct{}{}
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		delete(p.readers, events)
		p.mutex.Unlock()
	}()
	writer.WriteHeader(http.StatusOK)
	writer.(http.Flusher).Flush()
	p.tell()
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

// blockList returns all cached blocks with the sequence of the last event that
// they include; pending changes are published first.
func (p *publisher) blockList() engineapi.BlockList {
	p.publish()
	s := p.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return engineapi.BlockList{Incarnation: s.incarnation, Sequence: p.sequence, Blocks: s.engine.Blocks()}
}

func (s *Server) statusLocked() *engineapi.Status {
	return &engineapi.Status{
		Incarnation:   s.incarnation,
		State:         s.state,
		Model:         s.model,
		WeightVersion: s.version,
		Adapters:      append([]string(nil), s.adapters...),
		Role:          s.role,
		Load:          loadOf(s.engine.Load()),
	}
}

func loadOf(load fleet.Load) engineapi.Load {
	return engineapi.Load{
		Running: load.Running, Waiting: load.Waiting, QueuedTokens: load.QueuedTokens[:],
		PrefillRate: load.PrefillRate, MaxRunning: load.MaxRunning,
	}
}

func promptTokens(entry *stream) int { return prefix.EstimateTokens(len(entry.request.Prompt)) }
