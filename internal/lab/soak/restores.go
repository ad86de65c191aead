package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/storestand"
)

// Restores of the store from backups.
const (
	// meanRestoreInterval is the mean interval between two series of restores. A series has up to
	// maxSeriesLength restores, with up to maxSeriesInterval between them.
	meanRestoreInterval = 7 * time.Second
	maxSeriesLength     = 3
	maxSeriesInterval   = time.Second
	// backupInterval is the interval between two backups, and maxBackupAge the maximum age of a
	// backup at the time of its restore.
	backupInterval = 250 * time.Millisecond
	maxBackupAge   = 2500 * time.Millisecond
	// maxDowntime is the maximum time for which the store is unavailable, and maxRewriteDelay the
	// maximum time from its restore until the operator and the runners have written again. Together
	// with the age of the backup this is less than the bound within which a revocation takes
	// effect: gateways that all restarted meanwhile cannot know a revocation that the store has
	// lost.
	maxDowntime     = time.Second
	maxRewriteDelay = 700 * time.Millisecond
	// maxLateRewriteDelay is the maximum time from the restore of the store until a late operator
	// writes again. It stays within the bound for revocations.
	maxLateRewriteDelay = 3200 * time.Millisecond
	// entryExpiry is the time after a restore at which the restored directory entries of crashed
	// runners expire.
	entryExpiry = 3 * time.Second
	// restoresPerChange is the mean number of restores of which one is followed by a key
	// revocation and another one by new weights.
	restoresPerChange = 3
)

// timedBackup is a backup of the store with the time when it was taken.
type timedBackup struct {
	takenAt time.Time
	backup  storestand.Backup
}

// restoreInjector restores the store from backups. It has its own random source, so that the other
// faults of a seed do not change.
type restoreInjector struct {
	soak    *Soak
	random  *rand.Rand
	backups []timedBackup
	// group holds the pending expiries of directory entries.
	group sync.WaitGroup
}

func newRestoreInjector(s *Soak) *restoreInjector {
	return &restoreInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+5))}
}

// run restores the store repeatedly until the deadline and returns the number of restores.
func (f *restoreInjector) run(ctx context.Context, deadline time.Time) (count int) {
	defer f.group.Wait()
	for {
		f.takeBackups(meanRestoreInterval/2 + f.randomDuration(meanRestoreInterval))
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return count
		}
		for range 1 + f.random.IntN(maxSeriesLength) {
			f.restore()
			count++
			time.Sleep(f.randomDuration(maxSeriesInterval))
		}
	}
}

// randomDuration returns a random duration in [0, limit).
func (f *restoreInjector) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// takeBackups takes backups for the duration. It is not called between a restore and the time when
// everything has been written again.
func (f *restoreInjector) takeBackups(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(backupInterval) {
		f.backups = append(f.backups, timedBackup{takenAt: time.Now(), backup: f.soak.store.Backup()})
	}
}

// randomBackup returns a random one of the backups that will not exceed maxBackupAge when the
// downtime ends, or the latest backup if all will exceed it.
func (f *restoreInjector) randomBackup(downtime time.Duration) timedBackup {
	for len(f.backups) > 1 && time.Since(f.backups[0].takenAt)+downtime > maxBackupAge {
		f.backups = f.backups[1:]
	}
	return f.backups[f.random.IntN(len(f.backups))]
}

// restore makes the store unavailable, restores it from a backup, and then lets the operator and
// the runners write again.
func (f *restoreInjector) restore() {
	s, downtime := f.soak, f.randomDuration(maxDowntime)
	chosen := f.randomBackup(downtime)
	s.logf("fault: the store is unavailable for %v and then restored from a backup that is %v old", downtime.Round(time.Millisecond), (time.Since(chosen.takenAt) + downtime).Round(time.Millisecond))
	defer s.disturbances.begin(storeSubject)()
	for _, p := range s.processes {
		p.storeEndpoint.SetFault(storestand.Reset)
	}
	time.Sleep(downtime)
	s.store.Restore(chosen.backup)
	for _, p := range s.processes {
		p.storeEndpoint.SetFault(storestand.Healthy)
	}
	f.group.Go(func() { time.Sleep(entryExpiry); s.runners.deleteCrashedEntries() })
	time.Sleep(f.randomDuration(maxRewriteDelay))
	if s.settings.LateOperator {
		s.runners.writeAllEntries()
		remaining := maxRevokeDelay - revocationSlack - time.Since(chosen.takenAt)
		time.Sleep(f.randomDuration(max(min(maxLateRewriteDelay, remaining), maxRewriteDelay)))
	}
	s.config.rewrite()
	s.rollouts.rewrite()
	f.changeAfterRestore()
	s.runners.writeAllEntries()
}

// changeAfterRestore revokes a key or requests new weights in some cases, so that revisions that
// gateways have already seen are assigned to other changes.
func (f *restoreInjector) changeAfterRestore() {
	s := f.soak
	switch f.random.IntN(restoresPerChange) {
	case 0:
		s.logf("fault: an API key is revoked after the restore")
		s.config.update(true)
	case 1:
		s.logf("fault: new weights are requested after the restore")
		s.config.bumpWeights()
	}
}
