// Package faultproxy is a loopback TCP proxy that harms the connections through
// it as told: delayed, reset, cut one way or silenced.
package faultproxy

import (
	"errors"
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
	// Mute forwards nothing more on the connections that are open now, neither data
	// nor their end, whatever the later modes; new ones pass. Both sides still get
	// their packets acknowledged, so that TCP by itself notices nothing.
	Mute
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "cut back", "silence", "mute"}[m]
}

const (
	// delayTime is the pause of Delay.
	delayTime = 150 * time.Millisecond
	// acceptPause follows a connection that could not be taken; net/http waits 5 ms at first.
	acceptPause = 10 * time.Millisecond
)

// Proxy forwards connections to one server.
type Proxy struct {
	Address  string
	server   string
	listener net.Listener
	mutex    sync.Mutex
	mode     Mode
	open     map[*link]bool
}

// link is a client's connection and the one to the server that it is forwarded on.
// Its fields are guarded by the proxy's mutex.
type link struct {
	client, server net.Conn
	muted          bool
}

// Start forwards a free loopback address to the server.
func Start(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), server: server, listener: listener, open: map[*link]bool{}}
	go p.accept()
	return p, nil
}

// Set changes the mode, for open connections too unless they are muted.
func (p *Proxy) Set(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.mode
	p.mode = mode
	// What was dropped is missing for good, so such connections end with the fault.
	resets := mode == Reset || (mode == Pass && (before == CutBack || before == Silence))
	for l := range p.open {
		switch {
		case mode == Mute:
			l.muted = true
		case resets && !l.muted:
			l.each(reset)
		}
	}
}

// Close ends the proxy and all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for l := range p.open {
		l.each(func(conn net.Conn) { conn.Close() })
	}
}

// modeOf returns what happens to the link now.
func (p *Proxy) modeOf(l *link) Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case l.muted:
		return Mute
	case p.mode == Mute:
		return Pass
	}
	return p.mode
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process has no open files left, for one; what waits is taken later.
			time.Sleep(acceptPause)
			continue
		}
		l := &link{client: client}
		p.mutex.Lock()
		p.open[l] = true
		p.mutex.Unlock()
		go p.serve(l)
	}
}

func (p *Proxy) serve(l *link) {
	defer p.end(l)
	if p.modeOf(l) == Reset {
		reset(l.client)
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(l.client)
		return
	}
	p.mutex.Lock()
	l.server = server
	p.mutex.Unlock()
	done := make(chan struct{}, 2)
	go p.forward(l, server, l.client, false, done)
	go p.forward(l, l.client, server, true, done)
	<-done
	if p.modeOf(l) == Mute {
		// The end of one side is not to reach the other.
		<-done
	}
}

func (p *Proxy) end(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, l)
	l.each(func(conn net.Conn) { conn.Close() })
}

// forward copies from source to target until either ends.
func (p *Proxy) forward(l *link, target, source net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		if p.modeOf(l) == Delay {
			time.Sleep(delayTime)
		}
		mode := p.modeOf(l)
		dropped := mode == Mute || mode == Silence || (mode == CutBack && back)
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
			if mode != Mute {
				reset(target)
			}
			return
		}
	}
}

// each calls the function with the connections that there are. The proxy's mutex
// is held.
func (l *link) each(do func(net.Conn)) {
	for _, conn := range []net.Conn{l.client, l.server} {
		if conn != nil {
			do(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
