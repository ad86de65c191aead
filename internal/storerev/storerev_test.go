package storerev_test

import (
	"cmp"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/clovertiller/clovertiller/internal/lab/testkit"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

func draw(t *rapid.T, name string) (era, number uint64) {
	return rapid.Uint64Range(storerev.FirstEra, storerev.MaxEra).Draw(t, name+" era"), rapid.Uint64Range(0, storerev.MaxNumber).Draw(t, name+" number")
}

// Guards against news of two eras that are ordered by their numbers.
func TestRevisionsAreOrderedByEraAndThenByNumber(t *testing.T) {
	testkit.Properties(20000)
	rapid.Check(t, func(t *rapid.T) {
		era, number := draw(t, "one")
		otherEra, otherNumber := draw(t, "other")
		one, err := storerev.New(era, number)
		if err != nil {
			t.Fatal(err)
		}
		other, err := storerev.New(otherEra, otherNumber)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := cmp.Compare(one, other), cmp.Or(cmp.Compare(era, otherEra), cmp.Compare(number, otherNumber)); got != want {
			t.Fatalf("%d/%d against %d/%d: %d, want %d", era, number, otherEra, otherNumber, got, want)
		}
		if one.Era() != era || one.Number() != number {
			t.Fatalf("%d/%d became %d/%d", era, number, one.Era(), one.Number())
		}
		if float := float64(one); storerev.Revision(float) != one {
			t.Fatalf("%d/%d is not exact as a floating-point number", era, number)
		}
	})
}

func TestStoresWithoutErasKeepTheirPlainNumbers(t *testing.T) {
	g := NewWithT(t)
	for _, era := range []uint64{0, storerev.FirstEra} {
		revision, err := storerev.New(era, 230)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(uint64(revision)).To(Equal(uint64(230)), "as routers that know of no eras write it")
		g.Expect(revision.Era()).To(Equal(uint64(storerev.FirstEra)))
	}
}

func TestRevisionsOutOfRangeAreRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := storerev.New(storerev.MaxEra+1, 1)
	g.Expect(err).To(HaveOccurred())
	_, err = storerev.New(1, storerev.MaxNumber+1)
	g.Expect(err).To(HaveOccurred())
	g.Expect(storerev.StartOf(storerev.MaxEra + 1).Era()).To(Equal(uint64(storerev.MaxEra)))
}

// storeModel is a store that is written, copied and brought back, with a clock of its own.
type storeModel struct {
	era, number uint64
	now         int
	// objects are the latest objects by name, each with when it was written first.
	objects map[string]stored
	copies  []storeModel
}

type stored struct {
	number  uint64
	written int
}

func (s *storeModel) at(t *rapid.T) storerev.Revision { return s.revision(t, s.number) }

func (s *storeModel) revision(t *rapid.T, number uint64) storerev.Revision {
	revision, err := storerev.New(s.era, number)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func (s *storeModel) cloned() storeModel {
	cloned := storeModel{number: s.number, objects: map[string]stored{}}
	for name, object := range s.objects {
		cloned.objects[name] = object
	}
	return cloned
}

// Guards against answers of a later moment that compare as older, and against objects of a copy
// that are taken for ones written since, however often and from whatever copy the store returns.
func TestRevisionsFollowTheHistoryOfAStoreThatReturnsFromCopies(t *testing.T) {
	testkit.Properties(5000)
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{era: storerev.FirstEra, objects: map[string]stored{}}
		type seen struct {
			at   storerev.Revision
			when int
		}
		answers := []seen{{}}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				s.now++
				s.number++
				s.objects[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")] = stored{number: s.number, written: s.now}
			},
			"copy": func(*rapid.T) { s.copies = append(s.copies, s.cloned()) },
			"return": func(t *rapid.T) {
				if len(s.copies) == 0 {
					return
				}
				chosen := rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy")
				from := s.copies[chosen].cloned()
				s.now++
				s.era++
				s.number, s.objects = from.number, from.objects
			},
			"answer": func(t *rapid.T) {
				s.now++
				answer := seen{at: s.at(t), when: s.now}
				if last := answers[len(answers)-1]; answer.at < last.at {
					t.Fatalf("the answer %d/%d compares as older than %d/%d before it", answer.at.Era(), answer.at.Number(), last.at.Era(), last.at.Number())
				}
				answers = append(answers, answer)
			},
			"": func(t *rapid.T) {
				for name, object := range s.objects {
					for _, answer := range answers[1:] {
						if s.revision(t, object.number).WrittenAfter(answer.at) && object.written < answer.when {
							t.Fatalf("%s at %d/%d was written before the answer %d/%d", name, s.era, object.number, answer.at.Era(), answer.at.Number())
						}
					}
				}
			},
		})
	})
}
