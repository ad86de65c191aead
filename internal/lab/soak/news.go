package soak

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// lateness is a request for which a gateway did not know in time what the store held.
type lateness struct {
	what    string
	gateway string
	runner  string
	request string
	at      time.Time
	// news is how old the news was, and calm how long nothing had been disturbed.
	news time.Duration
	calm time.Duration
}

// checkNews checks that gateways that were left alone knew in time which runners leave and
// which weights are named, by what runners saw.
func (s *Soak) checkNews() {
	var found []lateness
	for _, runner := range s.runners.all() {
		for _, arrival := range runner.ArrivalLog() {
			if late, broken := s.checkArrival(runner.ID, arrival); broken {
				found = append(found, late)
			}
		}
		if runner.Model == "" {
			continue
		}
		for _, run := range runner.Runs() {
			if late, broken := s.checkBegin(runner.ID, run); broken {
				found = append(found, late)
			}
		}
	}
	s.failLate(found)
}

// failLate notes one broken promise for each gateway, runner and kind of news.
func (s *Soak) failLate(found []lateness) {
	type key struct{ what, gateway, runner string }
	grouped := map[key][]lateness{}
	for _, late := range found {
		group := key{late.what, late.gateway, late.runner}
		grouped[group] = append(grouped[group], late)
	}
	for group, all := range grouped {
		first := all[0]
		s.fail("%s: %d requests of %s at %s, the first (%s) at %s, %v after the news and %v after the last disturbance",
			group.what, len(all), group.gateway, group.runner, first.request, clockTime(first.at), first.news, first.calm)
	}
}

func clockTime(moment time.Time) string { return moment.Format("15:04:05.000") }

// checkArrival tells whether the runner had been leaving for longer than the bound while
// the gateway, its path to the runner and the store were sound and it could learn of that.
func (s *Soak) checkArrival(runner string, arrival runnerstand.Arrival) (lateness, bool) {
	call, known := s.calls.find(arrival.RequestID)
	since, leaving := s.runners.leavingSince(runner, arrival.ReceivedAt)
	if !known || !leaving {
		return lateness{}, false
	}
	late := lateness{
		what: "leaving", gateway: call.process, runner: runner, request: call.id, at: arrival.ReceivedAt, news: arrival.ReceivedAt.Sub(since),
		calm: min(s.calm(arrival.ReceivedAt, storeForEach, call.process, pathTo(runner)), s.informed(arrival.ReceivedAt, call.process)),
	}
	return late, late.news > drainTime && late.calm > contactTime
}

// checkBegin tells whether the weights on which the run began had been replaced for longer
// than the deadline. That counts while the gateway can learn what the store holds.
func (s *Soak) checkBegin(runner string, run runnerstand.Run) (lateness, bool) {
	call, known := s.calls.find(run.RequestID)
	named, replaced := s.config.replacedAt(run.Version)
	if !known || !replaced {
		return lateness{}, false
	}
	late := lateness{
		what: "older weights", gateway: call.process, runner: runner, request: call.id, at: run.StartedAt, news: run.StartedAt.Sub(named),
		calm: s.calm(run.StartedAt, call.process, pathTo(runner)),
	}
	counted := min(late.news, s.calm(run.StartedAt, storeForEach), s.informed(run.StartedAt, call.process))
	return late, counted > versionTime && late.calm > contactTime
}

// informed returns for how long the gateway could learn what the store holds: from the
// store, or from another gateway that reads it for all.
func (s *Soak) informed(moment time.Time, gateway string) time.Duration {
	longest := s.calm(moment, storeOf(gateway))
	for _, seed := range s.processes[:min(seedGateways, len(s.processes))] {
		if seed.name != gateway {
			longest = max(longest, s.calm(moment, seed.name, storeOf(seed.name)))
		}
	}
	return longest
}

// calm returns for how long none of the subjects had been disturbed at the moment.
func (s *Soak) calm(moment time.Time, subjects ...string) time.Duration {
	return moment.Sub(s.disturbances.last(moment, subjects...))
}
