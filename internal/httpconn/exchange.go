package httpconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/notrun"
)

// Request is an HTTP request to a server.
type Request struct {
	Method string
	// Target is the request target, path and query, and is sent unchanged.
	Target string
	Host   string
	// Header is sent unchanged. Host and Content-Length are added.
	Header http.Header
	Body   []byte
	// FreshConnection is set to send the request on a new connection.
	FreshConnection bool
	// ReuseOnly is set to send the request only on a reused connection.
	ReuseOnly bool
	// OnDial is called with the result when a new connection was dialed for the request, unless
	// the context ended before. It may be nil.
	OnDial func(error)
	// MatchesResponse reports whether a response with the given header belongs to a
	// request with this ID. Other responses are discarded and the next one is read. If it
	// is nil, the first response is used.
	MatchesResponse func(http.Header) bool
	// ID identifies the request in responses. It may be empty. The request is not sent over
	// a connection that has carried another one with the same ID, because a late response to
	// that one would be taken for the response to this one.
	ID string
	// OnConnection is called when the connection for the request is open. It may be nil.
	OnConnection func(Connection)
	// Confirm is called when the connection is open, right before the first byte is
	// written. If it returns false, nothing is sent and Send returns ErrNotConfirmed. It
	// may be nil.
	Confirm func() bool
}

// Connection describes the connection over which a request is sent.
type Connection struct {
	// Kept is set if earlier requests were sent over it.
	Kept bool
}

// Response is the response to a request.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the length of the body is unknown.
	ContentLength int64
	Framing       integrity.Framing
	Body          *Body
	// own is set if the response can be to no other request.
	own bool
}

// Rejection returns the proof that the server did not process the request. It must be called only for a response with that
// meaning. It does not hold if the response may be to an earlier request on the connection.
func (r *Response) Rejection(kind notrun.Kind) notrun.Proof {
	if !r.own {
		return notrun.Proof{}
	}
	return notrun.New(kind)
}

// Unwritten returns the proof that the server did not get the request. It holds if the error of Send is ErrNotSent.
func Unwritten(err error) notrun.Proof {
	if !errors.Is(err, ErrNotSent) {
		return notrun.Proof{}
	}
	return notrun.New(notrun.Unwritten)
}

const (
	// maxInlineBodyBytes is the largest body that is written before the response is
	// read. A longer one is written concurrently, since the server may respond before
	// it has read the whole body.
	maxInlineBodyBytes = 8 << 10
	// maxUnmatchedResponses is the maximum number of responses to other requests that
	// are discarded.
	maxUnmatchedResponses = 3
	// maxDiscardedBodyBytes limits the body of a discarded response.
	maxDiscardedBodyBytes = 1 << 20
)

// ErrNotConfirmed means that Confirm returned false. It is joined with ErrNotSent.
var ErrNotConfirmed = errors.New("httpconn: request was not confirmed")

// ErrUnmatchedResponse means that the server sent only responses to other requests.
var ErrUnmatchedResponse = errors.New("httpconn: response belongs to another request")

