package backend

import (
	"math/rand/v2"
	"slices"
	"time"
)

// CountActive returns the number of listed runners of a service that are not leaving, at most limit.
func (s *Set) CountActive(service string, limit int) (count int) {
	for _, e := range s.byService[service] {
		if count == limit {
			break
		}
		if !e.isLeaving() {
			count++
		}
	}
	return count
}

// RandomActive returns a random runner of a service that is not leaving, other than the excluded ones if there
// are others. found is false if there is none.
func (s *Set) RandomActive(service string, excluded []string, random *rand.Rand) (runner Runner, found bool) {
	entries := s.byService[service]
	if len(entries) == 0 {
		return Runner{}, false
	}
	first := random.IntN(len(entries))
	for i := range entries {
		e := entries[(first+i)%len(entries)]
		if e.isLeaving() {
			continue
		}
		runner, found = e.Runner, true
		if !slices.Contains(excluded, e.ID) {
			break
		}
	}
	return runner, found
}

// AllowsOnlyUnreachable reports whether the software version that the query allows is only that of runners which its router
// does not reach.
func (s *Set) AllowsOnlyUnreachable(query Query) bool {
	if len(query.Unreachable) == 0 {
		return false
	}
	for _, e := range s.byService[query.Service] {
		if !e.isLeaving() && s.allowsVersion(e, query) && !slices.Contains(query.Unreachable, e.ID) {
			return false
		}
	}
	return true
}

// Others returns some of the listed runners other than the one with the ID, in random order and at most limit.
// Runners that are leaving are left out.
func (s *Set) Others(id string, limit int) (others []Runner) {
	for _, e := range s.entries {
		if len(others) == limit {
			break
		}
		if e.ID != id && !e.isLeaving() {
			others = append(others, e.Runner)
		}
	}
	return others
}

// ForgetUnreachable drops the evidence that runners of a service were unreachable. It is called when it
// turns out that this router's own links are at fault.
func (s *Set) ForgetUnreachable(service string) {
	for _, e := range s.byService[service] {
		e.forgetUnreachable()
	}
}

// ForgetUnreachableRunner drops the evidence that a runner was unreachable, after it has answered a probe.
func (s *Set) ForgetUnreachableRunner(id string) {
	if e := s.entries[id]; e != nil {
		e.forgetUnreachable()
	}
}

// forgetUnreachable drops the evidence that the runner was unreachable.
func (e *entry) forgetUnreachable() {
	if e.connectFailures > 0 {
		e.connectFailures, e.avoidUntil, e.failureShare = 0, time.Time{}, 0
	}
}

// OutdatedServices returns the services that have runners with outdated weights.
func (s *Set) OutdatedServices() []string {
	var services []string
	for service, entries := range s.byService {
		if slices.ContainsFunc(entries, s.needsUpdate) {
			services = append(services, service)
		}
	}
	return services
}
