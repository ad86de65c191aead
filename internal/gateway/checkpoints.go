package gateway

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// checkpoint records that the revision was the store's newest at the given time. Revisions
// count the changes of all kinds of objects. A copy that is complete up to the revision
// therefore lacked nothing at that time, and an object with a higher revision of the same era
// was written later.
type checkpoint struct {
	revision storerev.Revision
	at       time.Time
}

// maxCheckpoints is the number of revisions kept. With up to five changes per second it covers
// three seconds, which is longer than lost watches can delay changes.
const maxCheckpoints = 16

// checkpoints holds the checkpoints of the latest revisions, each with the last time at which
// it was the newest. It is safe for concurrent use.
type checkpoints struct {
	mutex  sync.Mutex
	recent []checkpoint
}

// add records the checkpoint. If its revision is the last one added, only the time is updated.
func (c *checkpoints) add(added checkpoint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if lastIndex := len(c.recent) - 1; lastIndex >= 0 && c.recent[lastIndex].revision == added.revision {
		c.recent[lastIndex].at = clock.Later(c.recent[lastIndex].at, added.at)
		return
	}
	if len(c.recent) == maxCheckpoints {
		c.recent = append(c.recent[:0], c.recent[1:]...)
	}
	c.recent = append(c.recent, added)
}

// newest returns the latest checkpoint, and false if there is none.
func (c *checkpoints) newest() (checkpoint, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var newest checkpoint
	for _, entry := range c.recent {
		if entry.at.After(newest.at) {
			newest = entry
		}
	}
	return newest, len(c.recent) > 0
}

// latestBefore returns the latest known time at which an object with the revision had not yet
// been written, zero if none is known.
func (c *checkpoints) latestBefore(revision storerev.Revision) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var latest time.Time
	for _, entry := range c.recent {
		if revision.WrittenAfter(entry.revision) {
			latest = clock.Later(latest, entry.at)
		}
	}
	return latest
}
