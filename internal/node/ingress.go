package node

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/config"
	"github.com/clovertiller/clovertiller/internal/engineapi"
	"github.com/clovertiller/clovertiller/internal/events"
)

// Paths of the router's HTTP interface.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
	PathHealth      = "/healthz"
	PathReady       = "/readyz"
	PathMetrics     = "/metrics"
	// PathStatus returns the Status for operators and the command line.
	PathStatus = "/status"
	// PathPartition injects a network partition. It is served only if Settings.FaultEndpoint is
	// set.
	PathPartition = "/lab/cut"
)

// idleTimeout is the time after which idle connections of callers are closed.
const idleTimeout = 2 * time.Minute

// serveHTTP starts serving the HTTP API for callers and operators.
func (n *Node) serveHTTP(listener net.Listener) error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post(PathChat, iris.FromStd(n.completionHandler(engineapi.FormatChat)))
	app.Post(PathCompletions, iris.FromStd(n.completionHandler(engineapi.FormatCompletion)))
	app.Get(PathModels, iris.FromStd(n.handleModels))
	app.Get(PathHealth, iris.FromStd(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }))
	app.Get(PathReady, iris.FromStd(n.handleReady))
	app.Get(PathMetrics, iris.FromStd(promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})))
	app.Get(PathStatus, iris.FromStd(n.handleStatus))
	if n.settings.FaultEndpoint {
		app.Post(PathPartition, iris.FromStd(n.handlePartition))
	}
	if err := app.Build(); err != nil {
		return trace.Wrap(err)
	}
	limits := n.settings.Limits
	n.httpServer = &http.Server{
		Handler:           app,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMillis) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.BodyTimeoutMillis) * time.Millisecond,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	go n.httpServer.Serve(listener)
	return nil
}

// handleReady responds with status 503 before the first configuration and while draining.
func (n *Node) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if n.Revision() == 0 || n.draining.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// authenticate returns the tenant of the request's bearer key. Keys are looked up by their SHA-256
// digest, because the keys themselves are not stored.
func authenticate(request *http.Request, snapshot *config.Snapshot) (*config.Tenant, *apiError) {
	if snapshot.Revision == 0 {
		return nil, &apiError{status: http.StatusServiceUnavailable, code: codeNotReady, message: "the router has no configuration yet", runState: attempt.NotRun}
	}
	scheme, key, found := strings.Cut(request.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, &apiError{status: http.StatusUnauthorized, code: codeInvalidAPIKey, param: "Authorization", message: "a bearer key is required", runState: attempt.NotRun}
	}
	digest := sha256.Sum256([]byte(key))
	tenant := snapshot.TenantsByKeyHash[hex.EncodeToString(digest[:])]
	if tenant == nil {
		return nil, &apiError{status: http.StatusUnauthorized, code: codeInvalidAPIKey, param: "Authorization", message: "the key is not known", runState: attempt.NotRun}
	}
	return tenant, nil
}

// completionHandler returns the handler of one of the two completion paths. The format is that of
// the output chunks.
func (n *Node) completionHandler(format string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		snapshot := n.snapshot.Load()
		tenant, failure := authenticate(request, snapshot)
		if failure != nil {
			n.writeError(writer, "", failure)
			return
		}
		c, failure := n.parseRequest(request, tenant, snapshot, format)
		if failure != nil {
			n.writeError(writer, tenant.Name, failure)
			return
		}
		if failure := n.admit(c); failure != nil {
			n.writeError(writer, tenant.Name, failure)
			return
		}
		defer n.release(c)
		// The read timeout only applies to the body. The caller sends nothing after it.
		_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
		n.execute(writer, request, c)
	}
}

// writeError counts, logs and writes an error for a request that was not executed.
func (n *Node) writeError(writer http.ResponseWriter, tenant string, failure *apiError) {
	n.metrics.countRequest(failure.code, string(failure.runState))
	n.log.Log(events.RequestFailed, events.Fields{"tenant": tenant, "code": failure.code, "run_state": failure.runState, "reason": failure.message})
	failure.writeTo(writer)
}

// admit enforces the tenant's limits. Each admitted request must be ended by release.
func (n *Node) admit(c *completionRequest) *apiError {
	n.mutex.Lock()
	nodes := len(n.control.UsableNodes())
	n.mutex.Unlock()
	limits := admission.PerNodeLimits(c.tenant.Spec.RequestsPerSecond, c.tenant.Spec.MaxConcurrent, nodes)
	now := time.Now()
	n.admissionMutex.Lock()
	defer n.admissionMutex.Unlock()
	decision := n.limiter.Admit(now, c.tenant.Name, c.tenant.Spec.Tier, limits)
	if decision.Reason != admission.Admitted {
		return &apiError{status: http.StatusTooManyRequests, code: codeRateLimitExceeded, message: string(decision.Reason), runState: attempt.NotRun, retryAfter: decision.RetryAfter}
	}
	n.limiter.RecordUsage(now, c.tenant.Name, c.promptTokens)
	n.retryBudget.Deposit()
	return nil
}

