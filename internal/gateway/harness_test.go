package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/clovertiller/clovertiller/internal/events"
	"github.com/clovertiller/clovertiller/internal/gateway"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// fleet is a store, runners and gateways in one process.
type fleet struct {
	t     *testing.T
	g     *WithT
	store *storestand.Store
	// runners are the fleet's runners by address.
	runners sync.Map
	// caches tells routers what runners keep; nil tells nothing.
	caches gateway.CacheReader
	// dials holds routers' connections to runners back; nil holds none.
	dials *dialBlocker
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, g: NewWithT(t), store: storestand.New()}
}

const (
	configKind = platform.KindConfig
	configName = "main"
	modelName  = "m"
	goodKey    = "key-one"
)

// route describes one route of a test's configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	spec := map[string]any{
		"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "service": service,
		"timeout_ms": 3000, "target_latency_ms": 300, "max_attempts": 2,
	}
	for key, value := range more {
		spec[key] = value
	}
	return spec
}

func defaultRoutes() []map[string]any {
	return []map[string]any{
		route("safe", "/safe/", "safe", "plain", nil),
		route("unsafe", "/unsafe/", "unsafe", "plain", nil),
		route("public", "/public/", "safe", "plain", map[string]any{"public": true}),
		route("brief", "/brief/", "unsafe", "plain", map[string]any{"timeout_ms": 200}),
		route("stream", "/stream/", "streaming", "engines", map[string]any{"sticky": true, "resumable": true}),
		route("once", "/once/", "streaming", "engines", map[string]any{"sticky": true}),
	}
}

func config(version int, routes []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "plain"}, {"name": "engines", "engine": map[string]any{"slots": 8, "backups": true, "models": []map[string]any{{"name": modelName}}}}},
		"tenants":  []map[string]any{{"name": "tenant-one", "api_keys": keys, "isolated": true}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
	}
}

func (f *fleet) configure(version int, routes []map[string]any, keys ...string) {
	f.store.Put(configKind, configName, config(version, routes, keys...))
}

// runner starts a runner and lists it in the directory.
func (f *fleet) runner(id, service string) *runnerstand.Runner {
	if service == "engines" {
		return f.engine(id, 1)
	}
	return f.startRunner(runnerstand.Config{ID: id, Service: service})
}

// engine starts a runner of the model with the version of its weights and lists it.
func (f *fleet) engine(id string, version uint64) *runnerstand.Runner {
	return f.startRunner(runnerstand.Config{ID: id, Service: "engines", Model: modelName, Version: version, EventCount: 4})
}

func (f *fleet) startRunner(settings runnerstand.Config) *runnerstand.Runner {
	settings.Zone, settings.ResponseDelay = "z", 400*time.Millisecond
	settings.FindPeer = func(address string) *runnerstand.Runner {
		return f.runnerAt(address)
	}
	runner, err := runnerstand.Start(settings)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.runners.Store(runner.Address, runner)
	f.t.Cleanup(runner.Close)
	f.list(runner, "ready")
	return runner
}

// runnerAt returns the runner at the address.
func (f *fleet) runnerAt(address string) *runnerstand.Runner {
	found, _ := f.runners.Load(address)
	runner, _ := found.(*runnerstand.Runner)
	return runner
}

// runnerOf returns the runner of the id.
func (f *fleet) runnerOf(id string) *runnerstand.Runner {
	var found *runnerstand.Runner
	f.runners.Range(func(_, value any) bool {
		runner, _ := value.(*runnerstand.Runner)
		if runner.ID == id {
			found = runner
		}
		return found == nil
	})
	return found
}

func (f *fleet) list(runner *runnerstand.Runner, state string) {
	f.store.Put(platform.KindRunners, runner.ID, runner.DirectoryEntry(state))
}

// router is one gateway with its own door to the store.
type router struct {
	*gateway.Gateway
	fleet   *fleet
	door    *storestand.Endpoint
	address string
	ready   string
	seeds   []string
	log     *logBuffer
	clock   *suspendedClock
}

// suspendedClock goes on by what a test says, as if the machine had been suspended for that
// long: the steady clock, by which all else in the process goes, does not count it.
type suspendedClock struct{ suspended atomic.Int64 }

// suspend suspends the machine for the time.
func (c *suspendedClock) suspend(duration time.Duration) { c.suspended.Add(int64(duration)) }

func (c *suspendedClock) Now() time.Time { return time.Now().Add(c.Suspended()) }

