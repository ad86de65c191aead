package gateway

import "time"

// All points in time in a gateway come from its Clock, which keeps running while the machine is
// suspended. Proofs, leases and deadlines are shared with other machines; by the monotonic
// clock, which stops during a suspension, their age would be too low by the whole suspension.
// Only the timers and context deadlines of the standard library use the monotonic clock. They
// are set with durations.

// now returns the current time of the gateway's clock.
func (g *Gateway) now() time.Time { return g.ports.Clock.Now() }

// since returns the time elapsed since t.
func (g *Gateway) since(t time.Time) time.Duration { return g.now().Sub(t) }

// until returns the time left until t.
func (g *Gateway) until(t time.Time) time.Duration { return t.Sub(g.now()) }
