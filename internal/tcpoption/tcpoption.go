// Package tcpoption sets TCP options that detect an unreachable peer within
// seconds. A machine that has lost power or is behind a network partition doesn't
// close its connections, and by default TCP waits for many minutes.
package tcpoption

import (
	"net"
	"syscall"
	"time"
)

// Timeouts after which a connection to a silent peer is closed.
const (
	// unacknowledgedTimeout is how long sent data may stay unacknowledged.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure keep-alive probes
	// so that an idle connection is closed about two seconds after its peer has
	// become unreachable.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall doesn't
// define.
const tcpUserTimeout = 18

// Dialer returns a dialer with the given dial timeout. Its connections fail within
// seconds when the peer becomes unreachable.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		// If the system rejects the option, the keep-alive probes still apply.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
}
