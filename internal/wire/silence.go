package wire

import (
	"io"
	"math"
	"sync"
	"time"
)

// Timeouts for connections with outstanding requests.
const (
	// silenceTimeout is how long a connection with unanswered requests may deliver no data
	// before it counts as silent. It is longer than the 200 ms after which TCP first
	// retransmits a lost packet, and shorter than the 250 ms timeout of a pull, so that a
	// single unanswered pull reveals a silent connection.
	silenceTimeout = 220 * time.Millisecond
	// lostConnectionWindow is the time from the opening of a new connection within which
	// its first data shows that the silent connection before it was lost while the peer was
	// healthy. Healthy routers answer within 20 ms. A router that was paused for at least
	// silenceTimeout plus this window is not mistaken for a lost connection.
	lostConnectionWindow = 50 * time.Millisecond
	// maxSilenceTimeout bounds the doubled timeout of connections that replace silent
	// ones, so that a replacement that falls silent too is itself replaced within one
	// second plus the duration of a pull.
	maxSilenceTimeout = 4 * silenceTimeout
	// longCallThreshold is the timeout above which a call is long. A connection with an open
	// long call gets a longer silence timeout. The threshold is above the 500 ms timeout of
	// calls made for callers' requests, of which some connections always have one open, and
	// below the 2 s timeout of a first pull of the directory.
	longCallThreshold = maxSilenceTimeout
	// longCallSilenceTimeout is the minimum silence timeout of a connection with an open
	// long call. It equals the longest timeout of a pull, and it ensures that a series of
	// long calls cannot keep a silent connection open indefinitely.
	longCallSilenceTimeout = 2 * time.Second
	// youngConnectionAge is the age below which the silence of a connection suggests a slow
	// peer rather than a broken connection. The connection that replaces it gets twice the
	// silence timeout.
	youngConnectionAge = 5 * time.Second
	// ackInterval is the minimum interval at which one-way messages on a connection request
	// an acknowledgement: one in forty of the load messages that schedulers send every 5 ms.
	ackInterval = 200 * time.Millisecond
	// noDeadline is the value of Envelope.DeadlineMillis for a call without a deadline. Zero
	// would mark the call as a one-way message.
	noDeadline = math.MaxUint32
)

// silenceDetector detects that an outgoing connection with unanswered requests has stopped
// delivering data. TCP keep-alive detects a machine that is gone, but not a connection that
// a middlebox or a hung process holds open.
//
// A request is a call or a one-way message that requests an acknowledgement. One-way
// messages request them because some connections carry only pushed changes or loads.
// Most messages lost before the silence is detected need no retransmission: a follower's next
// pull or the next message with all loads repeats their content. Senders of others use
// OnSilentConnection.
type silenceDetector struct {
	mutex sync.Mutex
	// timeout is how long the connection may deliver no data while requests are unanswered.
	timeout time.Duration
	// openedAt is zero until the connection is open.
	openedAt time.Time
	// awaitingSince is when the first request after the last received byte was sent, zero if
	// there was none.
	awaitingSince time.Time
	// lastRequestAt is when the last request was sent.
	lastRequestAt time.Time
	// openLongCalls counts the long calls in progress. Their handlers may run until the
	// calls' deadlines, and the peer handles the messages of one connection in order, so
	// acknowledgements are delayed as well.
	openLongCalls int
	// nextTimeout is the timeout of the connection that replaces this one.
	nextTimeout time.Duration
	// silentSince is the value of awaitingSince when the connection was found silent. It is
	// zero if it was not, or if it was too young for its silence to be conclusive.
	silentSince time.Time
	// predecessorSilentSince is silentSince of the connection that this one replaces. It is
	// cleared when the first data arrives.
	predecessorSilentSince time.Time
}

func newSilenceDetector(timeout time.Duration) *silenceDetector {
	return &silenceDetector{timeout: timeout, nextTimeout: silenceTimeout}
}

// successor returns the detector for the connection that replaces this one.
func (s *silenceDetector) successor() *silenceDetector {
	next := newSilenceDetector(s.timeoutOfSuccessor())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next.predecessorSilentSince = s.silentSince
	return next
}

// recordOpened records that the connection is established. The timeout of requests that were
// queued earlier starts now, because the dial has its own timeout.
func (s *silenceDetector) recordOpened(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openedAt = now
	if !s.awaitingSince.IsZero() {
		s.awaitingSince = now
	}
}

