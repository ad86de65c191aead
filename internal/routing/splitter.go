package routing

// Splitter distributes the requests of weighted routes over their services by
// smooth weighted round robin, which keeps the shares also over few requests. It
// is not safe for concurrent use.
type Splitter struct {
	// currentWeights are the current weights of the algorithm, by route and service.
	currentWeights map[string]map[string]int
}

// NewSplitter returns a Splitter without state.
func NewSplitter() *Splitter { return &Splitter{currentWeights: map[string]map[string]int{}} }

// Pick returns the service of the route's next request, or "" if no backend of the
// route has a positive weight. The weight of a single backend is ignored.
func (s *Splitter) Pick(route *Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	currentWeights := s.currentWeights[route.Name]
	if currentWeights == nil {
		currentWeights = map[string]int{}
		s.currentWeights[route.Name] = currentWeights
	}
	picked, totalWeight := "", 0
	for _, backend := range route.Backends {
		if backend.Weight <= 0 {
			continue
		}
		currentWeights[backend.Service] += backend.Weight
		totalWeight += backend.Weight
		if picked == "" || currentWeights[backend.Service] > currentWeights[picked] {
			picked = backend.Service
		}
	}
	if picked != "" {
		currentWeights[picked] -= totalWeight
	}
	return picked
}

// Retain drops the state of routes that are no longer in the configuration or whose
// number of backends has changed.
func (s *Splitter) Retain(config *Config) {
	retained := map[string]map[string]int{}
	for i := range config.Routes {
		route := &config.Routes[i]
		currentWeights := s.currentWeights[route.Name]
		if currentWeights == nil || len(currentWeights) != len(route.Backends) {
			continue
		}
		retained[route.Name] = currentWeights
	}
	s.currentWeights = retained
}
