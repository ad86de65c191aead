// Package hostile_test runs router processes before clients that keep no limits, and before runners whose responses do not end. It
// checks what does not depend on the speed of the machine: that the process lives, that its memory and descriptors stay within the limits of
// its settings, and that an ordinary request is answered.
package hostile_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/loopback"
	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/soak/soaktest"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

// The limits of the machine and of the configuration.
const (
	memoryMegabytes = 128
	maxDescriptors  = 1500
	maxHeadBytes    = 16 << 10
	maxBodyBytes    = 2 << 20
)

const (
	hostName = "h.example"
	validKey = "key-one"
	// testTime bounds each test, as no check depends on how long something takes.
	testTime = 2 * time.Minute
)

// machine is a router process with its store and runners.
type machine struct {
	t       *testing.T
	g       *WithT
	store   *storestand.Store
	command *exec.Cmd
	exited  chan struct{}
	// front, ready and control are the addresses of the router.
	front, ready, control string
}

// startMachine starts a router with a runner that answers calls of the route /plain/, and one that never answers those of /silent/.
func startMachine(t *testing.T) *machine {
	m := &machine{t: t, g: NewWithT(t), store: storestand.New(), exited: make(chan struct{})}
	m.front, m.ready, m.control = loopback.FreeAddress(), loopback.FreeAddress(), loopback.FreeAddress()
	for _, service := range []string{"plain", "silent"} {
		runner, err := runnerstand.Start(runnerstand.Config{ID: "runner-" + service, Service: service, Zone: "z", Incarnation: 1})
		m.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(runner.Close)
		if service == "silent" {
			runner.SetBehaviour(runnerstand.Hangs)
		}
		m.store.Put(platform.KindRunners, runner.ID, runner.DirectoryEntry("ready"))
	}
	m.store.Put(platform.KindConfig, platform.ConfigObjectName, configuration())
	m.startRouter()
	m.g.Eventually(m.callOrdinary, testTime, 250*time.Millisecond).Should(Equal(http.StatusOK))
	return m
}

func configuration() map[string]any {
	var routes, services []map[string]any
	for _, service := range []string{"plain", "silent", "endless"} {
		services = append(services, map[string]any{"name": service})
		kind := map[string]string{"plain": "safe", "silent": "unsafe", "endless": "streaming"}[service]
		routes = append(routes, map[string]any{
			"name": service, "host": hostName, "path_prefix": "/" + service + "/", "kind": kind, "service": service,
			"timeout_ms": 60000, "target_latency_ms": 60000, "max_attempts": 2,
		})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": services, "tenants": []map[string]any{{"name": "tenant-one", "api_keys": []string{validKey}}},
		"limits": map[string]any{"max_header_bytes": maxHeadBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 60000, "idle_timeout_ms": 60000},
	}
}

func (m *machine) startRouter() {
	endpoint, err := m.store.OpenEndpoint()
	m.g.Expect(err).NotTo(HaveOccurred())
	m.t.Cleanup(endpoint.Close)
	folder := m.t.TempDir()
	settings, err := json.Marshal(map[string]any{
		"node": "front-1", "zone": "z", "region": "r", "zones": map[string]string{"z": "r"}, "ip": "127.0.0.1", "seeds": []string{m.control}, "bootstrap": true,
		"listen": map[string]string{"front": m.front, "ready": m.ready, "control": m.control}, "platform": map[string]any{"address": endpoint.Address},
		"limits": map[string]any{"cpu_share": 1, "memory_mb": memoryMegabytes, "max_fds": maxDescriptors, "link_mbps": 1000},
		"bounds": map[string]any{"contact_ms": 3000, "grace_s": 8, "revoke_ms": 5000, "lease_ms": 3000},
	})
	m.g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, "settings.json")
	m.g.Expect(os.WriteFile(path, settings, 0o600)).To(Succeed())
	log, err := os.Create(filepath.Join(folder, "router.log"))
	m.g.Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	m.command = exec.Command(soaktest.BuildCommand(m.t, "clovertiller-gateway"))
	m.command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+path)
	m.command.Stdout, m.command.Stderr = log, log
	m.g.Expect(m.command.Start()).To(Succeed())
	go func() {
		_ = m.command.Wait()
		close(m.exited)
	}()
	m.t.Cleanup(func() {
		_ = m.command.Process.Signal(syscall.SIGKILL)
		<-m.exited
		if m.t.Failed() {
			m.t.Log(tailOf(log.Name()))
		}
	})
}

// tailOf returns the last lines of the file.
func tailOf(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4<<10):])
}

// callOrdinary sends one ordinary request over a new connection and returns its status, 0 without one.
func (m *machine) callOrdinary() int {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.front+"/plain/x", strings.NewReader(strings.Repeat("x", 1<<10)))
	m.g.Expect(err).NotTo(HaveOccurred())
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+validKey)
	request.Header.Set(platform.HeaderRequestID, fmt.Sprint("ordinary-", time.Now().UnixNano()))
	request.Header.Set(platform.HeaderDeadlineMillis, "10000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// expectSound expects that the process lives, has stayed within its memory and descriptors, and answers an ordinary request, also one whose
// client has to return.
func (m *machine) expectSound() {
	m.expectWithinLimits()
	m.g.Eventually(m.callOrdinary, testTime, 250*time.Millisecond).Should(Equal(http.StatusOK), "an ordinary request")
	m.expectWithinLimits()
}

func (m *machine) expectWithinLimits() {
	m.awaitSettled()
	m.g.Expect(m.exited).NotTo(BeClosed(), "the process has ended")
	peak, descriptors := m.peakMegabytes(), m.descriptors()
	m.t.Logf("peak memory %d MB, %d descriptors", peak, descriptors)
	m.g.Expect(peak).To(BeNumerically("<", memoryMegabytes), "MB of memory")
	m.g.Expect(descriptors).To(BeNumerically("<", maxDescriptors))
}

// awaitSettled waits until the peak of the memory has stayed the same for a while, so that what clients have sent has been read.
func (m *machine) awaitSettled() {
	last, same := -1, 0
	for end := time.Now().Add(testTime); same < 6 && time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		select {
		case <-m.exited:
			return
		default:
		}
		if peak := m.peakMegabytes(); peak == last {
			same++
		} else {
			last, same = peak, 0
		}
	}
}

// peakMegabytes returns the largest resident memory that the process has had.
func (m *machine) peakMegabytes() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	m.g.Expect(err).NotTo(HaveOccurred())
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			m.g.Expect(err).NotTo(HaveOccurred())
			return kilobytes >> 10
		}
	}
	m.t.Fatal("no peak of the resident memory")
	return 0
}

func (m *machine) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.command.Process.Pid))
	m.g.Expect(err).NotTo(HaveOccurred())
	return len(entries)
}

// dial opens a connection that is closed at the end of the test.
func (m *machine) dial(address string) net.Conn {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	m.t.Cleanup(func() { connection.Close() })
	return connection
}
