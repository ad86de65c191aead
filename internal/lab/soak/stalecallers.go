package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// Callers of an episode with stale gateways.
const (
	// staleCallers take streams up at stale gateways, and newStreamCallers begin streams there.
	staleCallers     = 16
	newStreamCallers = 6
	// staleCallerTime is how long a caller waits for one attempt.
	staleCallerTime = 8 * time.Second
	// takeUpAtOncePercent is the percentage of streams that are taken up at once. atEndPercent of the others are taken up within
	// maxAfterEnd of the end, the rest within afterStaleTime of it.
	takeUpAtOncePercent = 40
	atEndPercent        = 75
	maxAfterEnd         = 20 * time.Millisecond
	// endTime is how long after the end of an episode attempts count as those at the end, which may be sent late on a busy machine.
	endTime = 200 * time.Millisecond
	// afterStaleTime is how long after the end of an episode attempts count as such at stale gateways.
	afterStaleTime = 800 * time.Millisecond
	// waitingStreams is the number of broken streams with which a caller waits for the end of the episode.
	waitingStreams    = 2
	newStreamInterval = 150 * time.Millisecond
	// maxRecordTime is the time within which the record of a stream outlives the gateway that began it and one replica. Gateways record
	// streams once they know a second version, at most maxDrainDelay after it joined.
	maxRecordTime = 300 * time.Millisecond
)

// minStaleShare is the share of the streams taken up at stale gateways which the store answers that must go on, if as many new ones begin there.
// minStaleTakeUps is the number of these from which on it is judged.
const (
	minStaleShare   = 0.95
	minStaleTakeUps = 20
)

// staleStreams begins the text of the failure that too few of the streams that callers took up at stale gateways went on.
const staleStreams = "stale gateways: "

// staleTally counts the attempts at stale gateways of one kind and phase.
type staleTally struct {
	takenUp, begun attemptTally
	// again counts the callers that came back, refused the take-ups that were refused although runners of the stream's version
	// serve and without a time to return, and mixed the streams that went on at another version.
	again, refused, mixed int
	// unrecorded counts streams that began at gateways which were killed before they had to record them, or which became stale themselves.
	// They are not judged.
	unrecorded attemptTally
	// isJudged is set if the store answers the gateway.
	isJudged bool
}

// stalePhase is the phase of an episode at gateways of one kind.
type stalePhase struct {
	episode int
	name    string
}

// staleTallies holds the tallies of phases.
type staleTallies map[stalePhase]*staleTally

// of returns the tally of the phase.
func (t staleTallies) of(phase stalePhase) *staleTally {
	if t[phase] == nil {
		t[phase] = &staleTally{}
	}
	return t[phase]
}

// sums returns the tallies of all episodes by the names of their phases.
func (t staleTallies) sums() map[string]*staleTally {
	sums := map[string]*staleTally{}
	for phase, tally := range t {
		if sums[phase.name] == nil {
			sums[phase.name] = &staleTally{}
		}
		sums[phase.name].add(tally)
	}
	return sums
}

// staleAttempt is a caller's attempt at a stale gateway, which may come back once.
type staleAttempt struct {
	stale  staleGateway
	stream *receivedStream
	sentAt time.Time
	// status is the last one, 0 if there was none. wasRefusedForGood is set if it came without a time to return.
	status                           int
	again, served, wasRefusedForGood bool
	end                              string
}

// phase returns the kind of the gateway and when the attempt was sent, empty if the gateway was not stale then, and whether the store answered it.
func (e *staleEpisode) phase(a *staleAttempt) (name string, storeAnswers bool) {
	switch {
	case a.sentAt.Before(e.from) || a.sentAt.After(e.to.Add(endTime+afterStaleTime)):
		return "", false
	case a.sentAt.Before(e.to):
		return a.stale.kind.name + ", meanwhile", a.stale.kind.storeFault == storestand.Healthy
	case a.sentAt.Before(e.to.Add(endTime)):
		return a.stale.kind.name + ", at the end", true
	}
	return a.stale.kind.name + ", afterwards", true
}

// startCallers starts the callers of the episode in the group.
func (f *staleGatewayInjector) startCallers(ctx context.Context, e *staleEpisode, group *sync.WaitGroup) {
	for i := range staleCallers {
		group.Go(func() {
			c := f.newCaller(e, i)
			defer c.client.CloseIdleConnections()
			c.takeUpStreams(ctx)
		})
	}
	for i := range newStreamCallers {
		group.Go(func() {
			c := f.newCaller(e, staleCallers+i)
			defer c.client.CloseIdleConnections()
			c.beginStreams(ctx)
		})
	}
}

