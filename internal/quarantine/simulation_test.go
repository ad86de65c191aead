package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The model of a fleet: routers send requests to runners; some contents end each runner that
// runs them, and runners end by themselves in waves. It weighs who judges, by how many ends,
// and whether suspected contents are kept apart, and holds the way that is built to its aims.

// policy is one way to judge.
type policy struct {
	// alone has each router judge by what it saw itself.
	alone bool
	// ends is how many ended runners quarantine a content.
	ends int
	// apart keeps suspected contents apart from each other.
	apart bool
	// together sends a suspected content to the runner that already runs it.
	together bool
	// counts leaves out that another content may explain the ends.
	counts bool
}

var built = policy{ends: endsToQuarantine, apart: true, together: true}

// world is one scenario.
type world struct {
	name    string
	routers int
	runners int
	// poisons is how many contents end runners, and poisonEvery the mean time between two
	// requests of each, each at a random router.
	poisons     int
	poisonEvery time.Duration
	// waves is how often waveShare of the runners end by themselves.
	waves     time.Duration
	waveShare float64
	// affinity is the share of requests that go to the runner of their prompt's family.
	affinity float64
}

var worlds = []world{
	{name: "one", routers: 7, runners: 18, poisons: 1, poisonEvery: 400 * time.Millisecond, affinity: 0.7},
	{name: "one, frequent", routers: 7, runners: 18, poisons: 1, poisonEvery: 50 * time.Millisecond, affinity: 0.7},
	{name: "one, rare", routers: 7, runners: 18, poisons: 1, poisonEvery: 5 * time.Second, affinity: 0.7},
	{name: "ten", routers: 7, runners: 18, poisons: 10, poisonEvery: 3 * time.Second, affinity: 0.7},
	{name: "few runners", routers: 3, runners: 5, poisons: 2, poisonEvery: time.Second, affinity: 0.7},
	{name: "two runners", routers: 3, runners: 2, poisons: 1, poisonEvery: 2 * time.Second, affinity: 1},
	{name: "one runner", routers: 3, runners: 1, poisons: 1, poisonEvery: 3 * time.Second, affinity: 1},
	{name: "waves", routers: 7, runners: 18, waves: 3500 * time.Millisecond, waveShare: 0.3, affinity: 0.7},
	{name: "one, waves", routers: 7, runners: 18, poisons: 1, poisonEvery: 400 * time.Millisecond, waves: 3500 * time.Millisecond, waveShare: 0.3, affinity: 0.7},
	{name: "one, all runners lost", routers: 7, runners: 18, poisons: 1, poisonEvery: 400 * time.Millisecond, waves: 10 * time.Second, waveShare: 1, affinity: 0.7},
	{name: "one of many routers", routers: 60, runners: 90, poisons: 1, poisonEvery: 100 * time.Millisecond, affinity: 0.7},
}

// Figures of the model.
const (
	modelTime  = 60 * time.Second
	modelStep  = 5 * time.Millisecond
	reviveTime = 2 * time.Second
	// uniqueRate and sameRate are requests a second for each runner: of contents of their
	// own, and of one content that many ask.
	uniqueRate, sameRate = 4.0, 2.0
	// newsTime is within which routers hear of each other's records.
	newsTime = 20 * time.Millisecond
	// contact is how long after the third end sends of a content do not count.
	contact = 3 * time.Second
	// clientTries is how often a request comes when its answer breaks off.
	clientTries = 4
	families    = 20
	slots       = 32
)

// ask is one request of the model.
type ask struct {
	content Content
	poison  bool
	family  int
	tries   int
	router  int
	run     *Run
	ends    time.Time
}

// host is one runner of the model.
type host struct {
	runner Runner
	asks   []*ask
	backAt time.Time
}

// result is what a run of the model showed.
type result struct {
	endsEach, sendsLate float64
	asked, refused      int
	broken              int
}

