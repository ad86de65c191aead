package soak

import (
	"cmp"
	"context"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// descriptorsPerPath is how many open files a path from a gateway to a runner may take in
// the soak's process: both ends at its proxy, of the connection in use and of one that fell
// silent for good. 150 gateways and 43 runners took 19,400 within 20 s of seed 5002.
const descriptorsPerPath = 4

const (
	// watchInterval is how often the open files are counted: they rose by some 1,000 a second.
	watchInterval = 200 * time.Millisecond
	// mostUsed is the share of the limit, in percent, from which on a run says nothing of the
	// gateways: a tenth goes within two such seconds.
	mostUsed = 90
	// openFiles lists the open files of the process, on systems that tell them.
	openFiles = "/proc/self/fd"
)

// descriptors is how many open files the paths to runners may take.
func (s Settings) descriptors() uint64 {
	runners := plainRunners + cmp.Or(s.Engines, engines)
	return uint64(cmp.Or(s.Gateways, gateways) * runners * descriptorsPerPath)
}

// checkDescriptors returns a trace.LimitExceeded if the process may not open that many files:
// the stand-ins would take no more connections, which would look like faults of the gateways.
func (s Settings) checkDescriptors() error {
	limit, err := descriptorLimit()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if needed := s.descriptors(); needed > limit {
		return trace.LimitExceeded("these gateways and runners may need %d open files, and the limit is %d", needed, limit)
	}
	return nil
}

func descriptorLimit() (uint64, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return limit.Cur, err
}

// watchDescriptors fails the run once if nearly all open files are in use: paths between
// gateways take some as well, whose number follows from the faults.
func (s *Soak) watchDescriptors(ctx context.Context) {
	limit, err := descriptorLimit()
	if err != nil {
		s.fail("soak: the limit of open files is not known: %v", err)
		return
	}
	for ctx.Err() == nil {
		entries, err := os.ReadDir(openFiles)
		if err != nil {
			s.say("open files are not counted: %v", err)
			return
		}
		if used := uint64(len(entries)); 100*used > mostUsed*limit {
			s.fail("soak: %d of %d open files are in use, so what follows says nothing of the gateways", used, limit)
			return
		}
		time.Sleep(watchInterval)
	}
}
