package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/storerev"
)

// A revision learned after the time that a response proves does not make the response outdated.
func TestOutdatedResponsesAreNotCurrent(t *testing.T) {
	now := time.Unix(1_000, 0)
	for name, test := range map[string]struct {
		revision, known, newest storerev.Revision
		newestAt                time.Time
		want                    bool
	}{
		"at the known revision":                           {revision: 7, known: 7, newest: 7, newestAt: now.Add(-time.Second), want: true},
		"below the revision known before the call":        {revision: 6, known: 7, newest: 7, newestAt: now.Add(-time.Second)},
		"below the revision known before the proven time": {revision: 6, known: 6, newest: 7, newestAt: now.Add(-time.Second)},
		"below a revision learned after the proven time":  {revision: 6, known: 6, newest: 7, newestAt: now.Add(time.Millisecond), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			copies := &copies{reachedRevisions: []checkpoint{{revision: test.newest, at: test.newestAt}}}
			response := storeResponse{revision: test.revision, knownRevision: test.known}
			NewWithT(t).Expect(copies.isCurrent(response, now)).To(Equal(test.want))
		})
	}
}