// staleCaller is a caller of an episode.
type staleCaller struct {
	injector *staleGatewayInjector
	episode  *staleEpisode
	random   *rand.Rand
	client   *http.Client
	name     string
	// mutex guards streams, the number of streams begun.
	mutex   sync.Mutex
	streams int
}

func (f *staleGatewayInjector) newCaller(e *staleEpisode, number int) *staleCaller {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.started++
	return &staleCaller{
		injector: f, episode: e, random: rand.New(rand.NewPCG(e.seed, uint64(number))), name: fmt.Sprintf("%s-%d", e.service, f.started),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 + waitingStreams}},
	}
}

// newStreamName returns the ID of the next stream.
func (c *staleCaller) newStreamName() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streams++
	return fmt.Sprintf("%s-%d", c.name, c.streams)
}

func (c *staleCaller) randomStale() staleGateway {
	return c.episode.stale[c.random.IntN(len(c.episode.stale))]
}

// takeUpStreams begins streams at gateways that are not stale, breaks them and takes them up at those that are, until the end of the episode.
func (c *staleCaller) takeUpStreams(ctx context.Context) {
	e := c.episode
	var group sync.WaitGroup
	defer group.Wait()
	for _, stale := range e.stale {
		// This leaves an open connection.
		c.attempt(ctx, &staleAttempt{stale: stale, stream: &receivedStream{}}, stale.process, c.newStreamName(), streamEvents)
	}
	waiting := 0
	for time.Now().Before(e.to) && ctx.Err() == nil && waiting < waitingStreams {
		origin := e.origins[c.random.IntN(len(e.origins))]
		stream, id := &receivedStream{}, c.newStreamName()
		c.attempt(ctx, &staleAttempt{stream: stream}, origin, id, 1+c.random.IntN(streamEvents-1))
		switch at, isWaiting := c.takeUpTime(); {
		case stream.id == "":
			time.Sleep(callInterval)
		case !isWaiting:
			c.takeUp(ctx, stream, c.randomStale(), origin)
		default:
			waiting++
			stale := c.randomStale()
			group.Go(func() {
				time.Sleep(time.Until(at))
				c.takeUp(ctx, stream, stale, origin)
			})
		}
	}
}

// takeUpTime returns when the caller takes a stream up: at once, or after the end of the episode.
func (c *staleCaller) takeUpTime() (at time.Time, isWaiting bool) {
	e := c.episode
	switch {
	case c.random.IntN(100) < takeUpAtOncePercent:
		return time.Now(), false
	case c.random.IntN(100) < atEndPercent:
		return e.to.Add(randomUpTo(c.random, maxAfterEnd)), true
	}
	return e.to.Add(randomUpTo(c.random, afterStaleTime)), true
}

// beginStreams begins streams at stale gateways, with which those that are taken up are compared. It takes those that it leaves up at
// other gateways.
func (c *staleCaller) beginStreams(ctx context.Context) {
	e := c.episode
	var group sync.WaitGroup
	defer group.Wait()
	atEnd, staleAtEnd := e.to.Add(randomUpTo(c.random, maxAfterEnd)), c.randomStale()
	group.Go(func() {
		time.Sleep(time.Until(atEnd))
		c.begin(ctx, staleAtEnd, streamEvents)
	})
	for time.Now().Before(e.to.Add(afterStaleTime)) && ctx.Err() == nil {
		a := c.begin(ctx, c.randomStale(), 1+c.random.IntN(streamEvents))
		if a.stream.id != "" && a.stream.lastID < streamEvents && ctx.Err() == nil {
			c.takeUpElsewhere(ctx, a)
		}
		time.Sleep(randomUpTo(c.random, newStreamInterval))
	}
}

// begin begins a stream at a stale gateway and counts it.
func (c *staleCaller) begin(ctx context.Context, stale staleGateway, stopAfter int) *staleAttempt {
	a := &staleAttempt{stale: stale, stream: &receivedStream{}, sentAt: time.Now()}
	if c.attemptTwice(ctx, a, c.newStreamName(), stopAfter); ctx.Err() == nil {
		c.count(a, false)
	}
	return a
}

