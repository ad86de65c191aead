package soak

import (
	"sync"
	"time"
)

// storeForEach is the subject of what disturbs the store, or connections to it, for
// each gateway.
const storeForEach = "store"

// storeOf is the subject of what disturbs the store, or the path to it, for one gateway
// alone; what disturbs its process has the gateway's name.
func storeOf(gateway string) string { return "store of " + gateway }

// pathTo is the subject of what disturbs the path to the runner.
func pathTo(runner string) string { return "path to " + runner }

// span is a time in which something was disturbed.
type span struct {
	from time.Time
	// to is zero while it lasts.
	to time.Time
}

// disturbances records what the run has disturbed: gateways, paths to runners and the
// store. Promises with a time bound hold for those that were left alone.
type disturbances struct {
	mutex sync.Mutex
	spans map[string][]span
}

func newDisturbances() *disturbances { return &disturbances{spans: map[string][]span{}} }

// begin notes that the subject is disturbed from now on and returns what ends that.
func (d *disturbances) begin(subject string) (end func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.spans[subject] = append(d.spans[subject], span{from: time.Now()})
	index := len(d.spans[subject]) - 1
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.spans[subject][index].to = time.Now()
	}
}

// last returns when any of the subjects was last disturbed up to the moment, which is
// the moment itself while it lasts, and zero when none was.
func (d *disturbances) last(moment time.Time, subjects ...string) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var last time.Time
	for _, subject := range subjects {
		for _, s := range d.spans[subject] {
			if s.from.After(moment) {
				continue
			}
			end := s.to
			if end.IsZero() || end.After(moment) {
				end = moment
			}
			last = later(last, end)
		}
	}
	return last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
