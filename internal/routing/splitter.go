package routing

// Splitter divides the requests of weighted routes over their services by
// smooth weighted round robin, so that short spans keep the shares too. It is
// not safe for concurrent use.
type Splitter struct {
	credits map[string]map[string]int
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{credits: map[string]map[string]int{}} }

// Pick returns the service of the route's next request, or "" when the route has none.
func (s *Splitter) Pick(route *Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	credits := s.credits[route.Name]
	if credits == nil {
		credits = map[string]int{}
		s.credits[route.Name] = credits
	}
	best, total := "", 0
	for _, backend := range route.Backends {
		if backend.Weight <= 0 {
			continue
		}
		credits[backend.Service] += backend.Weight
		total += backend.Weight
		if best == "" || credits[backend.Service] > credits[best] {
			best = backend.Service
		}
	}
	if best != "" {
		credits[best] -= total
	}
	return best
}

// Retain forgets the history of routes that the configuration has changed.
func (s *Splitter) Retain(config *Config) {
	kept := map[string]map[string]int{}
	for i := range config.Routes {
		route := &config.Routes[i]
		credits := s.credits[route.Name]
		if credits == nil || len(credits) != len(route.Backends) {
			continue
		}
		kept[route.Name] = credits
	}
	s.credits = kept
}
