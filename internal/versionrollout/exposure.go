package versionrollout

import "time"

// PermitDuration is how long a permit may be used after it was requested. A placer that can't reach
// the leader stops using the target version after this time.
const PermitDuration = time.Second

// maxCredit bounds the credit that is saved up while the target version has no runner, so that no
// burst of requests follows.
const maxCredit = 3

// Permit is the leader's answer to a report of a placer. The zero value ends an earlier permit.
type Permit struct {
	// Share is the share of the requests that may test the target version.
	Share float64
	// Allowance is how many requests the placer may send to the target version in all since it
	// learned of the order.
	Allowance uint64
	// Promoted is set when all requests go to the target version while the allowance lasts.
	Promoted bool
	// ReportAfter is how long the placer waits before its next report.
	ReportAfter time.Duration
}

// Exposure selects the requests that one placer sends to the target version, within the allowance of
// its last permit. The zero value has no permit. It is not safe for concurrent use.
type Exposure struct {
	permit      Permit
	requestedAt time.Time
	// credit grows by the permitted share with each request, and each test costs one.
	credit  float64
	exposed uint64
}

// SetPermit replaces the permit. requestedAt is when the report that it answers was sent. An answer to
// an earlier report than that of the present permit is ignored, as answers may arrive in any
// order.
func (e *Exposure) SetPermit(requestedAt time.Time, permit Permit) {
	if requestedAt.Before(e.requestedAt) {
		return
	}
	e.permit, e.requestedAt = permit, requestedAt
}

// Revoke ends the permit at once, as when a final state was written.
func (e *Exposure) Revoke() { e.permit, e.credit = Permit{}, 0 }

// Take reports whether the next request is to go to the target version, and counts it if so.
func (e *Exposure) Take(now time.Time) bool {
	if !e.isValid(now) || e.exposed >= e.permit.Allowance {
		return false
	}
	if !e.permit.Promoted && e.permit.Share < 1 {
		if e.credit < 1 {
			return false
		}
		e.credit--
	}
	e.exposed++
	return true
}

// Return gives back what Take took for a request that was certainly not sent to the target version.
func (e *Exposure) Return() {
	e.exposed -= min(e.exposed, 1)
	e.credit = min(e.credit+1, maxCredit)
}

// CountRequest adds the share of a request that was placed at the service.
func (e *Exposure) CountRequest(now time.Time) {
	if e.isValid(now) && !e.permit.Promoted {
		e.credit = min(e.credit+e.permit.Share, maxCredit)
	}
}

// Exposed returns the number of requests sent to the target version.
func (e *Exposure) Exposed() uint64 { return e.exposed }

// IsPromoted reports whether all requests go to the target version while the allowance lasts.
func (e *Exposure) IsPromoted(now time.Time) bool { return e.isValid(now) && e.permit.Promoted }

func (e *Exposure) isValid(now time.Time) bool {
	return (e.permit.Allowance > 0 || e.permit.Promoted) && now.Before(e.requestedAt.Add(PermitDuration))
}
