package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() { scenarios["memory"] = playMemory }

// The figures are those of aqdc-cartes and of the protocol page's limits.
const (
	memoryLimit = 284 << 20
	bodyLimit   = 4 << 20
	// bigClients is the number of clients that send at the same time, each one request with a body of the largest size. The site has 68.
	bigClients = 60
	// restartDelay is the short delay after which a process that has ended is started again.
	restartDelay   = time.Second
	memoryInterval = 5 * time.Millisecond
	// waveInterval is the time between two requests of a client.
	waveInterval = 4 * time.Second
	// focusTime is for how long the platform hands most new connections to one node.
	focusTime = 16 * time.Second
	// maxEnds is the number of ends in the day that break the rule, on minMachines machines.
	maxEnds     = 3
	minMachines = 2
)

// memoryBytes returns the resident memory of the router's process, 0 if that cannot be read.
func (r *router) memoryBytes() int64 {
	r.mutex.Lock()
	pid := r.command.Process.Pid
	r.mutex.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// superviseMemory kills a router that goes over its memory, like the platform, and starts it again.
func superviseMemory(d *deployment, r *router, ended <-chan struct{}) (ends int, most int64) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ended:
			return ends, most
		}
		used := r.memoryBytes()
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		ends++
		d.note("%s uses %d MB, and the platform kills it", r.name, used>>20)
		r.kill()
		time.Sleep(restartDelay)
		if err := r.start(); err != nil {
			d.note("%s cannot start: %v", r.name, err)
			return ends, most
		}
	}
}

// playMemory lets the callers of a region send requests of the largest size. The platform hands most new connections to one node, and then to another.
func playMemory(d *deployment, trouble bool) (verdict, error) {
	for i := range 3 {
		runner, err := d.addRunner(runnerstand.Config{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Incarnation: 1, ResponseDelay: 30 * time.Millisecond})
		if err != nil {
			return verdict{}, err
		}
		runner.SetBehaviour(runnerstand.Delays)
	}
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, bigConfig())
	d.addRouters(7)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	ended := make(chan struct{})
	ends, most := make([]int, len(d.routers)), make([]int64, len(d.routers))
	var watches, clients sync.WaitGroup
	for i, r := range d.routers {
		watches.Add(1)
		go func() {
			defer watches.Done()
			ends[i], most[i] = superviseMemory(d, r, ended)
		}()
	}
	startedAt := time.Now()
	body := bytes.Repeat([]byte("x"), bodyLimit)
	for i := range bigClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for wave := 0; time.Since(startedAt) < 3*focusTime; wave++ {
				target := d.routers[i%len(d.routers)]
				if focus := int(time.Since(startedAt)/focusTime) - 1; trouble && focus >= 0 {
					target = d.routers[focus]
				}
				d.sendBig(target, fmt.Sprintf("%08x%08x", i+1, wave), body)
				time.Sleep(time.Until(startedAt.Add(time.Duration(wave+1) * waveInterval)))
			}
		}()
	}
	clients.Wait()
	close(ended)
	watches.Wait()
	broken := 0
	for i, r := range d.routers {
		d.note("%s ended %d times over its memory, and used %d MB at most", r.name, ends[i], most[i]>>20)
		if ends[i] >= maxEnds {
			broken++
		}
	}
	text := fmt.Sprintf("%v ends of the machines over their memory of %d MB; at most %d MB were used", ends, memoryLimit>>20, slices.Max(most)>>20)
	return verdict{broken: broken >= minMachines, text: text}, nil
}

func bigConfig() map[string]any {
	config := plainConfig()
	config["routes"] = []map[string]any{{
		"name": "r-1", "host": hostName, "path_prefix": "/list/", "kind": "safe", "timeout_ms": 10000, "target_latency_ms": 800, "priority": 1,
		"service": "app", "max_attempts": 2, "public": true,
	}}
	return config
}

// sendBig sends a request with a long body on a new connection.
func (d *deployment) sendBig(target *router, id string, body []byte) {
	connection, err := net.DialTimeout("tcp", target.front, time.Second)
	if err != nil {
		d.note("request %s to %s: no connection", id, target.name)
		return
	}
	defer connection.Close()
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return connection, nil }}}
	request, err := http.NewRequest(http.MethodPost, "http://"+target.front+"/list/x", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadlineMillis, "10000")
	response, err := client.Do(request)
	if err != nil {
		d.note("request %s to %s: no answer", id, target.name)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	d.note("request %s to %s: status %d", id, target.name, response.StatusCode)
}
