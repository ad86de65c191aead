package gateway

import (
	"context"
	"errors"
	"time"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/storerev"
)

// storeResponse is the result of a list or watch call.
type storeResponse struct {
	objects  []v1.Object
	revision storerev.Revision
	// sentAt is when the call was sent, and knownRevision the newest revision that this router knew
	// then.
	sentAt        time.Time
	knownRevision storerev.Revision
	// next is the name after which the next page of a list begins, empty if there is none.
	next string
	err  error
}

// errStaleResponse means that a response is older than a revision known before its call.
var errStaleResponse = errors.New("response is older than the newest known revision")

// callStore makes a call to the store and observes how long it took.
func (g *Gateway) callStore(kind, callName string, timeout time.Duration, call func(ctx context.Context) error) error {
	start := g.now()
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	defer func() { g.metrics.observeStoreCall(kind, callName, g.since(start)) }()
	return call(ctx)
}

// storeCall performs one call to the store.
type storeCall func(context.Context) storeResponse

// hedgeTimeouts bounds the calls to a store that failed before.
type hedgeTimeouts struct {
	// attempt is how long to wait before the next attempt is sent.
	attempt time.Duration
	// total bounds all attempts together.
	total time.Duration
}

// callHedged calls a store that has not responded recently. A slow store still responds to the
// first call, whereas a store that was silent has lost it and needs another one. So the first call
// keeps waiting while further ones are sent one after the other. At most two are open at a time,
// and the first response wins.
func callHedged(ctx context.Context, timeouts hedgeTimeouts, call storeCall) storeResponse {
	ctx, cancel := context.WithTimeout(ctx, timeouts.total)
	defer cancel()
	responses := make(chan storeResponse)
	deliver := func(response storeResponse) {
		select {
		case responses <- response:
		case <-ctx.Done():
		}
	}
	go func() { deliver(call(ctx)) }()
	go func() {
		for running := sleep(ctx, timeouts.attempt); running; running = ctx.Err() == nil {
			if response, ended := callWithin(ctx, timeouts.attempt, call); ended {
				deliver(response)
			}
		}
	}()
	select {
	case response := <-responses:
		return response
	case <-ctx.Done():
		return storeResponse{err: ctx.Err()}
	}
}

// callWithin makes a call and reports whether it ended within the limit.
func callWithin(ctx context.Context, limit time.Duration, call storeCall) (response storeResponse, ended bool) {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response = call(callCtx)
	return response, callCtx.Err() == nil
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
