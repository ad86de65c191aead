// Package backpressure tracks the load signals that runners send in their responses: that they
// are shutting down, that they limit the rate of requests from all routers together, that one
// router should back off, or that they are brittle. It also grants the permits for sending
// requests under a rate limit.
//
// Signals apply to one incarnation of a runner and take precedence over the directory, which
// learns the same later, or not at all while the store is unavailable.
//
// The package performs no I/O and does not read the clock.
package backpressure

import (
	"math"
	"time"
)

// Signals holds the load signals of one response.
type Signals struct {
	// Leaving means that the runner is about to shut down and wants no further requests.
	Leaving bool
	// Limited means that the runner accepts Rate requests per second from all routers together
	// for as long as its responses report the limit.
	Limited bool
	Rate    float64
	// Backoff is how long the runner wants no requests from the router that received this
	// response, 0 if the response requests no backoff.
	Backoff time.Duration
	// Brittle means that the runner falls over if it rejects more than MaxRejections requests for want
	// of room within a second.
	Brittle       bool
	MaxRejections int
	// Rejected means that the runner rejected the request for want of room.
	Rejected bool
	// Malformed lists the headers whose values could not be parsed. Their signals are ignored.
	Malformed []string
}

// hasSignal reports whether the response carries any signal.
func (s Signals) hasSignal() bool { return s.Leaving || s.Limited || s.Backoff > 0 || s.Brittle }

// ValidRate reports whether rate can be a limit: a finite number that is not negative.
func ValidRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) }
