package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/namings"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// checkpoint says that the store's revision was the newest at the moment. It counts the
// changes of all kinds, so a copy that is complete up to it lacked nothing then, and what
// has a higher revision of the same era was written later.
type checkpoint struct {
	revision storerev.Revision
	at       time.Time
}

// keptCheckpoints is how many revisions are kept: with up to five changes a second those of
// three seconds, which is longer than lost watches keep news away.
const keptCheckpoints = 16

// checkpoints holds those of the latest revisions, each with the last moment at which it was
// the newest. It is safe for concurrent use.
type checkpoints struct {
	mutex sync.Mutex
	kept  []checkpoint
}

func (c *checkpoints) note(known checkpoint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if last := len(c.kept) - 1; last >= 0 && c.kept[last].revision == known.revision {
		c.kept[last].at = namings.Later(c.kept[last].at, known.at)
		return
	}
	if len(c.kept) == keptCheckpoints {
		c.kept = append(c.kept[:0], c.kept[1:]...)
	}
	c.kept = append(c.kept, known)
}

// newest returns the latest one, or false when there is none.
func (c *checkpoints) newest() (checkpoint, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var newest checkpoint
	for _, known := range c.kept {
		if known.at.After(newest.at) {
			newest = known
		}
	}
	return newest, len(c.kept) > 0
}

// before returns the latest moment at which what has the revision had not been written, zero
// when none is known.
func (c *checkpoints) before(revision storerev.Revision) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var latest time.Time
	for _, known := range c.kept {
		if revision.WrittenAfter(known.revision) {
			latest = namings.Later(latest, known.at)
		}
	}
	return latest
}
