package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Callers of streams that they take up.
const (
	streamCallers = 6
	// lossStreamCallers is their number where many gateways are lost at once, so that each loss breaks many streams.
	lossStreamCallers = 36
	// maxTakeUps is how often a caller takes one stream up.
	maxTakeUps = 4
	// leaveShare is the share of attempts that the caller leaves before the end.
	leaveShare = 0.6
	// pauseShare is the share of attempts after which a caller pauses for up to maxPause, with Returns, so that its stream
	// outlives a loss of gateways. A caller that is not served tries again after up to maxRetryPause, until maxStreamTime after
	// the begin.
	pauseShare    = 0.3
	maxPause      = 5 * time.Second
	maxRetryPause = time.Second
	maxStreamTime = 10 * time.Second
	// minTakeUps is the number of streams from which on the share that goes on is judged.
	minTakeUps = 12
)

// refusedStreams begins the text of the failure that too few of the streams that callers took up went on.
const refusedStreams = "streams:"

// IsRefusedStreams reports whether the failure is that too few of the streams that callers took up went on.
func IsRefusedStreams(failure string) bool { return strings.HasPrefix(failure, refusedStreams) }

// attemptTally counts attempts and those that brought an event.
type attemptTally struct{ total, served int }

func (t *attemptTally) add(served bool) {
	t.total++
	if served {
		t.served++
	}
}

func (t attemptTally) share() float64 { return float64(t.served) / float64(max(t.total, 1)) }

// streamCallerPool sends streams that callers leave, or that break, and takes them up at other gateways. It checks that
// all events of a stream are of one software version, and that none is missing or comes twice.
type streamCallerPool struct {
	soak  *Soak
	mutex sync.Mutex
	// begun counts first attempts, and takenUp those that take a stream up, each at undisturbed gateways while two
	// runners of the version serve.
	begun, takenUp attemptTally
	// afterLoss are those of takenUp whose streams began before the last loss of many gateways, which was at lossAt.
	afterLoss attemptTally
	lossAt    time.Time
	// complete is the number of streams that were received whole.
	complete int
}

// callerCount returns the number of callers.
func (p *streamCallerPool) callerCount() int {
	if p.soak.settings.Returns {
		return lossStreamCallers
	}
	return streamCallers
}

// run sends streams until the context is done.
func (p *streamCallerPool) run(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(p.soak.settings.Seed, uint64(1000+number)))
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for stream := 0; ctx.Err() == nil; stream++ {
		p.runStream(ctx, &http.Client{Transport: transport}, random, fmt.Sprintf("%d-%d", number, stream))
		time.Sleep(callInterval)
	}
}

// receivedStream is what a caller has of a stream.
type receivedStream struct {
	// id is that of the attempt that brought the first event.
	id       string
	versions []string
	lastID   int
	beganAt  time.Time
	// deadline is until when the caller waits.
	deadline time.Time
}

// runStream opens a stream and takes it up until it is whole or was tried often enough.
func (p *streamCallerPool) runStream(ctx context.Context, client *http.Client, random *rand.Rand, name string) {
	var stream receivedStream
	prompt := fmt.Sprintf("cc%d:100,dd%s:20", random.IntN(10), name)
	stream.deadline = time.Now().Add(p.streamTime())
	for attempt := 0; stream.lastID < streamEvents && ctx.Err() == nil && p.mayGoOn(attempt, &stream); attempt++ {
		target := p.soak.processes[random.IntN(len(p.soak.processes))]
		stopAfter := streamEvents
		if random.Float64() < leaveShare {
			stopAfter = 1 + random.IntN(streamEvents)
		}
		served := p.attempt(ctx, client, target, &stream, fmt.Sprintf("mixed-%s-%d", name, attempt), prompt, stopAfter)
		time.Sleep(p.pause(random, served))
	}
	if stream.lastID == streamEvents {
		p.mutex.Lock()
		p.complete++
		p.mutex.Unlock()
	}
}

// streamTime returns for how long callers want a stream.
func (p *streamCallerPool) streamTime() time.Duration {
	if p.soak.settings.Returns {
		return maxStreamTime
	}
	return callTimeout
}

// mayGoOn reports whether the caller makes another attempt.
func (p *streamCallerPool) mayGoOn(attempts int, stream *receivedStream) bool {
	if p.soak.settings.Returns {
		return time.Now().Before(stream.deadline)
	}
	return attempts <= maxTakeUps
}

// pause returns how long a caller waits before it takes a stream up.
func (p *streamCallerPool) pause(random *rand.Rand, served bool) time.Duration {
	limit := 4 * callInterval
	switch {
	case !p.soak.settings.Returns:
	case !served:
		limit = maxRetryPause
	case random.Float64() < pauseShare:
		limit = maxPause
	}
	return time.Duration(random.Int64N(int64(limit)))
}

