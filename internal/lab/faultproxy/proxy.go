// Package faultproxy provides a loopback TCP proxy that injects network faults: it can delay,
// reset, drop or mute the connections that it forwards.
package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a Proxy treats the connections that it forwards.
type Mode uint8

// Modes of a Proxy.
const (
	// Pass forwards both directions unchanged.
	Pass Mode = iota
	// Delay forwards what each read returns after forwardDelay.
	Delay
	// Reset resets all open connections and every new one.
	Reset
	// DropResponses forwards to the server and drops what the server sends.
	DropResponses
	// Blackhole accepts connections and forwards nothing.
	Blackhole
	// MuteExisting permanently mutes the connections that are open when it is set: neither
	// data nor the close is forwarded on them, whatever mode follows. New connections pass.
	// Packets of both sides are still acknowledged, so TCP does not detect the fault.
	MuteExisting
	// Stall holds back both directions and forwards what was held when the mode changes, like a
	// peer that is silent for a while.
	Stall
	// RejectNew resets new connections and forwards on open ones.
	RejectNew
)

// String returns the name of the mode in logs.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "cut back", "silence", "mute", "stall", "reject new"}[m]
}

const (
	// forwardDelay is the delay of Delay in each direction.
	forwardDelay = 150 * time.Millisecond
	// acceptRetryDelay is the wait after a failed Accept. The first wait of net/http is 5 ms.
	acceptRetryDelay = 10 * time.Millisecond
	// stallPollInterval is how often a stalled link checks whether the mode has changed.
	stallPollInterval = 5 * time.Millisecond
)

// Proxy forwards connections to one server and injects the fault of its mode. It is safe for
// concurrent use.
type Proxy struct {
	Address  string
	server   string
	listener net.Listener
	mutex    sync.Mutex
	mode     Mode
	delay    time.Duration
	links    map[*link]bool
	// groupOf returns the group of a client. It is nil if clients have no groups.
	groupOf GroupOf
	// groupDelays and groupModes hold the delay of groups, and the modes that replace that of the proxy.
	groupDelays map[string]time.Duration
	groupModes  map[string]Mode
	// cut ends new connections after some bytes; nil for none.
	cut *Cut
}

// Cut ends connections after a number of bytes in one direction, whatever the mode.
type Cut struct {
	// Prefix selects the connections: on them, the first that the client sends begins with it.
	Prefix string
	// Requests is set to count the bytes that the client sends, instead of those from the server.
	Requests bool
	// Bytes is the number of bytes that are forwarded.
	Bytes int
	// Reset is set to reset both connections of a link instead of closing them.
	Reset bool
}

// GroupOf returns the group of the client that is connected to the proxy, empty for none.
type GroupOf func(client, proxy *net.TCPAddr) string

// link is a client connection with the server connection to which it is forwarded. Its fields
// are guarded by the mutex of the proxy.
type link struct {
	client, server net.Conn
	group          string
	muted          bool
	// cut applies to the link, nil for none, and cutLeft is the number of bytes until then. begun is set once the client has sent
	// something, and ended once the last bytes before the cut are forwarded.
	cut     *Cut
	cutLeft int
	begun   bool
	ended   bool
}

// Start starts a proxy on a free loopback address that forwards to the server, an IP:port.
func Start(server string) (*Proxy, error) { return StartGrouped(server, nil) }

// StartGrouped is like Start. The connections of each group of clients can also be delayed and cut.
func StartGrouped(server string, groupOf GroupOf) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), server: server, listener: listener, links: map[*link]bool{}, groupOf: groupOf, groupDelays: map[string]time.Duration{}, groupModes: map[string]Mode{}}
	go p.acceptLoop()
	return p, nil
}

// SetMode sets the mode of new connections and of open connections that are not muted.
func (p *Proxy) SetMode(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.mode
	p.mode = mode
	// The bytes that DropResponses and Blackhole dropped are lost, so the connections are
	// reset when the fault ends.
	resetsLinks := mode == Reset || (mode == Pass && (previous == DropResponses || previous == Blackhole))
	for l := range p.links {
		switch {
		case mode == MuteExisting:
			l.muted = true
		case resetsLinks && !l.muted:
			l.forEachConn(resetConn)
		}
	}
}

// SetDelay sets how much later everything that is read from now on arrives, in each direction, as on
// a link of that length. Unlike Delay, it does not limit the throughput. It applies in every mode.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = delay
}

// SetCut sets where connections end on which the client has sent nothing yet; nil for nowhere.
func (p *Proxy) SetCut(cut *Cut) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
}

// limit returns the part of the data that is forwarded before the cut of the link, and whether the link ends after it.
func (p *Proxy) limit(l *link, data []byte, isResponse bool) (part []byte, ends bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !l.begun && !isResponse && len(data) > 0 {
		l.begun = true
		if p.cut != nil && bytes.HasPrefix(data, []byte(p.cut.Prefix)) {
			l.cut, l.cutLeft = p.cut, p.cut.Bytes
		}
	}
	if l.ended {
		// The peer may answer the last bytes before the connections end.
		return nil, false
	}
	if l.cut == nil || l.cut.Requests == isResponse || len(data) < l.cutLeft {
		if l.cut != nil && l.cut.Requests != isResponse {
			l.cutLeft -= len(data)
		}
		return data, false
	}
	l.ended = true
	return data[:l.cutLeft], true
}

// end ends the link as its cut demands.
func (p *Proxy) end(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if l.cut.Reset {
		l.forEachConn(resetConn)
		return
	}
	l.forEachConn(func(conn net.Conn) { conn.Close() })
}

