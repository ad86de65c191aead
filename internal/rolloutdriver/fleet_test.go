package rolloutdriver

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/storerev"
	"github.com/clovertiller/clovertiller/internal/versionrollout"
	"github.com/clovertiller/clovertiller/internal/wire"
)

const (
	testService  = "s"
	testTarget   = "v2"
	testShare    = 0.1
	testSlack    = 50
	testDuration = 10 * time.Second
	testTick     = 10 * time.Millisecond
	// answerTicks is how long a runner takes to answer.
	answerTicks = 3
	// testLease is how long a leader's term lasts without renewal, and testLeaseGap how long after its end
	// the next one begins.
	testLease    = time.Second
	testLeaseGap = 250 * time.Millisecond
)

var errUnavailable = errors.New("unavailable")

// testFleet is a store and drivers that exchange messages, on a clock that the test moves.
type testFleet struct {
	t       *testing.T
	g       *WithT
	now     time.Time
	routers []*testRouter
	// leader holds the lease, nil if no router does.
	leader *testRouter
	// stored is the object in the store, nil if there is none.
	stored     *StoredRollout
	revision   storerev.Revision
	storeFails bool
	writes     int
	// requests and exposed count the requests until the deadline, and those to the target version.
	requests    int
	exposed     int
	deadline    time.Time
	isBad       bool
	perTick     float64
	outstanding []testRequest
	clientCarry float64
	sequence    int
}

// testRouter is one driver with its fake ports.
type testRouter struct {
	*Driver
	fleet       *testFleet
	address     string
	incarnation uint64
	set         *backend.Set
	tasks       []func()
	// isStopped routers do nothing, isCutOff ones exchange no messages, and isNoPlacer ones place
	// nothing.
	isStopped, isCutOff, isNoPlacer bool
	// lacksStore routers neither read nor write the store, and those with writesFail do not write.
	lacksStore bool
	writesFail bool
	// hasOldList is set for a router whose list of runners may lack changes.
	hasOldList bool
	// hasPartialList is set for a router that does not know all runners yet.
	hasPartialList bool
	seenRevision   storerev.Revision
	leadAt         time.Time
	reportAt       time.Time
	// answer replaces the reply to reports, as one of a previous build.
	answer func(*wire.RolloutReport) *wire.RolloutPermit
	// ownExposed is how many requests this router has sent to the target version.
	ownExposed int
}

type testRequest struct {
	router *testRouter
	driver *Driver
	query  backend.Query
	send   *backend.Send
	endsAt time.Time
	end    SendEnd
}

// newTestFleet returns routers that know the order, of which the first leads.
func newTestFleet(t *testing.T, routers int) *testFleet {
	f := &testFleet{t: t, g: NewWithT(t), now: time.Now(), perTick: 4}
	for i := range routers {
		f.routers = append(f.routers, f.newRouter(fmt.Sprint("r", i), 1))
	}
	f.leader = f.routers[0]
	return f
}

func (f *testFleet) newRouter(address string, incarnation uint64) *testRouter {
	r := &testRouter{fleet: f, address: address, incarnation: incarnation, set: backend.NewSet("z"), leadAt: f.now, reportAt: f.now}
	for i := range 8 {
		version := "v1"
		if i >= 4 {
			version = testTarget
		}
		r.set.Put(backend.Runner{ID: fmt.Sprint(i), Service: testService, Zone: "z", SoftwareVersion: version, Slots: 8})
	}
	r.Driver = New(Config{Node: address, Incarnation: incarnation, MaxShare: testShare, Slack: testSlack}, Ports{
		Runners: r, Services: r, Schedulers: r, Peers: r, Store: r, Log: r, Clock: r, Spawn: func(task func()) { r.tasks = append(r.tasks, task) },
	})
	r.Retain(nil)
	return r
}

// restart replaces the router by a new run of it.
func (f *testFleet) restart(i int) *testRouter {
	old := f.routers[i]
	old.isStopped = true
	f.routers[i] = f.newRouter(old.address, old.incarnation+1)
	return f.routers[i]
}

func (f *testFleet) order(duration time.Duration) {
	f.revision++
	f.deadline = f.now.Add(duration)
	f.stored = &StoredRollout{Order: versionrollout.Order{Service: testService, Target: testTarget, Duration: duration}}
}

// VersionCounts implements Runners.
func (r *testRouter) VersionCounts(service string) map[string]int {
	return r.set.VersionCounts(service)
}

// VersionLoad implements Runners.
func (r *testRouter) VersionLoad(service, version string) backend.VersionLoad {
	return r.set.VersionLoad(r.fleet.now, service, version)
}

// IsListComplete implements Runners.
func (r *testRouter) IsListComplete() bool { return !r.hasPartialList }

// IsListCurrent implements Runners.
func (r *testRouter) IsListCurrent() bool { return !r.hasOldList }

// SetVersionRules implements Runners.
func (r *testRouter) SetVersionRules(rules map[string]backend.VersionRule, share float64) {
	r.set.SetVersionRules(rules, share)
}

// ServiceNames implements Services.
func (r *testRouter) ServiceNames() ([]string, bool) { return []string{testService}, true }

// IsPlacer implements Schedulers.
func (r *testRouter) IsPlacer() bool { return !r.isNoPlacer }

// OtherSchedulers implements Schedulers.
func (r *testRouter) OtherSchedulers() (others []string) {
	for _, other := range r.fleet.routers {
		if other.address != r.address && !other.isNoPlacer {
			others = append(others, other.address)
		}
	}
	return others
}

