package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() { scenarios["idle"] = playIdle }

// The figures are those of qamar-tiles-grown: its machines with the fewest descriptors, its bounds, and the traffic of its zone tunis-b.
const (
	maxDescriptors = 4100
	zoneRate       = 147.0
	idleContact    = 4 * time.Second
	// minOwnDescriptors is the number of descriptors that the clients need for their ends of the connections.
	minOwnDescriptors = 12000
	// minTrying is the number of clients that have to try meanwhile.
	minTrying  = 7
	answerTime = 3 * time.Second
)

// newConnection is one client's new connection to a router.
type newConnection struct {
	router   *router
	openedAt time.Time
	// takenAt is when the first byte of an answer arrived, zero if none did.
	takenAt time.Time
}

// entry is the platform's entry: it asks each router each second whether it is ready, and passes new connections to those that are.
type entry struct {
	mutex       sync.Mutex
	connections []*newConnection
	open        []net.Conn
	// readyAt holds when each router answered 200.
	readyAt map[*router][]time.Time
	misses  map[*router]int
	next    int
}

// playIdle lets each request come on a new connection, which its client leaves open but does not use again. Three of five machines are lost.
func playIdle(d *deployment, trouble bool) (verdict, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < minOwnDescriptors {
		return verdict{}, fmt.Errorf("the clients need %d descriptors, and the limit is %d", minOwnDescriptors, limit.Max)
	}
	useQamarBounds(d)
	for i := range 3 {
		if _, err := d.addRunner(runnerstand.Config{ID: fmt.Sprintf("i-%d", i+1), Service: "app", Incarnation: 1}); err != nil {
			return verdict{}, err
		}
	}
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, plainConfig())
	d.addRouters(5)
	d.descriptors = maxDescriptors
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	e, ended := &entry{readyAt: map[*router][]time.Time{}, misses: map[*router]int{}}, make(chan struct{})
	var tasks sync.WaitGroup
	for _, r := range d.routers {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			e.askReadiness(d, r, ended)
		}()
	}
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		e.openConnections(d, ended)
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		for _, r := range d.routers[2:] {
			r.kill()
		}
	}
	time.Sleep(80 * time.Second)
	for _, r := range d.routers {
		if r.isRunning() {
			d.note("%s uses %d MB", r.name, r.memoryBytes()>>20)
		}
	}
	close(ended)
	tasks.Wait()
	for _, connection := range e.open {
		connection.Close()
	}
	return e.judge(d), nil
}

// useQamarBounds sets the bounds and the limits of the small machines of qamar-tiles-grown.
func useQamarBounds(d *deployment) {
	maps.Copy(d.bounds, map[string]any{
		"contact_ms": idleContact.Milliseconds(), "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000, "max_skew_ms": 6000,
		"budget_slack": 186, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 110000, "recover_s": 15, "propagation_ms": 200, "fencing_enforced": false,
		"version_ms": 10000, "version_all_ms": 14000,
	})
	maps.Copy(d.limits, map[string]any{"cpu_share": 0.192, "memory_mb": 112, "max_fds": maxDescriptors, "link_mbps": 10.0})
}

// askReadiness asks a router each second over a kept connection. After two misses it gets no new connections until it answers again.
func (e *entry) askReadiness(d *deployment, r *router, ended <-chan struct{}) {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{}}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		ready := false
		if response, err := client.Get("http://" + r.ready + platform.PathReadiness); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		d.note("%s ready %t", r.name, ready)
		e.mutex.Lock()
		if ready {
			e.misses[r], e.readyAt[r] = 0, append(e.readyAt[r], time.Now())
		} else {
			e.misses[r]++
		}
		e.mutex.Unlock()
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
	}
}

// pick returns the next router that is in, nil if there is none.
func (e *entry) pick(d *deployment) *router {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for range d.routers {
		r := d.routers[e.next%len(d.routers)]
		e.next++
		if e.misses[r] < 2 {
			return r
		}
	}
	return nil
}

func (e *entry) openConnections(d *deployment, ended <-chan struct{}) {
	perSecond := zoneRate
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
		if r := e.pick(d); r != nil {
			calls.Add(1)
			go func() {
				defer calls.Done()
				e.callOnce(d, r, fmt.Sprintf("%016x", i+1))
			}()
		}
	}
}

// callOnce sends one request on a new connection. It closes the connection only if there is no answer.
func (e *entry) callOnce(d *deployment, r *router, id string) {
	attempt := &newConnection{router: r, openedAt: time.Now()}
	connection, err := net.DialTimeout("tcp", r.front, time.Second)
	if err != nil {
		d.note("request %s to %s: no connection", id, r.name)
		return
	}
	e.mutex.Lock()
	e.connections = append(e.connections, attempt)
	e.mutex.Unlock()
	_ = connection.SetDeadline(time.Now().Add(answerTime))
	fmt.Fprintf(connection, "GET /list/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", hostName, platform.HeaderRequestID, id, platform.HeaderDeadlineMillis, answerTime.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		connection.Close()
		d.note("request %s to %s: no answer within %s", id, r.name, answerTime)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = connection.SetDeadline(time.Time{})
	d.note("request %s to %s: status %d", id, r.name, response.StatusCode)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	attempt.takenAt, e.open = time.Now(), append(e.open, connection)
}

// judge looks for a router that took no new connection for idleContact while clients tried and it said that it was ready.
func (e *entry) judge(d *deployment) verdict {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	worst, text := 0, "each router that said that it was ready took new connections"
	for _, r := range d.routers {
		var lastTaken time.Time
		tried, longest, most := 0, time.Duration(0), 0
		for _, c := range e.connections {
			if c.router != r {
				continue
			}
			if lastTaken.IsZero() || !c.takenAt.IsZero() {
				lastTaken, tried = c.openedAt, 0
				continue
			}
			tried++
			if span := c.openedAt.Sub(lastTaken); span > longest && e.saidReady(r, lastTaken, c.openedAt) {
				longest, most = span, tried
			}
		}
		d.note("%s: at longest %.1f s without a new connection, while %d clients tried and it said that it was ready", r.name, longest.Seconds(), most)
		if longest >= idleContact && most >= minTrying && most > worst {
			worst = most
			text = fmt.Sprintf("%s took no new connection for %.1f s while %d clients tried, and said that it was ready", r.name, longest.Seconds(), most)
		}
	}
	return verdict{broken: worst > 0, text: text}
}

// saidReady reports whether the router said throughout the time that it was ready: it answered 200 in each two seconds.
func (e *entry) saidReady(r *router, from, to time.Time) bool {
	last := from
	for _, at := range e.readyAt[r] {
		if at.After(from) && at.Before(to) {
			if at.Sub(last) > 2*time.Second {
				return false
			}
			last = at
		}
	}
	return to.Sub(last) <= 2*time.Second
}