// currentDelay returns the delay that applies to what is read on the link now.
func (p *Proxy) currentDelay(l *link) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.delay + p.groupDelays[l.group]
}

// SetGroupDelay is like SetDelay for the connections of a group, and is added to the delay of the proxy.
func (p *Proxy) SetGroupDelay(group string, delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.groupDelays[group] = delay
}

// SetGroupCut sets whether the connections of a group are treated as with Blackhole, whatever the mode.
func (p *Proxy) SetGroupCut(group string, cut bool) {
	if cut {
		p.SetGroupMode(group, Blackhole)
		return
	}
	p.SetGroupMode(group, Pass)
}

// SetGroupMode sets a mode of the connections of a group that replaces the mode of the proxy. Pass ends it.
func (p *Proxy) SetGroupMode(group string, mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.groupModes[group]
	p.groupModes[group] = mode
	for l := range p.links {
		// At the end of Blackhole, the dropped bytes are lost.
		if l.group == group && !l.muted && (mode == Reset || mode == Pass && previous == Blackhole) {
			l.forEachConn(resetConn)
		}
	}
}

// assignGroup determines the group of the link.
func (p *Proxy) assignGroup(l *link) {
	client, isTCP := l.client.RemoteAddr().(*net.TCPAddr)
	own, _ := l.client.LocalAddr().(*net.TCPAddr)
	if p.groupOf == nil || !isTCP {
		return
	}
	group := p.groupOf(client, own)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l.group = group
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for l := range p.links {
		l.forEachConn(func(conn net.Conn) { conn.Close() })
	}
}

// effectiveMode returns the mode that currently applies to the link.
func (p *Proxy) effectiveMode(l *link) Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case l.muted:
		return MuteExisting
	case p.groupModes[l.group] != Pass:
		return p.groupModes[l.group]
	case p.mode == MuteExisting:
		return Pass
	}
	return p.mode
}

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process may be out of file descriptors. Pending connections stay in the
			// backlog until the next Accept.
			time.Sleep(acceptRetryDelay)
			continue
		}
		l := &link{client: client}
		p.mutex.Lock()
		p.links[l] = true
		p.mutex.Unlock()
		go p.serve(l)
	}
}

// serve connects to the server and forwards both directions of the link until either side closes.
func (p *Proxy) serve(l *link) {
	defer p.closeLink(l)
	p.assignGroup(l)
	if mode := p.effectiveMode(l); mode == Reset || mode == RejectNew {
		resetConn(l.client)
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		resetConn(l.client)
		return
	}
	p.mutex.Lock()
	l.server = server
	p.mutex.Unlock()
	done := make(chan struct{}, 2)
	go p.forward(l, server, l.client, false, done)
	go p.forward(l, l.client, server, true, done)
	<-done
	if p.effectiveMode(l) == MuteExisting {
		// The close of one side must not reach the other.
		<-done
	}
}

func (p *Proxy) closeLink(l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, l)
	l.forEachConn(func(conn net.Conn) { conn.Close() })
}

// chunk is the result of one read, which is to be forwarded when it is due.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// maxDelayedChunks is the number of chunks of one direction that may be on their way.
const maxDelayedChunks = 1024

// forward copies from source to target until either is closed, and then sends on done.
// isResponse is set for the direction from the server to the client.
func (p *Proxy) forward(l *link, target, source net.Conn, isResponse bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	chunks, stopped := make(chan chunk, maxDelayedChunks), make(chan struct{})
	defer close(stopped)
	go p.readChunks(l, source, chunks, stopped)
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !p.write(l, target, c, isResponse) {
			return
		}
	}
}

// readChunks reads from the source until an error occurs or stopped is closed.
func (p *Proxy) readChunks(l *link, source net.Conn, chunks chan<- chunk, stopped <-chan struct{}) {
	defer close(chunks)
	buffer := make([]byte, 16<<10)
	for {
		n, err := source.Read(buffer)
		if p.effectiveMode(l) == Delay {
			time.Sleep(forwardDelay)
		}
		select {
		case chunks <- chunk{data: bytes.Clone(buffer[:n]), err: err, due: time.Now().Add(p.currentDelay(l))}:
		case <-stopped:
			return
		}
		if err != nil {
			return
		}
	}
}

// write forwards what was read, unless the mode drops it, and reports whether the direction is still
// open.
func (p *Proxy) write(l *link, target net.Conn, c chunk, isResponse bool) bool {
	mode := p.effectiveMode(l)
	for mode == Stall {
		time.Sleep(stallPollInterval)
		mode = p.effectiveMode(l)
	}
	dropped := mode == MuteExisting || mode == Blackhole || (mode == DropResponses && isResponse)
	data, ends := p.limit(l, c.data, isResponse)
	if len(data) > 0 && !dropped {
		if _, err := target.Write(data); err != nil {
			return false
		}
	}
	if ends {
		p.end(l)
		return false
	}
	if c.err == io.EOF && !dropped {
		if tcp, ok := target.(*net.TCPConn); ok {
			// The other direction may still be in use.
			_ = tcp.CloseWrite()
		}
		return false
	}
	if c.err != nil {
		if mode != MuteExisting {
			resetConn(target)
		}
		return false
	}
	return true
}

// forEachConn calls do with each connection of the link that exists. The mutex of the proxy must
// be held.
func (l *link) forEachConn(do func(net.Conn)) {
	for _, conn := range []net.Conn{l.client, l.server} {
		if conn != nil {
			do(conn)
		}
	}
}

// resetConn closes the connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
