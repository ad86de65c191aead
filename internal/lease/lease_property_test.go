package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

const (
	leaseDuration = 3 * time.Second
	// takeoverGap is the minimum time between the expiry of a lease and its
	// acquisition by another node.
	takeoverGap = 500 * time.Millisecond
)

// simulation models the platform's lease object, an engine that checks fencing
// tokens, and candidates that may be paused between deciding and acting. The
// platform's store may be restored from a backup, and writes may be applied late,
// also in a later era.
type simulation struct {
	now time.Time
	era uint64
	// storeNumber is the number of the store's last change.
	storeNumber uint64
	lease       storedLease
	backups     []storeBackup
	candidates  []*Candidate
	// pendingWrites are the writes whose nodes wait for the response, by node, and
	// delayedWrites those that no node waits for any more. The store has applied
	// none of them yet.
	pendingWrites map[int]conditionalWrite
	delayedWrites []conditionalWrite
	// ordersInFlight holds the tokens of the orders sent to the engine, and
	// highestToken the highest token that the engine has received.
	ordersInFlight []storerev.Revision
	highestToken   storerev.Revision
	// tokenOwners maps each token to the node that it was issued to.
	tokenOwners map[storerev.Revision]int
}

// storedLease is the lease object in the store. Its number is 0 if it does not exist.
type storedLease struct {
	number uint64
	spec   v1.LeaseSpec
}

// storeBackup is a backup of the store.
type storeBackup struct {
	storeNumber uint64
	lease       storedLease
}

// conditionalWrite is a write that a node has sent. It is applied only if the lease
// object is as expected.
type conditionalWrite struct {
	sentAt   time.Time
	action   Action
	expected Observation
	proposal v1.LeaseSpec
}

func newSimulation() *simulation {
	s := &simulation{now: time.Unix(1_000, 0), era: storerev.FirstEra, tokenOwners: map[storerev.Revision]int{}, pendingWrites: map[int]conditionalWrite{}}
	for node := range 3 {
		s.candidates = append(s.candidates, NewCandidateWithGap(fmt.Sprintf("n%d", node), leaseDuration, takeoverGap))
	}
	return s
}

func (s *simulation) pickNode(t *rapid.T) int {
	return rapid.IntRange(0, len(s.candidates)-1).Draw(t, "node")
}

