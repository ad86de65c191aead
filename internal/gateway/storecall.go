package gateway

import (
	"context"
	"errors"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// storeAnswer is what a list or a watch brought.
type storeAnswer struct {
	objects  []v1.Object
	revision storerev.Revision
	// sent is when the call that was answered left, and known the newest revision that
	// this router knew of then.
	sent  time.Time
	known storerev.Revision
	err   error
}

// errFromThePast means that an answer is older than what was known before its call.
var errFromThePast = errors.New("the answer is older than what was known before")

// storeCall makes one call.
type storeCall func(context.Context) storeAnswer

// patience bounds the calls to a store that has failed before.
type patience struct {
	// again is after how long a call without an answer is made anew.
	again time.Duration
	// whole bounds all of it.
	whole time.Duration
}

// askTwice makes a call to a store that has not answered of late. A slow store
// still answers what was asked first; one that was silent has lost that and must
// be asked anew. So the first call keeps waiting while a second one is made again
// and again, each in place of the one before: at most two are open. What comes
// first counts.
func askTwice(ctx context.Context, bounds patience, call storeCall) storeAnswer {
	ctx, cancel := context.WithTimeout(ctx, bounds.whole)
	defer cancel()
	answers := make(chan storeAnswer)
	give := func(answer storeAnswer) {
		select {
		case answers <- answer:
		case <-ctx.Done():
		}
	}
	go func() { give(call(ctx)) }()
	go func() {
		for asking := waitFor(ctx, bounds.again); asking; asking = ctx.Err() == nil {
			if answer, ended := askWithin(ctx, bounds.again, call); ended {
				give(answer)
			}
		}
	}()
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return storeAnswer{err: ctx.Err()}
	}
}

// askWithin makes a call and tells whether it ended within the time.
func askWithin(ctx context.Context, limit time.Duration, call storeCall) (answer storeAnswer, ended bool) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer = call(limited)
	return answer, limited.Err() == nil
}

// waitFor waits for the duration, or returns false when the context ends.
func waitFor(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