func (c *suspendedClock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// logBuffer collects log lines.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// proxyTo starts a proxy in front of the address that ends with the test.
func (f *fleet) proxyTo(address string) *faultproxy.Proxy {
	proxy, err := faultproxy.Start(address)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(proxy.Close)
	return proxy
}

// router starts a gateway; adjust may change its settings.
func (f *fleet) router(name string, adjust func(*gateway.Settings)) *router {
	return f.routerAt(name, adjust, storestand.Healthy)
}

// routerAt starts a gateway whose door to the store has the fault.
func (f *fleet) routerAt(name string, adjust func(*gateway.Settings), fault storestand.Fault) *router {
	door, err := f.store.OpenEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	door.SetFault(fault)
	f.t.Cleanup(door.Close)
	settings := gateway.Settings{
		Node: name, Zone: "z", CallerAddress: loopback.FreeAddress(), ReadyAddress: loopback.FreeAddress(), StoreAddress: door.Address,
		ConfigLease: 5 * time.Second, DrainGrace: time.Second, LeaseGap: 200 * time.Millisecond,
	}
	if adjust != nil {
		adjust(&settings)
	}
	f.g.Expect(settings.Check()).To(BeEmpty())
	calls := httpconn.NewPool(httpconn.DefaultDialTimeout)
	runnerPool := httpconn.NewPool(httpconn.DefaultDialTimeout)
	if f.dials != nil {
		runnerPool.Dial = f.dials.dial
	}
	log, clock := &logBuffer{}, &suspendedClock{}
	started, err := gateway.Start(settings, gateway.Ports{
		Protocol: platform.Protocol{}, Decode: platform.Decode, Store: &platform.StoreClient{Address: settings.StoreAddress, Pool: calls},
		Runners: &platform.RunnerClient{Pool: calls}, Caches: f.caches, ReadyPath: platform.PathReadiness, RunnerPool: runnerPool, Clock: clock,
	}, events.NewLogger(log, name, logrus.InfoLevel))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(started.Kill)
	return &router{Gateway: started, fleet: f, door: door, address: settings.CallerAddress, ready: settings.ReadyAddress, seeds: settings.Seeds, log: log, clock: clock}
}

// servingRouter starts a gateway and waits until it is ready and knows the runners.
func (f *fleet) servingRouter(name string, adjust func(*gateway.Settings)) *router {
	r := f.router(name, adjust)
	f.g.Eventually(r.isReady, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	f.g.Eventually(r.log.String, 3*time.Second, 10*time.Millisecond).Should(ContainSubstring("runner added"))
	return r
}

func (r *router) isReady() bool {
	response, err := http.Get("http://" + r.ready + platform.PathReadiness)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut is true when the answer did not end as it should.
	cut bool
	// last is true when the router ends the connection after the answer.
	last  bool
	after time.Duration
}

var requestNumber = struct {
	sync.Mutex
	next int
}{}

func newRequestID() string {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.next++
	return fmt.Sprintf("request-%d", requestNumber.next)
}

// call sends one request with the good key on a new connection.
func (r *router) call(path string, change func(*http.Request)) answer {
	return r.callWithin(context.Background(), path, change)
}

func (r *router) callWithin(ctx context.Context, path string, change func(*http.Request)) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, strings.NewReader("the body"))
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer "+goodKey)
	request.Header.Set(platform.HeaderRequestID, newRequestID())
	request.Header.Set(platform.HeaderDeadlineMillis, "2500")
	request.Header.Set(platform.HeaderModel, modelName)
	request.Header.Set(platform.HeaderPromptPrefix, "aa:100,bb:200,cc:50")
	if change != nil {
		change(request)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return answer{cut: true, after: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), cut: err != nil, last: response.Close, after: time.Since(began)}
}

// settled waits until the gateway has taken the configuration in force.
func (r *router) settled(version int) {
	want := fmt.Sprintf(`"version":%d`, version)
	r.fleet.g.Eventually(r.log.String, 3*time.Second, 5*time.Millisecond).Should(And(ContainSubstring("configuration in force"), ContainSubstring(want)))
}

// logs waits until the gateway has logged the text.
func (r *router) logs(text string) {
	r.fleet.g.Eventually(r.log.String, time.Second, 5*time.Millisecond).Should(ContainSubstring(text))
}

// withPrompt gives a call the parts of a prompt, as ID:TOKENS with commas between.
func withPrompt(parts string) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set(platform.HeaderPromptPrefix, parts) }
}