// model is one run.
type model struct {
	world  world
	policy policy
	random *rand.Rand
	now    time.Time
	hosts  []*host
	judges []*Judge
	// third is when each poison had ended its third runner.
	ended map[Content]int
	third map[Content]time.Time
	next  int
	result
}

func newModel(w world, p policy, seed uint64) *model {
	m := &model{world: w, policy: p, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000, 0), ended: map[Content]int{}, third: map[Content]time.Time{}}
	for i := range w.runners {
		m.hosts = append(m.hosts, &host{runner: Runner{ID: fmt.Sprint(i), Incarnation: 1}})
	}
	judges := 1
	if p.alone {
		judges = w.routers
	}
	for range judges {
		m.judges = append(m.judges, NewJudge())
	}
	return m
}

func (m *model) judge(router int) *Judge { return m.judges[router%len(m.judges)] }

// happens draws whether something of the rate a second happens in this step.
func (m *model) happens(rate float64) bool { return m.random.Float64() < rate*modelStep.Seconds() }

func (m *model) play() result {
	for end := m.now.Add(modelTime); m.now.Before(end); m.now = m.now.Add(modelStep) {
		for _, h := range m.hosts {
			m.finish(h)
		}
		m.wave()
		m.arrive()
	}
	m.endsEach /= float64(max(m.world.poisons, 1))
	return m.result
}

func (m *model) arrive() {
	for range m.world.runners {
		if m.happens(uniqueRate) {
			m.next++
			m.send(&ask{content: Content{Digest: uint64(1000 + m.next)}, family: m.next % families})
		}
		if m.happens(sameRate) {
			m.send(&ask{content: Content{Digest: 500}, family: 1})
		}
	}
	for i := range m.world.poisons {
		if m.happens(1 / m.world.poisonEvery.Seconds()) {
			m.send(&ask{content: Content{Digest: uint64(1 + i)}, poison: true, family: i % families, tries: clientTries})
		}
	}
}

// send lets a router judge the request and sends it.
func (m *model) send(a *ask) {
	a.router = m.random.IntN(m.world.routers)
	record, _ := m.judge(a.router).Record(a.content)
	if !a.poison && a.tries == 0 {
		m.asked++
	}
	a.tries++
	if m.quarantines(a, record) {
		if !a.poison {
			m.refused++
		}
		return
	}
	h := m.place(a, len(record.standing()) > 0)
	if h == nil {
		return
	}
	if third, known := m.third[a.content]; a.poison && known && m.now.After(third.Add(contact)) {
		m.sendsLate++
	}
	a.run = &Run{Content: a.content, Runner: h.runner, Began: m.now}
	duration := time.Duration((0.2 + m.random.ExpFloat64()*0.5) * float64(time.Second))
	if a.poison {
		duration = time.Duration((0.05 + m.random.Float64()) * float64(time.Second))
	}
	a.ends = m.now.Add(duration)
	h.asks = append(h.asks, a)
}

// quarantines judges as the product does, or by the policy's number of ends alone.
func (m *model) quarantines(a *ask, record Record) bool {
	if m.policy == built {
		return m.judge(a.router).Verdict(m.now, a.content).State == Quarantined
	}
	return record.Verdict(m.now, m.policy.ends).State == Quarantined
}

