package faultproxy

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// groupedFixture is a proxy to an echo server, whose clients are in the groups "near" and "far".
type groupedFixture struct {
	*WithT
	t     *testing.T
	proxy *Proxy
	mutex sync.Mutex
	// group is the group of clients that connect next.
	group string
}

func newGroupedFixture(t *testing.T) *groupedFixture {
	s := &groupedFixture{WithT: NewWithT(t), t: t}
	proxy, err := StartGrouped(startEchoServer(s.WithT), func(client, own *net.TCPAddr) string {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.Expect(own.String()).To(Equal(s.proxy.Address))
		return s.group
	})
	s.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(proxy.Close)
	s.proxy = proxy
	return s
}

// dial connects a client of the group and returns the connection after a first round trip.
func (s *groupedFixture) dial(group string) net.Conn {
	s.mutex.Lock()
	s.group = group
	s.mutex.Unlock()
	conn, err := net.Dial("tcp", s.proxy.Address)
	s.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { conn.Close() })
	s.Expect(s.roundTrip(conn, 1)).To(BeNumerically("<", time.Second))
	return conn
}

// roundTrip returns how long the echo of the messages takes, or a second if it does not arrive by then.
func (s *groupedFixture) roundTrip(conn net.Conn, messages int) time.Duration {
	start := time.Now()
	conn.SetDeadline(start.Add(time.Second))
	for range messages {
		if _, err := conn.Write([]byte("message")); err != nil {
			return time.Second
		}
		time.Sleep(time.Millisecond)
	}
	if _, err := io.ReadFull(conn, make([]byte, messages*len("message"))); err != nil {
		return time.Second
	}
	return time.Since(start)
}

// Guards against a delay of other groups, and against one that adds up over messages in quick
// succession, which would make a delayed path a slow one.
func TestGroupDelayIsAppliedOnceToEachDirection(t *testing.T) {
	const delay, messages = 200 * time.Millisecond, 50
	s := newGroupedFixture(t)
	near, far := s.dial("near"), s.dial("far")
	s.proxy.SetGroupDelay("far", delay)
	s.Expect(s.roundTrip(near, 1)).To(BeNumerically("<", delay))
	s.Expect(s.roundTrip(far, messages)).To(And(BeNumerically(">=", 2*delay), BeNumerically("<", 5*delay)))
	s.proxy.SetGroupDelay("far", 0)
	s.Expect(s.roundTrip(far, 1)).To(BeNumerically("<", delay))
}

// Guards against delayed bytes that are lost when the sending side closes.
func TestDelayedDataArrivesBeforeTheClose(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conn.Write([]byte("last"))
		conn.Close()
	}()
	proxy, err := StartGrouped(listener.Addr().String(), func(_, _ *net.TCPAddr) string { return "far" })
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	proxy.SetGroupDelay("far", 50*time.Millisecond)
	conn, err := net.Dial("tcp", proxy.Address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	received, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(received)).To(Equal("last"))
}

// Guards against a cut that concerns other groups, or that leaves connections usable which have lost
// bytes.
func TestCutGroupIsSilentAndResetAtTheEnd(t *testing.T) {
	s := newGroupedFixture(t)
	near, far := s.dial("near"), s.dial("far")
	s.proxy.SetGroupCut("far", true)
	s.Expect(s.roundTrip(near, 1)).To(BeNumerically("<", time.Second))
	s.Expect(s.roundTrip(far, 1)).To(Equal(time.Second))
	s.proxy.SetGroupCut("far", false)
	far.SetDeadline(time.Now().Add(time.Second))
	_, err := far.Read(make([]byte, 1))
	s.Expect(err).To(HaveOccurred())
	netErr, isNetErr := err.(net.Error)
	s.Expect(isNetErr && netErr.Timeout()).To(BeFalse(), "%v", err)
	s.Expect(s.roundTrip(near, 1)).To(BeNumerically("<", time.Second))
	s.Expect(s.roundTrip(s.dial("far"), 1)).To(BeNumerically("<", time.Second))
}
