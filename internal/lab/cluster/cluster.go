// Package cluster runs router and simulated engine processes against a simulated platform in
// the test's own process. Only failure tests use it.
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

// Zones are the zones over which routers and engines are distributed.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Binaries holds the paths of the executables of a cluster.
type Binaries struct {
	Router string
	Lab    string
}

// Build compiles the executables into a directory.
func Build(directory string) (Binaries, error) {
	binaries := Binaries{Router: filepath.Join(directory, "clovertiller"), Lab: filepath.Join(directory, "clovertiller-lab")}
	build := exec.Command("go", "build", "-o", directory+"/", "github.com/clovertiller/clovertiller/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		return binaries, trace.Wrap(err, "%s", output)
	}
	return binaries, nil
}

// Process is a child process that can be stopped, suspended and restarted with the same
// arguments. Its output goes to a log file.
type Process struct {
	Name    string
	binary  string
	args    []string
	logFile *os.File
	command *exec.Cmd
	// done is closed when the current run of the process has exited.
	done chan struct{}
}

// Start starts the process, for the first time or again after its end.
func (p *Process) Start() error {
	p.command = exec.Command(p.binary, p.args...)
	p.command.Stderr = p.logFile
	p.command.Stdout = p.logFile
	if err := p.command.Start(); err != nil {
		return trace.Wrap(err)
	}
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		// The exit status doesn't matter: the tests check the effects of the exit.
		_ = command.Wait()
		close(done)
	}()
	return nil
}