// place chooses a runner: by family or at random, and suspected contents apart, if the
// policy says so, at the one with the fewest requests.
func (m *model) place(a *ask, suspected bool) *host {
	var up []*host
	for _, h := range m.hosts {
		if !h.backAt.After(m.now) {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	for _, h := range up {
		if suspected && m.policy.together && len(h.asks) < slots/2 && h.runs(a.content) {
			return h
		}
	}
	if suspected && m.policy.apart {
		var best *host
		for _, h := range up {
			if best == nil || m.suspects(h) < m.suspects(best) || m.suspects(h) == m.suspects(best) && len(h.asks) < len(best.asks) {
				best = h
			}
		}
		return best
	}
	if m.random.Float64() < m.world.affinity {
		return up[a.family%len(up)]
	}
	return up[m.random.IntN(len(up))]
}

// runs tells whether a request of the content is open at the host.
func (h *host) runs(content Content) bool {
	return slices.ContainsFunc(h.asks, func(a *ask) bool { return a.content == content })
}

// suspects counts the requests at the host whose contents are suspected.
func (m *model) suspects(h *host) (count int) {
	for _, a := range h.asks {
		if record, _ := m.judge(a.router).Record(a.content); len(record.standing()) > 0 {
			count++
		}
	}
	return count
}

// finish ends runs that are over, and the runner if one of them ends it.
func (m *model) finish(h *host) {
	var open []*ask
	for _, a := range h.asks {
		switch {
		case a.ends.After(m.now):
			open = append(open, a)
		case a.poison:
			m.ended[a.content]++
			m.endsEach++
			if m.ended[a.content] == 3 {
				m.third[a.content] = m.now
			}
			m.crash(h)
			return
		default:
			m.judge(a.router).Outlived(m.now, a.content)
		}
	}
	h.asks = open
}

// wave ends a share of the runners.
func (m *model) wave() {
	since := m.now.Sub(time.Unix(1_000, 0))
	if m.world.waves == 0 || since%m.world.waves != 0 || since == 0 {
		return
	}
	for _, h := range m.hosts {
		if m.random.Float64() < m.world.waveShare {
			m.crash(h)
		}
	}
}

// crash ends a runner: what was at work on it breaks off and comes again.
func (m *model) crash(h *host) {
	lost := h.asks
	h.asks, h.backAt = nil, m.now.Add(reviveTime)
	for _, a := range lost {
		m.judge(a.router).Ended(m.now.Add(newsTime), a.run)
	}
	h.runner.Incarnation++
	for _, a := range lost {
		if a.poison {
			continue
		}
		m.broken++
		if a.tries < clientTries {
			m.send(a)
		}
	}
}

// mean plays the world with some seeds.
func mean(w world, p policy, seeds int) (sum result) {
	for seed := range seeds {
		got := newModel(w, p, uint64(seed)).play()
		sum.endsEach += got.endsEach / float64(seeds)
		sum.sendsLate = max(sum.sendsLate, got.sendsLate)
		sum.asked += got.asked
		sum.refused += got.refused
		sum.broken += got.broken
	}
	return sum
}

// The way that is built keeps to its aims in every world: three sends at most beyond the
// third runner and the time of contact, and fewer than one in 200 others refused.
func TestFewRunnersEndAndFewOthersAreRefused(t *testing.T) {
	for _, w := range worlds {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			got := mean(w, built, 5)
			t.Logf("%+v", got)
			g.Expect(got.sendsLate).To(BeNumerically("<=", 3*max(w.poisons, 1)))
			g.Expect(200 * got.refused).To(BeNumerically("<", got.asked))
		})
	}
}

// The ways that were weighed, for docs/design/poison-requests.md.
func TestWaysToJudge(t *testing.T) {
	if testing.Short() || !testing.Verbose() {
		t.Skip("prints figures only")
	}
	ways := map[string]policy{
		"built": built, "three ends": {ends: 3, apart: true, together: true, counts: true}, "alone": {alone: true, ends: 3, apart: true, together: true}, "two ends": {ends: 2, apart: true, together: true},
		"four ends": {ends: 4, apart: true, together: true}, "not apart": {ends: 3}, "each apart": {ends: 3, apart: true}, "together": {ends: 3, together: true},
	}
	for _, w := range worlds {
		for name, p := range ways {
			got := mean(w, p, 5)
			t.Logf("%-22s %-10s ends each %5.1f  late sends at most %3.0f  refused %4d of %5d  broken %5d", w.name, name, got.endsEach, got.sendsLate, got.refused, got.asked, got.broken)
		}
	}
}
