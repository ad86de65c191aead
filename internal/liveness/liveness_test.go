package liveness

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against runners that count as ended although they were silent for no longer than a sound runner may be.
func TestSilenceOfSoundRunnerIsNoEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		// A silence that begins before or during the first probe is over before the last one.
		begin := rapid.Int64Range(0, int64(ProbeTimeout)-1).Draw(t, "begin of the silence within the first probe")
		end := begin + rapid.Int64Range(0, int64(MaxSilence)).Draw(t, "duration")
		var judge Judge
		for probe := range int64(10) {
			result := Unanswered
			if deadline := (probe + 1) * int64(ProbeTimeout); end < deadline {
				result = Answered
			}
			verdict := judge.Record(result)
			g.Expect(verdict).NotTo(Equal(Ended))
			if verdict == Running {
				return
			}
		}
		t.Fatal("no verdict")
	})
}

func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		results []Result
		want    Verdict
	}{
		{[]Result{Answered}, Running},
		{[]Result{Unanswered}, Undecided},
		{[]Result{Unanswered, Unanswered, Unanswered, Unanswered}, Undecided},
		{[]Result{Unanswered, Unanswered, Unanswered, Unanswered, Unanswered}, Ended},
		{[]Result{Unanswered, Unanswered, Unanswered, Unanswered, Answered, Unanswered}, Undecided},
		{[]Result{Refused}, Undecided},
		{[]Result{Refused, Refused}, Ended},
		{[]Result{Refused, Unanswered, Refused}, Undecided},
		{[]Result{Unanswered, Unanswered, Refused, Refused}, Ended},
	} {
		t.Run(fmt.Sprint(test.results), func(t *testing.T) {
			var judge Judge
			verdict := Undecided
			for _, result := range test.results {
				verdict = judge.Record(result)
			}
			NewWithT(t).Expect(verdict).To(Equal(test.want))
		})
	}
}
