package gateway

import (
	"maps"
	"time"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/egress"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// Intervals at which schedulers exchange loads.
const (
	// loadReportInterval is how often a scheduler sends changed loads to the others. In a simulated
	// fleet of 90 runners, three schedulers choose as well as a single one at 5 ms; at 20 ms, one
	// prompt in 100 waits 80 ms (internal/backend, loadsharing_test.go).
	loadReportInterval = 5 * time.Millisecond
	// farReportRounds is the number of rounds between reports to schedulers of other regions, 25 ms. A
	// report takes 20 ms to get there, and bytes between regions cost more.
	farReportRounds = 5
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
	s.recordReporter(share)
	if share.GetFull() {
		s.gateway.egress.learn(router, share.GetEgress(), egress.FromSeed)
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
	far := newPendingReport()
	for round := 0; ; round++ {
		interval, exchanges := roleCheckInterval, s.exchangesLoads()
		if exchanges {
			interval = loadReportInterval
		}
		if !s.awaitReport(interval) {
			return
		}
		if !exchanges {
			// The first report of a router that becomes a scheduler contains all loads.
			round = -1
			continue
		}
		s.reportLoads(round, far)
	}
}

// awaitReport waits for the interval, or until this router is asked to place requests after a while.
// It returns false if the gateway stops first.
func (s *schedulers) awaitReport(interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.activated:
	case <-s.gateway.ctx.Done():
		return false
	}
	return true
}

// pendingReport collects what is to be reported to the schedulers of other regions.
type pendingReport struct {
	loads        map[string]backend.Load
	reservations []admission.Reservation
}

func newPendingReport() *pendingReport { return &pendingReport{loads: map[string]backend.Load{}} }

// add adds changed loads, which replace earlier ones, and reservations.
func (p *pendingReport) add(loads map[string]backend.Load, reservations []admission.Reservation) {
	maps.Copy(p.loads, loads)
	p.reservations = append(p.reservations, reservations...)
}

// take returns what was collected and starts anew.
func (p *pendingReport) take() (map[string]backend.Load, []admission.Reservation) {
	loads, reservations := p.loads, p.reservations
	p.loads, p.reservations = map[string]backend.Load{}, nil
	return loads, reservations
}

// reportLoads sends the changed loads to the schedulers that are due in the round, or all loads to all
// schedulers.
func (s *schedulers) reportLoads(round int, far *pendingReport) {
	full := round%fullReportRounds == 0
	s.gateway.mutex.Lock()
	loads, usage := s.gateway.runners.ChangedLoads(), []*wire.PoolUse(nil)
	if full {
		loads = s.gateway.runners.Loads()
		usage = s.gateway.fairShares.localUsage(s.gateway.now())
	}
	reservations := s.gateway.loadShedder.TakeReservations()
	s.gateway.mutex.Unlock()
	nearTargets, farTargets := s.loadTargets(s.gateway.now())
	if full {
		routers := 0
		if s.isScheduler() {
			// Only seeds say how many routers receive changes through them.
			routers = s.gateway.peerRouters.countRouters()
			s.gateway.egress.refreshOwnList()
		}
		// All loads replace the changes collected before, but not the reservations.
		far.add(nil, reservations)
		_, farReservations := far.take()
		s.sendFullReport(nearTargets, loads, reservations, usage, routers)
		s.sendFullReport(farTargets, loads, farReservations, usage, routers)
		return
	}
	far.add(loads, reservations)
	s.sendChanges(nearTargets, loads, reservations)
	if round%farReportRounds == 0 {
		loads, reservations = far.take()
		s.sendChanges(farTargets, loads, reservations)
	}
}

// sendChanges sends changed loads and new reservations, if there are any.
func (s *schedulers) sendChanges(targets []string, loads map[string]backend.Load, reservations []admission.Reservation) {
	if len(targets) == 0 || len(loads) == 0 && len(reservations) == 0 {
		return
	}
	message := newLoadShare(loads, false)
	message.Promises = encodeReservations(reservations)
	s.sendLoadShare(targets, message)
}

// sendFullReport sends all loads.
func (s *schedulers) sendFullReport(targets []string, loads map[string]backend.Load, reservations []admission.Reservation, usage []*wire.PoolUse, routers int) {
	if len(targets) == 0 {
		return
	}
	message := newLoadShare(loads, true)
	message.Promises, message.Uses, message.Routers = encodeReservations(reservations), usage, uint32(routers)
	message.Egress = s.gateway.egress.sample()
	s.sendLoadShare(targets, message)
}

// loadTargets returns the schedulers that get loads from this one, apart by whether they are in
// another region. Without regions, none is.
func (s *schedulers) loadTargets(now time.Time) (near, far []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.gateway.distances.HasRegions() {
		return s.ranking.Others(), nil
	}
	return s.loadExchange.Targets(now, s.ranking.Others(), s.regionList.Addresses(), s.ranking.IncludesSelf())
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

func (s *schedulers) sendLoadShare(targets []string, share *wire.LoadShare) {
	if region := s.gateway.regionName(); region != "" {
		share.From, share.Region = s.gateway.settings.PeerAddress, region
	}
	for _, address := range targets {
		// Lost reports are repaired by the next one with all loads.
		_ = s.gateway.peerRouters.transport.Send("", address, &wire.Envelope{Body: &wire.Envelope_LoadShare{LoadShare: share}})
	}
}

// otherSchedulers returns the addresses of the seeds other than this router.
func (s *schedulers) otherSchedulers() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ranking.Others()
}
