package runnerstand

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
)

// Framing is how a runner delimits the bodies of its responses.
type Framing uint8

const (
	// Framed delimits streams by chunks and other bodies by their length.
	Framed Framing = iota
	// Unframed ends each body with its connection.
	Unframed
)

// Ending is how a response ends that is cut short.
type Ending uint8

const (
	// EndsWithReset resets the connection.
	EndsWithReset Ending = iota
	// EndsWithClose closes the connection.
	EndsWithClose
	// EndsWithLastChunk ends the body as its framing demands, as if it were complete. Without framing, it
	// is the same as EndsWithClose.
	EndsWithLastChunk
)

// String returns the name of the ending in logs.
func (e Ending) String() string { return [...]string{"reset", "close", "last chunk"}[e] }

// Cut tells where and how responses end too early.
type Cut struct {
	// AfterEvents is the number of events that are sent whole.
	AfterEvents int
	// Bytes is the number of bytes that follow them or, in other responses than streams, the number of
	// bytes of the body.
	Bytes  int
	Ending Ending
	// OnCut is called before a response ends early. It may be nil.
	OnCut func()
}

// SetFraming sets how the runner delimits the bodies of later responses.
func (r *Runner) SetFraming(framing Framing) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.framing = framing
}

// SetCut makes all later responses end too early, until it is called with nil.
func (r *Runner) SetCut(cut *Cut) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
}

// writesOwnFraming reports whether the body of a response is written by a rawBody, as net/http cannot omit the
// framing of a body or end it too early.
func (r *Runner) writesOwnFraming() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.framing == Unframed || r.cut != nil
}

// rawBody writes the body of a response to its connection.
type rawBody struct {
	conn   net.Conn
	buffer *bufio.ReadWriter
	cut    *Cut
	// chunked is set if the body is sent in chunks.
	chunked bool
	// events is the number of events written.
	events int
	ended  bool
}

// hijack writes the head of the response and returns its body. contentLength is -1 for a stream. It returns false
// if the connection is lost.
func (r *Runner) hijack(writer http.ResponseWriter, contentLength int) (*rawBody, bool) {
	r.mutex.Lock()
	framing, cut := r.framing, r.cut
	r.mutex.Unlock()
	conn, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return nil, false
	}
	header := writer.Header().Clone()
	body := &rawBody{conn: conn, buffer: buffer, cut: cut}
	switch {
	case framing == Unframed:
		header.Set("Connection", "close")
	case contentLength < 0:
		body.chunked = true
		header.Set("Transfer-Encoding", "chunked")
	default:
		header.Set("Content-Length", strconv.Itoa(contentLength))
	}
	fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\n")
	_ = header.Write(buffer)
	fmt.Fprint(buffer, "\r\n")
	return body, buffer.Flush() == nil
}

// writeEvent writes one event. It returns false once the response has ended.
func (b *rawBody) writeEvent(event string) bool {
	if b.cut != nil && b.events == b.cut.AfterEvents {
		b.cutShort(event)
		return false
	}
	b.events++
	return b.write(event)
}

// writeText writes the body of a response that is not a stream, and ends it.
func (b *rawBody) writeText(text string) {
	if b.cut != nil {
		b.cutShort(text)
		return
	}
	b.write(text)
	b.end(EndsWithLastChunk)
}

// cutShort ends the response after the first bytes of next.
func (b *rawBody) cutShort(next string) {
	if b.cut.OnCut != nil {
		b.cut.OnCut()
	}
	b.write(next[:min(b.cut.Bytes, len(next))])
	b.end(b.cut.Ending)
}

// write sends a part of the body. It returns false if the connection is lost.
func (b *rawBody) write(text string) bool {
	switch {
	case text == "":
	case b.chunked:
		fmt.Fprintf(b.buffer, "%x\r\n%s\r\n", len(text), text)
	default:
		fmt.Fprint(b.buffer, text)
	}
	return b.buffer.Flush() == nil
}

// end ends the response and closes the connection.
func (b *rawBody) end(ending Ending) {
	if b.ended {
		return
	}
	b.ended = true
	if ending == EndsWithLastChunk && b.chunked {
		fmt.Fprint(b.buffer, "0\r\n\r\n")
		_ = b.buffer.Flush()
	}
	if ending == EndsWithReset {
		reset(b.conn)
		return
	}
	b.conn.Close()
}
