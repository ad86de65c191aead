package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() { scenarios["limit-reload"] = playLimitReload }

const (
	// runnerLimit is what each runner takes a second, and offeredRate what callers send a second in all.
	runnerLimit = 10.0
	offeredRate = 150
	limitWindow = 4 * time.Second
	contact     = 3 * time.Second
)

// callerLog holds when each router first passed on an answer of each runner with a limit.
type callerLog struct {
	mutex    sync.Mutex
	passedOn map[string]time.Time
}

// playLimitReload lets runners name a limit. The settings files name other seeds from a moment on, and a part of the machines gets SIGHUP.
func playLimitReload(d *deployment, trouble bool) (verdict, error) {
	for i := range 3 {
		runner, err := d.addRunner(runnerstand.Config{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Incarnation: 1})
		if err != nil {
			return verdict{}, err
		}
		runner.SetResponseHeaders(platform.HeaderServerLimit, fmt.Sprint(runnerLimit))
	}
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, plainConfig())
	d.addRouters(7)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	log, ended := &callerLog{passedOn: map[string]time.Time{}}, make(chan struct{})
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		d.sendPlainLoad(log, ended)
	}()
	time.Sleep(15 * time.Second)
	if trouble {
		d.seeds = d.routers[seedCount : 2*seedCount]
		for _, r := range d.routers {
			if err := r.writeSettings(); err != nil {
				return verdict{}, err
			}
		}
		d.note("all settings files name other seeds")
		for _, r := range d.seeds {
			r.signal(syscall.SIGHUP)
			d.note("%s got SIGHUP", r.name)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(20 * time.Second)
	close(ended)
	load.Wait()
	return d.judgeLimit(log), nil
}

func plainConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": hostName, "path_prefix": "/list/", "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1,
			"service": "app", "max_attempts": 2, "public": true,
		}},
		"services": []map[string]any{{"name": "app", "health_path": "/healthz", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendPlainLoad sends requests at a constant rate, to each router in turn, until ended is closed.
func (d *deployment) sendPlainLoad(log *callerLog, ended <-chan struct{}) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	ticker := time.NewTicker(time.Second / offeredRate)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
		target := d.routers[i%len(d.routers)]
		calls.Add(1)
		go func() {
			defer calls.Done()
			d.sendPlain(client, log, target, fmt.Sprintf("%s.%08x", target.name, i+1))
		}()
	}
}

func (d *deployment) sendPlain(client *http.Client, log *callerLog, target *router, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+target.front+"/list/x", nil)
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadlineMillis, "4000")
	response, err := client.Do(request)
	if err != nil {
		d.note("request %s: no answer", id)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	stamp := response.Header.Get(platform.HeaderResponseStamp)
	d.note("request %s: status %d, limit %q, signature %q", id, response.StatusCode, response.Header.Get(platform.HeaderServerLimit), stamp)
	if runner, _, isStamped := strings.Cut(stamp, "."); isStamped && response.Header.Get(platform.HeaderServerLimit) != "" {
		log.mutex.Lock()
		defer log.mutex.Unlock()
		if key := target.name + " " + runner; log.passedOn[key].IsZero() {
			log.passedOn[key] = time.Now()
		}
	}
}

// judgeLimit counts what each runner gets within each window, from contact after it first named its limit on.
func (d *deployment) judgeLimit(log *callerLog) verdict {
	allowed := 1.5*runnerLimit*limitWindow.Seconds() + 5
	worst, text := 0, ""
	for _, runner := range d.runners {
		first := time.Time{}
		for key, at := range log.passedOn {
			if strings.HasSuffix(key, " "+runner.ID) && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
		var counted []time.Time
		for _, arrival := range runner.ArrivalLog() {
			router, _, _ := strings.Cut(arrival.RequestID, ".")
			d.note("%s got %s at %.3f s", runner.ID, arrival.RequestID, arrival.ReceivedAt.Sub(d.startedAt).Seconds())
			passedAt := log.passedOn[router+" "+runner.ID]
			if arrival.ReceivedAt.Sub(first) >= contact && !passedAt.IsZero() && arrival.ReceivedAt.Sub(passedAt) >= time.Second/2 {
				counted = append(counted, arrival.ReceivedAt)
			}
		}
		slices.SortFunc(counted, time.Time.Compare)
		start := 0
		for i, at := range counted {
			for at.Sub(counted[start]) >= limitWindow {
				start++
			}
			if count := i - start + 1; count > worst {
				worst, text = count, fmt.Sprintf("%s got %d requests within %s (up to %.1f s), allowed are %.0f", runner.ID, count, limitWindow, at.Sub(d.startedAt).Seconds(), allowed)
			}
		}
	}
	return verdict{broken: float64(worst) > allowed, text: text}
}
