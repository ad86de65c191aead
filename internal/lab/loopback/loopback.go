// Package loopback allocates free loopback addresses for listeners that are opened later,
// possibly by other processes.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"
)

// The port range lies below the ephemeral ports (32768 to 60999 by default on Linux). The kernel
// may give an ephemeral port to an outgoing connection before a process listens on it.
const (
	minPort = 12000
	maxPort = 30000
	// portsPerBlock is the number of ports that a process reserves at a time. Processes that
	// allocated from the same block could return the same port, since the port stays free until
	// some process listens on it.
	portsPerBlock = 600
	blockCount    = (maxPort - minPort) / portsPerBlock
)

// allocator holds the ports that this process allocates.
var allocator struct {
	sync.Mutex
	// reservations listen on the first ports of the reserved blocks until the process exits. The
	// process that listens on the first port of a block has reserved it.
	reservations []net.Listener
	// current is the last port that was tried, and remaining the number of untried ports in
	// the block.
	current   int
	remaining int
}

// FreeAddress returns an IP:port on which no process listens. Unless every block is reserved, no
// later call returns the same address, neither in this process nor in another one.
func FreeAddress() string {
	allocator.Lock()
	defer allocator.Unlock()
	for {
		if allocator.remaining == 0 {
			reserveBlock()
		}
		allocator.current++
		allocator.remaining--
		if listener, err := net.Listen("tcp", loopbackAddress(allocator.current)); err == nil {
			listener.Close()
			return loopbackAddress(allocator.current)
		}
	}
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// reserveBlock switches to a block that no process has reserved. The previous block stays
// reserved because its ports may still be in use. If every block is reserved, reserveBlock
// falls back to sharing one with another process.
func reserveBlock() {
	start := os.Getpid() % blockCount
	for i := range blockCount {
		first := minPort + (start+i)%blockCount*portsPerBlock
		listener, err := net.Listen("tcp", loopbackAddress(first))
		if err == nil {
			allocator.reservations = append(allocator.reservations, listener)
			allocator.current, allocator.remaining = first, portsPerBlock-1
			return
		}
	}
	allocator.current, allocator.remaining = minPort+start*portsPerBlock, portsPerBlock-1
}
