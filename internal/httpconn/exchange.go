package httpconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Request is one message to a server.
type Request struct {
	Method string
	// Target is the request line's path and query, unchanged.
	Target string
	Host   string
	// Header is written as it is; framing headers are added.
	Header http.Header
	Body   []byte
	// FreshConnection asks for a new connection.
	FreshConnection bool
	// Accept tells whether an answer belongs to this request; others are
	// discarded and the next one is read. Nil accepts the first.
	Accept func(http.Header) bool
	// Confirm is asked once a connection is there, right before the first byte is
	// written. If it returns false nothing is sent, and the error is ErrNotConfirmed. Nil
	// confirms.
	Confirm func() bool
}

// Response is the head of an answer and its body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 when the body's length is not known.
	ContentLength int64
	Body          *Body
}

const (
	// inlineBody is the largest body written before the answer is read; longer
	// ones are written while the answer is awaited, which may come early.
	inlineBody = 8 << 10
	// maxCrossed bounds the answers to other requests that are discarded.
	maxCrossed = 3
	// maxDiscard bounds the body of a discarded answer.
	maxDiscard = 1 << 20
)

// ErrNotConfirmed means that Confirm returned false; it comes with ErrNotSent.
var ErrNotConfirmed = errors.New("httpconn: request was not confirmed")

// ErrCrossed means that only answers to other requests came.
var ErrCrossed = errors.New("httpconn: answer to another request")

// Send makes one exchange up to the head of the answer. Errors other than
// ErrNotSent mean that the request may have reached the server. The context
// bounds the whole exchange, body included: when it ends, the connection closes.
func (p *Pool) Send(ctx context.Context, address string, request *Request) (*Response, error) {
	c, err := p.connect(ctx, address, request.FreshConnection)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		c.Close()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	if request.Confirm != nil && !request.Confirm() {
		p.giveBack(c)
		return nil, errors.Join(ErrNotSent, ErrNotConfirmed)
	}
	release := context.AfterFunc(ctx, func() { c.Close() })
	answered := p.watchAnswer(c)
	defer answered()
	written := make(chan error, 1)
	if err := c.write(request, written); err != nil {
		release()
		c.Close()
		return nil, err
	}
	answer, err := c.readAnswer(request)
	if err != nil {
		release()
		c.Close()
		return nil, err
	}
	return &Response{
		Status: answer.StatusCode, Header: answer.Header, ContentLength: answer.ContentLength,
		Body: &Body{pool: p, conn: c, answer: answer, written: written, release: release},
	}, nil
}

// write sends the message; a long body goes on in the background and its
// outcome to written.
func (c *conn) write(request *Request, written chan<- error) error {
	head := encodeHead(request)
	if len(request.Body) <= inlineBody {
		_, err := c.Write(append(head, request.Body...))
		written <- err
		return err
	}
	go func() {
		_, err := c.Write(append(head, request.Body...))
		written <- err
	}()
	return nil
}

func encodeHead(request *Request) []byte {
	var head bytes.Buffer
	head.Grow(512 + len(request.Body))
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = request.Header.Write(&head)
	if len(request.Body) > 0 || hasBody(request.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readAnswer reads heads until one belongs to the request.
func (c *conn) readAnswer(request *Request) (*http.Response, error) {
	parsing := &http.Request{Method: request.Method}
	for crossed := 0; crossed <= maxCrossed; {
		answer, err := http.ReadResponse(c.reader, parsing)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 100 && answer.StatusCode < 200 {
			continue
		}
		if request.Accept == nil || request.Accept(answer.Header) {
			return answer, nil
		}
		crossed++
		if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			return nil, ErrCrossed
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxDiscard); !errors.Is(err, io.EOF) {
			return nil, ErrCrossed
		}
	}
	return nil, ErrCrossed
}

// Body is the rest of an answer. It must be closed.
type Body struct {
	pool    *Pool
	conn    *conn
	answer  *http.Response
	written chan error
	release func() bool
	ended   bool
	closed  bool
}

// Read reads the body. An error other than io.EOF means that it is not whole.
func (b *Body) Read(buffer []byte) (int, error) {
	n, err := b.answer.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// Abort ends the connection from another goroutine, so that a waiting Read fails.
func (b *Body) Abort() { b.conn.Close() }

// Close keeps the connection for another request if the whole answer was read
// and nothing else has come; otherwise it closes it, which ends the server's work.
func (b *Body) Close() {
	if b.closed {
		return
	}
	b.closed = true
	intact := b.release()
	if !intact || !b.reusable() {
		b.conn.Close()
		return
	}
	b.conn.idleSince = time.Now()
	b.conn.keepUntil = b.conn.idleSince.Add(idleTime(b.answer.Header.Get("Keep-Alive")))
	b.pool.put(b.conn)
}

func (b *Body) reusable() bool {
	if !b.ended || b.answer.Close || b.conn.reader.Buffered() > 0 {
		return false
	}
	if b.answer.ContentLength < 0 && len(b.answer.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-b.written:
		return err == nil
	default:
		// The answer came before the request was in: the rest of the body
		// would be taken for something else.
		return false
	}
}

// ReadAll reads a body of at most limit bytes; a longer one is returned in
// part with more set.
func (b *Body) ReadAll(limit int64) (data []byte, more bool, err error) {
	if size := b.answer.ContentLength; size > 0 && size <= limit {
		data = make([]byte, size)
		if _, err = io.ReadFull(b, data); err != nil {
			return nil, false, err
		}
		_, err = b.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			return data, false, nil
		}
		return nil, false, io.ErrUnexpectedEOF
	}
	data, err = io.ReadAll(io.LimitReader(b, limit))
	if err != nil || int64(len(data)) < limit {
		return data, false, err
	}
	return data, true, nil
}