func (s *simulation) revision(t *rapid.T, number uint64) storerev.Revision {
	revision, err := storerev.New(s.era, number)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func (s *simulation) readLease(t *rapid.T) Observation {
	return Observation{Exists: s.lease.number > 0, Revision: s.revision(t, s.lease.number), Spec: s.lease.spec}
}

// observeLease makes a node read the lease, unless it waits for the response to a write.
func (s *simulation) observeLease(t *rapid.T) {
	node := s.pickNode(t)
	if _, pending := s.pendingWrites[node]; !pending {
		s.candidates[node].Observe(s.now, s.readLease(t))
	}
}

// applyWrite applies a conditional write and reports whether its condition held. The
// store compares the number alone, without the era.
func (s *simulation) applyWrite(write conditionalWrite) bool {
	if exists := s.lease.number > 0; exists != write.expected.Exists || exists && s.lease.number != write.expected.Revision.Number() {
		return false
	}
	s.storeNumber++
	s.lease = storedLease{number: s.storeNumber, spec: write.proposal}
	return true
}

// sendWrite makes a node acquire or renew the lease according to its last observation.
func (s *simulation) sendWrite(t *rapid.T) {
	node := s.pickNode(t)
	candidate := s.candidates[node]
	action := candidate.Next(s.now)
	if _, pending := s.pendingWrites[node]; pending || action != Acquire && action != Renew {
		return
	}
	s.pendingWrites[node] = conditionalWrite{sentAt: s.now, action: action, expected: candidate.LastObservation(), proposal: candidate.Proposal(action)}
}

// completeWrite makes the store apply and answer a pending write. The response may be
// lost, and the write may be applied later or never.
func (s *simulation) completeWrite(t *rapid.T) {
	node := s.pickNode(t)
	write, pending := s.pendingWrites[node]
	if !pending {
		return
	}
	delete(s.pendingWrites, node)
	if rapid.IntRange(0, 6).Draw(t, "late") == 0 {
		s.delayedWrites = append(s.delayedWrites, write)
		return
	}
	if !s.applyWrite(write) {
		return
	}
	revision := s.revision(t, s.lease.number)
	s.advanceClock(t)
	if rapid.IntRange(0, 4).Draw(t, "answer lost") == 0 {
		return
	}
	candidate := s.candidates[node]
	candidate.RecordWrite(write.sentAt, s.now, write.action, revision, write.proposal)
	if token, held := candidate.Token(s.now); held && token == revision {
		if owner, issued := s.tokenOwners[token]; issued && owner != node {
			t.Fatalf("token %d issued to nodes %d and %d", token, owner, node)
		}
		s.tokenOwners[token] = node
	}
}

// applyDelayedWrite makes the store apply the oldest write that no node waits for.
func (s *simulation) applyDelayedWrite(t *rapid.T) {
	if len(s.delayedWrites) == 0 {
		return
	}
	s.applyWrite(s.delayedWrites[0])
	s.delayedWrites = s.delayedWrites[1:]
}

// writeOtherObject increments the store's number without a change of the lease.
func (s *simulation) writeOtherObject(*rapid.T) { s.storeNumber++ }

// copy makes a backup of the store's current state.
func (s *simulation) copy(*rapid.T) {
	s.backups = append(s.backups, storeBackup{storeNumber: s.storeNumber, lease: s.lease})
}

// restoreBackup restores the store from any of its backups, in a new era.
func (s *simulation) restoreBackup(t *rapid.T) {
	if len(s.backups) == 0 {
		return
	}
	backup := s.backups[rapid.IntRange(0, len(s.backups)-1).Draw(t, "backup")]
	s.era++
	s.storeNumber, s.lease = backup.storeNumber, backup.lease
}

func (s *simulation) advanceClock(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (s *simulation) sendOrder(t *rapid.T) {
	if token, held := s.candidates[s.pickNode(t)].Token(s.now); held {
		s.ordersInFlight = append(s.ordersInFlight, token)
	}
}

// deliverOrder delivers any of the sent orders to the engine, possibly more than once.
func (s *simulation) deliverOrder(t *rapid.T) {
	if len(s.ordersInFlight) == 0 {
		return
	}
	token := rapid.SampledFrom(s.ordersInFlight).Draw(t, "order")
	if token >= s.highestToken {
		s.highestToken = token
	}
}

// Guards against two nodes that hold the lease at the same time, and against a later
// holder whose token is lower than that of an earlier one, so that engines refuse it.
// Both may come about when the store is restored from a backup that lacks the holder's
// lease, or when it assigns the numbers of former tokens again. All candidates are checked
// at the same true time.
func TestAtMostOneHolderAndTokensIncrease(t *testing.T) {
	testkit.SetRapidDefaults(40000)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		lastHolder, lastToken := -1, storerev.Revision(0)
		t.Repeat(map[string]func(*rapid.T){
			"observe":          s.observeLease,
			"observe more":     s.observeLease,
			"write":            s.sendWrite,
			"write more":       s.sendWrite,
			"answer":           s.completeWrite,
			"answer more":      s.completeWrite,
			"do delayed write": s.applyDelayedWrite,
			"other write":      s.writeOtherObject,
			"order":            s.sendOrder,
			"deliver":          s.deliverOrder,
			"create backup":    s.copy,
			"restore":          s.restoreBackup,
			"advance":          s.advanceClock,
			"": func(t *rapid.T) {
				holders := 0
				for node, candidate := range s.candidates {
					token, held := candidate.Token(s.now)
					if !held {
						continue
					}
					holders++
					if token < lastToken || node != lastHolder && token == lastToken {
						t.Fatalf("node %d holds token %d after node %d held %d", node, token, lastHolder, lastToken)
					}
					lastHolder, lastToken = node, token
				}
				if holders > 1 {
					t.Fatalf("%d nodes hold the lease at the same time", holders)
				}
			},
		})
	})
}
