// Package runnerstand provides simulated runners of the platform for tests. They process calls,
// stream events, accept weight orders, and can be set to misbehave.
package runnerstand

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Behaviour is how a runner treats calls.
type Behaviour uint8

// Behaviours of a runner.
const (
	// Normal responds correctly.
	Normal Behaviour = iota
	// Fails responds with status 500 after processing the call.
	Fails
	// Sheds refuses the call with status 503 without processing it.
	Sheds
	// Drops processes the call and closes the connection without a response.
	Drops
	// TruncatesResponse closes the connection in the middle of the response.
	TruncatesResponse
	// Hangs processes the call and never responds.
	Hangs
	// MismatchesRequestID responds with the ID of another request.
	MismatchesRequestID
	// OmitsStamp responds without the response stamp.
	OmitsStamp
	// Delays responds after Config.ResponseDelay.
	Delays
	// Terminates closes the whole runner after the first event of a stream.
	Terminates
	// StopsResponding stops in the middle of a stream and accepts no more connections, like a
	// machine that lost power.
	StopsResponding
	// Queues processes the call only after the queue time (see SetQueueTime). A call whose
	// connection is closed before that is not processed.
	Queues
	// QueuesAfterHeaders is like Queues, but sends the response headers before queueing.
	QueuesAfterHeaders
	// Pauses stops after the first event of a stream until ResumeStreams or AbortStreams.
	Pauses
	// ShedsEarly is like Sheds, but refuses calls with a long body before it has read the body.
	ShedsEarly
)

// String returns the name of the behaviour in logs.
func (b Behaviour) String() string {
	return [...]string{"well", "fails", "sheds", "drops", "breaks off", "hangs", "crossed", "unstamped", "delays", "dies", "falls silent", "queues", "queues after head", "pauses", "sheds early"}[b]
}

// Config is the configuration of a runner.
type Config struct {
	ID      string
	Service string
	Zone    string
	// Model is empty for a runner without a language model.
	Model   string
	Version uint64
	// SoftwareVersion is the version of the runner's program, DefaultSoftwareVersion if it is empty.
	SoftwareVersion string
	// VersionInEvents adds the software version to the data of each event.
	VersionInEvents bool
	// Incarnation is part of the directory entry and of reports, unless it is 0.
	Incarnation uint64
	// EventCount is the number of events in a stream. If it is 0, responses are not streams.
	EventCount int
	// BodyBytes is the least length of other responses than streams.
	BodyBytes     int
	ResponseDelay time.Duration
	// EventInterval is the wait before each event of a stream.
	EventInterval time.Duration
	// PrefillTime is the time to read a part of the prompt. If it is not 0, the runner caches prompt parts.
	PrefillTime time.Duration
	// LoadTime is how long an order to take other weights is under way. Calls that have not begun are refused meanwhile.
	LoadTime time.Duration
	// Poison selects the calls that crash the runner.
	Poison Poison
	// Capacity bounds the calls that the runner processes and queues at a time. The zero value sets no
	// bound.
	Capacity Capacity
	// FindPeer returns the runner at an address, nil if there is none. The runner sends KV
	// copies of its streams there.
	FindPeer func(address string) *Runner
}

// Runner is a simulated runner. It is safe for concurrent use.
type Runner struct {
	Config
	Address string
	server  *http.Server
	// listener is closed without the server when the runner stops responding.
	listener net.Listener

	mutex         sync.Mutex
	behaviour     Behaviour
	behaviourOnce bool
	runs          []Run
	arrivals      []Arrival
	orders        []Order
	weightVersion uint64
	// weightRevision counts the applied orders. An order must name the current value.
	weightRevision uint64
	fencingToken   uint64
	// ignoresOrders is set if orders get no response and are not applied.
	ignoresOrders bool
	// loading is set while an order is under way.
	loading bool
	// kvCopies holds the request IDs of runs at other runners of which this one has a KV copy.
	kvCopies map[string]bool
	// continuedRuns lists the request IDs of runs that were continued here from a KV copy.
	continuedRuns []string
	// queueTime is how long calls are queued. Paused streams continue when resumed is closed
	// and are aborted when aborted is closed.
	queueTime time.Duration
	resumed   chan struct{}
	aborted   chan struct{}
	// responseHeaders are extra headers of all responses to calls.
	responseHeaders http.Header
	// reportCount counts the requests for a report. The responses are sent after reportDelay.
	reportCount int
	reportDelay time.Duration
	// framing delimits the bodies of responses, and cut ends them too early unless it is nil.
	framing Framing
	cut     *Cut
	// room is the state of Capacity.
	room room
	// surplus selects the responses that are sent twice, of which there were surplusCount.
	surplus      Surplus
	surplusCount atomic.Int64
	// parts are the cached prompt parts, and staleParts describes those that runs of other weights have used. crossedRuns is
	// the number of runs whose weights changed while they read the prompt.
	parts       *partCache
	staleParts  []string
	crossedRuns int
}

// DefaultSoftwareVersion is the software version of runners whose configuration names none.
const DefaultSoftwareVersion = "v1"

