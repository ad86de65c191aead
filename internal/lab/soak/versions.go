package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// The service whose runners have several software versions, and its model.
const (
	mixedService = "mixed"
	mixedModel   = "mixed-model"
)

// Replacement of runners.
const (
	// runnersPerVersion is the number of runners of each of the first two versions.
	runnersPerVersion = 3
	// meanReplacementInterval is the mean interval at which a runner is replaced.
	meanReplacementInterval = 1200 * time.Millisecond
	// nextVersionShare is the share of replacements that begin a new software version.
	nextVersionShare = 0.25
	// crashShare is the share of replacements in which the old runner crashes.
	crashShare = 0.3
	// releaseShare is the share of the other replacements that are a step of a release, with Returns.
	releaseShare = 0.3
	// silentLeaveShare is the share of releases at whose end the old runners are not listed any more while they serve on.
	silentLeaveShare = 0.7
	// leavingTime is how long a runner that is replaced serves on after its directory entry says that it leaves.
	leavingTime = 2 * maxDrainDelay
	// mixedEventInterval is the time between two events of a stream, and lossEventInterval the same where many gateways are
	// lost at once, so that many streams are.
	mixedEventInterval = 15 * time.Millisecond
	lossEventInterval  = 60 * time.Millisecond
)

// versionInjector replaces the runners of mixedService one after the other, by such of newer software versions or of
// their own, and lets some crash. It has its own random source, so that the other faults of a seed do not change.
type versionInjector struct {
	soak   *Soak
	random *rand.Rand
	group  sync.WaitGroup
	// mutex is held during a replacement.
	mutex sync.Mutex
	// newest is the number of the newest version, and started the number of runners started.
	newest, started int
}

func newVersionInjector(s *Soak) *versionInjector {
	return &versionInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+11)), newest: 2}
}

// start starts the runners of the first two versions.
func (v *versionInjector) start() error {
	for i := range 2 * runnersPerVersion {
		if err := v.startRunner(fmt.Sprintf("v%d", 1+i%2)); err != nil {
			return err
		}
	}
	return nil
}

func (v *versionInjector) startRunner(version string) error {
	v.started++
	interval := mixedEventInterval
	if v.soak.settings.Returns {
		interval = lossEventInterval
	}
	_, err := v.soak.runners.start(runnerstand.Config{
		ID: fmt.Sprintf("m%d-%s", v.started, version), Service: mixedService, Model: mixedModel, Version: 1, EventCount: streamEvents,
		SoftwareVersion: version, VersionInEvents: true, EventInterval: interval,
	}, runnerstand.Normal)
	return err
}

// run replaces runners until the deadline and returns how many.
func (v *versionInjector) run(ctx context.Context, deadline time.Time) (count int) {
	defer v.group.Wait()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(meanReplacementInterval/2 + time.Duration(v.random.Int64N(int64(meanReplacementInterval))))
		v.replace()
		count++
	}
	return count
}

// replace starts a new runner and lets an old one leave or crash. Where many gateways are lost at once, releases replace
// all runners of the old versions.
func (v *versionInjector) replace() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	serving := v.serving()
	old := serving[v.random.IntN(len(serving))]
	version, crashes := old.SoftwareVersion, v.random.Float64() < crashShare
	if v.soak.settings.Returns && !crashes && v.random.Float64() < releaseShare {
		v.stepRelease(serving)
		return
	}
	if v.random.Float64() < nextVersionShare {
		v.newest++
	}
	if !crashes {
		version = v.newestVersion()
	}
	v.replaceBy(old, version, crashes)
}

func (v *versionInjector) newestVersion() string { return fmt.Sprintf("v%d", v.newest) }

// endRelease replaces all runners of the old versions. If there are none, it begins a release.
func (v *versionInjector) endRelease() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.stepRelease(v.serving())
}

// stepRelease makes the next step of a release: half of the runners get a new version, and later all others get it. The mutex must
// be held.
func (v *versionInjector) stepRelease(serving []*runnerstand.Runner) {
	old := slices.DeleteFunc(slices.Clone(serving), func(runner *runnerstand.Runner) bool { return runner.SoftwareVersion == v.newestVersion() })
	if len(old) == 0 {
		v.newest++
		old = serving[:len(serving)/2]
	}
	leavesSilently := v.random.Float64() < silentLeaveShare
	for _, runner := range old {
		v.replaceBy(runner, v.newestVersion(), false)
		if leavesSilently {
			v.soak.runners.unlist(runner)
		}
	}
}

// replaceBy starts a runner of the version in place of the old one, which leaves or crashes.
func (v *versionInjector) replaceBy(old *runnerstand.Runner, version string, crashes bool) {
	v.soak.logf("versions: %s is replaced by one of %s, crash %v", old.ID, version, crashes)
	if crashes {
		v.soak.runners.stop(old)
	}
	if err := v.startRunner(version); err != nil {
		v.soak.failf("start of a runner: %v", err)
		return
	}
	if crashes {
		return
	}
	v.soak.runners.startFinalDrain(old)
	v.group.Go(func() {
		time.Sleep(leavingTime)
		v.soak.runners.stop(old)
	})
}

// serving returns the runners of the service that are not leaving.
func (v *versionInjector) serving() []*runnerstand.Runner {
	return v.soak.runners.serving(mixedService)
}
