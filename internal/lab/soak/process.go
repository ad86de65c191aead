package soak

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// listenCheckTimeout is the timeout for checking whether a process listens.
const listenCheckTimeout = 100 * time.Millisecond

// processAddresses are the addresses on which one gateway listens. Other gateways reach PeerAddress
// through a proxy.
type processAddresses struct {
	CallAddress      string
	ReadinessAddress string
	PeerAddress      string
}

func freeAddresses() processAddresses {
	return processAddresses{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
}

// process is one gateway process. It is started again whenever it exits.
type process struct {
	name      string
	zone      string
	topology  *topology
	program   []string
	folder    string
	addresses processAddresses
	seeds     []string
	// hasRollouts is set if the settings have the bounds of rollouts.
	hasRollouts bool
	// gracePeriod is the time from SIGTERM to the end.
	gracePeriod   time.Duration
	storeEndpoint *storestand.Endpoint
	// storeProxy is between the gateway and the store, and peerProxy between other gateways and
	// this one.
	storeProxy *faultproxy.Proxy
	peerProxy  *faultproxy.Proxy

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// lives holds the starts and ends of the process, and unexpectedExits counts the ends without a signal.
	lives           []life
	unexpectedExits int
	// bootstraps is set if the first start is that of the whole system.
	bootstraps bool
	// unavailableUntil is when the process will be available again after a fault that stopped or
	// restarted it.
	unavailableUntil time.Time
}

// settingsPath returns the path of the settings file of the gateway.
func (p *process) settingsPath() string { return filepath.Join(p.folder, p.name+".json") }

// suspendedPath returns the path of the file that SuspendedFileEnvVar names.
func (p *process) suspendedPath() string { return filepath.Join(p.folder, p.name+".suspended") }

// writeSuspended tells the process the total time for which its machine has been suspended. It
// replaces the file atomically, since the process may read it at any time.
func (p *process) writeSuspended(total time.Duration) error {
	next := p.suspendedPath() + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(int64(total), 10)), 0o644); err != nil {
		return err
	}
	return os.Rename(next, p.suspendedPath())
}

// writeSettings writes the settings file of the gateway. The mutex must be held.
func (p *process) writeSettings() error {
	bounds := map[string]any{
		"contact_ms": settleTime.Milliseconds(), "grace_s": p.gracePeriod.Seconds(), "revoke_ms": maxRevokeDelay.Milliseconds(),
		"lease_ms": leaseDuration.Milliseconds(), "version_ms": maxOldWeightsTime.Milliseconds(), "budget_ratio": 0.2,
	}
	if p.hasRollouts {
		bounds["expose_share"], bounds["expose_slack"], bounds["rollback_ms"] = exposeShare, exposeSlack, maxRollbackTime.Milliseconds()
	}
	settings := map[string]any{
		"node": p.name, "zone": p.zone, "ip": "127.0.0.1",
		"listen":    map[string]any{"front": p.addresses.CallAddress, "ready": p.addresses.ReadinessAddress, "control": p.peerProxy.Address, "control_bind": p.addresses.PeerAddress},
		"seeds":     p.seeds,
		"bounds":    bounds,
		"platform":  map[string]any{"address": p.storeProxy.Address},
		"bootstrap": p.bootstraps && len(p.lives) == 0,
	}
	if p.topology.hasRegions() {
		settings["region"], settings["zones"] = p.topology.regionOf[p.zone], p.topology.regionOf
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsPath(), encoded, 0o644)
}

// start starts the process unless it is already running.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isRunning() {
		return nil
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(p.program[0], p.program[1:]...)
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+p.settingsPath(), SuspendedFileEnvVar+"="+p.suspendedPath())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The exit status is not needed, since the log shows why the process exited.
		_ = command.Wait()
		p.recordExit()
		log.Close()
		close(exited)
	}()
	p.command, p.exited = command, exited
	p.lives = append(p.lives, life{startedAt: time.Now()})
	return nil
}

// recordExit records that the current process has exited.
func (p *process) recordExit() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.lives[len(p.lives)-1].endedAt.IsZero() {
		p.unexpectedExits++
	}
}

func (p *process) unexpectedExitCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unexpectedExits
}

// processID returns the ID of the current process, or of the last one if it has exited. It is 0 before the
// first start.
func (p *process) processID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// isRunning reports whether the process was started and has not exited. The mutex must be held.
func (p *process) isRunning() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		// Signal fails only if the process has exited.
		_ = p.command.Process.Signal(signal)
	}
}

// terminate sends a signal that terminates the process. It returns a channel that is closed when
// the current process has exited, even if another one has been started by then.
func (p *process) terminate(signal syscall.Signal) <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isRunning() {
		// A stopped process does not handle the signal until it is continued.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		if last := &p.lives[len(p.lives)-1]; last.endedAt.IsZero() || signal == syscall.SIGKILL {
			last.endedAt, last.signal = time.Now(), signal
		}
		_ = p.command.Process.Signal(signal)
	}
	return p.exited
}

// life is the time from a start of a process to the signal that ended it.
type life struct {
	startedAt time.Time
	// endedAt is when signal was sent, zero if none was.
	endedAt time.Time
	signal  syscall.Signal
}

// lifeAt returns the life of the process at the moment.
func (p *process) lifeAt(moment time.Time) (found life) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range p.lives {
		if !l.startedAt.After(moment) {
			found = l
		}
	}
	return found
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	if exited := p.terminate(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// markUnavailable records that the process is not available for the duration.
func (p *process) markUnavailable(duration time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if until := time.Now().Add(duration); until.After(p.unavailableUntil) {
		p.unavailableUntil = until
	}
}

// wasUnavailableSince reports whether the process was unavailable at any time after from.
func (p *process) wasUnavailableSince(from time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unavailableUntil.After(from)
}

// isListening reports whether the process accepts connections for readiness checks.
func (p *process) isListening() bool {
	connection, err := net.DialTimeout("tcp", p.addresses.ReadinessAddress, listenCheckTimeout)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// waitReady waits until the process is ready. It returns false if that takes longer than the
// deadline.
func (p *process) waitReady(ctx context.Context, deadline time.Time) bool {
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if p.isReady(client) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// isReady reports whether the gateway says that it is ready.
func (p *process) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + p.addresses.ReadinessAddress + platform.PathReadiness)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
