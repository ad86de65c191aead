package soak

import (
	"cmp"
	"context"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// descriptorsPerPath is the number of file descriptors that a path from a gateway to a runner may
// use in the process of the soak: both ends at the proxy, of the connection in use and of one muted
// connection. 150 gateways and 43 runners used 19,400 descriptors within 20 s of seed 5002.
const descriptorsPerPath = 4

const (
	// descriptorCheckInterval is the interval between two counts of open descriptors. Their number
	// was seen to rise by about 1,000 per second.
	descriptorCheckInterval = 200 * time.Millisecond
	// maxUsedPercent is the percentage of the descriptor limit above which the results of a run are
	// not meaningful. At the rate seen, a tenth of the limit is used up within two seconds.
	maxUsedPercent = 90
	// openFilesPath is the directory that lists the open descriptors of the process, on systems
	// that have it.
	openFilesPath = "/proc/self/fd"
)

// neededDescriptors returns the number of descriptors that the paths to runners may use.
func (s Settings) neededDescriptors() uint64 {
	runners := plainRunners + cmp.Or(s.Engines, defaultEngines)
	if s.Rollouts {
		// Those of the target version.
		runners += plainRunners
	}
	if s.ConfigChanges {
		runners += s.longRunnerCount() + 2*pairRunners
	}
	if s.StaleGateways {
		runners += 2 * releaseServices * runnersPerRelease
	}
	return uint64(s.gatewayCount() * runners * descriptorsPerPath)
}

// checkDescriptors returns a trace.LimitExceeded error if the descriptor limit is too low for the
// number of gateways and runners. The simulated store and runners could not accept more
// connections, which would look like a failure of the gateways.
func (s Settings) checkDescriptors() error {
	limit, err := descriptorLimit()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if needed := s.neededDescriptors(); needed > limit {
		return trace.LimitExceeded("these gateways and runners may need %d open files, and the limit is %d", needed, limit)
	}
	return nil
}

func descriptorLimit() (uint64, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return limit.Cur, err
}

// watchDescriptors fails the run once if nearly all descriptors are in use. neededDescriptors does
// not include the connections between gateways, since their number depends on the faults.
func (s *Soak) watchDescriptors(ctx context.Context) {
	limit, err := descriptorLimit()
	if err != nil {
		s.failf("soak: cannot read the limit of open files: %v", err)
		return
	}
	for ctx.Err() == nil {
		entries, err := os.ReadDir(openFilesPath)
		if err != nil {
			s.logf("cannot count open files: %v", err)
			return
		}
		if used := uint64(len(entries)); 100*used > maxUsedPercent*limit {
			s.failf("soak: %d of %d open files are in use, so later failures may not be caused by the gateways", used, limit)
			return
		}
		time.Sleep(descriptorCheckInterval)
	}
}
