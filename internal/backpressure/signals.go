// Package backpressure keeps what runners say of themselves in their answers: that they
// leave, that they limit the requests of all routers together, that they want a rest from
// one router. It also grants the sends that a limit allows.
//
// What a runner says holds for one start of it, and outlasts what the directory says: the
// directory hears of the same later, or not at all while the store is away.
//
// The package has no I/O and no clock.
package backpressure

import (
	"math"
	"time"
)

// Signals is what a runner says of itself in one answer.
type Signals struct {
	// Leaving means that it is about to end and wants no further requests.
	Leaving bool
	// Limited means that it takes Rate requests a second from all routers together, for as
	// long as it says so.
	Limited bool
	Rate    float64
	// Rest is for how long it wants no requests from the router that it has turned away, 0
	// without such a wish.
	Rest time.Duration
	// Unreadable names the headers whose values could not be read. They say nothing.
	Unreadable []string
}

// says tells whether the answer says anything of its runner.
func (s Signals) says() bool { return s.Leaving || s.Limited || s.Rest > 0 }

// ReadableRate tells whether the number can be a limit.
func ReadableRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) }
