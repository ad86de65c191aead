package node

import (
	"errors"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/platform"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// Times of reading from the platform.
const (
	// joinGrace is how long a started router waits for peers before it reads
	// from the platform itself, so that a herd of restarts is not a herd of lists.
	joinGrace  = time.Second
	watchPause = 500 * time.Millisecond
	// watchersPerZone is how many routers of a zone read from the platform.
	watchersPerZone = 2
)

// unwatched are kinds that change often and concern only those who write them.
func unwatched(kind v1.Kind) bool { return kind == v1.KindLease }

// watchLoop reads configuration from the platform while this router is one of
// its zone's watchers.
func (n *Node) watchLoop() {
	if !n.pause(joinGrace) {
		return
	}
	for {
		if n.isWatcher() {
			n.watchOnce()
		}
		if !n.pause(watchPause) {
			return
		}
	}
}

func (n *Node) isWatcher() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, watcher := range n.control.Members().Watchers(watchersPerZone) {
		if watcher == n.settings.Node {
			return true
		}
	}
	return false
}

// watchOnce follows the platform from the revision in force, or lists first
// when that is unknown or too old.
func (n *Node) watchOnce() {
	revision := n.Revision()
	if revision == 0 {
		if !n.listOnce() {
			return
		}
		revision = n.Revision()
	}
	n.log.Log(events.WatchStarted, events.Fields{"revision": revision})
	err := n.platform.Watch(n.ctx, revision, n.applyBatch)
	if n.ctx.Err() != nil {
		return
	}
	n.log.Log(events.WatchEnded, events.Fields{"error": err.Error()})
	if errors.Is(err, platform.ErrGone) {
		n.listOnce()
	}
}

func (n *Node) listOnce() bool {
	list, err := n.platform.List(n.ctx)
	if err != nil {
		return false
	}
	n.applyPlatform(config.Delta{Through: storerev.Revision(list.Revision), Full: true, Objects: watched(list.Items)})
	return true
}

// applyBatch takes a batch of the watch. A batch without watched objects does
// not move the revision, so that renewals of leases are no news to anybody.
func (n *Node) applyBatch(batch platform.WatchBatch) {
	objects := watched(batch.Objects)
	if len(objects) == 0 {
		return
	}
	// The watch is in order and from the revision in force on, so the batch
	// holds every change after what this node has.
	n.applyPlatform(config.Delta{From: 0, Through: storerev.Revision(batch.Revision), Objects: objects})
}

func (n *Node) applyPlatform(delta config.Delta) {
	var outcome config.Outcome
	n.withControl(func(now time.Time) { outcome = n.control.ApplyFromPlatform(now, delta) })
	if outcome == config.Stale && delta.Full {
		n.log.Log(events.PlatformStale, events.Fields{"platform_revision": delta.Through})
	}
}

func watched(objects []v1.Object) []v1.Object {
	kept := make([]v1.Object, 0, len(objects))
	for _, object := range objects {
		if !unwatched(object.Kind) {
			kept = append(kept, object)
		}
	}
	return kept
}
