package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() { scenarios["dark-kill"] = playDarkKill }

const (
	darkTime      = 4500 * time.Millisecond
	darkBeforeOff = 2500 * time.Millisecond
	offTime       = time.Second
	// darkLead is how long the store refuses calls before the first stream begins.
	darkLead = 300 * time.Millisecond
	// takeUpTime is how long clients try again after the store is back.
	takeUpTime = 25 * time.Second
)

// playDarkKill lets clients take streams up again that began while the store refused calls, and whose routers then lost power. TROUBLE=kill leaves the
// store as it is. Without the disruption the connections of the same clients break once.
func playDarkKill(d *deployment, trouble bool) (verdict, error) {
	for i := range 6 {
		_, err := d.addRunner(runnerstand.Config{
			ID: fmt.Sprintf("i-%d", i+1), Service: "engines-a", Model: "m", Version: 1, Incarnation: 1, SoftwareVersion: fmt.Sprintf("1.%d", 4+i%2),
			EventCount: streamEvents, EventInterval: eventInterval, VersionInEvents: true,
		})
		if err != nil {
			return verdict{}, err
		}
	}
	d.store.Put(platform.KindWeightVersions, "m", map[string]any{"model": "m", "version": 1})
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, orderConfig(7, "engines-a"))
	d.addRouters(5)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	refuses := trouble && os.Getenv("TROUBLE") != "kill"
	darkFrom := time.Now()
	if refuses {
		d.endpoint.SetFault(storestand.Busy)
		d.note("the store refuses all calls")
	}
	time.Sleep(darkLead)
	old, newer := make([]*clientStream, orderStreams), make([]*clientStream, orderStreams)
	var clients sync.WaitGroup
	start := func(streams []*clientStream, first, maxBreaks int, end time.Time) {
		for i := range streams {
			streams[i] = &clientStream{id: fmt.Sprintf("%016x", first+i)}
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Duration(i) * startSpread)
				d.readUntil(streams[i], i, maxBreaks, end)
			}()
		}
	}
	start(old, 1, 1, darkFrom.Add(darkTime+takeUpTime))
	time.Sleep(time.Until(darkFrom.Add(darkBeforeOff)))
	if trouble {
		if err := d.losePower(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(darkFrom.Add(darkTime)))
	if refuses {
		d.endpoint.SetFault(storestand.Healthy)
		d.note("the store answers again")
	}
	time.Sleep(time.Until(darkFrom.Add(darkLead + breakTime)))
	start(newer, 1000, 0, darkFrom.Add(darkTime+takeUpTime))
	clients.Wait()
	return d.judgeLost(old, newer), nil
}

// losePower kills all routers and starts them again.
func (d *deployment) losePower() error {
	var killed sync.WaitGroup
	for _, r := range d.routers {
		killed.Go(r.kill)
	}
	killed.Wait()
	time.Sleep(offTime)
	for _, r := range d.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// readUntil reads a stream to its end. After a break it takes the stream up again at the next router, after a refusal when the answer says.
func (d *deployment) readUntil(s *clientStream, number, maxBreaks int, end time.Time) {
	for attempt := 0; time.Now().Before(end); attempt++ {
		limit := time.Minute
		if maxBreaks > 0 && !s.broken {
			limit = breakTime
		}
		s.retryAfter = 0
		err := d.readAttempt(s, d.routers[(number+attempt)%len(d.routers)], attempt, limit)
		switch {
		case err == nil:
			s.complete = true
			return
		case errors.Is(err, errBroken):
		default:
			if s.events > 0 && !s.broken {
				s.broken = true
				d.note("stream %s broke after event %s: %v", s.id, s.lastEvent, err)
			}
			time.Sleep(max(retryPause, s.retryAfter))
		}
	}
}

// judgeLost compares the streams that were taken up with the new ones.
func (d *deployment) judgeLost(old, newer []*clientStream) verdict {
	takenUp, goneOn, begun := 0, 0, 0
	for _, s := range old {
		d.note("stream %s: %d events of %d, connection broken %t, gone on %t, refused %d times", s.id, s.events, streamEvents, s.broken, s.goneOn, s.refused)
		if s.broken {
			takenUp++
		}
		if s.goneOn {
			goneOn++
		}
	}
	for _, s := range newer {
		d.note("new stream %s: %d events of %d, refused %d times", s.id, s.events, streamEvents, s.refused)
		if s.events > 0 {
			begun++
		}
	}
	shareOn, shareBegun := float64(goneOn)/float64(max(takenUp, 1)), float64(begun)/float64(len(newer))
	text := fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new streams began", goneOn, takenUp, begun, len(newer))
	return verdict{broken: takenUp >= minTakenUp && shareOn < shareBegun/2, text: text}
}
