package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

const (
	hostName  = "h.example"
	region    = "region"
	readyPoll = 50 * time.Millisecond
	// listPage is the number of objects in a page of a list, as on the protocol page.
	listPage = 500
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small system: a store, runners and routers.
type deployment struct {
	startedAt time.Time
	folder    string
	store     *storestand.Store
	endpoint  *storestand.Endpoint
	runners   []*runnerstand.Runner
	routers   []*router
	bounds    map[string]any
	// descriptors is the limit on the descriptors of a router's process, 0 for that of the caller.
	descriptors int
	// seeds are the routers that settings files name as seeds from now on.
	seeds  []*router
	limits map[string]any

	mutex  sync.Mutex
	record *os.File
	lines  *bufio.Writer
	closed bool
}

func newDeployment(recordPath string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	d := &deployment{startedAt: time.Now(), folder: folder, store: storestand.New(), record: record, lines: bufio.NewWriter(record)}
	d.store.SetListPage(listPage)
	if d.endpoint, err = d.store.OpenEndpoint(); err != nil {
		return nil, err
	}
	d.bounds = map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true,
		"revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "recover_s": 12, "propagation_ms": 120,
		"retry_after_s": 10, "fencing_enforced": true, "lease_ms": 3000, "freeze_slack_ms": 300, "version_ms": 8000, "version_all_ms": 11000,
	}
	d.limits = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	return d, nil
}

// note writes a line to the record, with the time since the start.
func (d *deployment) note(format string, arguments ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return
	}
	fmt.Fprintf(d.lines, "%8.3f  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, r := range d.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range d.routers {
		r.wait()
	}
	for _, r := range d.runners {
		r.Close()
	}
	d.endpoint.Close()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	d.lines.Flush()
	d.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	}
}

// addRunner starts a runner and lists it.
func (d *deployment) addRunner(config runnerstand.Config) (*runnerstand.Runner, error) {
	config.Zone = zones[len(d.runners)%len(zones)]
	runner, err := runnerstand.Start(config)
	if err != nil {
		return nil, err
	}
	d.runners = append(d.runners, runner)
	d.store.Put(platform.KindRunners, runner.ID, runner.DirectoryEntry("ready"))
	return runner, nil
}

// router is one machine with a router, which may run or not.
type router struct {
	deployment            *deployment
	name, ip, zone        string
	front, ready, control string
	mutex                 sync.Mutex
	command               *exec.Cmd
	exited                chan struct{}
	starts                int
}

// addRouters adds machines, each with its own loopback address. The first three are the seeds.
func (d *deployment) addRouters(count int) {
	for i := range count {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		port := func() string {
			_, number, _ := net.SplitHostPort(loopback.FreeAddress())
			return net.JoinHostPort(ip, number)
		}
		d.routers = append(d.routers, &router{
			deployment: d, name: fmt.Sprintf("front-%d", i+1), ip: ip, zone: zones[i%len(zones)], front: port(), ready: port(), control: port(),
		})
	}
	d.seeds = d.routers[:min(seedCount, len(d.routers))]
}

const seedCount = 3

func (r *router) settingsPath() string { return filepath.Join(r.deployment.folder, r.name+".json") }

func (r *router) writeSettings() error {
	d := r.deployment
	var seeds []string
	for _, seed := range d.seeds {
		seeds = append(seeds, seed.control)
	}
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = region
	}
	settings := map[string]any{
		"node": r.name, "role": "router", "machine_class": "front", "serves": []string{"front", "control"}, "ip": r.ip, "zone": r.zone,
		"region": region, "zones": regions, "listen": map[string]any{"front": r.front, "ready": r.ready, "control": r.control},
		"seeds": seeds, "bootstrap": r.starts == 0, "in_fault_budget": false, "limits": d.limits, "data_dir": nil, "discovery": "platform",
		"entry": "vip", "heartbeat_ms": 1200, "bounds": d.bounds,
		"platform": map[string]any{
			"address": d.endpoint.Address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(r.settingsPath(), encoded, 0o600)
}

// start starts the router with the command of the deploy file.
func (r *router) start() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.deployment.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/clovertiller-gateway")
	if limit := r.deployment.descriptors; limit > 0 {
		command = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/clovertiller-gateway", limit))
	}
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+r.settingsPath())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	r.command, r.exited = command, exited
	r.starts++
	r.deployment.note("%s started, process %d", r.name, command.Process.Pid)
	return nil
}

func (r *router) signal(signal syscall.Signal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.command != nil {
		// It fails only if the process has exited.
		_ = r.command.Process.Signal(signal)
	}
}

// wait waits until the process has exited.
func (r *router) wait() {
	r.mutex.Lock()
	exited := r.exited
	r.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	r.wait()
	r.deployment.note("%s killed", r.name)
}

// isRunning reports whether the process runs.
func (r *router) isRunning() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.exited == nil {
		return false
	}
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

// isReady asks the router like the platform does.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + r.ready + platform.PathReadiness)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all routers and waits until they are ready.
func (d *deployment) startAll() error {
	for _, r := range d.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range d.routers {
		if !r.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", r.name)
		}
	}
	d.note("all routers are ready")
	return nil
}

func (r *router) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(readyPoll) {
		if r.isReady() {
			return true
		}
	}
	return false
}
