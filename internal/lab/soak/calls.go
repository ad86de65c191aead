package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// callRecord is one call with what its caller saw.
type callRecord struct {
	id     string
	path   string
	body   string
	tenant string
	// process is the name of the gateway that was called.
	process string
	// sent is when the caller sent it.
	sent       time.Time
	repeatable bool
	status     int
	// poison is set for a call that ends its runner, and quarantined when the call was
	// refused for what it asks.
	poison      bool
	quarantined bool
	// keyAdded is when the store took the call's key, if that is not taken away.
	keyAdded time.Time
	// keyTaken is true when the call was sent long after its key was taken away.
	keyTaken   bool
	sinceTaken time.Duration
}

// promised tells whether the caller was told that the call has not run.
func (c *callRecord) promised() bool {
	return c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}

// denied tells whether the caller was told that its key, which is not taken away, is not known.
func (c *callRecord) denied() bool {
	return c.status == http.StatusUnauthorized && !c.keyAdded.IsZero()
}

// callLog holds all calls of a run.
type callLog struct {
	mutex  sync.Mutex
	calls  map[string]*callRecord
	served int
}

func newCallLog() *callLog { return &callLog{calls: map[string]*callRecord{}} }

func (l *callLog) add(call *callRecord) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.calls[call.id] = call
}

func (l *callLog) find(id string) (*callRecord, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call, known := l.calls[id]
	return call, known
}

func (l *callLog) all() []*callRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var calls []*callRecord
	for _, call := range l.calls {
		calls = append(calls, call)
	}
	return calls
}

func (l *callLog) totals() (calls, served int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.calls), l.served
}

func (l *callLog) ended(call *callRecord, status int, quarantined bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call.status, call.quarantined = status, quarantined
	if status == http.StatusOK {
		l.served++
	}
}

// Times of calls.
const (
	callPause    = 25 * time.Millisecond
	callDeadline = 3 * time.Second
	// answerSlack is how long after its time-out a call may still be answered.
	answerSlack = time.Second
	// keySlack is kept from the bound on keys that were taken away.
	keySlack = 100 * time.Millisecond
)

// paths lists the routes with whether their calls may be repeated.
var paths = []struct {
	path       string
	repeatable bool
}{{"/safe/", true}, {"/unsafe/", false}, {"/stream/", true}, {"/once/", false}}

// call sends calls until the context ends.
func (s *Soak) call(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for number := 0; ctx.Err() == nil; number++ {
		route := paths[random.IntN(len(paths))]
		key, tenant, added, taken := s.config.key(random)
		call := &callRecord{
			id: fmt.Sprintf("%x-%d", random.Uint64(), number), path: fmt.Sprintf("%s%d", route.path, number),
			body: strings.Repeat("b", random.IntN(200)), tenant: tenant, repeatable: route.repeatable, keyAdded: added,
		}
		if !taken.IsZero() {
			call.sinceTaken = time.Since(taken)
			call.keyTaken = call.sinceTaken > revokeTime+keySlack
		}
		target := s.processes[random.IntN(len(s.processes))]
		call.process = target.name
		s.calls.add(call)
		s.callOnce(ctx, client, target, call, key)
		time.Sleep(callPause)
	}
}

func (s *Soak) callOnce(ctx context.Context, client *http.Client, target *process, call *callRecord, key string) {
	ctx, cancel := context.WithTimeout(ctx, callDeadline+2*answerSlack)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.addresses.Callers+call.path, strings.NewReader(call.body))
	if err != nil {
		return
	}
	// A body that cannot be read again keeps the client from sending it twice.
	request.GetBody = nil
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(platform.HeaderRequestID, call.id)
	request.Header.Set(platform.HeaderDeadlineMillis, fmt.Sprint(callDeadline.Milliseconds()))
	request.Header.Set(platform.HeaderModel, modelName)
	request.Header.Set(platform.HeaderPromptPrefix, "aa:100,bb:200,cc:50")
	began := time.Now()
	call.sent = began
	response, err := client.Do(request)
	if err != nil {
		s.checkAnswered(ctx, target, call, began)
		return
	}
	defer response.Body.Close()
	s.signals.hear(call.process, response.Header)
	body, err := io.ReadAll(response.Body)
	s.calls.ended(call, response.StatusCode, string(body) == quarantinedText)
	s.checkAnswered(ctx, target, call, began)
	if response.StatusCode == http.StatusOK && err == nil {
		s.checkAnswer(call, response.Header, string(body))
	}
}

// checkAnswered checks that a gateway that was well answered in time.
func (s *Soak) checkAnswered(ctx context.Context, target *process, call *callRecord, began time.Time) {
	took := time.Since(began)
	if took > callDeadline+answerSlack && ctx.Err() != context.Canceled && !target.harmedSince(began) {
		s.fail("time: %s was not answered by %s after %v", call.id, target.name, took)
	}
}

// checkAnswer checks a success: its own, whole, in order.
func (s *Soak) checkAnswer(call *callRecord, header http.Header, body string) {
	if header.Get(platform.HeaderRequestID) != call.id || header.Get(platform.HeaderResponseStamp) == "" {
		s.fail("own answer: %s got the head of %q", call.id, header.Get(platform.HeaderRequestID))
	}
	want := "answer to " + call.id
	if strings.HasPrefix(call.path, "/stream/") || strings.HasPrefix(call.path, "/once/") {
		want = wholeStream()
	}
	if body != want {
		s.fail("whole answer: %s (%s) got %q", call.id, call.path, body)
	}
}

func wholeStream() string {
	var text strings.Builder
	for id := 1; id <= streamEvents; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}