// defaultSlots is the number of slots in the directory entry of a runner without a capacity.
const defaultSlots = 8

// Start starts a runner on a free loopback address.
func Start(config Config) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	listener = newFallListener(listener)
	r := &Runner{Config: config, Address: listener.Addr().String(), listener: listener, weightVersion: config.Version, kvCopies: map[string]bool{}, parts: newPartCache(), resumed: make(chan struct{}), aborted: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnContext: withConnection, ConnState: armSurplus}
	go r.server.Serve(listener)
	return r, nil
}

// SetFencingToken makes the runner refuse orders with a lower fencing token, as if it had
// applied an order with this one.
func (r *Runner) SetFencingToken(token uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fencingToken = token
}

// IgnoreOrders makes the runner neither respond to orders nor apply them.
func (r *Runner) IgnoreOrders() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ignoresOrders = true
}

// Restart simulates a restart with the same ID, address and weights: the incarnation increases,
// fencing token, weight revision and KV copies are lost, and orders are no longer ignored.
// Connections stay open.
func (r *Runner) Restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Incarnation++
	r.weightRevision, r.fencingToken, r.ignoresOrders = 0, 0, false
	clear(r.kvCopies)
}

// Close stops the runner immediately.
func (r *Runner) Close() { r.server.Close() }

// DirectoryEntry returns the directory entry of the runner with the state.
func (r *Runner) DirectoryEntry(state string) map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	models := []map[string]any{}
	if r.Model != "" {
		models = append(models, map[string]any{"name": r.Model, "version": r.weightVersion, "adapters": []string{}})
	}
	entry := map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "version": cmp.Or(r.SoftwareVersion, DefaultSoftwareVersion), "slots": cmp.Or(r.Capacity.Slots, defaultSlots), "state": state, "models": models, "cold_remaining_ms": 0, "seq": r.weightRevision}
	r.addIncarnation(entry)
	return entry
}

// addIncarnation adds the incarnation to a directory entry or report. The mutex must be held.
func (r *Runner) addIncarnation(fields map[string]any) {
	if r.Incarnation > 0 {
		fields["born"] = r.Incarnation
	}
}

// SetBehaviour sets the behaviour for all later calls.
func (r *Runner) SetBehaviour(behaviour Behaviour) { r.setBehaviour(behaviour, false) }

// SetBehaviourOnce sets the behaviour for the next call. Later calls get Normal.
func (r *Runner) SetBehaviourOnce(behaviour Behaviour) { r.setBehaviour(behaviour, true) }

func (r *Runner) setBehaviour(behaviour Behaviour, once bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.behaviour, r.behaviourOnce = behaviour, once
}

// storeKVCopy stores a KV copy of the run, from which the run can be continued.
func (r *Runner) storeKVCopy(requestID string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kvCopies[requestID] = true
}

// WeightVersion returns the version of the loaded weights.
func (r *Runner) WeightVersion() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.weightVersion
}

// SetWeightVersion replaces the loaded weights without an order.
func (r *Runner) SetWeightVersion(version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.weightVersion = version
}

// serve handles one request. It refuses a request that is meant for another runner.
func (r *Runner) serve(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != r.ID {
		writer.Header().Set(platform.HeaderInstanceID, r.ID)
		writer.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
		r.prepareSurplus(request, writer, http.StatusMisdirectedRequest)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case platform.PathReport:
		if request.Header.Get(platform.HeaderExpectInstance) == "" {
			// Asked whether anything answers here, and not for this runner's report.
			writer.WriteHeader(http.StatusOK)
			return
		}
		r.handleReport(writer)
	case platform.PathOrder:
		r.handleOrder(writer, request)
	case platform.PathCacheEvents, platform.PathCacheList:
		r.handleCacheCall(writer, request)
	default:
		r.handleCall(writer, request)
	}
}

func (r *Runner) handleCacheCall(writer http.ResponseWriter, request *http.Request) {
	switch {
	case r.PrefillTime == 0:
		// The runner caches nothing.
		writer.WriteHeader(http.StatusNotFound)
	case request.URL.Path == platform.PathCacheList:
		r.parts.writeList(writer, r.Model)
	default:
		r.parts.writeEvents(writer, request, r.Model)
	}
}

func (r *Runner) handleReport(writer http.ResponseWriter) {
	time.Sleep(r.countReport())
	r.mutex.Lock()
	body := map[string]any{"stage": "both", "models": []map[string]any{{"name": r.Model, "version": r.weightVersion}}, "busy": r.loading, "seq": r.weightRevision}
	r.addIncarnation(body)
	r.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(body)
}

func (r *Runner) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var order Order
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answered := r.recordOrder(order)
	if !answered {
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(status)
}

// recordOrder records the order and applies it unless orders are ignored. It returns the HTTP
// status, and false if the order gets no response.
func (r *Runner) recordOrder(order Order) (status int, answered bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	order.ReceivedAt = time.Now()
	if !r.ignoresOrders {
		order.Status = r.applyOrder(order)
	}
	r.orders = append(r.orders, order)
	return order.Status, !r.ignoresOrders
}

