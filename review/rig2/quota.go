package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() {
	scenarios["quota-kill"] = playQuotaKill
	scenarios["quota-reload"] = playQuotaReload
}

// The limit of the tenant and its bounds are those of gelombang-ulang-now-grown: the limit is that of the example of its wire page, and a request
// has the tokens of its largest kind of request.
const (
	tenantRate    = 604589.0
	tenantBurst   = 604589.0
	quotaWindow   = 8 * time.Second
	quotaOver     = 0.1
	quotaSlack    = 110000.0
	requestTokens = 6300 + 2890 + 9
	// offeredFactor is what the tenant sends as a multiple of its limit: 7.5 times its usual, with a limit of 1.8 times that.
	offeredFactor = hotFactor / 1.8
	hotFactor     = 7.5
	// hotTime is how long the tenant sends as much.
	hotTime = 6500 * time.Millisecond
)

const quotaKey = "key-of-tenant-one"

// startQuota starts a deployment with one limited tenant, and its load. stop ends the load and judges.
// hotAfter is the time until it grows, and hotFor how long that lasts.
func startQuota(d *deployment, hotAfter, hotFor time.Duration) (stop func() verdict, err error) {
	maps.Copy(d.bounds, map[string]any{"quota_window_s": quotaWindow.Seconds(), "quota_over": quotaOver, "quota_slack": quotaSlack})
	for i := range 12 {
		_, err := d.addRunner(runnerstand.Config{ID: fmt.Sprintf("i-%d", i+1), Service: "engines", Model: "m", Version: 1, EventCount: 3, Incarnation: 1})
		if err != nil {
			return nil, err
		}
	}
	d.store.Put(platform.KindWeightVersions, "m", map[string]any{"model": "m", "version": 1})
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, quotaConfig())
	d.addRouters(7)
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	ended := make(chan struct{})
	var load sync.WaitGroup
	load.Add(1)
	go func() {
		defer load.Done()
		d.sendTenantLoad(ended, hotAfter, hotFor)
	}()
	return func() verdict {
		close(ended)
		load.Wait()
		return d.judgeQuota()
	}, nil
}

// playQuotaKill kills all machines at the same moment; those of the seeds come back later than the others. Meanwhile one tenant sends many
// times its usual.
func playQuotaKill(d *deployment, trouble bool) (verdict, error) {
	const killAfter = 5 * time.Second
	stop, err := startQuota(d, killAfter+1500*time.Millisecond, hotTime)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(killAfter)
	if trouble {
		for _, r := range d.routers {
			go r.kill()
		}
		time.Sleep(time.Second)
		for _, r := range d.routers[seedCount:] {
			if err := r.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(10 * time.Second)
	if trouble {
		for _, r := range d.routers[:seedCount] {
			if err := r.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	return stop(), nil
}

// playQuotaReload lets one tenant send many times its limit. The settings files name other seeds from a moment on, and a part of the machines
// gets SIGHUP.
func playQuotaReload(d *deployment, trouble bool) (verdict, error) {
	stop, err := startQuota(d, 0, time.Minute)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(10 * time.Second)
	if trouble {
		d.seeds = d.routers[seedCount : 2*seedCount]
		for _, r := range d.routers {
			if err := r.writeSettings(); err != nil {
				return verdict{}, err
			}
		}
		d.note("all settings files name other seeds")
		for _, r := range d.routers[seedCount:] {
			r.signal(syscall.SIGHUP)
			d.note("%s got SIGHUP", r.name)
			time.Sleep(250 * time.Millisecond)
		}
	}
	time.Sleep(15 * time.Second)
	return stop(), nil
}

func quotaConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": hostName, "path_prefix": "/ask/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 800, "priority": 1,
			"service": "engines", "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 500,
		}},
		"services": []map[string]any{{
			"name": "engines", "health_path": "/healthz", "max_connections": 360,
			"engine": map[string]any{"slots": 64, "kv_capacity": 110556, "kv_token_bytes": 163840, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "tenant-one", "api_keys": []string{quotaKey}, "priority": 1, "isolated": false, "rate_per_s": tenantRate, "burst": tenantBurst, "unit": "tokens", "plain_tokens": 200,
		}},
	}
}

// sendTenantLoad sends the tenant's usual requests, and many times as many while it is hot, each to one of the routers that run, until stop is
// closed.
func (d *deployment) sendTenantLoad(stop <-chan struct{}, hotAfter, hotFor time.Duration) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	perSecond := tenantRate * offeredFactor / requestTokens
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	begin, due := time.Now(), 0.0
	for i := 0; ; {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		if since := time.Since(begin); since >= hotAfter && since < hotAfter+hotFor {
			due++
		} else {
			due += 1 / hotFactor
		}
		if due < 1 {
			continue
		}
		due--
		i++
		running := slices.DeleteFunc(slices.Clone(d.routers), func(r *router) bool { return !r.isRunning() })
		if len(running) == 0 {
			continue
		}
		target := running[i%len(running)]
		calls.Add(1)
		go func() {
			defer calls.Done()
			d.sendOne(client, target, fmt.Sprintf("%016x", i))
		}()
	}
}

func (d *deployment) sendOne(client *http.Client, target *router, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+target.front+"/ask/x", strings.NewReader("question"))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderModel, "m")
	request.Header.Set(platform.HeaderTokenCounts, "9190,9")
	request.Header.Set(platform.HeaderPromptPrefix, "5c1e07a2:6300,"+id+":2890")
	request.Header.Set(platform.HeaderDeadlineMillis, "6000")
	request.Header.Set("Authorization", "Bearer "+quotaKey)
	response, err := client.Do(request)
	if err != nil {
		d.note("request %s to %s: no answer", id, target.name)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	d.note("request %s to %s: status %d, whole %t", id, target.name, response.StatusCode, err == nil)
}

// judgeQuota adds up the tokens of the tenant's requests that runners ran within each window.
func (d *deployment) judgeQuota() verdict {
	type spending struct {
		at     time.Time
		tokens float64
	}
	var spent []spending
	for _, runner := range d.runners {
		for _, run := range runner.Runs() {
			in, out, _ := strings.Cut(run.Header.Get(platform.HeaderTokenCounts), ",")
			first, _ := strconv.Atoi(in)
			second, _ := strconv.Atoi(out)
			spent = append(spent, spending{run.StartedAt, float64(first + second)})
		}
	}
	slices.SortFunc(spent, func(a, b spending) int { return a.at.Compare(b.at) })
	for _, s := range spent {
		d.note("run at %.3f s, %.0f tokens", s.at.Sub(d.startedAt).Seconds(), s.tokens)
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOver) + quotaSlack
	most, mostAt, sum, first := 0.0, time.Time{}, 0.0, 0
	for _, s := range spent {
		for sum += s.tokens; s.at.Sub(spent[first].at) >= quotaWindow; first++ {
			sum -= spent[first].tokens
		}
		if sum > most {
			most, mostAt = sum, s.at
		}
	}
	text := fmt.Sprintf("at most %.0f tokens ran within %s (up to %.1f s), allowed are %.0f; %d runs", most, quotaWindow, mostAt.Sub(d.startedAt).Seconds(), allowed, len(spent))
	return verdict{broken: most > allowed, text: text}
}
