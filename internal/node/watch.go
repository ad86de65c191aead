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

// Parameters of reading from the platform.
const (
	// platformReadDelay is how long a starting router waits for configuration from its peers before
	// it reads from the platform itself. Without the delay, simultaneous restarts of many routers
	// would cause as many list calls.
	platformReadDelay  = time.Second
	watchRetryInterval = 500 * time.Millisecond
	// watchersPerZone is the number of routers in each zone that read from the platform.
	watchersPerZone = 2
)

// isUnwatched reports whether objects of the kind are left out of the configuration, because they
// change often and only matter to the nodes that write them.
func isUnwatched(kind v1.Kind) bool { return kind == v1.KindLease }

// watchLoop watches the configuration on the platform while this router is one of its zone's
// watchers.
func (n *Node) watchLoop() {
	if !n.sleep(platformReadDelay) {
		return
	}
	for {
		if n.isWatcher() {
			n.watchOnce()
		}
		if !n.sleep(watchRetryInterval) {
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

// watchOnce watches the platform from the revision in force until the watch ends. It reads the full
// state if there is no revision yet, or if the revision is too old to watch from.
func (n *Node) watchOnce() {
	revision := n.Revision()
	if revision == 0 {
		if !n.loadFullState() {
			return
		}
		revision = n.Revision()
	}
	n.log.Log(events.WatchStarted, events.Fields{"revision": revision})
	err := n.platform.Watch(n.ctx, revision, n.applyWatchBatch)
	if n.ctx.Err() != nil {
		return
	}
	n.log.Log(events.WatchEnded, events.Fields{"error": err.Error()})
	if errors.Is(err, platform.ErrGone) {
		n.loadFullState()
	}
}

// loadFullState lists all objects and applies them. It returns false if the list call fails.
func (n *Node) loadFullState() bool {
	list, err := n.platform.List(n.ctx)
	if err != nil {
		return false
	}
	n.applyPlatformDelta(config.Delta{Through: storerev.Revision(list.Revision), Full: true, Objects: n.filterWatched(list.Items)})
	return true
}

// applyWatchBatch applies a batch of changes from the watch. A batch without watched objects does
// not advance the revision, so that lease renewals are not sent to all routers.
func (n *Node) applyWatchBatch(batch platform.WatchBatch) {
	objects := n.filterWatched(batch.Objects)
	if len(objects) == 0 {
		return
	}
	// The watch started at the revision in force and is ordered, so the batch contains every change
	// that this node lacks. From is 0 so that no gap is detected.
	n.applyPlatformDelta(config.Delta{From: 0, Through: storerev.Revision(batch.Revision), Objects: objects})
}

func (n *Node) applyPlatformDelta(delta config.Delta) {
	var outcome config.Outcome
	n.updateControl(func(now time.Time) { outcome = n.control.ApplyFromPlatform(now, delta) })
	if outcome == config.Stale && delta.Full {
		n.log.Log(events.PlatformStale, events.Fields{"platform_revision": delta.Through})
	}
}

// filterWatched returns the objects that belong to the configuration, and logs those that cannot be decoded.
func (n *Node) filterWatched(objects []v1.Object) []v1.Object {
	watched := make([]v1.Object, 0, len(objects))
	for _, object := range objects {
		if object.Fault != "" {
			n.log.Log(events.ObjectUnreadable, events.Fields{"kind": string(object.Kind), "name": object.Name, "revision": object.Version, "fault": object.Fault})
		}
		if !isUnwatched(object.Kind) {
			watched = append(watched, object)
		}
	}
	return watched
}
