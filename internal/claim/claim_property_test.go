package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
)

// simRouter is one router process of the simulation.
type simRouter struct {
	incarnation int
	holder      *Holder
	// skew is the difference between the router's clock and the true time.
	skew time.Duration
	// assignment is the newest assignment number that the router has observed.
	assignment int
}

// assignedHolder is one entry of an assignment.
type assignedHolder struct {
	node        int
	incarnation int
}

// simAttempt is one attempt to claim a key, as it is run by the router that received the
// request.
type simAttempt struct {
	name       string
	key        string
	issuedAt   time.Time
	assignment int
	round      *Round
	// sent and answered are indexed by the holders of the assignment: whether the claim was
	// delivered, and whether a verdict or a timeout was recorded.
	sent     []bool
	answered []bool
	won      bool
	done     bool
}

// holderChange is a change of holders in progress.
type holderChange struct {
	// from is the number of the assignment that is replaced, and results are indexed by its
	// holders.
	from    int
	results []SealResult
	// next are the proposed holders.
	next []assignedHolder
}

// simulation runs the whole protocol: the routers, the assignments stored on the platform, and
// the attempts. The choice of the next action determines whether messages are delivered,
// delayed, lost or repeated.
type simulation struct {
	now     time.Time
	routers []*simRouter
	// assignments are indexed by assignment number; 0 stands for none.
	assignments [][]assignedHolder
	attempts    []*simAttempt
	changes     []*holderChange
	// winners holds the name of the attempt that won each key.
	winners map[string]string
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), winners: map[string]string{}}
	for range 4 {
		skew := time.Duration(rapid.Int64Range(-int64(MaxClockSkew)/2, int64(MaxClockSkew)/2).Draw(t, "skew"))
		s.routers = append(s.routers, &simRouter{holder: NewHolder(), skew: skew})
	}
	s.assignments = [][]assignedHolder{nil, {{0, 0}, {1, 0}, {2, 0}}}
	for node := range 3 {
		s.routers[node].holder.Serve(s.clock(node), 1)
		s.routers[node].assignment = 1
	}
	s.now = s.now.Add(10 * time.Second)
	return s
}

func (s *simulation) clock(node int) time.Time { return s.now.Add(s.routers[node].skew) }

func (s *simulation) latestAssignment() int { return len(s.assignments) - 1 }

func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.Int64Range(0, 1500).Draw(t, "ms")) * time.Millisecond)
}

// observeAssignment lets a router observe the current assignment on the platform or the one
// before.
func (s *simulation) observeAssignment(t *rapid.T) {
	node := rapid.IntRange(0, len(s.routers)-1).Draw(t, "node")
	s.observeUpTo(node, s.latestAssignment()-rapid.IntRange(0, 1).Draw(t, "assignments behind"))
}

func (s *simulation) observeUpTo(node, number int) {
	router := s.routers[node]
	router.assignment = max(router.assignment, number)
	if router.assignment == 0 {
		return
	}
	for _, entry := range s.assignments[router.assignment] {
		if entry.node == node && entry.incarnation == router.incarnation {
			router.holder.Serve(s.clock(node), uint64(router.assignment))
			return
		}
	}
	router.holder.Retire(uint64(router.assignment))
}

func (s *simulation) restart(t *rapid.T) {
	node := rapid.IntRange(0, len(s.routers)-1).Draw(t, "node")
	old := s.routers[node]
	s.routers[node] = &simRouter{incarnation: old.incarnation + 1, holder: NewHolder(), skew: old.skew}
}

// startAttempt starts an attempt and immediately delivers its claims to some of the holders.
func (s *simulation) startAttempt(t *rapid.T) {
	if len(s.attempts) >= 24 {
		return
	}
	number := max(s.latestAssignment()-rapid.IntRange(0, 1).Draw(t, "assignments behind"), 1)
	attempt := &simAttempt{name: fmt.Sprintf("attempt-%d", len(s.attempts)), assignment: number}
	if len(s.attempts) > 0 && rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
		other := s.attempts[len(s.attempts)-1-rapid.IntRange(0, min(2, len(s.attempts)-1)).Draw(t, "attempts back")]
		attempt.key, attempt.issuedAt = other.key, other.issuedAt
	} else {
		// The clocks of callers are not trusted at all.
		skew := time.Duration(rapid.Int64Range(-3000, 3000).Draw(t, "caller skew")) * time.Millisecond
		attempt.key, attempt.issuedAt = fmt.Sprintf("key-%d", len(s.attempts)), s.now.Add(skew)
	}
	s.startRound(attempt, number)
	s.attempts = append(s.attempts, attempt)
	for index := range attempt.sent {
		if !attempt.done && attempt.assignment == number && rapid.IntRange(0, 3).Draw(t, "delivered") > 0 {
			s.deliverClaimTo(t, attempt, index)
		}
	}
}

func (s *simulation) startRound(attempt *simAttempt, number int) {
	attempt.assignment = number
	attempt.round = NewRound(len(s.assignments[number]))
	attempt.sent = make([]bool, len(s.assignments[number]))
	attempt.answered = make([]bool, len(s.assignments[number]))
}

func (s *simulation) pickAttempt(t *rapid.T) *simAttempt {
	if len(s.attempts) == 0 {
		return nil
	}
	return rapid.SampledFrom(s.attempts).Draw(t, "attempt")
}

// deliverClaim delivers one claim to one holder. The verdict may be lost.
func (s *simulation) deliverClaim(t *rapid.T) {
	attempt := s.pickAttempt(t)
	if attempt == nil {
		return
	}
	s.deliverClaimTo(t, attempt, rapid.IntRange(0, len(attempt.sent)-1).Draw(t, "holder"))
}

