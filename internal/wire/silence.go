package wire

import (
	"io"
	"sync"
	"time"
)

// Times of a connection that owes answers.
const (
	// silentTime is how long a connection with unanswered calls may bring nothing: over
	// the 200 ms after which TCP first sends a lost packet again, under the 250 ms of a
	// pull, so that one pull without an answer shows it.
	silentTime = 220 * time.Millisecond
	// longestSilentTime bounds the time of connections that replace silent ones, so
	// that a router learns of changes within two seconds all the same.
	longestSilentTime = 4 * silentTime
	// youngTime is the age below which a silent connection tells of a slow peer rather
	// than of the connection: the next one has twice the time.
	youngTime = 5 * time.Second
)

// silence watches whether a connection with unanswered calls brings anything. TCP shows
// a machine that is gone, but not a connection that something on the path or a hung
// process holds open.
//
// It sees calls only. One-way messages are never answered; what is lost with them is
// told again by their senders, for pushed changes with the follower's next pull.
type silence struct {
	// limit is how long the connection may bring nothing.
	limit time.Duration

	mutex sync.Mutex
	// openedAt is zero until the connection is open.
	openedAt time.Time
	// owesSince is when the first call after the last byte received was made, zero
	// without one.
	owesSince time.Time
	// next is the limit of the connection that replaces this one.
	next time.Duration
}

func newSilence(limit time.Duration) *silence {
	return &silence{limit: limit, next: silentTime}
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

// called notes that a call is made.
func (s *silence) called(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.owesSince.IsZero() {
		s.owesSince = now
	}
}

// heard notes that something was received.
func (s *silence) heard() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.owesSince = time.Time{}
}

// tooLong tells whether the connection owes answers for longer than its limit. The
// limit of the next one is set then.
func (s *silence) tooLong(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.openedAt.IsZero() || s.owesSince.IsZero() || now.Sub(s.owesSince) < s.limit {
		return false
	}
	if now.Sub(s.openedAt) < youngTime {
		s.next = min(2*s.limit, longestSilentTime)
	}
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
}

func (r hearingReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.silence.heard()
	}
	return n, err
}

// closeIfSilent closes a connection that has answered nothing for too long, so that
// the next call is made on a new one.
func (t *Transport) closeIfSilent(target *peer) {
	if target != nil && !target.done() && target.silence.tooLong(time.Now()) {
		t.counters.SilentConnections.Add(1)
		target.close()
	}
}
