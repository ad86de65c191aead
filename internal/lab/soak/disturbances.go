package soak

import (
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/clock"
)

// storeSubject is the subject of faults of the store, or of the connections to it, that affect all
// gateways.
const storeSubject = "store"

// gatewayStoreSubject returns the subject of faults of the store, or of the path to it, that affect
// one gateway. The subject of faults of the gateway process is the name of the gateway.
func gatewayStoreSubject(gateway string) string { return "store of " + gateway }

// runnerPathSubject returns the subject of faults of the path to the runner.
func runnerPathSubject(runner string) string { return "path to " + runner }

// linkSubject returns the subject of faults of the link between two gateways.
func linkSubject(gateway, other string) string {
	return "link of " + min(gateway, other) + " and " + max(gateway, other)
}

// unrecordedSubject returns the subject of faults during which the gateway may be unable to record streams.
func unrecordedSubject(gateway string) string { return "records of " + gateway }

// interval is a time interval, such as that of a disturbance, a drain or a signal.
type interval struct {
	from time.Time
	// to is zero while the interval has not ended.
	to time.Time
}

// disturbances records when faults affected gateways, paths to runners and the store. Bounds on
// times are checked only for gateways that were not affected. It is safe for concurrent use.
type disturbances struct {
	mutex     sync.Mutex
	intervals map[string][]interval
}

func newDisturbances() *disturbances { return &disturbances{intervals: map[string][]interval{}} }

// begin records that the subject is disturbed from now on, until end is called.
func (d *disturbances) begin(subject string) (end func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.intervals[subject] = append(d.intervals[subject], interval{from: time.Now()})
	index := len(d.intervals[subject]) - 1
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.intervals[subject][index].to = time.Now()
	}
}

// lastDisturbed returns when any of the subjects was last disturbed up to the moment. It returns
// the moment itself if one is disturbed then, and zero if none was disturbed.
func (d *disturbances) lastDisturbed(moment time.Time, subjects ...string) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var last time.Time
	for _, subject := range subjects {
		for _, disturbance := range d.intervals[subject] {
			if disturbance.from.After(moment) {
				continue
			}
			end := disturbance.to
			if end.IsZero() || end.After(moment) {
				end = moment
			}
			last = clock.Later(last, end)
		}
	}
	return last
}
