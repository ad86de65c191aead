// Package tcpoption sets what makes a connection to a vanished machine end soon:
// a machine without power or behind a cut says nothing, and TCP by itself would
// wait for many minutes.
package tcpoption

import (
	"net"
	"syscall"
	"time"
)

// Times after which a silent peer is given up.
const (
	// unackedTimeout ends a connection whose peer has stopped acknowledging.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount end an idle connection whose peer
	// is gone within about two seconds.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// Dialer returns a dialer whose connections end when the peer vanishes.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUnackedTimeout,
	}
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where the option is refused, the keep-alive probes remain.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}