// attempt sends one attempt and reads its events, at most up to the one at which the caller leaves. It reports whether it was
// served.
func (p *streamCallerPool) attempt(ctx context.Context, client *http.Client, target *process, stream *receivedStream, id, prompt string, stopAfter int) (served bool) {
	s, takesUp, eventsBefore := p.soak, stream.id != "", stream.lastID
	counts := p.isCounted(target, stream)
	ctx, cancel := context.WithTimeout(ctx, callTimeout+responseSlack)
	defer cancel()
	call := &callRecord{id: id, path: "/" + mixedService + "/" + id, tenant: tenantName, repeatable: true, gatewayName: target.name, sentAt: time.Now()}
	s.calls.add(call)
	request, err := newRequest(ctx, target, call, s.config.validKey(), mixedModel, prompt)
	if err != nil {
		s.failf("versions: %v", err)
		return false
	}
	if s.settings.Returns {
		request.Header.Set(platform.HeaderDeadlineMillis, fmt.Sprint(max(time.Until(stream.deadline).Milliseconds(), 1)))
	}
	if takesUp {
		request.Header.Set(platform.HeaderResumes, stream.id)
		request.Header.Set(platform.HeaderLastEventID, strconv.Itoa(stream.lastID))
	}
	response, err := client.Do(request)
	if err == nil {
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.readEvents(response, stream, id, stopAfter)
		}
		s.calls.recordEnd(call, response.StatusCode, false)
	}
	served = stream.lastID > eventsBefore || eventsBefore == streamEvents
	if counts && p.isCounted(target, stream) {
		p.count(takesUp, served, stream.beganAt)
	}
	if takesUp && !served {
		s.logf("versions: %s of %v did not go on at %s: %s, counted %v", stream.id, stream.versions, target.name, describe(response, err), counts)
	}
	return served
}

// describe returns how an attempt ended.
func describe(response *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	return response.Status
}

// isCounted reports whether the gateway has been undisturbed, and two runners of the stream's version serve.
func (p *streamCallerPool) isCounted(target *process, stream *receivedStream) bool {
	s := p.soak
	if s.undisturbedFor(time.Now(), target.name, storeSubject, gatewayStoreSubject(target.name)) <= settleTime || target.wasUnavailableSince(time.Now().Add(-settleTime)) {
		return false
	}
	return len(stream.versions) == 0 || s.runners.servingCount(mixedService, stream.versions[0]) >= 2
}

func (p *streamCallerPool) count(takesUp, served bool, beganAt time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !takesUp {
		p.begun.add(served)
		return
	}
	p.takenUp.add(served)
	if beganAt.Before(p.lossAt) {
		p.afterLoss.add(served)
	}
}

// recordLoss records that many gateways are lost now.
func (p *streamCallerPool) recordLoss() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lossAt = time.Now()
}

// eventPattern matches the data of an event: its number and software version.
var eventPattern = regexp.MustCompile(`^data: piece (\d+) (\S+)$`)

// readEvents reads events until the end of the response or the event after which the caller leaves, and checks them.
func (s *Soak) readEvents(response *http.Response, stream *receivedStream, id string, stopAfter int) {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		match := eventPattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			if line := scanner.Text(); line != "" && !strings.HasPrefix(line, "id: ") {
				s.failf("versions: %s got the line %q", id, line)
			}
			continue
		}
		// The event's blank line may be missing, but gateways send whole events only.
		number, _ := strconv.Atoi(match[1])
		if number != stream.lastID+1 {
			s.failf("versions: %s got event %d after %d", id, number, stream.lastID)
		}
		stream.lastID = number
		if stream.id == "" {
			stream.id, stream.beganAt = id, time.Now()
		}
		if !slices.Contains(stream.versions, match[2]) {
			stream.versions = append(stream.versions, match[2])
		}
		if len(stream.versions) > 1 {
			s.failf("versions: %s, taken up as %s, has events of %v, the last from %s", stream.id, id, stream.versions, response.Header.Get(platform.HeaderResponseStamp))
			stream.versions = stream.versions[1:]
		}
		if number >= stopAfter {
			return
		}
	}
}

// check compares the streams that were taken up with new ones.
func (p *streamCallerPool) check() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.soak.logf("versions: %d streams whole; %d of %d new streams and %d of %d taken up served, of these %d of %d after a loss", p.complete, p.begun.served, p.begun.total, p.takenUp.served, p.takenUp.total, p.afterLoss.served, p.afterLoss.total)
	for _, takenUp := range []attemptTally{p.takenUp, p.afterLoss} {
		if takenUp.total >= minTakeUps && takenUp.share() < p.begun.share()/2 {
			p.soak.failf("%s %.2f of the %d streams that were taken up went on, and %.2f of the new ones began", refusedStreams, takenUp.share(), takenUp.total, p.begun.share())
		}
	}
}