func (p *Process) signal(signal syscall.Signal) {
	if p.command != nil {
		// The error means that the process has already exited.
		_ = p.command.Process.Signal(signal)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM, which starts an orderly shutdown, and doesn't wait for it.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Pause sends SIGSTOP, which suspends the process until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT, which continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Router is a router process.
type Router struct {
	Process
	HTTPAddress string
	PeerAddress string
	Zone        string
}

// Engine is the process of a simulated engine.
type Engine struct {
	Process
	Address    string
	RunnerName string
	Pool       string
	Zone       string
}

// Cluster is a set of routers and engines that share a simulated platform.
type Cluster struct {
	Platform     *platformserver.Server
	Client       *platform.Client
	Routers      []*Router
	Engines      []*Engine
	binaries     Binaries
	logDirectory string
}

// Settings configures a cluster.
type Settings struct {
	Routers int
	// Engines is the number of engines. All of them are in the same pool.
	Engines int
	// PlatformSettings configures the weight store of the simulated platform.
	PlatformSettings platformserver.Settings
	// CacheBlocks is the capacity of each engine's cache; 0 means the engine's default.
	CacheBlocks int
	// EventLagMillis delays the engines' cache events and load reports, in milliseconds.
	EventLagMillis int
}

// Names of the pool, the model and its initial weight version in every cluster.
const (
	Pool                 = "pool"
	Model                = "model"
	InitialWeightVersion = "v1"
)

// New starts the processes of a cluster and writes its objects to the platform. It doesn't
// wait until the cluster is ready. If it fails after starting the platform, it also returns
// the incomplete cluster, which the caller must close.
func New(binaries Binaries, logDirectory string, settings Settings) (*Cluster, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Cluster{Platform: platformserver.Start(listener, settings.PlatformSettings), binaries: binaries, logDirectory: logDirectory}
	c.Client = platform.NewClient(c.Platform.Address())
	for i := range settings.Engines {
		if err := c.addEngine(i, settings); err != nil {
			return c, err
		}
	}
	for i := range settings.Routers {
		c.Routers = append(c.Routers, &Router{HTTPAddress: loopback.FreeAddress(), PeerAddress: loopback.FreeAddress(), Zone: Zones[i%len(Zones)]})
	}
	for i, router := range c.Routers {
		if err := c.startRouter(i, router); err != nil {
			return c, err
		}
	}
	return c, c.writeInitialObjects()
}

// newProcess returns a process that logs to name.log in the log directory. It doesn't start it.
func (c *Cluster) newProcess(name, binary string, args ...string) (Process, error) {
	logFile, err := os.Create(filepath.Join(c.logDirectory, name+".log"))
	if err != nil {
		return Process{}, trace.ConvertSystemError(err)
	}
	return Process{Name: name, binary: binary, args: args, logFile: logFile}, nil
}

// addEngine adds the engine with the given index and starts its process.
func (c *Cluster) addEngine(index int, settings Settings) error {
	engine := &Engine{Address: loopback.FreeAddress(), RunnerName: fmt.Sprintf("runner-%d", index), Pool: Pool, Zone: Zones[index%len(Zones)]}
	args := []string{"engine", "--listen", engine.Address, "--platform", c.Platform.Address(), "--model", Model, "--weights", InitialWeightVersion}
	if settings.CacheBlocks > 0 {
		args = append(args, "--blocks", fmt.Sprint(settings.CacheBlocks))
	}
	if settings.EventLagMillis > 0 {
		args = append(args, "--event-lag", fmt.Sprint(settings.EventLagMillis))
	}
	process, err := c.newProcess(engine.RunnerName, c.binaries.Lab, args...)
	if err != nil {
		return err
	}
	engine.Process = process
	c.Engines = append(c.Engines, engine)
	return engine.Start()
}

// startRouter starts the process of a router with the peer addresses of all routers as seeds.
func (c *Cluster) startRouter(index int, router *Router) error {
	name := fmt.Sprintf("router-%d", index)
	args := []string{
		"router", "--node", name, "--zone", router.Zone, "--http", router.HTTPAddress, "--peer", router.PeerAddress,
		"--platform", c.Platform.Address(), "--fault-endpoint",
	}
	for _, other := range c.Routers {
		args = append(args, "--seed", other.PeerAddress)
	}
	process, err := c.newProcess(name, c.binaries.Router, args...)
	if err != nil {
		return err
	}
	router.Process = process
	return router.Start()
}

// Write stores an object on the platform and replaces any stored version of it.
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

// APIKeyHash returns the hash by which a tenant's API key is stored in its spec.
func APIKeyHash(tenant string) string {
	digest := sha256.Sum256([]byte(load.APIKey(tenant)))
	return hex.EncodeToString(digest[:])
}

// Tenants are the names of the tenants in every cluster.
var Tenants = []string{"one", "two"}

// writeInitialObjects writes the tier, pool, weight versions, model, tenants and runners.
func (c *Cluster) writeInitialObjects() error {
	type initialObject struct {
		kind v1.Kind
		name string
		spec v1.Spec
	}
	objects := []initialObject{
		{v1.KindTier, "gold", &v1.TierSpec{MaxWaitMillis: 10000}},
		{v1.KindPool, Pool, &v1.PoolSpec{MaxLoading: 2, MinServingPercent: 50}},
		{v1.KindWeightVersion, InitialWeightVersion, &v1.WeightVersionSpec{Model: Model, Source: InitialWeightVersion}},
		{v1.KindWeightVersion, "v2", &v1.WeightVersionSpec{Model: Model, Source: "v2"}},
		{v1.KindModel, Model, &v1.ModelSpec{Pool: Pool, WeightVersion: InitialWeightVersion}},
	}
	for _, tenant := range Tenants {
		spec := &v1.TenantSpec{Tier: "gold", KeyHashes: []string{APIKeyHash(tenant)}, RequestsPerSecond: 10000, MaxConcurrent: 10000}
		objects = append(objects, initialObject{v1.KindTenant, tenant, spec})
	}
	for _, engine := range c.Engines {
		spec := &v1.RunnerSpec{Pool: Pool, Zone: engine.Zone, Address: engine.Address, Machine: "machine-" + engine.RunnerName}
		objects = append(objects, initialObject{v1.KindRunner, engine.RunnerName, spec})
	}
	for _, object := range objects {
		if _, err := c.Write(object.kind, object.name, object.spec); err != nil {
			return trace.Wrap(err, "write %s/%s", object.kind, object.name)
		}
	}
	return nil
}

// Status returns the status of a router, or nil if the router doesn't respond.
func (c *Cluster) Status(router int) *node.Status {
	status, err := cli.FetchStatus(context.Background(), c.Routers[router].HTTPAddress)
	if err != nil {
		return nil
	}
	return status
}

// Ready reports whether every router sees all routers alive and all runners connected and
// serving, and whether at least three routers, or all if there are fewer, grant claims.
func (c *Cluster) Ready() bool {
	grantingRouters := 0
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
			grantingRouters++
		}
	}
	return grantingRouters >= min(3, len(c.Routers))
}

// SetEngineFaults replaces the fault settings of the engine with the given index.
func (c *Cluster) SetEngineFaults(engine int, faults engineserver.Faults) error {
	return postJSON("http://"+c.Engines[engine].Address+engineserver.PathFaults, faults)
}

// Partition drops the messages between the given routers and all others. Without arguments
// it removes the partition.
func (c *Cluster) Partition(routers ...int) error {
	inGroup := map[int]bool{}
	for _, router := range routers {
		inGroup[router] = true
	}
	for i, router := range c.Routers {
		var blocked []string
		for j, other := range c.Routers {
			if len(routers) > 0 && inGroup[i] != inGroup[j] {
				blocked = append(blocked, other.Name)
			}
		}
		if err := postJSON("http://"+router.HTTPAddress+node.PathPartition, node.PartitionRequest{Nodes: blocked}); err != nil {
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

// RouterAddresses returns the HTTP addresses of the routers.
func (c *Cluster) RouterAddresses() []string {
	var addresses []string
	for _, router := range c.Routers {
		addresses = append(addresses, router.HTTPAddress)
	}
	return addresses
}

// Close kills all processes and stops the platform.
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

// WaitFor polls the condition until it holds and returns true, or returns false after the
// timeout.
func WaitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return condition()
}

const pollInterval = 10 * time.Millisecond
