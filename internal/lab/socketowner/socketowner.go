// Package socketowner finds the process at the other end of a loopback TCP connection. All processes
// of a test share one IP address, so the address of a client doesn't tell which process it is. The
// package needs the socket diagnosis of Linux (sock_diag(7)), which needs no privileges.
package socketowner

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// Constants of linux/sock_diag.h that the syscall package lacks.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	// noCookie makes the kernel ignore the cookie of the socket in a request.
	noCookie = ^uint32(0)
)

// responseTimeout is the timeout for a response of the kernel, which took 0.25 ms in a test.
var responseTimeout = syscall.Timeval{Sec: 1}

// socketID is struct inet_diag_sockid. Ports and addresses are in network byte order.
type socketID struct {
	SourcePort, TargetPort       [2]byte
	SourceAddress, TargetAddress [16]byte
	Interface                    uint32
	Cookie                       [2]uint32
}

// request is struct nlmsghdr followed by struct inet_diag_req_v2.
type request struct {
	Length           uint32
	Type, Flags      uint16
	Sequence, PortID uint32
	Family, Protocol uint8
	Extensions, _    uint8
	States           uint32
	Socket           socketID
}

// response is struct nlmsghdr followed by the beginning of struct inet_diag_msg.
type response struct {
	Length                        uint32
	Type, Flags                   uint16
	Sequence, PortID              uint32
	Family, State, Timer, Retries uint8
	Socket                        socketID
	Expires, ReadQueue            uint32
	WriteQueue, UserID, Inode     uint32
}

// Inode returns the inode of the client's socket of an open IPv4 connection. It returns a
// trace.NotFound error if there is no such socket.
func Inode(client, server *net.TCPAddr) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	defer syscall.Close(fd)
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &responseTimeout); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	if err := syscall.Sendto(fd, encodeRequest(client, server), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	buffer := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, buffer, 0)
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	return decodeResponse(buffer[:n], server)
}

func encodeRequest(client, server *net.TCPAddr) []byte {
	asked := request{Type: sockDiagByFamily, Flags: syscall.NLM_F_REQUEST, Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP, States: ^uint32(0)}
	asked.Length = uint32(binary.Size(asked))
	asked.Socket.Cookie = [2]uint32{noCookie, noCookie}
	binary.BigEndian.PutUint16(asked.Socket.SourcePort[:], uint16(client.Port))
	binary.BigEndian.PutUint16(asked.Socket.TargetPort[:], uint16(server.Port))
	copy(asked.Socket.SourceAddress[:], client.IP.To4())
	copy(asked.Socket.TargetAddress[:], server.IP.To4())
	var encoded bytes.Buffer
	// Writing fixed-size values to a buffer does not fail.
	_ = binary.Write(&encoded, binary.NativeEndian, asked)
	return encoded.Bytes()
}

// decodeResponse returns the inode in the response to a request for a socket that is connected to the
// server.
func decodeResponse(data []byte, server *net.TCPAddr) (uint32, error) {
	var got response
	err := binary.Read(bytes.NewReader(data), binary.NativeEndian, &got)
	// If there is no such connection, the kernel responds with an error message, which is shorter, or
	// with a socket that listens on the port of the client.
	if err != nil || got.Type != sockDiagByFamily || int(binary.BigEndian.Uint16(got.Socket.TargetPort[:])) != server.Port {
		return 0, trace.NotFound("no socket is connected to %v", server)
	}
	return got.Inode, nil
}

// IsOpenIn reports whether the process has the socket with the inode open.
func IsOpenIn(pid int, inode uint32) bool {
	folder, name := fmt.Sprintf("/proc/%d/fd", pid), fmt.Sprintf("socket:[%d]", inode)
	entries, err := os.ReadDir(folder)
	if err != nil {
		// The process has exited.
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && target == name {
			return true
		}
	}
	return false
}
