package runnerstand

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clovertiller/clovertiller/platform"
)

// Capacity bounds the calls at a runner.
type Capacity struct {
	// Slots is the number of calls that are processed at a time, 0 for no bound, and Queue the number of
	// calls that may wait for a slot. Further calls are rejected.
	Slots, Queue int
	// ServiceTime is how long a call is processed.
	ServiceTime time.Duration
}

// Brittleness makes a runner fall over when it rejects too many calls.
type Brittleness struct {
	// MaxRejections is the number of calls that the runner may reject within a second, as its responses
	// say. With one more it falls over.
	MaxRejections int
	// Queue replaces Capacity.Queue from Notice after the responses begin to say so.
	Queue  int
	Notice time.Duration
	// Downtime is how long the runner accepts no connections after it fell over.
	Downtime time.Duration
}

// room is the state of a runner's capacity.
type room struct {
	mutex            sync.Mutex
	running, waiting int
	// freed is closed and replaced when a slot is released.
	freed       chan struct{}
	brittle     *Brittleness
	queueFrom   time.Time
	rejections  []time.Time
	falls       int
	rejectTotal int
	// processed counts the calls that held a slot, and heldTime is for how long altogether.
	processed int
	heldTime  time.Duration
}

// SetBrittle makes the runner brittle, or sound again if b is nil.
func (r *Runner) SetBrittle(b *Brittleness) {
	r.room.mutex.Lock()
	defer r.room.mutex.Unlock()
	r.room.brittle = b
	if b != nil {
		r.room.queueFrom = time.Now().Add(b.Notice)
	}
}

// Falls returns how often the runner has fallen over, and how many calls it has rejected for want of room.
func (r *Runner) Falls() (falls, rejections int) {
	r.room.mutex.Lock()
	defer r.room.mutex.Unlock()
	return r.room.falls, r.room.rejectTotal
}

// MeanHoldTime returns the mean time for which calls held a slot, which is longer than Capacity.ServiceTime on a
// busy machine.
func (r *Runner) MeanHoldTime() time.Duration {
	r.room.mutex.Lock()
	defer r.room.mutex.Unlock()
	if r.room.processed == 0 {
		return r.Capacity.ServiceTime
	}
	return r.room.heldTime / time.Duration(r.room.processed)
}

func (r *Runner) addBrittleHeader(header http.Header) {
	r.room.mutex.Lock()
	defer r.room.mutex.Unlock()
	if r.room.brittle != nil {
		header.Set(platform.HeaderServerBrittle, strconv.Itoa(r.room.brittle.MaxRejections))
	}
}

// takeSlot waits for a slot and processes the call for the service time. It returns false if the call is
// rejected.
func (r *Runner) takeSlot(request *http.Request) bool {
	if r.Capacity.Slots == 0 {
		return true
	}
	room := &r.room
	room.mutex.Lock()
	if room.running >= r.Capacity.Slots && room.waiting >= r.queueLength(time.Now()) {
		r.reject(time.Now())
		room.mutex.Unlock()
		return false
	}
	room.waiting++
	for room.running >= r.Capacity.Slots {
		if room.freed == nil {
			room.freed = make(chan struct{})
		}
		freed := room.freed
		room.mutex.Unlock()
		select {
		case <-freed:
		case <-request.Context().Done():
		}
		room.mutex.Lock()
		if request.Context().Err() != nil {
			break
		}
	}
	room.waiting--
	room.running++
	room.mutex.Unlock()
	startedAt := time.Now()
	select {
	case <-time.After(r.Capacity.ServiceTime):
	case <-request.Context().Done():
	}
	room.mutex.Lock()
	defer room.mutex.Unlock()
	room.processed++
	room.heldTime += time.Since(startedAt)
	return true
}

func (r *Runner) releaseSlot() {
	if r.Capacity.Slots == 0 {
		return
	}
	r.room.mutex.Lock()
	defer r.room.mutex.Unlock()
	r.room.running--
	if r.room.freed != nil {
		close(r.room.freed)
		r.room.freed = nil
	}
}

// queueLength returns how many calls may wait. The mutex of the room must be held.
func (r *Runner) queueLength(now time.Time) int {
	if r.room.brittle != nil && !now.Before(r.room.queueFrom) {
		return r.room.brittle.Queue
	}
	return r.Capacity.Queue
}

// reject counts a rejected call. The mutex of the room must be held.
func (r *Runner) reject(now time.Time) {
	room := &r.room
	room.rejectTotal++
	if room.brittle == nil {
		return
	}
	room.rejections = append(room.rejections, now)
	for now.Sub(room.rejections[0]) > time.Second {
		room.rejections = room.rejections[1:]
	}
	if len(room.rejections) <= room.brittle.MaxRejections {
		return
	}
	room.falls++
	room.rejections = nil
	r.listener.(*fallListener).fall(room.brittle.Downtime)
}

// fallListener is a listener that can refuse connections for a while.
type fallListener struct {
	net.Listener
	mutex     sync.Mutex
	conns     map[net.Conn]struct{}
	downUntil atomic.Int64
}

func newFallListener(listener net.Listener) net.Listener {
	return &fallListener{Listener: listener, conns: map[net.Conn]struct{}{}}
}

// fall resets all connections, and new ones until the downtime is over.
func (l *fallListener) fall(downtime time.Duration) {
	l.downUntil.Store(time.Now().Add(downtime).UnixNano())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
	clear(l.conns)
}

// CloseIdleConnections closes all open connections. It must not be called while calls are processed.
func (r *Runner) CloseIdleConnections() { r.listener.(*fallListener).fall(0) }

func (l *fallListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if time.Now().UnixNano() < l.downUntil.Load() {
			reset(conn)
			continue
		}
		tracked := &trackedConn{Conn: conn, listener: l}
		l.mutex.Lock()
		l.conns[tracked] = struct{}{}
		l.mutex.Unlock()
		return tracked, nil
	}
}

// trackedConn is a connection that its listener can reset.
type trackedConn struct {
	net.Conn
	listener *fallListener
	surplus  surplusResponse
}

// Read sends the surplus response of the last call before it returns the next one.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.surplus.send(c.Conn)
	}
	return n, err
}

func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func reset(conn net.Conn) {
	if tracked, isTracked := conn.(*trackedConn); isTracked {
		conn = tracked.Conn
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
