package soak

import (
	"cmp"
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

// callRecord is a call and the outcome that its caller saw.
type callRecord struct {
	id     string
	path   string
	body   string
	tenant string
	// gatewayName is the name of the gateway that was called.
	gatewayName string
	// sentAt is when the caller sent the call, and endedAt when it had the response.
	sentAt, endedAt time.Time
	// key is the API key of the call.
	key        string
	repeatable bool
	status     int
	// isPoison is set for a call that crashes the runner that processes it. quarantined is set if
	// the call was refused because its content is quarantined.
	isPoison    bool
	quarantined bool
	// badPart is the prompt part by which the call crashes runners, empty if it is none, and prompt the
	// parts of its prompt, empty for the usual ones.
	badPart, prompt string
	// keyAddedAt is when the store acknowledged the call's API key. It is zero if the key has been
	// revoked.
	keyAddedAt time.Time
	// usedRevokedKey is set if the call was sent after the bound within which the revocation of its
	// key takes effect. sinceRevoked is the time between revocation and call.
	usedRevokedKey bool
	sinceRevoked   time.Duration
}

// wasRefusedUnprocessed reports whether the caller was told that the call was not processed.
func (c *callRecord) wasRefusedUnprocessed() bool {
	switch c.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// service returns the service of the call's route.
func (c *callRecord) service() string {
	if strings.HasPrefix(c.path, "/safe/") || strings.HasPrefix(c.path, "/unsafe/") {
		return plainService
	}
	if strings.HasPrefix(c.path, "/"+mixedService+"/") {
		return mixedService
	}
	return "engines"
}

// wasDeniedValidKey reports whether the caller was told that its API key is unknown although the
// key has not been revoked.
func (c *callRecord) wasDeniedValidKey() bool {
	return c.status == http.StatusUnauthorized && !c.keyAddedAt.IsZero()
}

// callLog holds all calls of a run. It is safe for concurrent use.
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

// totals returns the number of calls and the number of successful calls.
func (l *callLog) totals() (calls, served int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.calls), l.served
}

// recordEnd records the outcome of the call.
func (l *callLog) recordEnd(call *callRecord, status int, quarantined bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	call.status, call.quarantined, call.endedAt = status, quarantined, time.Now()
	if status == http.StatusOK {
		l.served++
	}
}

// Times of calls.
const (
	callInterval = 25 * time.Millisecond
	callTimeout  = 3 * time.Second
	// responseSlack is how long after its timeout a call may still be answered.
	responseSlack = time.Second
	// revocationSlack is added to maxRevokeDelay for the time after which the use of a revoked key
	// is a failure.
	revocationSlack = 100 * time.Millisecond
)

// routes lists the path prefixes of the routes, and whether calls on them are repeatable.
var routes = []struct {
	prefix     string
	repeatable bool
}{{"/safe/", true}, {"/unsafe/", false}, {"/stream/", true}, {"/once/", false}}

// sendCalls sends calls to random gateways until the context is done.
func (s *Soak) sendCalls(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client, http10Client := &http.Client{Transport: transport}, &http.Client{Transport: http10Transport{}}
	for number := 0; ctx.Err() == nil; number++ {
		route := routes[random.IntN(len(routes))]
		key, tenant, addedAt, revokedAt := s.config.randomKey(random)
		call := &callRecord{
			id: fmt.Sprintf("%x-%d", random.Uint64(), number), path: fmt.Sprintf("%s%d", route.prefix, number),
			body: strings.Repeat("b", random.IntN(200)), tenant: tenant, repeatable: route.repeatable, keyAddedAt: addedAt,
		}
		if !revokedAt.IsZero() {
			call.sinceRevoked = time.Since(revokedAt)
			call.usedRevokedKey = call.sinceRevoked > maxRevokeDelay+revocationSlack
		}
		if s.settings.Refusals && random.Float64() < longBodyShare {
			call.body = strings.Repeat("b", random.IntN(maxLongBody))
		}
		if s.settings.BadParts {
			call.prompt = fmt.Sprintf("aa:100,bb%d:200,cc%d:50", random.IntN(sharedParts), number)
		}
		target, chosenClient := s.processes[random.IntN(len(s.processes))], client
		if s.settings.BrokenAnswers && random.Float64() < http10Share {
			chosenClient = http10Client
		}
		if s.skews != nil {
			if skewed := s.skews.target(random); skewed != nil {
				target = skewed
				transport.CloseIdleConnections()
			}
		}
		call.gatewayName = target.name
		s.calls.add(call)
		s.sendCall(ctx, chosenClient, target, call, key)
		time.Sleep(callInterval)
	}
}

// newRequest returns the HTTP request of the call to the gateway.
func newRequest(ctx context.Context, target *process, call *callRecord, key, model, prompt string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.addresses.CallAddress+call.path, strings.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client cannot send the request a second time.
	request.GetBody = nil
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(platform.HeaderRequestID, call.id)
	request.Header.Set(platform.HeaderDeadlineMillis, fmt.Sprint(callTimeout.Milliseconds()))
	request.Header.Set(platform.HeaderModel, model)
	request.Header.Set(platform.HeaderPromptPrefix, prompt)
	return request, nil
}

// sendCall sends the call to the gateway, records the outcome and checks the response.
func (s *Soak) sendCall(ctx context.Context, client *http.Client, target *process, call *callRecord, key string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+2*responseSlack)
	defer cancel()
	request, err := newRequest(ctx, target, call, key, modelName, cmp.Or(call.prompt, "aa:100,bb:200,cc:50"))
	if err != nil {
		return
	}
	start := time.Now()
	call.sentAt, call.key = start, key
	response, err := client.Do(request)
	if err != nil {
		s.checkResponseTime(ctx, target, call, start)
		return
	}
	defer response.Body.Close()
	s.signals.recordForwarded(call.gatewayName, response.Header)
	body, err := io.ReadAll(response.Body)
	s.calls.recordEnd(call, response.StatusCode, string(body) == quarantinedBody || string(body) == quarantinedPartBody)
	s.checkResponseTime(ctx, target, call, start)
	if response.StatusCode == http.StatusOK && err == nil {
		s.checkResponse(call, response.Header, string(body))
	}
}

// checkResponseTime fails the run if the call took too long although the gateway was available.
func (s *Soak) checkResponseTime(ctx context.Context, target *process, call *callRecord, start time.Time) {
	elapsed := time.Since(start)
	if elapsed > callTimeout+responseSlack && ctx.Err() != context.Canceled && !target.wasUnavailableSince(start) {
		s.failf("time: %s was not answered by %s after %v", call.id, target.name, elapsed)
	}
}

// checkResponse checks that the response to a successful call belongs to this call and is complete.
func (s *Soak) checkResponse(call *callRecord, header http.Header, body string) {
	if header.Get(platform.HeaderRequestID) != call.id || header.Get(platform.HeaderResponseStamp) == "" {
		s.failf("own answer: %s got the response headers of %q", call.id, header.Get(platform.HeaderRequestID))
	}
	want := "answer to " + call.id
	if strings.HasPrefix(call.path, "/stream/") || strings.HasPrefix(call.path, "/once/") {
		want = expectedEvents(streamEvents)
	}
	if body != want {
		s.failf("whole answer: %s (%s) got %q", call.id, call.path, body)
	}
}

// expectedEvents returns the complete body of a stream with the number of events.
func expectedEvents(count int) string {
	var text strings.Builder
	for id := 1; id <= count; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}