// SelfAddress implements Schedulers.
func (r *testRouter) SelfAddress() string { return r.address }

// CallPeer implements Peers.
func (r *testRouter) CallPeer(_ context.Context, address string, message *wire.Envelope) (*wire.Envelope, error) {
	for _, other := range r.fleet.routers {
		if other.address != address {
			continue
		}
		if r.isCutOff || other.isCutOff || other.isStopped {
			return nil, errUnavailable
		}
		message.From, message.FromIncarnation = r.address, r.incarnation
		permit := other.HandleReport(message, message.GetRolloutReport())
		if other.answer != nil {
			permit = other.answer(message.GetRolloutReport())
		}
		return &wire.Envelope{Body: &wire.Envelope_RolloutPermit{RolloutPermit: permit}}, nil
	}
	return nil, errUnavailable
}

// WriteRolloutStatus implements Store.
func (r *testRouter) WriteRolloutStatus(_ context.Context, _ string, rollout StoredRollout, revision storerev.Revision) (storerev.Revision, error) {
	f := r.fleet
	if f.storeFails || r.lacksStore || r.writesFail || f.stored == nil || revision != f.revision {
		return 0, errUnavailable
	}
	f.revision++
	f.writes++
	status := *rollout.Status
	f.stored = &StoredRollout{Order: f.stored.Order, Status: &status}
	return f.revision, nil
}

// LatestBefore implements Store.
func (r *testRouter) LatestBefore(storerev.Revision) time.Time { return time.Time{} }

// Log implements Log.
func (r *testRouter) Log(event events.Event, fields events.Fields) {
	r.fleet.t.Logf("%s %v %v", r.address, event.Number, fields)
}

// Now implements Clock.
func (r *testRouter) Now() time.Time { return r.fleet.now }

// run moves the clock by the duration.
func (f *testFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(testTick)
		for _, r := range f.routers {
			if !r.isStopped {
				r.tick()
			}
		}
		f.place()
		f.endRequests()
	}
}

func (r *testRouter) tick() {
	f, ctx := r.fleet, context.Background()
	if r == f.leader && !f.storeFails && !r.lacksStore {
		r.SetTerm(f.now.Add(testLease))
	}
	if !r.lacksStore && !f.storeFails && r.seenRevision != f.revision && f.stored != nil {
		r.seenRevision = f.revision
		stored := *f.stored
		r.Apply(Object{Name: testService, Revision: f.revision, Rollout: &stored})
		r.UpdateRules()
	}
	if !f.now.Before(r.leadAt) {
		r.leadAt = f.now.Add(r.leadAll(ctx))
	}
	if !f.now.Before(r.reportAt) {
		r.reportAt = f.now.Add(r.sendDueReports(ctx))
	}
	for len(r.tasks) > 0 {
		task := r.tasks[0]
		r.tasks = r.tasks[1:]
		task()
	}
}

// place places the requests of one tick at the routers in turn.
func (f *testFleet) place() {
	f.clientCarry += f.perTick
	for ; f.clientCarry >= 1; f.clientCarry-- {
		f.sequence++
		counts := f.deadline.IsZero() || f.now.Before(f.deadline)
		if counts {
			f.requests++
		}
		r := f.routers[f.sequence%len(f.routers)]
		for n := 1; (r.isStopped || r.isNoPlacer) && n < len(f.routers); n++ {
			r = f.routers[(f.sequence+n)%len(f.routers)]
		}
		query := backend.Query{Service: testService, Route: r.RouteName(testService, "route")}
		target := r.TakeTarget(f.now, query, r.set)
		query.TargetVersion, query.Testing = target.Version, target.Testing
		r.RecordPlaced(f.now, query)
		runner, end := "0", SendEnd{Outcome: backend.Succeeded}
		if target.Version != "" {
			if counts {
				f.exposed++
			}
			r.ownExposed++
			runner = "4"
			if f.isBad {
				end.Outcome = backend.Failed
			}
		}
		f.outstanding = append(f.outstanding, testRequest{router: r, driver: r.Driver, query: query, send: r.set.BeginQuery(f.now, runner, 0, query), endsAt: f.now.Add(answerTicks * testTick), end: end})
	}
}

func (f *testFleet) endRequests() {
	for len(f.outstanding) > 0 && !f.now.Before(f.outstanding[0].endsAt) {
		ended := f.outstanding[0]
		f.outstanding = f.outstanding[1:]
		ended.driver.RecordOutcome(f.now, ended.query, ended.send, ended.end)
		ended.router.set.End(f.now, ended.send, ended.end.Outcome)
	}
}

// runUntilExposed runs until the target version has got the number of requests.
func (f *testFleet) runUntilExposed(count int) {
	for range int(testDuration / testTick) {
		if f.exposed >= count {
			return
		}
		f.run(testTick)
	}
	f.t.Fatalf("only %d requests to the target version", f.exposed)
}

func (f *testFleet) state() versionrollout.State {
	if f.stored == nil || f.stored.Status == nil {
		return versionrollout.Running
	}
	return f.stored.Status.State
}

func (f *testFleet) expectWithinBound() {
	f.t.Helper()
	f.t.Logf("%v: %d of %d requests to the target version, %d writes", f.state(), f.exposed, f.requests, f.writes)
	f.g.Expect(float64(f.exposed)).To(BeNumerically("<=", testShare*float64(f.requests)+testSlack))
}

// replaceLeader makes the router the leader once the term of the last one has ended.
func (f *testFleet) replaceLeader(next *testRouter) {
	f.leader = nil
	f.run(testLease + testLeaseGap)
	f.leader = next
}
