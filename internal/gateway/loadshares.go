package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Times of sharing loads.
const (
	// shareInterval is how often schedulers tell each other of changed loads. In the
	// model of a fleet of 90 runners three schedulers choose as well as one with 5 ms;
	// with 20 ms one prompt in 100 waits 80 ms (internal/backend, scheduling_test.go).
	shareInterval = 5 * time.Millisecond
	// wholeShares is after how many shares one holds all loads, for those that missed
	// some: twice in the time that the others hold what was told.
	wholeShares = 50
	// becomeInterval is how often a router looks whether it has become a scheduler: the
	// settings that say so come seconds after a change.
	becomeInterval = 500 * time.Millisecond
)

// told takes another scheduler's loads.
func (s *schedulers) told(router string, share *wire.LoadShare) {
	loads := map[string]backend.Load{}
	for _, load := range share.GetLoads() {
		loads[load.GetRunner()] = backend.Load{
			Tokens: int(load.GetTokens()), Requests: int(load.GetRequests()),
			Streams: int(load.GetStreams()), TotalMaxGap: time.Duration(load.GetGapsMillis()) * time.Millisecond, Suspects: load.GetSuspects(),
		}
	}
	s.gateway.relays.toldBehind(router, int(share.GetRouters()))
	s.gateway.mutex.Lock()
	defer s.gateway.mutex.Unlock()
	now := s.gateway.now()
	s.gateway.runners.SetPeerLoads(now, router, share.GetFull(), loads)
	for _, told := range share.GetPromises() {
		s.gateway.loadShedder.AddReservation(now, promiseOf(told))
	}
	s.gateway.shares.merge(router, share)
}

// shareLoop tells the other schedulers what this one has placed, while it is one.
func (s *schedulers) shareLoop() {
	for round := 0; ; round++ {
		interval, places := becomeInterval, s.places()
		if places {
			interval = shareInterval
		}
		if !s.gateway.pause(interval) {
			return
		}
		if !places {
			continue
		}
		whole := round%wholeShares == 0
		s.gateway.mutex.Lock()
		loads, uses := s.gateway.runners.ChangedLoads(), []*wire.PoolUse(nil)
		if whole {
			loads = s.gateway.runners.Loads()
			uses = s.gateway.shares.uses(s.gateway.now())
		}
		promises := s.gateway.loadShedder.TakeReservations()
		s.gateway.mutex.Unlock()
		if !whole && len(loads) == 0 && len(promises) == 0 {
			continue
		}
		message := shareMessage(loads, whole)
		message.Promises = promiseMessages(promises)
		if whole {
			message.Uses = uses
			message.Routers = uint32(s.gateway.relays.countRouters())
		}
		s.share(message)
	}
}

func shareMessage(loads map[string]backend.Load, whole bool) *wire.LoadShare {
	share := &wire.LoadShare{Full: whole}
	for id, load := range loads {
		share.Loads = append(share.Loads, &wire.RunnerLoad{
			Runner: id, Tokens: uint32(max(load.Tokens, 0)), Requests: uint32(max(load.Requests, 0)),
			Streams: uint32(max(load.Streams, 0)), GapsMillis: uint32(max(load.TotalMaxGap.Milliseconds(), 0)),
			Suspects: load.Suspects,
		})
	}
	return share
}

func (s *schedulers) share(share *wire.LoadShare) {
	for _, address := range s.others() {
		// What is lost is told again with all loads.
		_ = s.gateway.relays.transport.Send("", address, &wire.Envelope{Body: &wire.Envelope_LoadShare{LoadShare: share}})
	}
}

// others returns the other routers that place requests.
func (s *schedulers) others() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ranking.Others()
}
