package rig

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Entry is the platform's address for callers: it passes each new connection to a router that is in. It asks each router
// once a second, and two misses take a router out until it is ready again.
type Entry struct {
	site    *Site
	mutex   sync.Mutex
	misses  map[*Router]int
	stopped chan struct{}
}

// NewEntry starts the questions.
func NewEntry(site *Site) *Entry {
	e := &Entry{site: site, misses: map[*Router]int{}, stopped: make(chan struct{})}
	go e.run()
	return e
}

func (e *Entry) run() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, router := range e.site.Routers {
			go e.ask(router)
		}
		select {
		case <-ticker.C:
		case <-e.stopped:
			return
		}
	}
}

func (e *Entry) ask(router *Router) {
	ready := router.IsReady()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ready {
		e.misses[router] = 0
		return
	}
	e.misses[router]++
}

// Pick returns the router that gets a new connection. Later tries reach other routers than the last one.
func (e *Entry) Pick(last *Router) *Router {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var in []*Router
	for _, router := range e.site.Routers {
		if e.misses[router] < 2 && router != last {
			in = append(in, router)
		}
	}
	if len(in) == 0 {
		in = e.site.Routers
	}
	return in[rand.IntN(len(in))]
}

// Close stops the questions.
func (e *Entry) Close() { close(e.stopped) }
