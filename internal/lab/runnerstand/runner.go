// Package runnerstand is a stand-in of the platform's runners: it runs calls,
// streams events, takes orders for weights, and misbehaves as told.
package runnerstand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Behaviour is what a runner does with a call.
type Behaviour uint8

// The behaviours.
const (
	// Well answers as it should.
	Well Behaviour = iota
	// Fails answers 500 after running it.
	Fails
	// Sheds refuses without running it.
	Sheds
	// Drops runs it and breaks the connection without an answer.
	Drops
	// BreaksOff breaks the connection in the middle of the answer.
	BreaksOff
	// Hangs runs it and never answers.
	Hangs
	// Crossed answers with another request's id.
	Crossed
	// Unstamped answers without its stamp.
	Unstamped
	// Delays answers after Config.Delay.
	Delays
	// Dies ends the whole runner after the first event of a stream.
	Dies
	// FallsSilent stops in the middle of a stream and takes no connections any
	// more, as a machine without power does.
	FallsSilent
	// Queues runs the call only after it has queued for the time set with Queue; a
	// call whose connection ends before is not run.
	Queues
	// QueuesAfterHead queues in the same way, but sends the head of its answer first.
	QueuesAfterHead
	// Pauses stops after the first event of a stream until Resume or Break.
	Pauses
)

// String returns the behaviour's name.
func (b Behaviour) String() string {
	return [...]string{"well", "fails", "sheds", "drops", "breaks off", "hangs", "crossed", "unstamped", "delays", "dies", "falls silent", "queues", "queues after head", "pauses"}[b]
}

// Config is what a runner is started with.
type Config struct {
	ID      string
	Service string
	Zone    string
	// Model is empty for a runner without a language model.
	Model   string
	Version uint64
	// Incarnation is told by entry and reports, unless it is 0.
	Incarnation uint64
	// Events is the length of its streams.
	Events int
	Delay  time.Duration
	// EventTime is how long the runner takes for each event.
	EventTime time.Duration
	// Poison is what ends the runner.
	Poison Poison
	// Peer finds the runner at an address, to which copies of runs are sent.
	Peer func(address string) *Runner
}

// Runner is the stand-in.
type Runner struct {
	Config
	Address string
	server  *http.Server
	// listener is closed alone when the runner falls silent.
	listener net.Listener

	mutex     sync.Mutex
	behaviour Behaviour
	once      bool
	runs      []Run
	arrivals  []Arrival
	orders    []Order
	version   uint64
	seq       uint64
	fence     uint64
	// deaf is whether orders are neither answered nor carried out.
	deaf bool
	// copies holds the runs of other runners that this one has a copy of.
	copies map[string]bool
	// continued lists the runs that went on here from a copy.
	continued []string
	// queueing is how long calls queue, and resume lets paused streams go on, which
	// broken breaks off.
	queueing time.Duration
	resume   chan struct{}
	broken   chan struct{}
	// announced are headers of all its answers.
	announced http.Header
	// reports counts the questions for a report, which are answered after reportTime.
	reports    int
	reportTime time.Duration
}

// Start serves a runner at a free loopback address.
func Start(config Config) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{Config: config, Address: listener.Addr().String(), listener: listener, version: config.Version, copies: map[string]bool{}, resume: make(chan struct{}), broken: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(listener)
	return r, nil
}

// SetFence makes the runner refuse orders with lower fencing tokens, as if a
// holder with this one had ordered it.
func (r *Runner) SetFence(token uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fence = token
}

// LeaveOrders makes the runner leave orders without an answer, and not carry them out.
func (r *Runner) LeaveOrders() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.deaf = true
}

// Restart makes the runner start again under its id and address with the weights that it
// has. It holds and knows nothing of before; its connections stay.
func (r *Runner) Restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Incarnation++
	r.seq, r.fence, r.deaf = 0, 0, false
	clear(r.copies)
}

// Close ends the runner at once.
func (r *Runner) Close() { r.server.Close() }

// Entry is the runner's directory entry.
func (r *Runner) Entry(state string) map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	models := []map[string]any{}
	if r.Model != "" {
		models = append(models, map[string]any{"name": r.Model, "version": r.version, "adapters": []string{}})
	}
	entry := map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": 8, "state": state, "models": models, "cold_remaining_ms": 0, "seq": r.seq}
	r.tellIncarnation(entry)
	return entry
}

// tellIncarnation adds the incarnation to what the runner says of itself. The mutex is held.
func (r *Runner) tellIncarnation(said map[string]any) {
	if r.Incarnation > 0 {
		said["born"] = r.Incarnation
	}
}

// Behave sets what the runner does from now on.
func (r *Runner) Behave(behaviour Behaviour) { r.set(behaviour, false) }

// BehaveOnce sets what the runner does with the next call only.
func (r *Runner) BehaveOnce(behaviour Behaviour) { r.set(behaviour, true) }

func (r *Runner) set(behaviour Behaviour, once bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.behaviour, r.once = behaviour, once
}

