package integrity

import (
	"bytes"
	"io"
)

// EventSplitter finds the complete events of an event stream. Lines may end in LF, CRLF or CR, also mixed.
// The zero value is ready for the begin of a stream.
type EventSplitter struct {
	// pending holds the bytes that were not returned by an earlier Push. The last Push returned the first
	// complete of them.
	pending  []byte
	complete int
	// scanned is the number of pending bytes that were scanned, and lineStart the offset of the current
	// line in them.
	scanned, lineStart int
	// afterCR is set if the last scanned byte was a CR. An LF that follows belongs to the same line end. hasCRLF is set after the
	// first of them. From then on, an event that ends with CR is held back until the next byte, because its LF may follow.
	afterCR, hasCRLF bool
	// hasFields is set if a line of the current event contains a field. Comments are none.
	hasFields bool
	hasEvents bool
	// lastID is the ID of the last complete event that has one, and currentID that of the current event
	// or, if it has none so far, of the last one.
	lastID, currentID string
}

// LastID returns the ID of the last complete event that has one.
func (s *EventSplitter) LastID() string { return s.lastID }

// Buffered returns the number of bytes that don't belong to a complete event yet.
func (s *EventSplitter) Buffered() int { return len(s.pending) - s.complete }

// Push adds received data and returns the events that it completes, and comments outside of events. The
// result is valid until the next call.
func (s *EventSplitter) Push(data []byte) []byte {
	s.discardComplete()
	s.pending = append(s.pending, data...)
	for ; s.scanned < len(s.pending); s.scanned++ {
		s.scan(s.pending[s.scanned])
	}
	return s.pending[:s.complete]
}

// discardComplete removes what the last Push returned.
func (s *EventSplitter) discardComplete() {
	s.pending = append(s.pending[:0], s.pending[s.complete:]...)
	s.scanned -= s.complete
	s.lineStart -= s.complete
	s.complete = 0
}

// scan processes the byte at s.scanned.
func (s *EventSplitter) scan(b byte) {
	isRestOfCRLF := b == '\n' && s.afterCR
	if s.afterCR && !isRestOfCRLF && !s.hasFields {
		s.release(s.scanned)
	}
	s.hasCRLF = s.hasCRLF || isRestOfCRLF
	s.afterCR = b == '\r'
	if b != '\n' && b != '\r' {
		return
	}
	if !isRestOfCRLF {
		s.endLine(s.pending[s.lineStart:s.scanned])
	}
	s.lineStart = s.scanned + 1
	if heldBack := s.afterCR && s.hasCRLF; !s.hasFields && !heldBack {
		s.release(s.lineStart)
	}
}

// release makes the first end pending bytes complete, which end after an event or outside of events.
func (s *EventSplitter) release(end int) { s.complete, s.lastID = end, s.currentID }

// Finish returns what was held back. It is called at the end of a body whose framing shows that no LF follows. The result is valid until
// the next call.
func (s *EventSplitter) Finish() []byte {
	s.discardComplete()
	if s.afterCR && !s.hasFields {
		s.release(len(s.pending))
	}
	return s.pending[:s.complete]
}

// endLine processes a line without its line end.
func (s *EventSplitter) endLine(line []byte) {
	if len(line) == 0 {
		s.hasEvents = s.hasEvents || s.hasFields
		s.hasFields = false
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		// A line that begins with a colon is a comment.
		return
	}
	s.hasFields = true
	if string(name) == "id" {
		s.currentID = string(bytes.TrimSpace(value))
	}
}

// End returns the end of the stream, given its framing and the error of the last read.
func (s *EventSplitter) End(framing Framing, readErr error) End {
	end := EndOfBody(readErr)
	switch {
	case !end.IsComplete():
	case s.Buffered() > 0:
		end.Verdict = InsideEvent
	case framing == ByClose && !s.hasEvents:
		end.Verdict = WithoutEvent
	}
	return end
}

// eventBufferBytes is the size of the read buffer of a stream.
const eventBufferBytes = 4 << 10

// CopyEvents reads an event stream until its end and passes complete events to write, with the ID of the last
// event that has one. It returns early, with the error, if write fails.
func CopyEvents(body io.Reader, framing Framing, mayBuffer func(bytes int) bool, write func(events []byte, lastID string) error) (End, error) {
	var splitter EventSplitter
	writeComplete := func(complete []byte) error {
		if len(complete) == 0 {
			return nil
		}
		return write(complete, splitter.LastID())
	}
	buffer := make([]byte, eventBufferBytes)
	for {
		n, readErr := body.Read(buffer)
		if err := writeComplete(splitter.Push(buffer[:n])); err != nil {
			return End{}, err
		}
		if readErr != nil && framing != ByClose && EndOfBody(readErr).IsComplete() {
			if err := writeComplete(splitter.Finish()); err != nil {
				return End{}, err
			}
		}
		switch {
		case readErr != nil:
			return splitter.End(framing, readErr), nil
		case !mayBuffer(splitter.Buffered()):
			return End{Verdict: Oversized}, nil
		}
	}
}
