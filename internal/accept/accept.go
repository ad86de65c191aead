// Package accept keeps a listener accepting while the process has no free file descriptors.
package accept

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// retryDelay is the delay before a connection is accepted again after a failure.
const retryDelay = 5 * time.Millisecond

// listener accepts connections until it is closed. A failure to accept one does not end it.
type listener struct {
	net.Listener
	onExhausted func()
}

// Wrap returns a listener that accepts connections until it is closed. onExhausted is called when there is no
// free file descriptor, and should release some; it may be nil.
func Wrap(wrapped net.Listener, onExhausted func()) net.Listener {
	return &listener{Listener: wrapped, onExhausted: onExhausted}
}

// Accept returns the next connection, or an error once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return connection, err
		}
		if isExhausted(err) && l.onExhausted != nil {
			l.onExhausted()
		}
		time.Sleep(retryDelay)
	}
}

// isExhausted reports whether the error means that there is no free file descriptor or socket memory.
func isExhausted(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
