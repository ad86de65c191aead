// Package tcpoption sets TCP options that detect an unreachable peer within
// seconds. A machine that has lost power or is behind a network partition doesn't
// close its connections, and by default TCP waits for many minutes.
package tcpoption

import (
	"net"
	"syscall"
	"time"
)

const (
	// unacknowledgedTimeout is how long sent data may stay unacknowledged. TCP retransmits 3 s after
	// the first send, so a peer that was silent for less than that loses no connection. Once it is set, it
	// also decides when unanswered keep-alive probes close an idle connection, whatever their count.
	unacknowledgedTimeout = 3200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are the times until the first keep-alive probe and between
	// two probes. keepAliveCount applies where the system rejects unacknowledgedTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
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
