// Package versionrollout decides how the traffic of a service moves to another version of its
// runners. A Controller judges the new version by the answers of both versions and sets the share of
// the requests that it may get. An Exposure, one at each router that places requests, turns
// that share into single requests.
//
// The package has no I/O and no clock. The leader is elected elsewhere: any number of controllers
// may exist, and only the permits of one are used at a time.
package versionrollout

import (
	"maps"
	"time"

	"github.com/gravitational/trace"
)

// Order is the operator's order to move a service to another version. Two orders with equal
// fields are the same order.
type Order struct {
	Service string
	// Target is the version that the service is to have.
	Target string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// maxDuration is the longest duration of an order that is not taken for a mistake.
const maxDuration = 24 * time.Hour

// Check returns an error if the order can't be carried out. serviceExists is set if the
// configuration has the service.
func (o Order) Check(serviceExists bool) error {
	switch {
	case !serviceExists:
		return trace.BadParameter("rollout: service %q is not configured", o.Service)
	case o.Target == "":
		return trace.BadParameter("rollout: the target version is missing")
	case o.Duration <= 0 || o.Duration > maxDuration:
		return trace.BadParameter("rollout: duration %v is not between 0 and %v", o.Duration, maxDuration)
	}
	return nil
}

// State is the state of a rollout as the operator reads it.
type State uint8

// The states. Succeeded and RolledBack are final.
const (
	Running State = iota
	Succeeded
	RolledBack
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"running", "succeeded", "rolled back"}[s]
}

// IsFinal reports whether the rollout has ended.
func (s State) IsFinal() bool { return s != Running }

// Tally counts the answers of one version.
type Tally struct {
	Answers uint64
	// Bad is the number of answers that failed or were slow.
	Bad uint64
}

func (t Tally) plus(other Tally) Tally {
	return Tally{Answers: t.Answers + other.Answers, Bad: t.Bad + other.Bad}
}

// minus returns the difference to an earlier tally of the same sources.
func (t Tally) minus(earlier Tally) Tally {
	return Tally{Answers: t.Answers - min(earlier.Answers, t.Answers), Bad: t.Bad - min(earlier.Bad, t.Bad)}
}

// RouteTally counts the answers of both versions on one route.
type RouteTally struct{ Old, Target Tally }

func (t RouteTally) plus(other RouteTally) RouteTally {
	return RouteTally{Old: t.Old.plus(other.Old), Target: t.Target.plus(other.Target)}
}

// Report is what one router has counted since it learned of the order. Its counts never fall.
type Report struct {
	// Requests is the number of requests placed at the service, and Exposed how many of them went
	// to the target version.
	Requests, Exposed uint64
	Routes            map[string]RouteTally
}

// Clone returns a copy that shares nothing with the report.
func (r Report) Clone() Report {
	r.Routes = maps.Clone(r.Routes)
	return r
}

// Source identifies one run of a router that reports.
type Source struct {
	Router      string
	Incarnation uint64
}
