package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Broken answers.
const (
	// meanCutInterval is the mean interval before another runner breaks off its answers, and maxCutDuration how
	// long it does so at most.
	meanCutInterval = 600 * time.Millisecond
	maxCutDuration  = 2 * time.Second
	// http10Share is the share of calls in HTTP/1.0.
	http10Share = 0.3
	// shortestEventBytes is the length of the shortest event of a stream.
	shortestEventBytes = len("id: 1\ndata: piece 1\n\n")
	// shortestBodyBytes is below the length of all other bodies.
	shortestBodyBytes = len("answer to ")
)

// brokenAnswerInjector makes runners answer without length and chunks, and break off their answers. It has its
// own random source, so that the other faults of a seed do not change.
type brokenAnswerInjector struct {
	soak   *Soak
	random *rand.Rand
}

func newBrokenAnswerInjector(s *Soak) *brokenAnswerInjector {
	return &brokenAnswerInjector{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+9))}
}

// run makes random runners break off their answers until the deadline and returns how often.
func (b *brokenAnswerInjector) run(ctx context.Context, deadline time.Time) (count int) {
	var group sync.WaitGroup
	defer group.Wait()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		running := b.soak.runners.running()
		runner := running[b.random.IntN(len(running))]
		framing, cut := runnerstand.Framing(b.random.IntN(2)), b.newCut(runner.EventCount > 0)
		duration := time.Duration(b.random.Int64N(int64(maxCutDuration)))
		b.soak.logf("broken answers: %s cuts %+v with framing %d for %v", runner.ID, cut, framing, duration.Round(time.Millisecond))
		runner.SetFraming(framing)
		runner.SetCut(&cut)
		group.Go(func() {
			time.Sleep(duration)
			// The framing stays, so that whole answers without it are checked too.
			runner.SetCut(nil)
		})
		count++
		time.Sleep(meanCutInterval/2 + time.Duration(b.random.Int64N(int64(meanCutInterval))))
	}
	return count
}

// newCut draws a cut that callers must be able to detect: a stream ends inside an event. Other answers are reset,
// as a close may be the end of an answer without a length.
func (b *brokenAnswerInjector) newCut(streams bool) runnerstand.Cut {
	if !streams {
		return runnerstand.Cut{Bytes: b.random.IntN(shortestBodyBytes), Ending: runnerstand.EndsWithReset}
	}
	return runnerstand.Cut{
		AfterEvents: b.random.IntN(streamEvents), Bytes: 1 + b.random.IntN(shortestEventBytes-1), Ending: runnerstand.Ending(b.random.IntN(3)),
	}
}
