package storerev_test

import (
	"cmp"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// drawRevision draws a valid era and number.
func drawRevision(t *rapid.T, name string) (era, number uint64) {
	return rapid.Uint64Range(storerev.FirstEra, storerev.MaxEra).Draw(t, name+" era"), rapid.Uint64Range(0, storerev.MaxNumber).Draw(t, name+" number")
}

// Guards against comparing revisions of two eras by their numbers alone.
func TestRevisionsOrderByEraThenNumber(t *testing.T) {
	testkit.SetRapidDefaults(20000)
	rapid.Check(t, func(t *rapid.T) {
		era, number := drawRevision(t, "one")
		otherEra, otherNumber := drawRevision(t, "other")
		one, err := storerev.New(era, number)
		if err != nil {
			t.Fatal(err)
		}
		other, err := storerev.New(otherEra, otherNumber)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := cmp.Compare(one, other), cmp.Or(cmp.Compare(era, otherEra), cmp.Compare(number, otherNumber)); got != want {
			t.Fatalf("%d/%d compared with %d/%d: got %d, want %d", era, number, otherEra, otherNumber, got, want)
		}
		if one.Era() != era || one.Number() != number {
			t.Fatalf("revision of %d/%d returns %d/%d", era, number, one.Era(), one.Number())
		}
		if float := float64(one); storerev.Revision(float) != one {
			t.Fatalf("%d/%d is not exact as a float64", era, number)
		}
	})
}

func TestFirstEraRevisionsEqualStoreNumbers(t *testing.T) {
	g := NewWithT(t)
	for _, era := range []uint64{0, storerev.FirstEra} {
		revision, err := storerev.New(era, 230)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(uint64(revision)).To(Equal(uint64(230)), "as routers without support for eras write it")
		g.Expect(revision.Era()).To(Equal(uint64(storerev.FirstEra)))
	}
}

func TestNewRejectsOutOfRangeValues(t *testing.T) {
	g := NewWithT(t)
	_, err := storerev.New(storerev.MaxEra+1, 1)
	g.Expect(err).To(HaveOccurred())
	_, err = storerev.New(1, storerev.MaxNumber+1)
	g.Expect(err).To(HaveOccurred())
	g.Expect(storerev.StartOf(storerev.MaxEra + 1).Era()).To(Equal(uint64(storerev.MaxEra)))
}

// storeModel models a store that is written, backed up and restored.
type storeModel struct {
	era, number uint64
	// now is a logical clock that advances with each step.
	now int
	// objects holds the latest version of each object by name.
	objects map[string]storedObject
	backups []storeModel
}

// storedObject holds the number and the logical time of the last write of an object.
type storedObject struct {
	number    uint64
	writtenAt int
}

// current returns the revision of the latest change.
func (s *storeModel) current(t *rapid.T) storerev.Revision { return s.revision(t, s.number) }

// revision returns the revision of a number in the current era.
func (s *storeModel) revision(t *rapid.T, number uint64) storerev.Revision {
	revision, err := storerev.New(s.era, number)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// clone returns a copy without era, clock and backups.
func (s *storeModel) clone() storeModel {
	result := storeModel{number: s.number, objects: map[string]storedObject{}}
	for name, object := range s.objects {
		result.objects[name] = object
	}
	return result
}

// Guards against a later read of the store that compares as older than an earlier one, and against
// objects from a backup that pass for objects written since. The store may be restored any number
// of times and from any backup.
func TestRevisionsFollowStoreHistoryAcrossRestores(t *testing.T) {
	testkit.SetRapidDefaults(5000)
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{era: storerev.FirstEra, objects: map[string]storedObject{}}
		type read struct {
			position storerev.Revision
			// time is the logical time of the read.
			time int
		}
		reads := []read{{}}
		// The seed is fixed and rapid selects an action by its index among the sorted keys, so another
		// order of the keys would run other sequences.
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				s.now++
				s.number++
				s.objects[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")] = storedObject{number: s.number, writtenAt: s.now}
			},
			"make backup": func(*rapid.T) { s.backups = append(s.backups, s.clone()) },
			"restore backup": func(t *rapid.T) {
				if len(s.backups) == 0 {
					return
				}
				chosen := rapid.IntRange(0, len(s.backups)-1).Draw(t, "backup")
				from := s.backups[chosen].clone()
				s.now++
				s.era++
				s.number, s.objects = from.number, from.objects
			},
			"check read": func(t *rapid.T) {
				s.now++
				latest := read{position: s.current(t), time: s.now}
				if previous := reads[len(reads)-1]; latest.position < previous.position {
					t.Fatalf("read at %d/%d compares as older than the previous read at %d/%d", latest.position.Era(), latest.position.Number(), previous.position.Era(), previous.position.Number())
				}
				reads = append(reads, latest)
			},
			"": func(t *rapid.T) {
				for name, object := range s.objects {
					for _, earlier := range reads[1:] {
						if s.revision(t, object.number).WrittenAfter(earlier.position) && object.writtenAt < earlier.time {
							t.Fatalf("%s at %d/%d was written before the read at %d/%d", name, s.era, object.number, earlier.position.Era(), earlier.position.Number())
						}
					}
				}
			},
		})
	})
}
