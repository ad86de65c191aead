// Package integrity decides whether a response is complete.
//
// The framing of a response is one part of the answer: a body with a length or in chunks ends where its
// framing says so, and any other body ends with its connection. Package net/http checks that part and
// reports it as the error of the last read. The format is the other part: an event stream that ends
// inside an event has been broken off, although its framing may allow the end.
//
// Documents in JSON need no further check, because a part of a JSON object or array cannot be decoded.
package integrity

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Framing is how the end of a body is found.
type Framing uint8

const (
	// ByLength means that the header names the length of the body, or that it has none.
	ByLength Framing = iota
	// ByChunks means that the body ends with its last chunk.
	ByChunks
	// ByClose means that the body ends with its connection.
	ByClose
)

// String returns the name of the framing in logs and metrics.
func (f Framing) String() string { return [...]string{"length", "chunks", "close"}[f] }

// FramingOf returns the framing of the response's body.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return ByChunks
	case response.ContentLength < 0 && response.Body != http.NoBody:
		return ByClose
	}
	return ByLength
}

// Verdict tells whether a body is complete, and why not.
type Verdict uint8

const (
	// Complete means that the whole body was received.
	Complete Verdict = iota
	// Unfinished means that reading stopped at a limit and the rest of the body can still be read.
	Unfinished
	// Interrupted means that the connection was lost before the end that the framing demands.
	Interrupted
	// InsideEvent means that an event stream ended inside an event.
	InsideEvent
	// WithoutEvent means that an event stream ended with its connection before its first event. Unlike
	// a whole event, a closed connection alone doesn't show that the sender had finished.
	WithoutEvent
	// Oversized means that an event exceeds the size limit.
	Oversized
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"complete", "unfinished", "interrupted", "inside an event", "without an event", "event too long"}[v]
}

// End is how the reading of a body ended.
type End struct {
	Verdict Verdict
	// Cause is the error of the last read, nil if the framing was satisfied.
	Cause error
}

// IsComplete reports whether the whole body was received.
func (e End) IsComplete() bool { return e.Verdict == Complete }

// IsBroken reports whether the rest of the body is missing and cannot be read any more.
func (e End) IsBroken() bool { return e.Verdict != Complete && e.Verdict != Unfinished }

// errIncomplete is the cause of an end without an error of its own.
var errIncomplete = errors.New("the rest of the body was not read")

// Err returns nil if the body is complete, else the cause of its end.
func (e End) Err() error {
	switch {
	case e.IsComplete():
		return nil
	case e.Cause != nil:
		return e.Cause
	}
	return fmt.Errorf("%w: %s", errIncomplete, e.Verdict)
}

// String returns the verdict and its cause.
func (e End) String() string {
	if e.Cause == nil {
		return e.Verdict.String()
	}
	return e.Verdict.String() + ": " + e.Cause.Error()
}

// EndOfBody returns the end of a body without a format of its own, given the error of the last read.
// The reader must return io.EOF only at an end that the framing allows.
func EndOfBody(readErr error) End {
	if readErr == nil || errors.Is(readErr, io.EOF) {
		return End{Verdict: Complete}
	}
	return End{Verdict: Interrupted, Cause: readErr}
}

// errUnwritten is the cause of a body that ended with its connection while its request was being written.
var errUnwritten = errors.New("the connection ended before the request was written")

// CheckEndOfConnection returns an error unless the end of a connection is the end of the body that was read from it, given the result of
// writing the request. The system reports a reset only once, to a read or to a write, so a reader finds a plain end after a reset that a
// concurrent write was told.
func CheckEndOfConnection(writeErr error) error {
	if writeErr != nil {
		return fmt.Errorf("%w: %w", errUnwritten, writeErr)
	}
	return nil
}

// ReadChunk reads the next part of a body into the buffer. If the buffer is full, the end is Unfinished.
func ReadChunk(body io.Reader, buffer []byte) (n int, end End) {
	for n < len(buffer) {
		read, err := body.Read(buffer[n:])
		n += read
		if err != nil {
			return n, EndOfBody(err)
		}
	}
	return n, End{Verdict: Unfinished}
}

// ReadAll reads the body up to the limit in bytes. If the body may be longer, the end is Unfinished.
func ReadAll(body io.Reader, limit int64) ([]byte, End) {
	data, err := io.ReadAll(io.LimitReader(body, limit))
	if err == nil && int64(len(data)) == limit {
		return data, End{Verdict: Unfinished}
	}
	return data, EndOfBody(err)
}
