package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() { scenarios["order-moved"] = playOrderMoved }

const (
	orderStreams  = 24
	streamEvents  = 36
	eventInterval = 300 * time.Millisecond
	// breakTime is how long a client reads before its connection breaks. The route is moved within the first of these times.
	breakTime   = 5 * time.Second
	movedAfter  = 1500 * time.Millisecond
	maxBreaks   = 2
	maxTakeUps  = 20
	retryPause  = 200 * time.Millisecond
	maxMixed    = 2
	startSpread = 25 * time.Millisecond
)

// clientStream is one stream as its client has it, over all its attempts.
type clientStream struct {
	id, lastEvent string
	events        int
	// sources are the services and software versions that its events came from.
	sources []string
	// key is the client's key, empty without one.
	key string
	// refused is the number of attempts that were refused, and goneOn is set if one went on after the connection had broken.
	refused        int
	broken, goneOn bool
	complete       bool
	// retryAfter is the time that the last refusal named, 0 without one.
	retryAfter time.Duration
}

// playOrderMoved lets clients take streams up again after their connections broke. Meanwhile the configuration moves the route to another service.
func playOrderMoved(d *deployment, trouble bool) (verdict, error) {
	for _, service := range []string{"engines-a", "engines-b"} {
		for i := range 6 {
			_, err := d.addRunner(runnerstand.Config{
				ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Model: "m", Version: 1, Incarnation: 1, SoftwareVersion: fmt.Sprintf("1.%d", 4+i%2),
				EventCount: streamEvents, EventInterval: eventInterval, VersionInEvents: true,
			})
			if err != nil {
				return verdict{}, err
			}
		}
	}
	d.store.Put(platform.KindWeightVersions, "m", map[string]any{"model": "m", "version": 1})
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, orderConfig(7, "engines-a"))
	d.addRouters(5)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	streams := make([]*clientStream, orderStreams)
	var clients sync.WaitGroup
	for i := range streams {
		streams[i] = &clientStream{id: fmt.Sprintf("%016x", i+1)}
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * startSpread)
			d.readStream(streams[i], i, maxBreaks)
		}()
	}
	time.Sleep(movedAfter)
	if trouble {
		d.store.Put(platform.KindConfig, platform.ConfigObjectName, orderConfig(8, "engines-b"))
		d.note("configuration 8 moves the route to engines-b, acknowledged")
	}
	clients.Wait()
	return d.judgeOrder(streams), nil
}

func orderConfig(version int, service string) map[string]any {
	engine := map[string]any{"slots": 64, "kv_capacity": 110556, "kv_token_bytes": 163840, "models": []map[string]any{{"name": "m"}}}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": hostName, "path_prefix": "/ask/", "kind": "streaming", "timeout_ms": 60000, "target_latency_ms": 800, "priority": 1,
			"service": service, "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 500, "public": true,
		}},
		"services": []map[string]any{
			{"name": "engines-a", "health_path": "/healthz", "max_connections": 360, "engine": engine},
			{"name": "engines-b", "health_path": "/healthz", "max_connections": 360, "engine": engine},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// readStream reads a stream to its end. The client's connection breaks a few times, and each time it takes the stream up at another router.
func (d *deployment) readStream(s *clientStream, number, maxBreaks int) {
	breaks := 0
	for attempt := range maxTakeUps {
		limit := breakTime
		if breaks == maxBreaks {
			limit = time.Minute
		}
		err := d.readAttempt(s, d.routers[(number+attempt)%len(d.routers)], attempt, limit)
		switch {
		case err == nil:
			s.complete = true
			return
		case errors.Is(err, errBroken):
			breaks++
		default:
			time.Sleep(retryPause)
		}
	}
}

var (
	errBroken  = errors.New("the connection broke")
	errRefused = errors.New("refused")
)

// readAttempt makes one attempt and reads events until the stream ends or the connection breaks after the limit.
func (d *deployment) readAttempt(s *clientStream, target *router, attempt int, limit time.Duration) error {
	connection, err := net.DialTimeout("tcp", target.front, time.Second)
	if err != nil {
		return err
	}
	defer connection.Close()
	id := s.id
	if attempt > 0 {
		id = fmt.Sprintf("%s.%d", s.id, attempt)
	}
	head := fmt.Sprintf("POST /ask/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: m\r\n%s: 9190,40\r\n%s: 5c1e07a2:6300,%s:2890\r\n%s: 60000\r\nContent-Length: 0\r\n",
		hostName, platform.HeaderRequestID, id, platform.HeaderModel, platform.HeaderTokenCounts, platform.HeaderPromptPrefix, s.id, platform.HeaderDeadlineMillis)
	if s.key != "" {
		head += "Authorization: Bearer " + s.key + "\r\n"
	}
	if s.lastEvent != "" {
		head += fmt.Sprintf("%s: %s\r\n%s: %s\r\n", platform.HeaderLastEventID, s.lastEvent, platform.HeaderResumes, s.id)
	}
	if _, err := io.WriteString(connection, head+"\r\n"); err != nil {
		return err
	}
	_ = connection.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(response.Body)
		s.refused++
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
			s.retryAfter = time.Duration(seconds) * time.Second
		}
		d.note("stream %s, attempt %d at %s after event %q: status %d, %s", s.id, attempt, target.name, s.lastEvent, response.StatusCode, strings.TrimSpace(string(reason)))
		return errRefused
	}
	runner, _, _ := strings.Cut(response.Header.Get(platform.HeaderResponseStamp), ".")
	d.note("stream %s, attempt %d at %s after event %q: runner %s", s.id, attempt, target.name, s.lastEvent, runner)
	lines := bufio.NewScanner(response.Body)
	for pending := ""; lines.Scan(); {
		line := lines.Text()
		if id, isID := strings.CutPrefix(line, "id: "); isID {
			pending = id
		}
		if data, isData := strings.CutPrefix(line, "data: "); isData {
			fields := strings.Fields(data)
			s.add(pending, d.serviceOf(runner)+" "+fields[len(fields)-1])
		}
	}
	if err := lines.Err(); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			_ = connection.(*net.TCPConn).SetLinger(0)
			s.broken = true
			d.note("stream %s: its connection to %s breaks after event %s", s.id, target.name, s.lastEvent)
			return errBroken
		}
		return err
	}
	return nil
}

// add adds an event.
func (s *clientStream) add(id, source string) {
	s.lastEvent = id
	s.events++
	s.goneOn = s.goneOn || s.broken
	if !slices.Contains(s.sources, source) {
		s.sources = append(s.sources, source)
	}
}

func (d *deployment) serviceOf(id string) string {
	for _, runner := range d.runners {
		if runner.ID == id {
			return runner.Service
		}
	}
	return "?"
}

// judgeOrder counts the streams that hold events of two software versions of one service.
func (d *deployment) judgeOrder(streams []*clientStream) verdict {
	mixed, complete := 0, 0
	for _, s := range streams {
		services, isMixed := map[string]bool{}, false
		for _, source := range s.sources {
			service, _, _ := strings.Cut(source, " ")
			isMixed = isMixed || services[service]
			services[service] = true
		}
		d.note("stream %s: %d events of %d, from %s; complete %t, refused %d times", s.id, s.events, streamEvents, strings.Join(s.sources, ", "), s.complete, s.refused)
		if isMixed {
			mixed++
		}
		if s.complete {
			complete++
		}
	}
	return verdict{broken: mixed > maxMixed, text: fmt.Sprintf("%d of %d streams hold events of two software versions of one service, %d are complete", mixed, len(streams), complete)}
}
