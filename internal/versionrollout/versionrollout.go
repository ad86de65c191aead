// Package versionrollout decides how the traffic of a service moves to another version of its
// runners. A Controller, at the elected leader, judges the target version by the answers of both
// versions and allows requests to it in numbers. An Exposure, one at each placer (a router that places
// requests), keeps to the number allowed there. Outcomes, also at each placer, turns the ends of
// requests into the counts by which the versions are compared.
//
// The sum of all numbers that leaders ever handed out is at most the number reserved in the
// store, and at most a share of the requests reported so far. Lost messages, leaders and placers can
// therefore make a rollout slower, but can't raise the number of requests to the target version.
//
// The package has no I/O and no clock.
package versionrollout

import (
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

// Phase is what routers do at present.
type Phase uint8

// The phases.
const (
	// Testing sends a share of the requests to the target version.
	Testing Phase = iota
	// Promoting sends all requests to the target version as far as the allowances last, and the
	// old runners still run.
	Promoting
	// Ended means that the state is final.
	Ended
	// Waiting is the time in which a new leader collects reports. Nothing goes to the target
	// version.
	Waiting
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	return [...]string{"testing", "promoting", "ended", "waiting"}[p]
}

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

// larger returns the larger of each count.
func (t Tally) larger(other Tally) Tally {
	return Tally{Answers: max(t.Answers, other.Answers), Bad: max(t.Bad, other.Bad)}
}

// RouteTally counts the answers of both versions on one route.
type RouteTally struct{ Old, Target Tally }

func (t RouteTally) minus(earlier RouteTally) RouteTally {
	return RouteTally{Old: t.Old.minus(earlier.Old), Target: t.Target.minus(earlier.Target)}
}

func (t RouteTally) larger(other RouteTally) RouteTally {
	return RouteTally{Old: t.Old.larger(other.Old), Target: t.Target.larger(other.Target)}
}

func (t RouteTally) plus(other RouteTally) RouteTally {
	return RouteTally{Old: t.Old.plus(other.Old), Target: t.Target.plus(other.Target)}
}

// Report is what one router has counted since it learned of the order. Its counts never fall.
type Report struct {
	// Requests is the number of requests placed at the service, and Exposed how many of them went
	// to the target version.
	Requests, Exposed uint64
	// Unjudged is how many of the exposed requests ended without evidence (see Outcomes). Exposed
	// requests that neither are in Routes nor ended this way are still open.
	Unjudged uint64
	// Promoted is set while the router's permit sends all requests to the target version.
	Promoted bool
	// OpenOld is the number of open requests that the router placed at other versions. It tells how long answers
	// usually take.
	OpenOld uint64
	Routes  map[string]RouteTally
}

// Source identifies one run of a router that reports.
type Source struct {
	Router      string
	Incarnation uint64
}
