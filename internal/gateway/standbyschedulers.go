package gateway

import (
	"slices"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/rendezvous"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// A router that is named in its region's list of schedulers but is no seed is a standby scheduler. It
// places requests from its own copies. It grants no permits of runners that limit their requests and
// tests no new version, because the seeds keep the totals of both.

// regionName returns the region of this router, or "" if the settings name fewer than two regions.
func (g *Gateway) regionName() string {
	if !g.distances.HasRegions() {
		return ""
	}
	return g.settings.Region
}

// acceptsRequests reports whether this router places requests of others, and records that it was
// asked to. Where regions are configured, every router does: it is asked only by routers whose list
// names it, and its own list may be older than theirs.
func (s *schedulers) acceptsRequests(now time.Time) bool {
	if !s.gateway.distances.HasRegions() {
		return s.isScheduler()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordAsked(now)
	return true
}

// recordAsked records that this router was asked to place a request. The mutex must be held.
func (s *schedulers) recordAsked(now time.Time) {
	if !s.loadExchange.RecordAsked(now) {
		return
	}
	wake(s.activated)
}

// exchangesLoads reports whether this router tells other schedulers what it has placed: it is a seed,
// or a standby scheduler that was asked recently.
func (s *schedulers) exchangesLoads() bool {
	return s.isScheduler() || s.isActiveStandby(s.gateway.now())
}

// isActiveStandby reports whether this router is no seed and was asked recently to place requests.
func (s *schedulers) isActiveStandby(now time.Time) bool {
	if s.gateway.peerRouters.transport == nil || !s.gateway.distances.HasRegions() {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.ranking.IncludesSelf() && s.loadExchange.IsActive(now)
}

// seedRegion returns the region that a seed named, "" if it has named none.
func (s *schedulers) seedRegion(address string) string {
	if address == s.gateway.settings.PeerAddress {
		return s.gateway.regionName()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loadExchange.Region(address)
}

// recordReporter records the region of a scheduler that reported its loads.
func (s *schedulers) recordReporter(share *wire.LoadShare) {
	if !s.gateway.distances.HasRegions() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loadExchange.RecordReport(s.gateway.now(), share.GetFrom(), share.GetRegion())
}

// standbys returns the standby schedulers of the own region other than this router.
func (s *schedulers) standbys() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seeds := s.ranking.Others()
	return slices.DeleteFunc(s.regionList.Addresses(), func(address string) bool {
		return address == s.gateway.settings.PeerAddress || slices.Contains(seeds, address)
	})
}

// recordReceivers returns the routers to which this router sends what it has detected about runners and
// request contents: the seeds, and the standby schedulers of the own region, because the region may
// reach no seed.
func (s *schedulers) recordReceivers() []string { return append(s.otherSchedulers(), s.standbys()...) }

// applyList applies the list of the own region's schedulers in an answer of the router at the address.
// The list is nil if that router has the same one or none. A standby scheduler learns from the list that
// it is one. A seed that pulls because it lacks a proof applies no list: nothing would replace it later.
func (s *schedulers) applyList(from string, list *wire.SchedulerList) {
	if s.gateway.regionName() == "" {
		return
	}
	now, fromSeed := s.gateway.now(), s.gateway.peerRouters.isSeedOrRelay(from)
	s.mutex.Lock()
	if s.ranking.IncludesSelf() {
		s.mutex.Unlock()
		return
	}
	if list == nil {
		s.regionList.RecordAnswer(now, from)
		s.mutex.Unlock()
		return
	}
	usable := len(s.ranking.RegionOrder(now)) > 0
	changed := s.regionList.Receive(now, from, fromSeed, list.GetDigest(), list.GetAddresses(), usable)
	if changed {
		s.ranking.SetListed(list.GetAddresses())
	}
	s.mutex.Unlock()
	if !changed {
		return
	}
	s.gateway.log.Log(events.RegionSchedulersChanged, events.Fields{"region": s.gateway.settings.Region, "schedulers": list.GetAddresses(), "from": from})
	s.gateway.peerRouters.mutex.Lock()
	defer s.gateway.peerRouters.mutex.Unlock()
	s.gateway.peerRouters.selector.SetStandbys(list.GetAddresses())
}

// list returns the list of the own region's schedulers and its digest, which is 0 without a list.
func (s *schedulers) list() *wire.SchedulerList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &wire.SchedulerList{Digest: s.regionList.Digest(), Addresses: s.regionList.Addresses()}
}

// listFor returns the list of the schedulers of the pulling router's region, or nil if that router has
// it already or this one does not know it. A seed makes the list, and any other router passes on the
// list of its own region.
func (r *peerRouters) listFor(pull *wire.CopyPull) *wire.SchedulerList {
	region := pull.GetRegion()
	if region == "" || r.gateway.regionName() == "" {
		return nil
	}
	var list *wire.SchedulerList
	switch {
	case r.isSeed():
		list = newSchedulerList(r.schedulersOf(region))
	case region == r.gateway.settings.Region:
		list = r.gateway.schedulers.list()
	}
	if list.GetDigest() == pull.GetSchedulersDigest() || len(list.GetAddresses()) == 0 {
		return nil
	}
	return list
}

// schedulersOf returns the schedulers of the region as this seed knows them: its seeds, and then the
// standby schedulers among this seed's followers.
func (r *peerRouters) schedulersOf(region string) []string {
	now := r.gateway.now()
	r.mutex.Lock()
	seeds, standbys := r.selector.Seeds(), r.standbys.Standbys(now, region)
	r.mutex.Unlock()
	slices.Sort(seeds)
	seeds = slices.DeleteFunc(seeds, func(seed string) bool { return r.gateway.schedulers.seedRegion(seed) != region })
	return append(seeds, standbys...)
}

// recordStandbyCandidate records, at a seed, a pull of a router that may become a standby scheduler. The
// mutex must be held.
func (r *peerRouters) recordStandbyCandidate(now time.Time, pull *wire.CopyPull) {
	if r.gateway.regionName() != "" && r.selector.IsSeed() && !r.selector.HasSeed(pull.GetPeerAddress()) {
		r.standbys.RecordPull(now, pull.GetPeerAddress(), pull.GetRegion(), int(pull.GetCapacity()))
	}
}

// isFromRegionWithoutSeed reports whether the pulling router's region is known to have no seed. A router
// of any other region must not get a relay from a distant seed: it would stay with the relay instead of
// finding the seed of its region. The mutex must be held.
func (r *peerRouters) isFromRegionWithoutSeed(pull *wire.CopyPull) bool {
	region := pull.GetRegion()
	if region == "" || r.gateway.regionName() == "" {
		return false
	}
	for _, seed := range r.selector.Seeds() {
		if known := r.gateway.schedulers.seedRegion(seed); known == "" || known == region {
			return false
		}
	}
	return true
}

// isStandby reports whether the pulling router is a standby scheduler of its region. The mutex must be
// held.
func (r *peerRouters) isStandby(now time.Time, pull *wire.CopyPull) bool {
	return pull.GetRegion() != "" && slices.Contains(r.standbys.Standbys(now, pull.GetRegion()), pull.GetPeerAddress())
}

// followersOfUnprovenStandby returns a few followers of this router if it is a standby scheduler that
// gets no recent proof from the store, while it reaches no seed either. Other routers of its region may
// reach the store. It continues to read the store, so that it never relies on routers that rely on it.
func (r *peerRouters) followersOfUnprovenStandby() []string {
	now, current := r.gateway.now(), r.gateway.activeConfig.Load()
	if current == nil || now.Sub(current.provenAt) <= maxProofAge {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.selector.IsStandby() {
		return nil
	}
	return r.someFollowers(now)
}

// isSeed reports whether this router is a seed.
func (r *peerRouters) isSeed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.selector.IsSeed()
}

// isSeedOrRelay reports whether the router at the address is a seed or this router's relay.
func (r *peerRouters) isSeedOrRelay(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.selector.HasSeed(address) || address == r.selector.Relay()
}

// newSchedulerList returns the list with its digest, which is never 0 if there are addresses.
func newSchedulerList(addresses []string) *wire.SchedulerList {
	if len(addresses) == 0 {
		return &wire.SchedulerList{}
	}
	digest := uint64(1)
	for _, address := range addresses {
		digest = rendezvous.Weight(address, digest)
	}
	return &wire.SchedulerList{Digest: max(digest, 1), Addresses: addresses}
}

// SchedulerStatus is a scheduler of the own region.
type SchedulerStatus struct {
	Address string `json:"address"`
	// Seed is set for a seed, and otherwise it is a standby scheduler.
	Seed bool `json:"seed"`
	// Answers is set if it is this router, or has answered and is not silent.
	Answers bool `json:"answers"`
}

// summary returns the schedulers of the own region for the status, none without regions.
func (s *schedulers) summary(now time.Time) (summary []SchedulerStatus) {
	if s.gateway.regionName() == "" {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, address := range s.ranking.RegionMembers(now) {
		summary = append(summary, SchedulerStatus{Address: address, Seed: s.ranking.Ranks(address), Answers: s.ranking.Answers(now, address)})
	}
	return summary
}

// regionSchedulerCounts returns how many schedulers of the own region are known, and how many of them
// answer.
func (s *schedulers) regionSchedulerCounts() (known, answering int) {
	for _, scheduler := range s.summary(s.gateway.now()) {
		known++
		if scheduler.Answers {
			answering++
		}
	}
	return known, answering
}

// countSchedulersByRegion returns the number of schedulers of each region at a seed, and nil at other
// routers and without regions.
func (r *peerRouters) countSchedulersByRegion() map[string]int {
	if r.gateway.regionName() == "" || !r.isSeed() {
		return nil
	}
	counts := map[string]int{}
	for _, region := range r.gateway.settings.ZoneRegions {
		counts[region] = len(r.schedulersOf(region))
	}
	return counts
}
