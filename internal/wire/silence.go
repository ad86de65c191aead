package wire

import (
	"io"
	"math"
	"sync"
	"time"
)

// Times of a connection that owes answers.
const (
	// silentTime is how long a connection with unanswered calls may bring nothing: over
	// the 200 ms after which TCP first sends a lost packet again, under the 250 ms of a
	// pull, so that one pull without an answer shows it.
	silentTime = 220 * time.Millisecond
	// lostAnswerTime is within which a new connection is answered to tell that the one before
	// it was lost: sound routers answer within 20 ms. One that stood still for as long as a
	// connection may be silent, and this much longer, is told apart.
	lostAnswerTime = 50 * time.Millisecond
	// longestSilentTime bounds the time of connections that replace silent ones, so
	// that one of them that falls silent too is replaced within a second and a pull.
	longestSilentTime = 4 * silentTime
	// longCallTime is over which time a call is long: connections with one open are kept.
	// It is over the 500 ms of questions on behalf of callers' requests, which some
	// connections always have open, and under the 2 s of a first pull of the directory.
	longCallTime = longestSilentTime
	// longCallSilentTime is the least time of a connection with a long call open. It
	// is the longest time of a pull, and bounds that of long calls one after another.
	longCallSilentTime = 2 * time.Second
	// youngTime is the age below which a silent connection tells of a slow peer rather
	// than of the connection: the next one has twice the time.
	youngTime = 5 * time.Second
	// acknowledgedInterval is how often at most one-way messages on a connection ask for
	// an acknowledgement: one in forty of the loads that schedulers share each 5 ms.
	acknowledgedInterval = 200 * time.Millisecond
	// noDeadline is the time in milliseconds of a call without a deadline, as none is that
	// of one-way messages.
	noDeadline = math.MaxUint32
)

// silence watches whether a connection that owes answers brings anything. TCP shows a
// machine that is gone, but not a connection that something on the path or a hung
// process holds open.
//
// Calls are answered, and of one-way messages those that ask for an acknowledgement:
// some connections carry pushed changes or loads only. What was lost on a connection
// until its silence showed is told again by the senders, with a follower's next pull or
// the next message that holds all loads.
type silence struct {
	mutex sync.Mutex
	// limit is how long the connection may bring nothing.
	limit time.Duration
	// openedAt is zero until the connection is open.
	openedAt time.Time
	// owesSince is when the first call or question for an acknowledgement after the last
	// byte received was sent, zero without one.
	owesSince time.Time
	// askedAt is when a call or a message that asks for an acknowledgement was last sent.
	askedAt time.Time
	// longCalls counts the long calls that are open. What handles them may take as long
	// as they have, and messages of one connection are handled in order, so that
	// acknowledgements wait for them too.
	longCalls int
	// next is the limit of the connection that replaces this one.
	next time.Duration
	// fellSilent is since when this connection had owed answers when it was found silent,
	// zero if it was not, or too young to tell anything.
	fellSilent time.Time
	// replaced is the same of the connection that this one replaces, until this one has
	// brought something.
	replaced time.Time
}

func newSilence(limit time.Duration) *silence {
	return &silence{limit: limit, next: silentTime}
}

// successor watches the connection that replaces this one.
func (s *silence) successor() *silence {
	created := newSilence(s.nextLimit())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	created.replaced = s.fellSilent
	return created
}

// opened begins to count; the time of the dial has a limit of its own.
func (s *silence) opened(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openedAt = now
	if !s.owesSince.IsZero() {
		s.owesSince = now
	}
}

// wantsAcknowledgement tells whether a one-way message is to ask for one.
func (s *silence) wantsAcknowledgement(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.askedAt) >= acknowledgedInterval
}

// called notes that a call, or a message that asks for an acknowledgement, is sent.
func (s *silence) called(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.askedAt = now
	if s.owesSince.IsZero() {
		s.owesSince = now
	}
}

// heard notes that something was received. An answer that is not late ends the longer
// time of a connection that replaced a silent one. If it is the first one, the peer was
// well and the connection before was lost: its silence is returned then, zero otherwise.
func (s *silence) heard(now time.Time) (lostSince time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.openedAt) < lostAnswerTime {
		lostSince = s.replaced
	}
	s.replaced = time.Time{}
	if !s.owesSince.IsZero() && now.Sub(s.owesSince) < silentTime {
		s.limit = silentTime
	}
	s.owesSince = time.Time{}
	return lostSince
}

// longCallBegan notes that a long call is open, until longCallEnded.
func (s *silence) longCallBegan() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.longCalls++
}

func (s *silence) longCallEnded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.longCalls--
}

// currentLimit returns how long the connection may bring nothing with the calls that
// are open. The mutex is held.
func (s *silence) currentLimit() time.Duration {
	if s.longCalls > 0 {
		return max(s.limit, longCallSilentTime)
	}
	return s.limit
}

// tooLong tells whether the connection owes answers for longer than its limit. The
// limit of the next one is set then.
func (s *silence) tooLong(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.openedAt.IsZero() || s.owesSince.IsZero() || now.Sub(s.owesSince) < s.currentLimit() {
		return false
	}
	if now.Sub(s.openedAt) < youngTime {
		s.next = min(2*s.limit, longestSilentTime)
		return true
	}
	s.fellSilent = s.owesSince
	return true
}

// nextLimit returns the limit of the connection that replaces this one.
func (s *silence) nextLimit() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.next
}

// hearingReader notes each read that brings something.
type hearingReader struct {
	io.Reader
	silence *silence
	// lost is told since when a connection was silent that this one replaces.
	lost func(since time.Time)
}

func (r hearingReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n == 0 {
		return n, err
	}
	if since := r.silence.heard(time.Now()); !since.IsZero() {
		r.lost(since)
	}
	return n, err
}

// asksAcknowledgement tells whether the message is a one-way message that asks for an
// acknowledgement: it has an id, but nobody waits for it.
func asksAcknowledgement(envelope *Envelope) bool {
	return envelope.GetCallId() != 0 && envelope.GetDeadlineMillis() == 0
}

// isLongCall tells whether the call has more time than connections may bring nothing.
func isLongCall(call *Envelope) bool {
	return call.GetDeadlineMillis() > uint32(longCallTime.Milliseconds())
}

// acknowledgement is the reply to a one-way message. Routers of earlier versions send
// none; a connection to one that carries one-way messages only is replaced now and then.
func acknowledgement() *Envelope {
	return &Envelope{Body: &Envelope_HeartbeatAck{HeartbeatAck: &Heartbeat{}}}
}

// closeIfSilent closes a connection that has answered nothing for too long, so that
// the next message is sent on a new one.
func (t *Transport) closeIfSilent(target *peer) {
	if target != nil && !target.done() && target.silence.tooLong(time.Now()) {
		target.closeSilent()
	}
}
