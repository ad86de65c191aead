package soak

import "time"

// configTime is within which a configuration is in force at gateways that were left alone.
const configTime = 2 * time.Second

// checkInForce checks that gateways that were left alone knew in time which keys there are.
func (s *Soak) checkInForce() {
	var found []lateness
	for _, call := range s.calls.all() {
		if late, broken := s.checkDenied(call); broken {
			found = append(found, late)
		}
	}
	s.failLate(found)
}

// checkDenied tells whether the call was denied though its key had been added for longer than
// the bound, and the gateway could learn of that.
func (s *Soak) checkDenied(call *callRecord) (lateness, bool) {
	if !call.denied() {
		return lateness{}, false
	}
	late := lateness{
		what: "older configuration", gateway: call.process, runner: "any runner", request: call.id, at: call.sent, news: call.sent.Sub(call.keyAdded),
		calm: min(s.calm(call.sent, storeForEach, call.process), s.informed(call.sent, call.process)),
	}
	return late, late.news > configTime && late.calm > contactTime
}
