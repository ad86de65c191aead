package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/events"
)

const (
	// unreadableInterval is the interval at which the same unreadable object is logged again, and maxUnreadableLines how many
	// lines a kind gets within it.
	unreadableInterval = 10 * time.Second
	maxUnreadableLines = 32
)

// unreadableLog logs objects that cannot be read. Other programs may write many, and often, and some are read again with each
// list. It is safe for concurrent use.
type unreadableLog struct {
	gateway *Gateway
	mutex   sync.Mutex
	kinds   map[string]*unreadableKind
}

// unreadableKind is what was logged of the objects of a kind since startedAt.
type unreadableKind struct {
	startedAt time.Time
	lines     int
	// faults holds the last logged fault of each object by name.
	faults map[string]string
	// unlogged counts the objects that were not logged since the last line.
	unlogged int
}

func newUnreadableLog(g *Gateway) *unreadableLog {
	return &unreadableLog{gateway: g, kinds: map[string]*unreadableKind{}}
}

// record logs the object unless it was logged with the same fault, or too many others were, within the interval.
func (l *unreadableLog) record(kind, name, fault string, fields events.Fields) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.gateway.now()
	logged := l.kinds[kind]
	if logged == nil {
		logged = &unreadableKind{}
		l.kinds[kind] = logged
	}
	if now.Sub(logged.startedAt) >= unreadableInterval {
		logged.startedAt, logged.lines, logged.faults = now, 0, map[string]string{}
	}
	if logged.faults[name] == fault || logged.lines >= maxUnreadableLines {
		logged.unlogged++
		return
	}
	logged.lines++
	logged.faults[name] = fault
	line := events.Fields{"kind": kind, "name": name, "fault": fault, "unlogged": logged.unlogged}
	maps.Copy(line, fields)
	logged.unlogged = 0
	l.gateway.log.Log(events.ObjectUnreadable, line)
}
