package gateway

import "time"

// All moments of a gateway come from its clock, which goes on while the machine is
// suspended: proofs, leases and deadlines hold by the time of others, and by the steady
// clock, which stands still meanwhile, they would look younger than they are by the whole
// suspension. Only what the process waits for itself, by timers and deadlines of the
// standard library, goes by the steady clock; it is given a duration.

// now returns the present moment.
func (g *Gateway) now() time.Time { return g.ports.Clock.Now() }

// since returns the time that passed since the moment.
func (g *Gateway) since(moment time.Time) time.Duration { return g.now().Sub(moment) }

// until returns the time that is left until the moment.
func (g *Gateway) until(moment time.Time) time.Duration { return moment.Sub(g.now()) }
