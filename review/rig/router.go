package rig

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Router is one machine with one process of the router.
type Router struct {
	Name, IP              string
	Front, Ready, Control string
	site                  *Site

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// StartedAt and EndedAt are those of the latest process.
	StartedAt, EndedAt time.Time
}

// Start writes the settings file and starts the process.
func (r *Router) Start(bootstrap bool) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	path := r.site.joinPath(r.Name, ".json")
	if err := os.WriteFile(path, mustJSON(r.site.settings(r, bootstrap)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(r.site.joinPath(r.Name, ".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(r.site.program)
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+path)
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, whatever ends it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startCommand(command); err != nil {
		return err
	}
	r.command, r.exited, r.StartedAt = command, make(chan struct{}), time.Now()
	r.site.Record.Logf("%s started, process %d", r.Name, command.Process.Pid)
	go r.wait(command, r.exited)
	return nil
}

// starts takes the commands that are to be started. One thread starts all of them, as the end of the thread that started a
// process would end that process too.
var starts = make(chan startRequest)

type startRequest struct {
	command *exec.Cmd
	result  chan error
}

func init() {
	go func() {
		runtime.LockOSThread()
		for request := range starts {
			request.result <- request.command.Start()
		}
	}()
}

func startCommand(command *exec.Cmd) error {
	request := startRequest{command, make(chan error)}
	starts <- request
	return <-request.result
}

// wait records the end of the process.
func (r *Router) wait(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	r.mutex.Lock()
	r.EndedAt = time.Now()
	r.mutex.Unlock()
	r.site.Record.Logf("%s ended, process %d: %v", r.Name, command.Process.Pid, err)
	close(exited)
}

// Signal sends a signal to the process.
func (r *Router) Signal(signal syscall.Signal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.command != nil {
		r.site.Record.Logf("%s gets %v", r.Name, signal)
		_ = r.command.Process.Signal(signal)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (r *Router) Kill() {
	r.mutex.Lock()
	command, exited := r.command, r.exited
	r.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// ResidentMB returns the resident memory of the process, 0 if it has ended.
func (r *Router) ResidentMB() float64 {
	r.mutex.Lock()
	command := r.command
	r.mutex.Unlock()
	if command == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// IsReady asks the router whether it is ready, as the platform does.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.Ready + platform.PathReadiness)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