func (n *Node) release(c *completionRequest) {
	n.admissionMutex.Lock()
	defer n.admissionMutex.Unlock()
	n.limiter.Release(c.tenant.Name)
}

// maxWait returns the longest expected queueing time at which the request is accepted.
func (n *Node) maxWait(c *completionRequest) time.Duration {
	n.admissionMutex.Lock()
	defer n.admissionMutex.Unlock()
	maxWaitFactor := n.limiter.MaxWaitFactor(time.Now(), c.tenant.Name)
	return time.Duration(float64(c.tenant.Tier.MaxWaitMillis) * maxWaitFactor * float64(time.Millisecond))
}

// modelList is the response body of PathModels.
type modelList struct {
	Object string           `json:"object"`
	Data   []modelListEntry `json:"data"`
}

type modelListEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models and adapters that the tenant may use.
func (n *Node) handleModels(writer http.ResponseWriter, request *http.Request) {
	snapshot := n.snapshot.Load()
	tenant, failure := authenticate(request, snapshot)
	if failure != nil {
		n.writeError(writer, "", failure)
		return
	}
	list := modelList{Object: "list", Data: []modelListEntry{}}
	add := func(id string) {
		list.Data = append(list.Data, modelListEntry{ID: id, Object: "model", OwnedBy: "clovertiller"})
	}
	for name := range snapshot.Models {
		if mayUseModel(tenant, name) {
			add(name)
		}
	}
	for name, adapter := range snapshot.Adapters {
		if mayUseModel(tenant, adapter.Model) {
			add(adapter.Model + adapterSeparator + name)
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(writer, list)
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	// Encoding the lists of this package cannot fail.
	encoded, _ := json.Marshal(body)
	writeWhole(writer, http.StatusOK, encoded)
}

// MemberStatus describes one router in a Status.
type MemberStatus struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// RunnerStatus describes one runner in a Status.
type RunnerStatus struct {
	Runner        string `json:"runner"`
	State         string `json:"state"`
	Connected     bool   `json:"connected"`
	Model         string `json:"model"`
	WeightVersion string `json:"weightVersion"`
	// Home is the router that reads the runner's event stream.
	Home        string `json:"home"`
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
}

// Status is a router's view of itself, the other routers and the runners.
type Status struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Revision is the configuration revision in force.
	Revision uint64 `json:"revision"`
	Draining bool   `json:"draining"`
	// Assignment is the number of the claim assignment that this node serves or served last.
	// Granting tells whether it grants claims under it, and Claims is the number of claims that it
	// remembers.
	Assignment uint64 `json:"claimAssignment"`
	Claims     int    `json:"claims"`
	Granting   bool   `json:"granting"`
	// IndexBlocks is the number of distinct blocks in this node's index shard.
	IndexBlocks int            `json:"indexBlocks"`
	Members     []MemberStatus `json:"members"`
	Runners     []RunnerStatus `json:"runners"`
}

// Status returns the router's current status.
func (n *Node) Status() Status {
	snapshot := n.snapshot.Load()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	number, granting := n.claimHolder.Assignment()
	status := Status{
		Node: n.settings.Node, Incarnation: n.incarnation, Revision: snapshot.Revision, Draining: n.draining.Load(),
		Assignment: number, Claims: n.claimHolder.Len(), Granting: granting, IndexBlocks: n.shard.Len(),
	}
	for _, member := range n.control.Members().Members() {
		state := member.State.String()
		if n.control.Members().ZoneUnreachable(member.Zone) {
			state = "unreachable"
		}
		status.Members = append(status.Members, MemberStatus{Node: member.ID, Zone: member.Zone, State: state, Revision: member.Revision})
	}
	for name, runner := range snapshot.Runners {
		report, _ := n.control.Fleet().Get(name)
		status.Runners = append(status.Runners, RunnerStatus{
			Runner: name, State: report.State.String(), Connected: report.Connected, Model: report.Model,
			WeightVersion: report.WeightVersion, Home: n.control.RunnerHome(name, runner.Spec.Zone),
			Incarnation: report.Incarnation, Running: report.Load.Running, Waiting: report.Load.Waiting,
		})
	}
	sort.Slice(status.Runners, func(i, j int) bool { return status.Runners[i].Runner < status.Runners[j].Runner })
	return status
}

func (n *Node) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, n.Status())
}

// PartitionRequest is the request body of PathPartition. Nodes are the routers to and from which
// all traffic is dropped.
type PartitionRequest struct {
	Nodes []string `json:"nodes"`
}

func (n *Node) handlePartition(writer http.ResponseWriter, request *http.Request) {
	var body PartitionRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	n.SetPartitionedNodes(body.Nodes)
	writeJSON(writer, body)
}
