package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Intervals at which schedulers exchange loads.
const (
	// loadReportInterval is how often a scheduler sends changed loads to the others. In a simulated
	// fleet of 90 runners, three schedulers choose as well as a single one at 5 ms; at 20 ms, one
	// prompt in 100 waits 80 ms (internal/backend, loadsharing_test.go).
	loadReportInterval = 5 * time.Millisecond
	// fullReportRounds is the number of rounds after which a report contains all loads, for
	// schedulers that missed some changes: twice in the time for which they keep reported loads.
	fullReportRounds = 50
	// roleCheckInterval is how often a router checks whether it has become a scheduler. The
	// settings that make it one arrive seconds after a change, so a shorter interval gains nothing,
	// and each check wakes an idle machine.
	roleCheckInterval = time.Second
)

// handleLoadShare applies the loads, reservations and tenant usage that another scheduler reported.
func (s *schedulers) handleLoadShare(router string, share *wire.LoadShare) {
	loads := map[string]backend.Load{}
	for _, load := range share.GetLoads() {
		loads[load.GetRunner()] = backend.Load{
			Tokens: int(load.GetTokens()), Requests: int(load.GetRequests()),
			Streams: int(load.GetStreams()), TotalMaxGap: time.Duration(load.GetGapsMillis()) * time.Millisecond, Suspects: load.GetSuspects(),
		}
	}
	s.gateway.peerRouters.recordSeedCount(router, int(share.GetRouters()))
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	now := s.gateway.now()
	s.gateway.runners.SetPeerLoads(now, router, share.GetFull(), loads)
	for _, reservation := range share.GetPromises() {
		s.gateway.loadShedder.AddReservation(now, decodeReservation(reservation))
	}
	s.gateway.fairShares.merge(router, share)
}

// loadReportLoop sends what this router has placed to the other schedulers while it is a scheduler
// itself.
func (s *schedulers) loadReportLoop() {
	for round := 0; ; round++ {
		interval, isScheduler := roleCheckInterval, s.isScheduler()
		if isScheduler {
			interval = loadReportInterval
		}
		if !s.gateway.pause(interval) {
			return
		}
		if !isScheduler {
			continue
		}
		full := round%fullReportRounds == 0
		s.gateway.mutex.Lock()
		loads, usage := s.gateway.runners.ChangedLoads(), []*wire.PoolUse(nil)
		if full {
			loads = s.gateway.runners.Loads()
			usage = s.gateway.fairShares.localUsage(s.gateway.now())
		}
		reservations := s.gateway.loadShedder.TakeReservations()
		s.gateway.mutex.Unlock()
		if !full && len(loads) == 0 && len(reservations) == 0 {
			continue
		}
		message := newLoadShare(loads, full)
		message.Promises = encodeReservations(reservations)
		if full {
			message.Uses = usage
			message.Routers = uint32(s.gateway.peerRouters.countRouters())
		}
		s.broadcastLoadShare(message)
	}
}

// newLoadShare returns the message that reports the loads. full means that they are all loads of
// this router.
func newLoadShare(loads map[string]backend.Load, full bool) *wire.LoadShare {
	share := &wire.LoadShare{Full: full}
	for id, load := range loads {
		share.Loads = append(share.Loads, &wire.RunnerLoad{
			Runner: id, Tokens: uint32(max(load.Tokens, 0)), Requests: uint32(max(load.Requests, 0)),
			Streams: uint32(max(load.Streams, 0)), GapsMillis: uint32(max(load.TotalMaxGap.Milliseconds(), 0)),
			Suspects: load.Suspects,
		})
	}
	return share
}

func (s *schedulers) broadcastLoadShare(share *wire.LoadShare) {
	for _, address := range s.otherSchedulers() {
		// Lost reports are repaired by the next one with all loads.
		_ = s.gateway.peerRouters.transport.Send("", address, &wire.Envelope{Body: &wire.Envelope_LoadShare{LoadShare: share}})
	}
}

// otherSchedulers returns the addresses of the schedulers other than this router.
func (s *schedulers) otherSchedulers() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ranking.Others()
}
