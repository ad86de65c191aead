package versionrollout

import "time"

// shareMaxCredit bounds the credit that is saved up while the target version has no runner, so that no
// burst of requests follows.
const shareMaxCredit = 3

// ShareExposure selects the requests that one placing router sends to the target version. Each request
// placed at the service adds the permitted share to a credit, and each request sent to the target
// version costs one. The target version therefore never gets more than the permitted share of the
// requests of this router, and so of all routers together, however many there are and whenever
// each of them learned of the order. The zero value has no permit.
type ShareExposure struct {
	share      float64
	validUntil time.Time
	credit     float64
}

// Permit allows the share of requests until PermitDuration after the request for the permit was
// sent. It replaces an earlier permit.
func (e *ShareExposure) Permit(requestedAt time.Time, share float64) {
	e.share, e.validUntil = share, requestedAt.Add(PermitDuration)
}

// Revoke ends the permit at once.
func (e *ShareExposure) Revoke() { e.share, e.credit = 0, 0 }

// Take reports whether the next request may go to the target version, and takes one from the credit
// if so.
func (e *ShareExposure) Take(now time.Time) bool {
	if !now.Before(e.validUntil) || e.credit < 1 {
		return false
	}
	e.credit--
	return true
}

// Return gives back what Take took for a request that was not sent to the target version.
func (e *ShareExposure) Return() { e.credit++ }

// CountRequest adds the share of a request that was placed at the service.
func (e *ShareExposure) CountRequest(now time.Time) {
	if now.Before(e.validUntil) {
		e.credit = min(e.credit+e.share, shareMaxCredit)
	}
}
