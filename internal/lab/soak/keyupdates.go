package soak

import "time"

// maxConfigDelay is the time within which undisturbed gateways must apply a configuration.
const maxConfigDelay = 2 * time.Second

// checkConfigUpdates checks that undisturbed gateways applied new API keys in time.
func (s *Soak) checkConfigUpdates() {
	var found []lateRequest
	for _, call := range s.calls.all() {
		if late, isLate := s.checkDeniedKey(call); isLate {
			found = append(found, late)
		}
	}
	s.failLateRequests(found)
}

// checkDeniedKey reports whether the call was denied although its key had been added for longer
// than maxConfigDelay and the gateway could learn of the key. A key that was valid when the caller chose it
// may be revoked before the gateway has the call.
func (s *Soak) checkDeniedKey(call *callRecord) (lateRequest, bool) {
	if !call.wasDeniedValidKey() || s.config.wasRevokedBy(call.key, call.endedAt.Add(revocationSlack)) {
		return lateRequest{}, false
	}
	late := lateRequest{
		kind: "older configuration", gateway: call.gatewayName, runner: "any runner", requestID: call.id, observedAt: call.sentAt, updateAge: call.sentAt.Sub(call.keyAddedAt),
		undisturbedDuration: min(s.undisturbedFor(call.sentAt, storeSubject, call.gatewayName), s.informedFor(call.sentAt, call.gatewayName)),
	}
	return late, late.updateAge > maxConfigDelay && late.undisturbedDuration > settleTime
}
