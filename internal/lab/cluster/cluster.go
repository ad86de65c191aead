// Package cluster runs real router and engine processes around an embedded
// stand-in of the platform, for failure tests. Only tests use it.
package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/clovertiller/clovertiller/api/v1"
	"github.com/clovertiller/clovertiller/internal/cli"
	"github.com/clovertiller/clovertiller/internal/lab/engineserver"
	"github.com/clovertiller/clovertiller/internal/lab/load"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/platformserver"
	"github.com/clovertiller/clovertiller/internal/node"
	"github.com/clovertiller/clovertiller/internal/platform"
)

// Zones of the cluster.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Binaries are the built programs.
type Binaries struct {
	Router string
	Lab    string
}

// Build builds the programs into a directory.
func Build(directory string) (Binaries, error) {
	binaries := Binaries{Router: filepath.Join(directory, "clovertiller"), Lab: filepath.Join(directory, "clovertiller-lab")}
	build := exec.Command("go", "build", "-o", directory+"/", "github.com/clovertiller/clovertiller/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		return binaries, trace.Wrap(err, "%s", output)
	}
	return binaries, nil
}

// Process is one real process that may be stopped, frozen and started again
// under the same addresses.
type Process struct {
	Name    string
	binary  string
	args    []string
	log     *os.File
	command *exec.Cmd
	done    chan struct{}
}

// Start runs the process.
func (p *Process) Start() error {
	p.command = exec.Command(p.binary, p.args...)
	p.command.Stderr = p.log
	p.command.Stdout = p.log
	if err := p.command.Start(); err != nil {
		return trace.Wrap(err)
	}
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		// How the process ended shows in what the tests check.
		_ = command.Wait()
		close(done)
	}()
	return nil
}