// takeUp takes a stream up at a stale gateway and counts it, unless too few runners of its version serve.
func (c *staleCaller) takeUp(ctx context.Context, stream *receivedStream, stale staleGateway, origin *process) {
	version := stream.versions[0]
	a := &staleAttempt{stale: stale, stream: stream, sentAt: time.Now()}
	servedBefore := c.isServing(version)
	c.attemptTwice(ctx, a, c.newStreamName(), streamEvents)
	if ctx.Err() != nil {
		return
	}
	if a.stream.versions[0] != version {
		c.countMixed(a)
	}
	counts := servedBefore && c.isServing(version)
	switch {
	case counts && (c.wasLost(stream, version, origin) || c.wasStale(stream, origin)):
		c.countUnrecorded(a)
	case counts:
		c.count(a, true)
	}
	if !a.served {
		c.injector.soak.logf("stale gateways: %s of %s did not go on at %s: %s, sent %s, counted %v", stream.id, version, stale.name, a.end, formatTime(a.sentAt), counts)
	}
}

// wasLost reports whether the gateway at which the stream began was killed before it had to be recorded.
func (c *staleCaller) wasLost(stream *receivedStream, version string, origin *process) bool {
	e, recordedBy := c.episode, stream.beganAt
	if known := e.joinAt.Add(maxDrainDelay); version != e.newVersion && recordedBy.Before(known) {
		recordedBy = known
	}
	endedAt := origin.lifeAt(stream.beganAt).endedAt
	return !endedAt.IsZero() && endedAt.Before(recordedBy.Add(maxRecordTime))
}

// wasStale reports whether the gateway at which the stream began has been paused or cut off the store since. The soak tells these streams
// apart, as nobody else may know where they began.
func (c *staleCaller) wasStale(stream *receivedStream, origin *process) bool {
	return c.injector.soak.disturbances.lastDisturbed(time.Now(), unrecordedSubject(origin.name)).After(stream.beganAt)
}

// takeUpElsewhere takes a stream that began at a stale gateway up at one that is not.
func (c *staleCaller) takeUpElsewhere(ctx context.Context, begun *staleAttempt) {
	name, _ := c.episode.phase(begun)
	if name == "" {
		return
	}
	stream, origins := begun.stream, c.episode.origins
	version := stream.versions[0]
	a := &staleAttempt{stale: staleGateway{process: origins[c.random.IntN(len(origins))]}, stream: stream}
	c.attemptTwice(ctx, a, c.newStreamName(), streamEvents)
	c.injector.mutex.Lock()
	defer c.injector.mutex.Unlock()
	t := c.injector.elsewhere.of(stalePhase{c.episode.number, name})
	t.takenUp.add(a.served)
	if a.wasRefusedForGood {
		t.refused++
	}
	if stream.versions[0] != version {
		t.mixed++
	}
}

func (c *staleCaller) isServing(version string) bool {
	return c.injector.soak.runners.servingCount(c.episode.service, version) >= 2
}

// attemptTwice sends the attempt. A caller that is refused with a time to return comes back once.
func (c *staleCaller) attemptTwice(ctx context.Context, a *staleAttempt, id string, stopAfter int) {
	wait := c.attempt(ctx, a, a.stale.process, id, stopAfter)
	if a.served || wait == 0 {
		return
	}
	a.again = true
	time.Sleep(wait)
	c.attempt(ctx, a, a.stale.process, id+"-again", stopAfter)
}

// attempt sends one attempt, reads its events up to the one at which the caller leaves, and returns the time after which a caller
// that was refused may come back.
func (c *staleCaller) attempt(ctx context.Context, a *staleAttempt, target *process, id string, stopAfter int) (wait time.Duration) {
	s, stream := c.injector.soak, a.stream
	takesUp, eventsBefore := stream.id != "", stream.lastID
	ctx, cancel := context.WithTimeout(ctx, staleCallerTime+responseSlack)
	defer cancel()
	call := &callRecord{id: id, path: "/" + c.episode.service + "/" + id, tenant: tenantName, repeatable: true, gatewayName: target.name, sentAt: time.Now()}
	s.calls.add(call)
	request, err := newRequest(ctx, target, call, s.config.establishedKey(), releaseModel(c.episode.service), "cc:100,dd"+strings.ReplaceAll(id, "-", "0")+":20")
	if err != nil {
		s.failf("stale gateways: %v", err)
		return 0
	}
	request.Header.Set(platform.HeaderDeadlineMillis, fmt.Sprint(staleCallerTime.Milliseconds()))
	if takesUp {
		request.Header.Set(platform.HeaderResumes, stream.id)
		request.Header.Set(platform.HeaderLastEventID, strconv.Itoa(stream.lastID))
	}
	response, err := c.client.Do(request)
	a.end, a.status, a.wasRefusedForGood = describe(response, err), 0, false
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if response.StatusCode == http.StatusOK {
		s.readEvents(response, stream, id, stopAfter)
	}
	s.calls.recordEnd(call, response.StatusCode, false)
	a.served = stream.lastID > eventsBefore
	wait, err = retryAfter(response.Header)
	if err != nil {
		s.failf("stale gateways: %s got a time to return that is none: %v", id, err)
	}
	a.wasRefusedForGood = response.StatusCode == http.StatusServiceUnavailable && wait == 0
	return wait
}

