package runnerstand

import (
	"fmt"
	"net"
	"syscall"
)

// Refuse stops the runner immediately and keeps its port until release is called. New connections are refused.
// After Close, another process may get the port and accept connections that are meant for the runner.
func (r *Runner) Refuse() (release func(), err error) {
	address, isTCP := r.listener.Addr().(*net.TCPAddr)
	if !isTCP {
		return nil, fmt.Errorf("runnerstand: %v is no TCP address", r.listener.Addr())
	}
	// A socket that is bound and does not listen refuses connections.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	r.Close()
	if err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
	}
	if err != nil {
		syscall.Close(socket)
		return nil, err
	}
	return func() { syscall.Close(socket) }, nil
}