func (p *Process) signal(signal syscall.Signal) {
	if p.command != nil {
		// A process that has ended needs no signal.
		_ = p.command.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to stop as planned.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Freeze stops the process without ending it.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Router is one router process.
type Router struct {
	Process
	HTTP string
	Peer string
	Zone string
}

// Engine is one engine process.
type Engine struct {
	Process
	Address string
	Runner  string
	Pool    string
	Zone    string
}

// Cluster is a set of processes around one platform stand-in.
type Cluster struct {
	Platform *platformserver.Server
	Client   *platform.Client
	Routers  []*Router
	Engines  []*Engine
	binaries Binaries
	logs     string
}

// Settings shape a cluster.
type Settings struct {
	Routers int
	// Engines is the number of engines in the one pool.
	Engines  int
	Weights  platformserver.Settings
	Blocks   int
	EventLag int
}

// Names of the one pool, model and weights that every cluster starts with.
const (
	Pool    = "pool"
	Model   = "model"
	Weights = "v1"
)

// New starts a cluster and writes its resources; it does not wait for it.
func New(binaries Binaries, logs string, settings Settings) (*Cluster, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Cluster{Platform: platformserver.Start(listener, settings.Weights), binaries: binaries, logs: logs}
	c.Client = platform.NewClient(c.Platform.Address())
	for i := range settings.Engines {
		if err := c.addEngine(i, settings); err != nil {
			return c, err
		}
	}
	for i := range settings.Routers {
		c.Routers = append(c.Routers, &Router{HTTP: loopback.FreeAddress(), Peer: loopback.FreeAddress(), Zone: Zones[i%len(Zones)]})
	}
	for i, router := range c.Routers {
		if err := c.startRouter(i, router); err != nil {
			return c, err
		}
	}
	return c, c.writeResources()
}

func (c *Cluster) newProcess(name, binary string, args ...string) (Process, error) {
	log, err := os.Create(filepath.Join(c.logs, name+".log"))
	if err != nil {
		return Process{}, trace.ConvertSystemError(err)
	}
	return Process{Name: name, binary: binary, args: args, log: log}, nil
}

func (c *Cluster) addEngine(number int, settings Settings) error {
	engine := &Engine{Address: loopback.FreeAddress(), Runner: fmt.Sprintf("runner-%d", number), Pool: Pool, Zone: Zones[number%len(Zones)]}
	args := []string{"engine", "--listen", engine.Address, "--platform", c.Platform.Address(), "--model", Model, "--weights", Weights}
	if settings.Blocks > 0 {
		args = append(args, "--blocks", fmt.Sprint(settings.Blocks))
	}
	if settings.EventLag > 0 {
		args = append(args, "--event-lag", fmt.Sprint(settings.EventLag))
	}
	process, err := c.newProcess(engine.Runner, c.binaries.Lab, args...)
	if err != nil {
		return err
	}
	engine.Process = process
	c.Engines = append(c.Engines, engine)
	return engine.Start()
}

func (c *Cluster) startRouter(number int, router *Router) error {
	name := fmt.Sprintf("router-%d", number)
	args := []string{
		"router", "--node", name, "--zone", router.Zone, "--http", router.HTTP, "--peer", router.Peer,
		"--platform", c.Platform.Address(), "--fault-endpoint",
	}
	for _, other := range c.Routers {
		args = append(args, "--seed", other.Peer)
	}
	process, err := c.newProcess(name, c.binaries.Router, args...)
	if err != nil {
		return err
	}
	router.Process = process
	return router.Start()
}

// Write stores a resource over whatever version is stored.
func (c *Cluster) Write(kind v1.Kind, name string, spec v1.Spec) (*v1.Object, error) {
	spec.SetDefaults()
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	object := v1.Object{Kind: kind, Name: name, Spec: encoded}
	if current, err := c.Client.Get(context.Background(), object.Key()); err == nil {
		object.Version = current.Version
	}
	return c.Client.PutWithReadBack(context.Background(), object)
}

// KeyHash returns the stored form of a tenant's bearer key.
func KeyHash(tenant string) string {
	digest := sha256.Sum256([]byte(load.KeyOf(tenant)))
	return hex.EncodeToString(digest[:])
}

// Tenants that every cluster starts with.
var Tenants = []string{"one", "two"}

func (c *Cluster) writeResources() error {
	type resource struct {
		kind v1.Kind
		name string
		spec v1.Spec
	}
	resources := []resource{
		{v1.KindTier, "gold", &v1.TierSpec{MaxWaitMillis: 10000}},
		{v1.KindPool, Pool, &v1.PoolSpec{MaxLoading: 2, MinServingPercent: 50}},
		{v1.KindWeightVersion, Weights, &v1.WeightVersionSpec{Model: Model, Source: Weights}},
		{v1.KindWeightVersion, "v2", &v1.WeightVersionSpec{Model: Model, Source: "v2"}},
		{v1.KindModel, Model, &v1.ModelSpec{Pool: Pool, WeightVersion: Weights}},
	}
	for _, tenant := range Tenants {
		spec := &v1.TenantSpec{Tier: "gold", KeyHashes: []string{KeyHash(tenant)}, RequestsPerSecond: 10000, MaxConcurrent: 10000}
		resources = append(resources, resource{v1.KindTenant, tenant, spec})
	}
	for _, engine := range c.Engines {
		spec := &v1.RunnerSpec{Pool: Pool, Zone: engine.Zone, Address: engine.Address, Machine: "machine-" + engine.Runner}
		resources = append(resources, resource{v1.KindRunner, engine.Runner, spec})
	}
	for _, r := range resources {
		if _, err := c.Write(r.kind, r.name, r.spec); err != nil {
			return trace.Wrap(err, "write %s/%s", r.kind, r.name)
		}
	}
	return nil
}

// Status reads a router's status, or returns nil when it does not answer.
func (c *Cluster) Status(router int) *node.Status {
	status, err := cli.FetchStatus(context.Background(), c.Routers[router].HTTP)
	if err != nil {
		return nil
	}
	return status
}

// Settled tells whether every router sees all routers alive and all runners
// serving, and whether claims are granted by the full number of holders.
func (c *Cluster) Settled() bool {
	granting := 0
	for i := range c.Routers {
		status := c.Status(i)
		if status == nil || len(status.Members) != len(c.Routers) || len(status.Runners) != len(c.Engines) {
			return false
		}
		for _, member := range status.Members {
			if member.State != "alive" {
				return false
			}
		}
		for _, runner := range status.Runners {
			if !runner.Connected || runner.State != "serving" {
				return false
			}
		}
		if status.Granting {
			granting++
		}
	}
	return granting >= min(3, len(c.Routers))
}

// SetEngineFaults sets an engine's faults.
func (c *Cluster) SetEngineFaults(engine int, faults engineserver.Faults) error {
	return postJSON("http://"+c.Engines[engine].Address+engineserver.PathFaults, faults)
}

// Cut cuts routers off from each other: each router of one side from all of the other.
func (c *Cluster) Cut(side ...int) error {
	inside := map[int]bool{}
	for _, router := range side {
		inside[router] = true
	}
	for i, router := range c.Routers {
		var cut []string
		for j, other := range c.Routers {
			if len(side) > 0 && inside[i] != inside[j] {
				cut = append(cut, other.Name)
			}
		}
		if err := postJSON("http://"+router.HTTP+node.PathPartition, node.PartitionRequest{Nodes: cut}); err != nil {
			return err
		}
	}
	return nil
}

func postJSON(url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.Post(url, "application/json", strings.NewReader(string(encoded)))
	if err != nil {
		return trace.Wrap(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("%s: status %d", url, response.StatusCode)
	}
	return nil
}

// RouterAddresses returns the routers' HTTP addresses.
func (c *Cluster) RouterAddresses() []string {
	var addresses []string
	for _, router := range c.Routers {
		addresses = append(addresses, router.HTTP)
	}
	return addresses
}

// Close ends all processes.
func (c *Cluster) Close() {
	for _, router := range c.Routers {
		if router.done != nil {
			router.Kill()
		}
	}
	for _, engine := range c.Engines {
		if engine.done != nil {
			engine.Kill()
		}
	}
	c.Platform.Close()
}

// Await polls until the condition holds, or returns false after the time.
func Await(within time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return condition()
}

const pollInterval = 10 * time.Millisecond
