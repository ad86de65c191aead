package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() { scenarios["poison-key"] = playPoisonKey }

const (
	poisonRunners  = 20
	poisonBody     = "the request that crashes runners"
	poisonInterval = 250 * time.Millisecond
	soundInterval  = 20 * time.Millisecond
	// crashDelay is how long a runner runs the request before it crashes.
	crashDelay = 200 * time.Millisecond
	entryTime  = 3600 * time.Millisecond
	// allowedRuns is how many of the requests may reach runners later than contact after the third crash.
	allowedRuns = 3
)

// playPoisonKey sends a request that crashes the runners that run it, again and again. Once it is refused, the configuration passes its key on to
// another tenant.
func playPoisonKey(d *deployment, trouble bool) (verdict, error) {
	for i := range poisonRunners {
		poison := runnerstand.Poison{Prefix: poisonBody, CrashDelay: crashDelay, NoResponse: true, OnCrash: func(r *runnerstand.Runner, run runnerstand.Run) {
			d.note("%s crashes while it runs %s", r.ID, run.RequestID)
			time.AfterFunc(entryTime, func() { d.store.Delete(platform.KindRunners, r.ID) })
		}}
		if _, err := d.addRunner(runnerstand.Config{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Incarnation: 1, Poison: poison}); err != nil {
			return verdict{}, err
		}
	}
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, poisonConfig(7, "tenant-one"))
	d.addRouters(5)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	ended := make(chan struct{})
	var load sync.WaitGroup
	load.Add(2)
	go func() { defer load.Done(); d.sendCalls(ended, "poison", poisonBody, poisonInterval) }()
	go func() { defer load.Done(); d.sendCalls(ended, "sound", "", soundInterval) }()
	time.Sleep(10 * time.Second)
	if trouble {
		d.store.Put(platform.KindConfig, platform.ConfigObjectName, poisonConfig(8, "tenant-two"))
		d.note("configuration 8 passes the key on to tenant-two, acknowledged")
	}
	time.Sleep(12 * time.Second)
	close(ended)
	load.Wait()
	var arrivals []time.Time
	for _, runner := range d.runners {
		for _, arrival := range runner.ArrivalLog() {
			if strings.HasPrefix(arrival.RequestID, "poison") {
				arrivals = append(arrivals, arrival.ReceivedAt)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	late := 0
	for i, at := range arrivals {
		d.note("run %d at %.3f s", i+1, at.Sub(d.startedAt).Seconds())
		if i >= 3 && at.Sub(arrivals[2]) > crashDelay+contact {
			late++
		}
	}
	return verdict{broken: late > allowedRuns, text: fmt.Sprintf("the request reached runners %d times, %d of these later than %s after it had crashed the third", len(arrivals), late, contact)}, nil
}

func poisonConfig(version int, holder string) map[string]any {
	config := keyConfig(version, holder)
	plain := plainConfig()
	plain["version"], plain["tenants"] = version, config["tenants"]
	plain["routes"].([]map[string]any)[0]["public"] = false
	return plain
}

// sendCalls sends requests at the interval, to each router in turn, until ended is closed.
func (d *deployment) sendCalls(ended <-chan struct{}, name, body string, interval time.Duration) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			id, sent := fmt.Sprintf("%s-%d", name, i), body
			if body == "" {
				sent = "sound " + id
			}
			request, err := http.NewRequest(http.MethodPost, "http://"+d.routers[i%len(d.routers)].front+"/list/"+name, strings.NewReader(sent))
			if err != nil {
				panic(err)
			}
			request.Host = hostName
			request.Header.Set(platform.HeaderRequestID, id)
			request.Header.Set(platform.HeaderDeadlineMillis, "4000")
			request.Header.Set("Authorization", "Bearer "+passedKey)
			response, err := client.Do(request)
			if err != nil {
				d.note("request %s: no answer", id)
				return
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
			if name == "poison" {
				d.note("request %s: status %d", id, response.StatusCode)
			}
		}()
	}
}
