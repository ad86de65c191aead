package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/placement"
	"github.com/clovertiller/clovertiller/internal/rolloutdriver"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
)

// acceptingStore is a store and a configuration with one service. It accepts all writes.
type acceptingStore struct{ *rolloutPorts }

func (s *acceptingStore) WriteRolloutStatus(_ context.Context, _ string, _ rolloutdriver.StoredRollout, revision storerev.Revision) (storerev.Revision, error) {
	return revision + 1, nil
}

func (s *acceptingStore) LatestBefore(storerev.Revision) time.Time { return time.Time{} }

func (s *acceptingStore) ServiceNames() ([]string, bool) { return []string{busyService}, true }

func (s *acceptingStore) Log(events.Event, events.Fields) {}

// The gateway of these tests copies nothing from a store: its runners are those that the test adds.
func (s *acceptingStore) IsListCurrent() bool { return true }

func (s *acceptingStore) IsListComplete() bool { return true }

// newTestingGateway returns a router without peers that tests a target version of its service with each
// request.
func newTestingGateway(t *testing.T) *Gateway {
	g := newSharingGateway()
	ports := &acceptingStore{&rolloutPorts{gateway: g}}
	g.rolloutDriver = rolloutdriver.New(rolloutdriver.Config{Node: "r", MaxShare: 0.1, Slack: 1e7}, rolloutdriver.Ports{
		Runners: ports, Services: ports, Schedulers: ports, Store: ports, Log: ports, Clock: g.ports.Clock, Spawn: func(task func()) { go task() },
	})
	g.runners.Put(backend.Runner{ID: "target", Service: busyService, Slots: 16, Zone: "z", SoftwareVersion: "v2"})
	order := versionrollout.Order{Service: busyService, Target: "v2", Duration: time.Hour}
	g.rolloutDriver.Apply(rolloutdriver.Object{Name: "order", Revision: 1, Rollout: &rolloutdriver.StoredRollout{Order: order}})
	g.rolloutDriver.UpdateRules()
	g.rolloutDriver.SetTerm(g.now().Add(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.rolloutDriver.LeadLoop(ctx)
	return g
}

// place makes the gateway choose a runner for the query.
func (g *Gateway) place(query *backend.Query) (chosen placement.Pick, returned bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	chosen, limit, _ := g.placeRequest(g.now(), query, time.Minute)
	return chosen, limit.Returned
}

// Guards against a request that is to test a version and finds no runner there, and asks for its queue
// limit a second time: its retry reservation was used up by the first time.
func TestRequestThatFindsNoRunnerToTestKeepsItsRetryReservation(t *testing.T) {
	t.Parallel()
	e, g := NewWithT(t), newTestingGateway(t)
	isTest := func() bool {
		query := &backend.Query{Service: busyService, Route: "route"}
		g.place(query)
		return query.TargetVersion == "v2"
	}
	g.mutex.Lock()
	send := g.runners.Begin(g.now(), "target", 10*backend.PrefillRate)
	g.mutex.Unlock()
	// An allowance comes within the first steps of the leader, and is returned each time.
	for ticket := range uint64(40) {
		query := &backend.Query{Service: busyService, Route: "route", MaxQueueTime: 500 * time.Millisecond, LatencyTarget: time.Second, Ticket: ticket + 1}
		g.mutex.Lock()
		g.loadShedder.AddReservation(g.now(), admission.Reservation{Service: busyService, Ticket: query.Ticket})
		g.mutex.Unlock()
		chosen, returned := g.place(query)
		e.Expect(chosen.Status).To(Equal(placement.Picked))
		e.Expect(query.TargetVersion).To(BeEmpty())
		e.Expect(returned).To(BeTrue(), "request %d", ticket)
		time.Sleep(50 * time.Millisecond)
	}
	g.mutex.Lock()
	g.runners.End(g.now(), send, backend.Succeeded)
	g.mutex.Unlock()
	e.Expect(isTest()).To(BeTrue(), "the requests before were to test the version")
}

// Guards against a promotion that uses only the few runners on which the version is tested.
func TestOnlyTestsAreKeptToFewRunners(t *testing.T) {
	t.Parallel()
	e, set := NewWithT(t), backend.NewSet("z")
	for _, id := range []string{"a", "b", "c", "d"} {
		set.Put(backend.Runner{ID: id, Service: busyService, SoftwareVersion: "v1"})
		set.Put(backend.Runner{ID: id + "2", Service: busyService, SoftwareVersion: "v2"})
	}
	set.SetVersionRules(map[string]backend.VersionRule{busyService: {Excluded: "v2"}}, 0.1)
	candidates := func(query backend.Query) int {
		query.Service = busyService
		_, found := set.Candidates(time.Now(), query)
		return len(found)
	}
	e.Expect(candidates(backend.Query{TargetVersion: "v2", Testing: true})).To(Equal(1))
	e.Expect(candidates(backend.Query{TargetVersion: "v2"})).To(Equal(4))
	e.Expect(candidates(backend.Query{})).To(Equal(4))
}