// retryAfter returns the time to return, 0 if there is none.
func retryAfter(header http.Header) (time.Duration, error) {
	text := header.Get(platform.HeaderRetryAfter)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err == nil && seconds <= 0 {
		err = errors.New(text)
	}
	return time.Duration(seconds * float64(time.Second)), err
}

// tally returns the tally of the attempt, nil if it does not count. The injector's mutex must be held.
func (c *staleCaller) tally(a *staleAttempt) *staleTally {
	name, isJudged := c.episode.phase(a)
	if name == "" {
		return nil
	}
	t := c.injector.tallies.of(stalePhase{c.episode.number, name})
	t.isJudged = isJudged
	return t
}

// count counts the attempt, unless the gateway did not know its API key yet.
func (c *staleCaller) count(a *staleAttempt, takesUp bool) {
	c.injector.mutex.Lock()
	defer c.injector.mutex.Unlock()
	t := c.tally(a)
	if t == nil || a.status == http.StatusUnauthorized {
		return
	}
	if !takesUp {
		t.begun.add(a.served)
		return
	}
	t.takenUp.add(a.served)
	if a.again {
		t.again++
	}
	if a.wasRefusedForGood {
		t.refused++
	}
}

func (c *staleCaller) countUnrecorded(a *staleAttempt) {
	c.injector.mutex.Lock()
	defer c.injector.mutex.Unlock()
	if t := c.tally(a); t != nil {
		t.unrecorded.add(a.served)
	}
}

func (c *staleCaller) countMixed(a *staleAttempt) {
	c.injector.mutex.Lock()
	defer c.injector.mutex.Unlock()
	if t := c.tally(a); t != nil {
		t.mixed++
	}
}

func (t *staleTally) add(other *staleTally) {
	t.takenUp.total, t.takenUp.served = t.takenUp.total+other.takenUp.total, t.takenUp.served+other.takenUp.served
	t.begun.total, t.begun.served = t.begun.total+other.begun.total, t.begun.served+other.begun.served
	t.unrecorded.total, t.unrecorded.served = t.unrecorded.total+other.unrecorded.total, t.unrecorded.served+other.unrecorded.served
	t.again, t.refused, t.mixed = t.again+other.again, t.refused+other.refused, t.mixed+other.mixed
}

func (t *staleTally) String() string {
	return fmt.Sprintf("%d of %d streams taken up went on (%d came back, %d refused for good, %d mixed), %d of %d of lost or stale gateways, %d of %d new ones began",
		t.takenUp.served, t.takenUp.total, t.again, t.refused, t.mixed, t.unrecorded.served, t.unrecorded.total, t.begun.served, t.begun.total)
}

// check reports the streams taken up at stale gateways. It fails the run if there were too few, or if too few went on while the store
// answered the gateways.
func (f *staleGatewayInjector) check() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all, judged staleTally
	for _, tally := range f.tallies {
		all.add(tally)
		if tally.isJudged && tally.begun.total > 0 && tally.begun.share() >= minStaleShare {
			judged.add(tally)
		}
	}
	sums, elsewhere := f.tallies.sums(), f.elsewhere.sums()
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		f.soak.logf("stale gateways: %s: %v", name, sums[name])
	}
	f.soak.logf("stale gateways: in all %v; while the store answers and new ones begin %v", &all, &judged)
	for _, name := range slices.Sorted(maps.Keys(elsewhere)) {
		t := elsewhere[name]
		f.soak.logf("stale gateways: %s: %d of %d streams that began there went on elsewhere (%d refused for good, %d mixed)", name, t.takenUp.served, t.takenUp.total, t.refused, t.mixed)
	}
	if all.takenUp.total < minStaleTakeUps {
		f.soak.failf("soak: only %d streams were taken up at stale gateways", all.takenUp.total)
	}
	if judged.takenUp.total >= minStaleTakeUps && judged.takenUp.share() < minStaleShare {
		f.soak.failf("%sonly %v", staleStreams, &judged)
	}
}