// Send sends the request once and returns when the response header has been read.
// Errors other than ErrNotSent mean that the request may have reached the server.
// When the context ends, also while the body is read, the connection is closed.
func (p *Pool) Send(ctx context.Context, address string, request *Request) (*Response, error) {
	c, err := p.connect(ctx, address, request)
	if err != nil {
		return nil, err
	}
	if request.OnConnection != nil {
		request.OnConnection(Connection{Kept: c.isKept()})
	}
	if ctx.Err() != nil {
		c.Close()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	if request.Confirm != nil && !request.Confirm() {
		p.putUnused(c)
		return nil, errors.Join(ErrNotSent, ErrNotConfirmed)
	}
	own := !c.isKept() || request.ID != "" && request.MatchesResponse != nil
	c.carry(request.ID)
	stopCancel := context.AfterFunc(ctx, func() { c.Close() })
	stopTimer := p.startSilenceTimer(c)
	defer stopTimer()
	writeResult := make(chan error, 1)
	if err := c.write(request, writeResult); err != nil {
		stopCancel()
		c.Close()
		return nil, err
	}
	response, err := c.readResponse(request)
	if err != nil {
		stopCancel()
		c.Close()
		if errors.Is(err, ErrEndlessHead) {
			p.ReportEndless(address, "head")
		}
		return nil, err
	}
	framing := integrity.FramingOf(response)
	return &Response{
		Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, Framing: framing,
		Body: &Body{pool: p, conn: c, response: response, framing: framing, writeResult: writeResult, stopCancel: stopCancel},
		own:  own,
	}, nil
}

// write writes the request and sends the result of the write to result. A body longer
// than maxInlineBodyBytes is written in the background.
func (c *conn) write(request *Request, result chan<- error) error {
	head := encodeHead(request)
	if len(request.Body) <= maxInlineBodyBytes {
		_, err := c.Write(append(head, request.Body...))
		result <- err
		return err
	}
	go func() {
		_, err := c.Write(append(head, request.Body...))
		result <- err
	}()
	return nil
}

// encodeHead returns the request line and the header in wire format.
func encodeHead(request *Request) []byte {
	var head bytes.Buffer
	head.Grow(512 + len(request.Body))
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = request.Header.Write(&head)
	if len(request.Body) > 0 || allowsBody(request.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// allowsBody reports whether requests of the method need a Content-Length even if their
// body is empty.
func allowsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readResponse reads response headers until one belongs to the request. It skips
// informational responses.
func (c *conn) readResponse(request *Request) (*http.Response, error) {
	minimalRequest := &http.Request{Method: request.Method}
	c.beginHead()
	for unmatched := 0; unmatched <= maxUnmatchedResponses; {
		response, err := http.ReadResponse(c.reader, minimalRequest)
		if c.head.exceeded {
			return nil, errors.Join(ErrEndlessHead, err)
		}
		if err != nil {
			return nil, err
		}
		if err := integrity.CheckHead(response, c.head.takeHead(c.reader.Buffered())); err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			c.head.nextHead()
			continue
		}
		c.head.end()
		if request.MatchesResponse == nil || request.MatchesResponse(response.Header) {
			return response, nil
		}
		unmatched++
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, ErrUnmatchedResponse
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxDiscardedBodyBytes); !errors.Is(err, io.EOF) {
			return nil, ErrUnmatchedResponse
		}
		c.beginHead()
	}
	return nil, ErrUnmatchedResponse
}

// beginHead is called before the heads of the responses to a request are read.
func (c *conn) beginHead() {
	// Peeking at what is buffered never fails.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.begin(buffered)
}

// Body is the body of a response. It must be closed.
type Body struct {
	pool     *Pool
	conn     *conn
	response *http.Response
	framing  integrity.Framing
	// writeResult receives the result of writing the request, which awaitWrite keeps in writeErr.
	writeResult chan error
	writeEnded  bool
	writeErr    error
	// stopCancel detaches the connection from the context of the request. It returns false
	// if the context has ended, which closes the connection.
	stopCancel func() bool
	readToEnd  bool
	closed     bool
}

// Read implements io.Reader. An error other than io.EOF means that the body is
// incomplete.
func (b *Body) Read(buffer []byte) (int, error) {
	n, err := b.response.Body.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.framing == integrity.ByClose {
		if err := integrity.CheckEndOfConnection(b.awaitWrite()); err != nil {
			return n, err
		}
	}
	b.readToEnd = true
	return n, io.EOF
}

// awaitWrite returns the result of writing the request, of which nothing more is written. It is called when the server has ended the
// connection.
func (b *Body) awaitWrite() error {
	if !b.writeEnded {
		// A write that is blocked fails, and one that has ended is not affected.
		_ = b.conn.SetWriteDeadline(time.Now())
		b.writeErr, b.writeEnded = <-b.writeResult, true
	}
	return b.writeErr
}

// Abort closes the connection, so that a blocked Read fails. It may be called from
// another goroutine.
func (b *Body) Abort() { b.conn.Close() }

// Close returns the connection to the pool if the whole response was read and nothing
// else has arrived. Otherwise it closes the connection, so that the server stops
// working on the request.
func (b *Body) Close() {
	if b.closed {
		return
	}
	b.closed = true
	notCanceled := b.stopCancel()
	if !notCanceled || !b.reusable() {
		b.conn.Close()
		return
	}
	b.conn.idleSince = time.Now()
	b.conn.idleExpiry = b.conn.idleSince.Add(idleTimeout(b.response.Header.Get("Keep-Alive")))
	b.pool.put(b.conn)
}

// reusable reports whether the connection may be used for another request.
func (b *Body) reusable() bool {
	if !b.readToEnd || b.response.Close || b.conn.reader.Buffered() > 0 || len(b.conn.carried) >= maxRequestsPerConnection {
		return false
	}
	if b.response.ContentLength < 0 && len(b.response.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-b.writeResult:
		return err == nil
	default:
		// The server responded before the request was fully written. It would take the
		// rest of the request's body for the next request.
		return false
	}
}

// ReadAll reads the body up to the limit in bytes. If the body may be longer, the end is Unfinished.
func (b *Body) ReadAll(limit int64) ([]byte, integrity.End) {
	if size := b.response.ContentLength; size >= 0 && size <= limit {
		// The byte above the length is the read that finds the end of the body.
		limit = size + 1
	}
	return integrity.ReadAll(b, limit)
}
