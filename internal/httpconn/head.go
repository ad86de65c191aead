package httpconn

import (
	"errors"
	"net"
	"time"
)

const (
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 128 << 10
	// headTimeout bounds the time from the first bytes of a head to its end. It is longer than a sound server may be silent.
	headTimeout = 3 * time.Second
)

// ErrEndlessHead means that the head of a response was too long or did not end in time.
var ErrEndlessHead = errors.New("httpconn: response head does not end")

// keptHeadBytes is the size of the buffer for raw heads that an idle connection keeps.
const keptHeadBytes = 4 << 10

// headReader reads a connection, bounds the heads of responses and keeps them.
type headReader struct {
	net.Conn
	// active is set while a head is read. left is the number of bytes that it may still have, and reads the number of reads
	// for it.
	active bool
	left   int
	reads  int
	// exceeded is set when a bound was reached. What was read until then may look like a whole line.
	exceeded bool
	// raw holds what was buffered at begin and what was read since. The first taken bytes of it were returned by takeHead.
	raw   []byte
	taken int
}

// begin is called before the heads of the responses to a request are read. buffered are the bytes that were read before but not used.
func (h *headReader) begin(buffered []byte) {
	h.active, h.left, h.reads = true, maxHeadBytes, 0
	h.raw, h.taken = append(h.raw[:0], buffered...), 0
}

// takeHead returns the raw head that was read last. unused is the number of bytes that were read after it. The result is valid until
// the next read.
func (h *headReader) takeHead(unused int) []byte {
	head := h.raw[h.taken : len(h.raw)-unused]
	h.taken += len(head)
	return head
}

// nextHead is called when an interim response was read and another head follows, which may take any time to begin.
func (h *headReader) nextHead() {
	h.endTimeout()
	h.reads = 0
}

// end is called when the body of the response follows.
func (h *headReader) end() {
	h.endTimeout()
	h.active = false
	if cap(h.raw) > keptHeadBytes {
		h.raw = nil
	}
}

func (h *headReader) endTimeout() {
	if h.reads > 1 {
		_ = h.SetReadDeadline(time.Time{})
	}
}

// Read implements io.Reader.
func (h *headReader) Read(buffer []byte) (int, error) {
	if !h.active {
		return h.Conn.Read(buffer)
	}
	if h.left <= 0 {
		h.exceeded = true
		return 0, ErrEndlessHead
	}
	if h.reads == 1 {
		if err := h.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := h.Conn.Read(buffer[:min(len(buffer), h.left)])
	h.left -= n
	h.reads++
	h.raw = append(h.raw, buffer[:n]...)
	var netErr net.Error
	if h.reads > 2 && errors.As(err, &netErr) && netErr.Timeout() {
		h.exceeded = true
		return n, errors.Join(ErrEndlessHead, err)
	}
	return n, err
}
