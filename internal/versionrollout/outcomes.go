package versionrollout

import (
	"maps"
	"math"
	"time"
)

// Parameters for judging the latency of answers.
const (
	// slowFactor is how many times the usual latency of the old version on the same route makes an answer
	// count as slow. Runners that are slower by build stay below it.
	slowFactor = 3
	// latencySmoothing is the weight of one answer in the usual latency. With 0.05 a few fast answers before a
	// promotion, in which the old version gets no more, made a good version count as slow.
	latencySmoothing = 0.02
	// minLatencyAnswers is the number of answers before which the usual latency is not known.
	minLatencyAnswers = 5
	// minLatency is the shortest latency that is told from others.
	minLatency = time.Millisecond
)

// maxLostRunners bounds the number of lost runners that are remembered.
const maxLostRunners = 1 << 14

// Result is how a request ended.
type Result uint8

// The results.
const (
	// Answered is a complete answer without a failure.
	Answered Result = iota
	// AnswerFailed is an answer that the runner failed, or that was incomplete or corrupt.
	AnswerFailed
	// ConnectionLost means that the connection to the runner broke.
	ConnectionLost
	// NotSent means that the request could not be sent, or that the runner said it has not run it. The
	// caller returns one at the target version to the Exposure.
	NotSent
	// CallerLeft means that the caller disconnected or the request's deadline passed.
	CallerLeft
)

// Completion describes the end of a request that this placer placed.
type Completion struct {
	Route string
	// IsTarget is set if the target version ran the request.
	IsTarget bool
	// Runner identifies one incarnation of the runner.
	Runner string
	Result Result
	// IsSuspect is set if the request's content is suspected of crashing runners.
	IsSuspect bool
	// Latency is the time from sending to the end.
	Latency time.Duration
}

// Outcomes counts at one placer the answers that are evidence for or against a version. The zero value is
// empty. It is not safe for concurrent use.
type Outcomes struct {
	routes   map[string]RouteTally
	usual    map[string]*usualLatency
	lost     map[string]bool
	unjudged uint64
}

// Record counts the end of a request, unless it is evidence about neither version: the request's
// content is suspected, it was not sent, the caller left in time, or its runner was lost and a lost
// connection to this incarnation is counted already. The loss of one runner ends many requests and says no
// more than that one runner was lost.
func (o *Outcomes) Record(ended Completion) {
	if o.routes == nil {
		o.routes, o.usual, o.lost = map[string]RouteTally{}, map[string]*usualLatency{}, map[string]bool{}
	}
	usual := o.usual[ended.Route]
	if usual == nil {
		usual = &usualLatency{}
		o.usual[ended.Route] = usual
	}
	isSlow := usual.isSlow(ended.Latency)
	if !o.isEvidence(ended, isSlow) {
		if ended.IsTarget && ended.Result != NotSent {
			o.unjudged++
		}
		return
	}
	if ended.Result == Answered && !ended.IsTarget {
		usual.record(ended.Latency)
	}
	tally := o.routes[ended.Route]
	counted := &tally.Old
	if ended.IsTarget {
		counted = &tally.Target
	}
	counted.Answers++
	if ended.Result != Answered || isSlow {
		counted.Bad++
	}
	o.routes[ended.Route] = tally
}

func (o *Outcomes) isEvidence(ended Completion, isSlow bool) bool {
	if ended.IsSuspect {
		return false
	}
	switch ended.Result {
	case NotSent:
		return false
	case CallerLeft:
		return isSlow
	case ConnectionLost:
		if o.lost[ended.Runner] || len(o.lost) >= maxLostRunners {
			return false
		}
		o.lost[ended.Runner] = true
	}
	return true
}

// AddTo sets the counts of answers in a report.
func (o *Outcomes) AddTo(report *Report) {
	report.Routes, report.Unjudged = maps.Clone(o.routes), o.unjudged
}

// usualLatency is the moving average of the logarithm of the old version's latency on one route.
type usualLatency struct {
	answers int
	meanLog float64
}

func (l *usualLatency) record(latency time.Duration) {
	l.answers++
	weight := max(latencySmoothing, 1/float64(l.answers))
	l.meanLog += weight * (math.Log(max(latency, minLatency).Seconds()) - l.meanLog)
}

func (l *usualLatency) isSlow(latency time.Duration) bool {
	return l.answers >= minLatencyAnswers && latency.Seconds() >= slowFactor*math.Exp(l.meanLog)
}
