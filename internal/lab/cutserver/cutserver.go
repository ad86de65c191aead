// Package cutserver serves connections byte by byte in tests of responses that stop early.
package cutserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Listen serves each connection to the returned address on its own until the test ends, and closes it then: a client may open
// connections that it does not use.
func Listen(t testing.TB, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// Server answers each HTTP request with the same bytes and then ends the connection.
type Server struct {
	Address string
	mutex   sync.Mutex
	bytes   string
	resets  bool
}

// Start starts a server that answers with nothing until the bytes are set.
func Start(t testing.TB) *Server {
	s := &Server{}
	s.Address = Listen(t, s.serve)
	return s
}

// Set sets the bytes of further responses, and whether the connection is reset after them instead of closed.
func (s *Server) Set(bytes string, resets bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bytes, s.resets = bytes, resets
}

func (s *Server) serve(conn *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = io.WriteString(conn, s.bytes)
	if s.resets {
		_ = conn.SetLinger(0)
	}
}
