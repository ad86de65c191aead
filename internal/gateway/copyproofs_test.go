package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/storerev"
)

// What was learned after the moment that an answer tells of does not speak against it.
func TestOnlyAnswersThatAreAsNewAsWhatWasKnownShowAnything(t *testing.T) {
	now := time.Unix(1_000, 0)
	for name, test := range map[string]struct {
		revision, known, newest storerev.Revision
		newestAt                time.Time
		want                    bool
	}{
		"as new as what was known":        {revision: 7, known: 7, newest: 7, newestAt: now.Add(-time.Second), want: true},
		"older than known before":         {revision: 6, known: 7, newest: 7, newestAt: now.Add(-time.Second)},
		"older than known before it held": {revision: 6, known: 6, newest: 7, newestAt: now.Add(-time.Second)},
		"older than learned since":        {revision: 6, known: 6, newest: 7, newestAt: now.Add(time.Millisecond), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			copies := &copies{reached: []checkpoint{{revision: test.newest, at: test.newestAt}}}
			answer := storeAnswer{revision: test.revision, known: test.known}
			NewWithT(t).Expect(copies.shownBy(answer, now)).To(Equal(test.want))
		})
	}
}
