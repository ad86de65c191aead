package emulator

import (
	"maps"
	"slices"
	"strings"

	"github.com/clovertiller/clovertiller/internal/lab/enginemodel"
)

func (r *run) scheduleFaults() {
	faults, length := r.settings.Faults, r.settings.Duration
	if faults.Shift {
		r.after(length/4, r.traffic.ShiftPopularity)
	}
	if faults.Crash {
		r.after(length/3, func() { r.crash(r.runners[0]) })
	}
	if faults.HerdRestart {
		r.after(length/2, r.herdRestart)
	}
	if faults.Cut {
		r.after(length*11/20, func() { r.cut = true })
		r.after(length*13/20, func() { r.cut = false })
	}
	if faults.Rollout {
		r.after(length*2/3, func() {
			r.version = "v2"
			r.rollNext()
		})
	}
}

// crash restarts an engine with an empty cache; what it was running goes elsewhere.
func (r *run) crash(one *runner) {
	lost := slices.SortedFunc(maps.Values(one.open), func(a, b *pending) int { return strings.Compare(a.id.Request, b.id.Request) })
	r.startEngine(one)
	for _, p := range lost {
		// A begun stream continues elsewhere; its first token has been counted.
		if !p.first {
			r.place(p)
		}
	}
}

// herdRestart empties the routers' memory. Homes read the full lists again.
func (r *run) herdRestart() {
	r.startRouters()
	for _, one := range r.runners {
		one.tracker.Restart(one.incarnation)
		r.deliverReport(r.report(one), one.sequence)
		one.sequence++
	}
}

// rollNext loads the new weights on as many runners as may load at once.
func (r *run) rollNext() {
	for _, one := range r.runners {
		if r.loads >= r.settings.Deployment.LoadsAtOnce {
			return
		}
		if one.version != r.version && !one.loading {
			one.loading = true
			r.loads++
			r.load(one)
		}
	}
}

// load waits for the running work, loads and serves again with an empty cache.
func (r *run) load(one *runner) {
	if one.model.Busy() {
		r.after(publishInterval, func() { r.load(one) })
		return
	}
	r.after(r.settings.Deployment.LoadTime, func() {
		one.model.ClearCache()
		one.version = r.version
		one.loading = false
		one.open = map[enginemodel.ID]*pending{}
		r.loads--
		r.rollNext()
	})
}
