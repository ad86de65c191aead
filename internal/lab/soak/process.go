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

// listenTime bounds the question whether a process listens.
const listenTime = 100 * time.Millisecond

// processAddresses are where one gateway listens; others reach it through a proxy.
type processAddresses struct {
	Callers string
	Ready   string
	Peer    string
}

func freeAddresses() processAddresses {
	return processAddresses{loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()}
}

// process is one gateway, started again whenever it ends.
type process struct {
	name      string
	program   []string
	folder    string
	addresses processAddresses
	seeds     []string
	door      *storestand.Endpoint
	// proxy is before the store, and peerProxy before the gateway's address for others.
	proxy     *faultproxy.Proxy
	peerProxy *faultproxy.Proxy

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// harmedUntil is until when the process is down, frozen or starting.
	harmedUntil time.Time
}

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.name+".json") }

func (p *process) suspendedPath() string { return filepath.Join(p.folder, p.name+".suspended") }

// writeSuspended tells the process for how long its machine has been suspended in all. It is
// put in place at once, as the process may read it at any moment.
func (p *process) writeSuspended(total time.Duration) error {
	next := p.suspendedPath() + ".next"
	if err := os.WriteFile(next, []byte(strconv.FormatInt(int64(total), 10)), 0o644); err != nil {
		return err
	}
	return os.Rename(next, p.suspendedPath())
}

func (p *process) writeSettings() error {
	settings := map[string]any{
		"node": p.name, "zone": "z", "ip": "127.0.0.1",
		"listen": map[string]any{"front": p.addresses.Callers, "ready": p.addresses.Ready, "control": p.peerProxy.Address, "control_bind": p.addresses.Peer},
		"seeds":  p.seeds,
		"bounds": map[string]any{
			"contact_ms": contactTime.Milliseconds(), "grace_s": graceTime.Seconds(), "revoke_ms": revokeTime.Milliseconds(),
			"lease_ms": leaseTime.Milliseconds(), "version_ms": versionTime.Milliseconds(), "budget_ratio": 0.2,
		},
		"platform": map[string]any{"address": p.proxy.Address},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsPath(), encoded, 0o644)
}

// start runs the process unless it runs already.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(p.program[0], p.program[1:]...)
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+p.settingsPath(), SuspendedVariable+"="+p.suspendedPath())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	go func() {
		// How it ended shows in its log.
		_ = command.Wait()
		log.Close()
		close(ended)
	}()
	p.command, p.ended = command, ended
	return nil
}

// running tells whether the process has not ended. The mutex is held.
func (p *process) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		// A process that has ended needs no signal.
		_ = p.command.Process.Signal(signal)
	}
}

// end sends a signal that ends the process and returns what is closed when the
// process that runs now has ended; others may be started since.
func (p *process) end(signal syscall.Signal) <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() {
		// A stopped process does not take the signal before it goes on.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Signal(signal)
	}
	return p.ended
}

func (p *process) kill() {
	if ended := p.end(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// harm notes that the process is harmed for the time and a while after.
func (p *process) harm(duration time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if until := time.Now().Add(duration); until.After(p.harmedUntil) {
		p.harmedUntil = until
	}
}

func (p *process) harmedSince(from time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.harmedUntil.After(from)
}

// listens tells whether the process has come so far that it answers readiness checks.
func (p *process) listens() bool {
	connection, err := net.DialTimeout("tcp", p.addresses.Ready, listenTime)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

func (p *process) readyBy(ctx context.Context, deadline time.Time) bool {
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		response, err := client.Get("http://" + p.addresses.Ready + platform.PathReadiness)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
