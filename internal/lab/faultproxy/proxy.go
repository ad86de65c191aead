// Package faultproxy is a loopback TCP proxy that harms the connections through
// it as told: delayed, reset, cut one way or silenced.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what happens to connections.
type Mode uint8

// The modes.
const (
	// Pass forwards both ways.
	Pass Mode = iota
	// Delay forwards each piece after a pause.
	Delay
	// Reset resets open connections and each new one.
	Reset
	// CutBack forwards to the server and drops what comes back.
	CutBack
	// Silence takes connections and forwards nothing.
	Silence
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "cut back", "silence"}[m]
}

// delayTime is the pause of Delay.
const delayTime = 150 * time.Millisecond

// Proxy forwards connections to one server.
type Proxy struct {
	Address  string
	server   string
	listener net.Listener
	mutex    sync.Mutex
	mode     Mode
	open     map[net.Conn]bool
}

// Start forwards a free loopback address to the server.
func Start(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), server: server, listener: listener, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Set changes the mode, for open connections too.
func (p *Proxy) Set(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.mode
	p.mode = mode
	// What was dropped is missing for good, so such connections end with the fault.
	if mode == Reset || (mode == Pass && (before == CutBack || before == Silence)) {
		for conn := range p.open {
			reset(conn)
		}
	}
}

// Close ends the proxy and all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.open {
		conn.Close()
	}
}

func (p *Proxy) current() Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.track(client, true)
	defer p.track(client, false)
	defer client.Close()
	if p.current() == Reset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(client)
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	defer server.Close()
	done := make(chan struct{}, 2)
	go p.forward(server, client, false, done)
	go p.forward(client, server, true, done)
	<-done
}

// forward copies from source to target until either ends.
func (p *Proxy) forward(target, source net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		mode := p.current()
		if mode == Delay {
			time.Sleep(delayTime)
		}
		dropped := mode == Silence || (mode == CutBack && back)
		if n > 0 && !dropped {
			if _, failed := target.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err == io.EOF && !dropped {
			if half, ok := target.(*net.TCPConn); ok {
				// The other direction may go on.
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(target)
			return
		}
	}
}

func (p *Proxy) track(conn net.Conn, open bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if open {
		p.open[conn] = true
		return
	}
	delete(p.open, conn)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
