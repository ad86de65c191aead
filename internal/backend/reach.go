package backend

import "time"

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

// Listed returns the listed runners of a service that are not leaving.
func (s *Set) Listed(service string) []Runner {
	var runners []Runner
	for _, e := range s.byService[service] {
		if !e.isLeaving() {
			runners = append(runners, e.Runner)
		}
	}
	return runners
}

// Others returns the listed runners other than the one with the ID, in random order. Runners that are
// leaving are left out.
func (s *Set) Others(id string) []Runner {
	var others []Runner
	for _, e := range s.entries {
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
		if e.connectFailures > 0 {
			e.connectFailures, e.avoidUntil, e.failureShare = 0, time.Time{}, 0
		}
	}
}

// OutdatedServices returns the services that have runners with outdated weights.
func (s *Set) OutdatedServices() []string {
	var services []string
	for service, entries := range s.byService {
		for _, e := range entries {
			if !e.Draining && s.isConfigured(e) && s.isOutdated(e) {
				services = append(services, service)
				break
			}
		}
	}
	return services
}
