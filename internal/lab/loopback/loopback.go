// Package loopback gives out addresses for processes and listeners that are
// started later.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The ports are below those that the kernel takes for outgoing connections
// (32768 to 60999 by default on Linux): one of these may be in use again before
// it is listened on.
const (
	firstPort = 12000
	lastPort  = 30000
	// processStep keeps the first ports of processes with neighbouring ids apart.
	processStep = 97
)

// nextPort is the port given out last; no process gives one out twice in a row.
var nextPort atomic.Int64

// FreeAddress returns an IP:port on which nobody listens now.
func FreeAddress() string {
	nextPort.CompareAndSwap(0, int64(firstPort+(os.Getpid()*processStep)%(lastPort-firstPort)))
	for {
		port := nextPort.Add(1)
		if port >= lastPort {
			nextPort.Store(firstPort)
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
}