// applyOrder applies the order if it is valid, and returns the HTTP status. The mutex must be held.
func (r *Runner) applyOrder(order Order) int {
	switch {
	case order.Holder == "" || order.FencingToken == 0:
		return http.StatusBadRequest
	case order.FencingToken < r.fencingToken:
		return http.StatusPreconditionFailed
	case order.ExpectedRevision != r.weightRevision:
		return http.StatusConflict
	case r.loading:
		return http.StatusConflict
	case order.Version == r.weightVersion:
		return http.StatusOK
	}
	r.fencingToken = order.FencingToken
	r.weightRevision++
	if r.LoadTime == 0 {
		r.takeWeights(order.Version)
		return http.StatusAccepted
	}
	r.loading = true
	time.AfterFunc(r.LoadTime, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.loading = false
		r.takeWeights(order.Version)
	})
	return http.StatusAccepted
}

// takeWeights replaces the weights and drops what is cached. The mutex must be held.
func (r *Runner) takeWeights(version uint64) {
	r.weightVersion = version
	r.parts.clear()
}

// recordArrival records the arrival of a call and returns the behaviour for it.
func (r *Runner) recordArrival(request *http.Request, body []byte, receivedAt time.Time) (Behaviour, Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	behaviour, run := r.decideBehaviour(request, body)
	arrival := Arrival{RequestID: run.RequestID, Path: run.Path, ReceivedAt: receivedAt}
	if behaviour.refuses() {
		arrival.RetryAfter = r.retryAfter()
	}
	r.arrivals = append(r.arrivals, arrival)
	return behaviour, run
}

// decideBehaviour returns the behaviour for a call, and records the run if it starts now. The mutex
// must be held.
func (r *Runner) decideBehaviour(request *http.Request, body []byte) (Behaviour, Run) {
	behaviour := r.behaviour
	if r.behaviourOnce {
		r.behaviour, r.behaviourOnce = Normal, false
	}
	run := Run{
		RequestID: request.Header.Get(platform.HeaderRequestID), Header: request.Header.Clone(), Path: request.RequestURI,
		Body: string(body), Version: r.weightVersion, StartedAt: time.Now(), Finished: make(chan struct{}),
	}
	expected := request.Header.Get(platform.HeaderExpectWeightVersion)
	if r.loading || expected != "" && expected != strconv.FormatUint(r.weightVersion, 10) {
		return Sheds, run
	}
	if kvSource := request.Header.Get(platform.HeaderKVFrom); kvSource != "" {
		if kvSource != r.Address+"/"+run.RequestID || !r.kvCopies[run.RequestID] {
			return Sheds, run
		}
		delete(r.kvCopies, run.RequestID)
		r.continuedRuns = append(r.continuedRuns, run.RequestID)
		return behaviour, run
	}
	if !behaviour.refuses() && !behaviour.isQueueing() {
		r.runs = append(r.runs, run)
	}
	return behaviour, run
}

func (r *Runner) handleCall(writer http.ResponseWriter, request *http.Request) {
	receivedAt := time.Now()
	if r.refusesEarly(request) {
		r.refuseEarly(writer, request, receivedAt)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	behaviour, run := r.recordArrival(request, body, receivedAt)
	defer close(run.Finished)
	if behaviour == Queues && !r.startAfterQueue(request, run) {
		return
	}
	if r.Poison.matches(request.Header, body) {
		r.crash(writer, run)
	}
	header := writer.Header()
	r.addResponseHeaders(header)
	r.addBrittleHeader(header)
	header.Set(platform.HeaderRequestID, run.RequestID)
	if !r.takeSlot(request) {
		r.forgetRun(run)
		header.Set(platform.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot()
	if r.PrefillTime > 0 && !behaviour.refuses() {
		r.recordStaleParts(run.RequestID, r.readPrompt(request, run.Version))
	}
	header.Set(platform.HeaderWeightVersions, strconv.FormatUint(r.WeightVersion(), 10))
	switch behaviour {
	case Sheds, ShedsEarly:
		header.Set(platform.HeaderNotExecuted, "1")
		r.prepareSurplus(request, writer, http.StatusServiceUnavailable)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case Drops:
		panic(http.ErrAbortHandler)
	case Hangs:
		<-request.Context().Done()
		return
	case Delays:
		time.Sleep(r.ResponseDelay)
	case MismatchesRequestID:
		header.Set(platform.HeaderRequestID, "another")
		header.Set("Connection", "close")
	}
	if behaviour != OmitsStamp {
		header.Set(platform.HeaderResponseStamp, r.ID+"."+run.RequestID)
	}
	if behaviour == Fails {
		writer.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(writer, r.pad("failed"))
		return
	}
	if behaviour == QueuesAfterHeaders && (http.NewResponseController(writer).Flush() != nil || !r.startAfterQueue(request, run)) {
		return
	}
	if r.EventCount > 0 {
		r.writeStream(writer, request, behaviour)
	} else {
		r.writeBody(writer, behaviour, run)
	}
	r.prepareSurplus(request, writer, http.StatusOK)
}