func (r *Runner) holdCopy(request string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.copies[request] = true
}

// Version returns the version of the weights.
func (r *Runner) Version() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.version
}

// SetVersion replaces the weights without an order.
func (r *Runner) SetVersion(version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version = version
}

func (r *Runner) serve(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != r.ID {
		writer.Header().Set(platform.HeaderInstanceID, r.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case platform.PathReport:
		r.report(writer)
	case platform.PathOrder:
		r.order(writer, request)
	case platform.PathCacheEvents, platform.PathCacheList:
		// The stand-in has no cache that could be listed.
		writer.WriteHeader(http.StatusNotFound)
	default:
		r.call(writer, request)
	}
}

func (r *Runner) report(writer http.ResponseWriter) {
	time.Sleep(r.noteReport())
	r.mutex.Lock()
	body := map[string]any{"stage": "both", "models": []map[string]any{{"name": r.Model, "version": r.version}}, "busy": false, "seq": r.seq}
	r.tellIncarnation(body)
	r.mutex.Unlock()
	_ = json.NewEncoder(writer).Encode(body)
}

func (r *Runner) order(writer http.ResponseWriter, request *http.Request) {
	var order Order
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answered := r.takeOrder(order)
	if !answered {
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(status)
}

// takeOrder notes an order and returns its status, or that it gets no answer.
func (r *Runner) takeOrder(order Order) (status int, answered bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	order.At = time.Now()
	if !r.deaf {
		order.Status = r.judge(order)
	}
	r.orders = append(r.orders, order)
	return order.Status, !r.deaf
}

// judge carries an order out, if it may be. The mutex is held.
func (r *Runner) judge(order Order) int {
	switch {
	case order.Holder == "" || order.Fence == 0:
		return http.StatusBadRequest
	case order.Fence < r.fence:
		return http.StatusPreconditionFailed
	case order.Expected != r.seq:
		return http.StatusConflict
	case order.Version == r.version:
		return http.StatusOK
	}
	r.fence, r.version = order.Fence, order.Version
	r.seq++
	return http.StatusAccepted
}

// take notes a call and returns what to do with it.
func (r *Runner) take(request *http.Request, body []byte, arrived time.Time) (Behaviour, Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	behaviour, run := r.judgeCall(request, body)
	arrival := Arrival{Request: run.Request, Path: run.Path, At: arrived}
	if behaviour == Sheds {
		arrival.Rest = r.rest()
	}
	r.arrivals = append(r.arrivals, arrival)
	return behaviour, run
}

// judgeCall decides what to do with a call. The mutex is held.
func (r *Runner) judgeCall(request *http.Request, body []byte) (Behaviour, Run) {
	behaviour := r.behaviour
	if r.once {
		r.behaviour, r.once = Well, false
	}
	run := Run{
		Request: request.Header.Get(platform.HeaderRequestID), Header: request.Header.Clone(), Path: request.RequestURI,
		Body: string(body), Version: r.version, Began: time.Now(), Ended: make(chan struct{}),
	}
	expected := request.Header.Get(platform.HeaderExpectWeightVersion)
	if expected != "" && expected != strconv.FormatUint(r.version, 10) {
		return Sheds, run
	}
	if from := request.Header.Get(platform.HeaderKVFrom); from != "" {
		if from != r.Address+"/"+run.Request || !r.copies[run.Request] {
			return Sheds, run
		}
		delete(r.copies, run.Request)
		r.continued = append(r.continued, run.Request)
		return behaviour, run
	}
	if behaviour != Sheds && !behaviour.queues() {
		r.runs = append(r.runs, run)
	}
	return behaviour, run
}

func (r *Runner) call(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	behaviour, run := r.take(request, body, arrived)
	defer close(run.Ended)
	if behaviour == Queues && !r.begin(request, run) {
		return
	}
	if r.Poison.isIn(body) {
		r.endUnder(writer, run)
	}
	header := writer.Header()
	r.announce(header)
	header.Set(platform.HeaderRequestID, run.Request)
	header.Set(platform.HeaderWeightVersions, strconv.FormatUint(r.Version(), 10))
	switch behaviour {
	case Sheds:
		header.Set(platform.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case Drops:
		panic(http.ErrAbortHandler)
	case Hangs:
		<-request.Context().Done()
		return
	case Delays:
		time.Sleep(r.Delay)
	case Crossed:
		header.Set(platform.HeaderRequestID, "another")
		header.Set("Connection", "close")
	}
	if behaviour != Unstamped {
		header.Set(platform.HeaderResponseStamp, r.ID+"."+run.Request)
	}
	if behaviour == Fails {
		writer.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(writer, "failed")
		return
	}
	if behaviour == QueuesAfterHead && (http.NewResponseController(writer).Flush() != nil || !r.begin(request, run)) {
		return
	}
	if r.Events > 0 {
		r.stream(writer, request, behaviour)
		return
	}
	r.whole(writer, behaviour, run)
}
