package soak

import (
	"os"
	"path/filepath"
	"time"

	"github.com/clovertiller/clovertiller/internal/explain"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// lateRequest is a request that a gateway sent or answered without knowing in time what the store
// held.
type lateRequest struct {
	kind       string
	gateway    string
	runner     string
	requestID  string
	observedAt time.Time
	// updateAge is the time between the change in the store and observedAt. undisturbed is how long
	// nothing relevant had been disturbed by then.
	updateAge           time.Duration
	undisturbedDuration time.Duration
}

// checkUpdates checks, by the calls that runners received, that undisturbed gateways learned in
// time which runners are draining and which weight version is requested.
func (s *Soak) checkUpdates() {
	var found []lateRequest
	for _, runner := range s.runners.all() {
		for _, arrival := range runner.ArrivalLog() {
			if late, isLate := s.checkDraining(runner.ID, arrival); isLate {
				found = append(found, late)
			}
		}
		if runner.Model != modelName {
			// No weights of other models are replaced.
			continue
		}
		for _, run := range runner.Runs() {
			if late, isLate := s.checkWeightVersion(runner.ID, run); isLate {
				found = append(found, late)
			}
		}
	}
	s.failLateRequests(found)
}

// failLateRequests reports one failure for each gateway, runner and kind of update.
func (s *Soak) failLateRequests(found []lateRequest) {
	type groupKey struct{ kind, gateway, runner string }
	grouped := map[groupKey][]lateRequest{}
	for _, late := range found {
		group := groupKey{late.kind, late.gateway, late.runner}
		grouped[group] = append(grouped[group], late)
	}
	for group, requests := range grouped {
		first := requests[0]
		s.failf("%s: %d requests of %s at %s, the first (%s) at %s, %v after the update and %v after the last disturbance",
			group.kind, len(requests), group.gateway, group.runner, first.requestID, formatTime(first.observedAt), first.updateAge, first.undisturbedDuration)
	}
}

func formatTime(moment time.Time) string { return moment.Format("15:04:05.000") }

// checkDraining reports whether the runner had been draining for longer than maxDrainDelay when the
// call arrived, while the gateway, its path to the runner and the store were undisturbed and the
// gateway could learn of the drain.
func (s *Soak) checkDraining(runner string, arrival runnerstand.Arrival) (lateRequest, bool) {
	call, known := s.calls.find(arrival.RequestID)
	since, draining := s.runners.drainingSince(runner, arrival.ReceivedAt)
	if !known || !draining {
		return lateRequest{}, false
	}
	late := lateRequest{
		kind: "leaving", gateway: call.gatewayName, runner: runner, requestID: call.id, observedAt: arrival.ReceivedAt, updateAge: arrival.ReceivedAt.Sub(since),
		undisturbedDuration: s.undisturbedFor(arrival.ReceivedAt, storeSubject, runnerPathSubject(runner)),
	}
	for _, gateway := range s.gatewaysOf(call) {
		late.undisturbedDuration = min(late.undisturbedDuration, s.undisturbedFor(arrival.ReceivedAt, gateway), s.informedFor(arrival.ReceivedAt, gateway))
	}
	return late, late.updateAge > maxDrainDelay && late.undisturbedDuration > settleTime
}

// checkWeightVersion reports whether the weights with which the run started had been replaced for
// longer than maxOldWeightsTime. Only time counts in which the gateway could learn what the store
// holds.
func (s *Soak) checkWeightVersion(runner string, run runnerstand.Run) (lateRequest, bool) {
	call, known := s.calls.find(run.RequestID)
	replacementTime, replaced := s.config.replacedAt(run.Version)
	if !known || !replaced {
		return lateRequest{}, false
	}
	late := lateRequest{
		kind: "older weights", gateway: call.gatewayName, runner: runner, requestID: call.id, observedAt: run.StartedAt, updateAge: run.StartedAt.Sub(replacementTime),
		undisturbedDuration: s.undisturbedFor(run.StartedAt, runnerPathSubject(runner)),
	}
	countedAge := min(late.updateAge, s.undisturbedFor(run.StartedAt, storeSubject))
	for _, gateway := range s.gatewaysOf(call) {
		late.undisturbedDuration = min(late.undisturbedDuration, s.undisturbedFor(run.StartedAt, gateway))
		countedAge = min(countedAge, s.informedFor(run.StartedAt, gateway))
	}
	return late, countedAge > maxOldWeightsTime && late.undisturbedDuration > settleTime
}

// gatewaysOf returns the gateway that took the call and, if it forwarded the call, the one that sent it to a
// runner. Bounds on time apply to calls that both handled while they were undisturbed.
func (s *Soak) gatewaysOf(call *callRecord) []string {
	gateways := []string{call.gatewayName}
	if sender, forwarded := s.senders[call.id]; forwarded {
		gateways = append(gateways, sender)
	}
	return gateways
}

// findSenders reads from the logs which gateways sent the calls that others forwarded to them.
func (s *Soak) findSenders() {
	s.senders = map[string]string{}
	for _, p := range s.processes {
		log, err := p.readLog()
		if err != nil {
			s.failf("soak: the log of %s cannot be read: %v", p.name, err)
			continue
		}
		for _, line := range log.Lines {
			if line.StringField("ingress") != "" {
				s.senders[line.StringField("request")] = p.name
			}
		}
	}
}

// readLog returns the log lines of all lives of the process.
func (p *process) readLog() (*explain.Log, error) {
	file, err := os.Open(filepath.Join(p.folder, p.name+".log"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return explain.Read(file)
}

// informedFor returns for how long the gateway could learn what the store holds, from the store or
// from a seed gateway, which reads the store for all.
func (s *Soak) informedFor(moment time.Time, gateway string) time.Duration {
	longest := s.undisturbedFor(moment, gatewayStoreSubject(gateway))
	for _, seedGateway := range s.processes[:min(s.settings.seedCount(), len(s.processes))] {
		if seedGateway.name != gateway {
			longest = max(longest, s.undisturbedFor(moment, seedGateway.name, gatewayStoreSubject(seedGateway.name), linkSubject(gateway, seedGateway.name)))
		}
	}
	return longest
}

// undisturbedFor returns for how long none of the subjects had been disturbed at the moment.
func (s *Soak) undisturbedFor(moment time.Time, subjects ...string) time.Duration {
	return moment.Sub(s.disturbances.lastDisturbed(moment, subjects...))
}
