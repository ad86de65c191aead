// Package endless provides servers that send bytes without end after each request.
package endless

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Kind is what a server sends without end.
type Kind struct {
	Name string
	// Begin is sent once, and Unit again and again until the client closes the connection.
	Begin, Unit string
}

const okHead = "HTTP/1.1 200 OK\r\n"

// Heads are the kinds whose heads do not end.
var Heads = []Kind{
	{"no line", "", "xxxxxxxxxxxxxxxx"},
	{"status line", "HTTP/1.1 200 OK", " and more"},
	{"header line", okHead + "X: ", "xxxxxxxxxxxxxxxx"},
	{"headers", okHead, "X-More: 1\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"},
}

// Bodies are the kinds whose bodies do not end. header is sent with each of them.
func Bodies(header string) []Kind {
	chunked := okHead + header + "Transfer-Encoding: chunked\r\n\r\n"
	return []Kind{
		{"body", okHead + header + "\r\n", "xxxxxxxxxxxxxxxx"},
		{"chunks", chunked, "4\r\nxxxx\r\n"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "4;", "xxxxxxxx"},
		{"trailers", chunked + "0\r\n", "X-More: 1\r\n"},
		{"event", okHead + header + "Content-Type: text/event-stream\r\n\r\ndata: ", "xxxxxxxxxxxxxxxx"},
		{"error", "HTTP/1.1 500 Error\r\n" + header + "\r\n", "xxxxxxxxxxxxxxxx"},
	}
}

// Server sends bytes without end after each request.
type Server struct {
	Address  string
	kind     Kind
	listener net.Listener
	calls    atomic.Int64
	mutex    sync.Mutex
	open     map[net.Conn]bool
}

// Start starts a server.
func Start(kind Kind) (*Server, error) { return StartAt("127.0.0.1:0", kind) }

// StartAt starts a server at the address.
func StartAt(address string, kind Kind) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Address: listener.Addr().String(), kind: kind, listener: listener, open: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Calls returns the number of requests that were read, without control calls.
func (s *Server) Calls() int { return int(s.calls.Load()) }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for connection := range s.open {
		connection.Close()
	}
}

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.open[connection] = true
		s.mutex.Unlock()
		go s.serve(connection)
	}
}

func (s *Server) serve(connection net.Conn) {
	defer func() {
		connection.Close()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.open, connection)
	}()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if !strings.HasPrefix(request.URL.Path, "/-/") {
		s.calls.Add(1)
	}
	if _, err := connection.Write([]byte(s.kind.Begin)); err != nil {
		return
	}
	units := bytes.Repeat([]byte(s.kind.Unit), 4096/len(s.kind.Unit))
	for {
		if _, err := connection.Write(units); err != nil {
			return
		}
	}
}
