package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
)

// Prompt parts that crash each runner that begins to answer.
const (
	// badPartDuration is how long requests with a pair of bad parts are sent. Those that go bad late are
	// sound for soundPartTime first.
	badPartDuration = 11 * time.Second
	soundPartTime   = 3 * time.Second
	// maxBadPartInterval is the maximum interval between two requests with a part.
	maxBadPartInterval = 500 * time.Millisecond
	// maxPartCrashes is the number of crashes of a part after which it counts as known.
	maxPartCrashes = 5
	// sharedParts is the number of parts that sound calls share with each other, beside the first one, which
	// they also share with requests that have a bad part.
	sharedParts = 6
	// quarantinedPartBody is the response body of calls that are refused because of a part.
	quarantinedPartBody = "runners ended under requests with a part of this prompt\n"
)

// badPartInjector sends requests with parts that crash runners, two at a time.
type badPartInjector struct {
	crashCaller
	// badFrom holds when each part begins to crash runners.
	badFrom map[string]time.Time
}

func newBadPartInjector(s *Soak) *badPartInjector {
	return &badPartInjector{crashCaller: crashCaller{soak: s, random: rand.New(rand.NewPCG(s.settings.Seed, s.settings.Seed+11))}, badFrom: map[string]time.Time{}}
}

// isBad reports whether the part crashes runners now.
func (p *badPartInjector) isBad(part string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	badFrom, known := p.badFrom[part]
	return known && !time.Now().Before(badFrom)
}

// badPart returns the bad part of the run, empty if there is none.
func (p *badPartInjector) badPart(run runnerstand.Run) string {
	for _, part := range runnerstand.SharedParts(run.Header) {
		if p.isBad(part) {
			return part
		}
	}
	return ""
}

// run sends requests with one pair of parts after the other until the deadline. The parts of a pair are on
// different routes and may go bad at different times.
func (p *badPartInjector) run(ctx context.Context, deadline time.Time) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for pair := 0; time.Now().Before(deadline) && ctx.Err() == nil; pair++ {
		var senders sync.WaitGroup
		until := time.Now().Add(badPartDuration)
		for i, path := range []string{"/once/", "/stream/"} {
			part := fmt.Sprintf("bad%d%c", pair, 'a'+i)
			p.mutex.Lock()
			p.badFrom[part] = time.Now().Add(time.Duration(p.random.IntN(2)) * soundPartTime)
			p.mutex.Unlock()
			senders.Go(func() { p.send(ctx, client, path, part, until) })
		}
		senders.Wait()
	}
}

// send sends requests with the part to random gateways, no two alike. The part is the first or the second one.
func (p *badPartInjector) send(ctx context.Context, client *http.Client, path, part string, until time.Time) {
	prompt := "aa:100,%s:200,own%d:50"
	if p.randomInt(2) == 0 {
		prompt = "%s:200,bb0:100,own%d:50"
	}
	p.sendUntil(ctx, client, until, maxBadPartInterval, func(number int) *callRecord {
		return &callRecord{
			id: fmt.Sprintf("%s-%d-%d", part, number, p.randomInt(1<<30)), path: fmt.Sprintf("%s%s-%d", path, part, number), body: fmt.Sprint(part, " ", number),
			repeatable: path == "/stream/", badPart: part, prompt: fmt.Sprintf(prompt, part, number),
		}
	})
}