func (s *simulation) deliverClaimTo(t *rapid.T, attempt *simAttempt, index int) {
	entry := s.assignments[attempt.assignment][index]
	router := s.routers[entry.node]
	// A process responds to every claim that reaches its address, even if it is not the process
	// listed in the assignment. It must then refuse by itself.
	verdict := router.holder.Claim(s.clock(entry.node), uint64(attempt.assignment), attempt.key, attempt.issuedAt, attempt.name)
	attempt.sent[index] = true
	if attempt.done || attempt.answered[index] || rapid.IntRange(0, 3).Draw(t, "response arrives") == 0 {
		return
	}
	attempt.answered[index] = true
	attempt.round.AddVerdict(verdict)
	s.decide(t, attempt)
}

// timeOutHolder times out the claim at one holder.
func (s *simulation) timeOutHolder(t *rapid.T) {
	attempt := s.pickAttempt(t)
	if attempt == nil || attempt.done {
		return
	}
	index := rapid.IntRange(0, len(attempt.answered)-1).Draw(t, "holder")
	if attempt.answered[index] {
		return
	}
	attempt.answered[index] = true
	attempt.round.AddTimeout()
	s.decide(t, attempt)
}

func (s *simulation) decide(t *rapid.T, attempt *simAttempt) {
	switch attempt.round.Decide() {
	case Undecided:
	case Won:
		attempt.done, attempt.won = true, true
		if other, found := s.winners[attempt.key]; found {
			t.Fatalf("attempts %s and %s both won key %s", other, attempt.name, attempt.key)
		}
		s.winners[attempt.key] = attempt.name
	case Retry:
		s.startRound(attempt, s.latestAssignment())
	default:
		attempt.done = true
	}
}

// startChange lets a router propose new holders to replace the current assignment or the one
// before, and immediately seals some of the old holders.
func (s *simulation) startChange(t *rapid.T) {
	from := max(s.latestAssignment()-rapid.IntRange(0, 1).Draw(t, "assignments behind"), 1)
	c := &holderChange{from: from, results: make([]SealResult, len(s.assignments[from]))}
	nodes := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "next holders")
	for _, node := range nodes[:3] {
		c.next = append(c.next, assignedHolder{node, s.routers[node].incarnation})
	}
	s.changes = append(s.changes, c)
	for index := range c.results {
		if rapid.IntRange(0, 3).Draw(t, "delivered") > 0 {
			s.sealHolderAt(t, c, index)
		}
	}
}

func (s *simulation) pickChange(t *rapid.T) *holderChange {
	if len(s.changes) == 0 {
		return nil
	}
	return s.changes[len(s.changes)-1-rapid.IntRange(0, min(1, len(s.changes)-1)).Draw(t, "change")]
}

func (s *simulation) sealHolder(t *rapid.T) {
	if c := s.pickChange(t); c != nil {
		s.sealHolderAt(t, c, rapid.IntRange(0, len(c.results)-1).Draw(t, "holder"))
	}
}

func (s *simulation) sealHolderAt(t *rapid.T, c *holderChange, index int) {
	entry := s.assignments[c.from][index]
	router := s.routers[entry.node]
	if router.incarnation != entry.incarnation {
		c.results[index] = SealResult{Ended: true}
		return
	}
	horizon, records, sealed := router.holder.Seal(uint64(c.from))
	if sealed && rapid.IntRange(0, 3).Draw(t, "response arrives") > 0 {
		c.results[index] = SealResult{Sealed: true, Horizon: horizon, Records: records}
	}
}

// finishChange installs the records at the next holders, writes the assignment and lets some
// routers observe it. Each step may fail.
func (s *simulation) finishChange(t *rapid.T) {
	c := s.pickChange(t)
	if c == nil {
		return
	}
	proposer := rapid.IntRange(0, len(s.routers)-1).Draw(t, "proposer")
	handover, ready := NewHandover(s.clock(proposer), c.results)
	if !ready {
		return
	}
	for _, entry := range c.next {
		router := s.routers[entry.node]
		if rapid.IntRange(0, 3).Draw(t, "installed") > 0 && router.incarnation == entry.incarnation {
			router.holder.Install(uint64(c.from+1), handover.Horizon, handover.Records)
		}
	}
	// The platform accepts the write only if the assignment that it replaces is still current.
	if c.from != s.latestAssignment() || rapid.IntRange(0, 3).Draw(t, "written") == 0 {
		return
	}
	s.assignments = append(s.assignments, c.next)
	for node := range s.routers {
		if rapid.Bool().Draw(t, "observes") {
			s.observeUpTo(node, s.latestAssignment())
		}
	}
}

// TestAtMostOneAttemptWins checks that at most one attempt wins each key, under random delays,
// message loss, restarts, clock differences and concurrent changes of holders.
func TestAtMostOneAttemptWins(t *testing.T) {
	testkit.SetRapidDefaults(20000)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		// Actions with several entries are chosen more often.
		t.Repeat(map[string]func(*rapid.T){
			"advance":              s.advance,
			"observe assignment":   s.observeAssignment,
			"observe assignment 2": s.observeAssignment,
			"restart":              s.restart,
			"begin attempt":        s.startAttempt,
			"deliver claim":        s.deliverClaim,
			"deliver claim 2":      s.deliverClaim,
			"deliver claim 3":      s.deliverClaim,
			"holder timeout":       s.timeOutHolder,
			"start change":         s.startChange,
			"seal holder":          s.sealHolder,
			"seal holder 2":        s.sealHolder,
			"finish change":        s.finishChange,
		})
	})
}