// ackDue reports whether the next one-way message should request an acknowledgement.
func (s *silenceDetector) ackDue(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.lastRequestAt) >= ackInterval
}

// recordRequest records that a call, or a one-way message that requests an acknowledgement,
// is sent.
func (s *silenceDetector) recordRequest(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastRequestAt = now
	if s.awaitingSince.IsZero() {
		s.awaitingSince = now
	}
}

// recordReceived records that data was received. Data within silenceTimeout of the request
// resets the longer timeout of a connection that replaced a silent one. If it is the first
// data and arrives within lostConnectionWindow of the opening, the peer was healthy and the
// previous connection was lost: recordReceived then returns since when that one was silent.
// Otherwise it returns the zero time.
func (s *silenceDetector) recordReceived(now time.Time) (lostSince time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.openedAt) < lostConnectionWindow {
		lostSince = s.predecessorSilentSince
	}
	s.predecessorSilentSince = time.Time{}
	if !s.awaitingSince.IsZero() && now.Sub(s.awaitingSince) < silenceTimeout {
		s.timeout = silenceTimeout
	}
	s.awaitingSince = time.Time{}
	return lostSince
}

// beginLongCall records that a long call is in progress until endLongCall.
func (s *silenceDetector) beginLongCall() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openLongCalls++
}

func (s *silenceDetector) endLongCall() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openLongCalls--
}

// currentTimeout returns the silence timeout that applies with the calls in progress. The
// caller holds the mutex.
func (s *silenceDetector) currentTimeout() time.Duration {
	if s.openLongCalls > 0 {
		return max(s.timeout, longCallSilenceTimeout)
	}
	return s.timeout
}

// detectSilence reports whether requests have been unanswered for longer than the timeout. If
// so, it also records what successor passes on to the replacing connection.
func (s *silenceDetector) detectSilence(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.openedAt.IsZero() || s.awaitingSince.IsZero() || now.Sub(s.awaitingSince) < s.currentTimeout() {
		return false
	}
	if now.Sub(s.openedAt) < youngConnectionAge {
		s.nextTimeout = min(2*s.timeout, maxSilenceTimeout)
		return true
	}
	s.silentSince = s.awaitingSince
	return true
}

// unprovenSince returns the time since which one-way messages on the connection may be lost. Those that were sent less than
// ackInterval before the first unanswered request have not been acknowledged.
func (s *silenceDetector) unprovenSince() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.awaitingSince.Add(-ackInterval)
}

// timeoutOfSuccessor returns the silence timeout of the connection that replaces this one.
func (s *silenceDetector) timeoutOfSuccessor() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nextTimeout
}

// monitoredReader reports each read that returns data to the detector.
type monitoredReader struct {
	io.Reader
	detector *silenceDetector
	// onLost is called when the previous connection turns out to have been lost, with the
	// time since which it was silent.
	onLost func(since time.Time)
}

func (r monitoredReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n == 0 {
		return n, err
	}
	if since := r.detector.recordReceived(time.Now()); !since.IsZero() {
		r.onLost(since)
	}
	return n, err
}

// requestsAck reports whether the envelope is a one-way message that requests an
// acknowledgement: it has a call id but no deadline.
func requestsAck(envelope *Envelope) bool {
	return envelope.GetCallId() != 0 && envelope.GetDeadlineMillis() == 0
}

// isLongCall reports whether the call's timeout is above longCallThreshold.
func isLongCall(call *Envelope) bool {
	return call.GetDeadlineMillis() > uint32(longCallThreshold.Milliseconds())
}

// newAck returns the reply to a one-way message that requests an acknowledgement. Routers of
// earlier versions send none, so a connection to such a router that carries only one-way
// messages is replaced from time to time.
func newAck() *Envelope {
	return &Envelope{Body: &Envelope_HeartbeatAck{HeartbeatAck: &Heartbeat{}}}
}

// closeIfSilent closes the connection if it is silent, so that the next message is sent on a
// new one. target may be nil.
func (t *Transport) closeIfSilent(target *peer) {
	if target != nil && !target.isClosed() && target.detector.detectSilence(time.Now()) {
		target.closeAsSilent()
	}
}
