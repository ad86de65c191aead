package engineapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/notrun"
)

// Timeouts and limits of the client.
const (
	dialTimeout = time.Second
	// ResponseTimeout is how long to wait for the response header of a generate or
	// resume request, by which the engine accepts or refuses it.
	ResponseTimeout = 3 * time.Second
	// controlTimeout limits a whole call to cancel, to send an order or to list blocks.
	controlTimeout = 2 * time.Second
	// maxBlockListBytes limits the response to a list of cached blocks.
	maxBlockListBytes = 16 << 20
	// maxHeadBytes bounds the head of a response, and maxEventBytes one event of the stream of cache events.
	maxHeadBytes  = 128 << 10
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of the read and write buffers of a connection and of
	// the read buffer of a stream.
	streamBufferBytes     = 4 << 10
	maxIdleConnsPerEngine = 64
)

// Errors of the client.
var (
	// ErrNotConnected means that there was no connection, so nothing was sent.
	ErrNotConnected = errors.New("no connection to the engine")
	// ErrResponseLost means that there was no valid response although the request may
	// have been sent. The engine may run it.
	ErrResponseLost = errors.New("the engine's response was lost")
)

// RefusedError means that the engine itself refused the request and did not start a run
// for it.
type RefusedError struct {
	Refusal Refusal
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused: %s: %s", e.Refusal.Code, e.Refusal.Message)
}

// Proof returns the proof that the engine did not run the attempt. A refusal of another attempt is no RefusedError.
func (e *RefusedError) Proof(kind notrun.Kind) notrun.Proof { return notrun.New(kind) }

// Unwritten returns the proof that the engine did not get the request. It holds if the error is ErrNotConnected.
func Unwritten(err error) notrun.Proof {
	if !errors.Is(err, ErrNotConnected) {
		return notrun.Proof{}
	}
	return notrun.New(notrun.Unwritten)
}

// Client calls the HTTP interface of engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerEngine,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		WriteBufferSize:        streamBufferBytes,
		ReadBufferSize:         streamBufferBytes,
	}}}
}

// Stream is an open output stream of an engine. It must be closed.
type Stream struct {
	Frames *FrameReader
	body   io.Closer
}

// NewStream returns a stream of frames. Its Close closes body.
func NewStream(frames *FrameReader, body io.Closer) *Stream {
	return &Stream{Frames: frames, body: body}
}

// Close closes the stream.
func (s *Stream) Close() { s.body.Close() }

// Generate sends one attempt of a request to the engine and returns its output
// stream. The error is a *RefusedError, ErrNotConnected or ErrResponseLost. Only in
// the last case the attempt may be running.
func (c *Client) Generate(ctx context.Context, address string, request *GenerateRequest) (*Stream, error) {
	return c.openStream(ctx, address, PathGenerate, request, attemptID{request.Request, request.Attempt})
}

// Resume requests the rest of an attempt's output stream. Its errors are those of
// Generate.
func (c *Client) Resume(ctx context.Context, address string, request *ResumeRequest) (*Stream, error) {
	return c.openStream(ctx, address, PathResume, request, attemptID{request.Request, request.Attempt})
}

// attemptID identifies an attempt.
type attemptID struct {
	request string
	attempt uint32
}

// openStream sends a request about the attempt and returns the stream in its response. A refusal of another attempt, which an
// engine may have sent late over a kept connection, is no response to this request.
func (c *Client) openStream(ctx context.Context, address, path string, body any, id attemptID) (*Stream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	// The timer limits the wait for the response header, not the stream that follows.
	timer := time.AfterFunc(ResponseTimeout, cancel)
	response, err := c.post(streamCtx, address, path, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if !timer.Stop() {
		response.Body.Close()
		cancel()
		return nil, ErrResponseLost
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		err := readRefusal(response)
		var refused *RefusedError
		if errors.As(err, &refused) && id != (attemptID{refused.Refusal.Request, refused.Refusal.Attempt}) {
			return nil, ErrResponseLost
		}
		return nil, err
	}
	reader := bufio.NewReaderSize(response.Body, streamBufferBytes)
	return NewStream(NewFrameReader(reader), &cancelCloser{response.Body, cancel}), nil
}

// cancelCloser cancels the request's context when the response body is closed.
type cancelCloser struct {
	body   io.Closer
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelCloser) Close() error {
	c.cancel()
	return c.body.Close()
}

// post sends a JSON body. It uses a connection trace to distinguish
// ErrNotConnected from ErrResponseLost.
func (c *Client) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var connected atomic.Bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(tracedCtx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Without GetBody, net/http can't retry the request on its own, which it otherwise
	// may do when an idle connection turns out to be broken.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load():
		return nil, ErrNotConnected
	}
	return nil, ErrResponseLost
}

// readRefusal returns the *RefusedError in the response, or ErrResponseLost if it
// holds none.
func readRefusal(response *http.Response) error {
	var refusal Refusal
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes))
	if err := decoder.Decode(&refusal); err != nil || refusal.Code == "" {
		// The response isn't one of this protocol, so the fate of the request is unknown.
		return ErrResponseLost
	}
	return &RefusedError{Refusal: refusal}
}

// Cancel stops an attempt. An engine that hasn't seen the attempt refuses it from then on
// with CodeBarred.
func (c *Client) Cancel(ctx context.Context, address string, request *CancelRequest) error {
	return c.postControl(ctx, address, PathCancel, request)
}

// Order sends an order with a fencing token.
func (c *Client) Order(ctx context.Context, address string, order *Order) error {
	return c.postControl(ctx, address, PathOrders, order)
}

// postControl sends a request that has no output stream and checks that the engine
// accepted it.
func (c *Client) postControl(ctx context.Context, address, path string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	return nil
}

// get sends a GET request and returns the response if its status is 200. Any other is an error, also if its body could be decoded
// as what was asked for.
func (c *Client) get(ctx context.Context, address, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, trace.BadParameter("%s: unexpected status %d", path, response.StatusCode)
	}
	return response, nil
}

// Blocks returns the full list of the engine's cached blocks.
func (c *Client) Blocks(ctx context.Context, address string) (*BlockList, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := c.get(ctx, address, PathBlocks)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	list := &BlockList{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBlockListBytes)).Decode(list); err != nil {
		return nil, trace.Wrap(err)
	}
	return list, nil
}

// Events reads the engine's stream of cache events and calls handle for each event
// until the stream ends or no event arrives for silenceTimeout. It always returns an
// error.
func (c *Client) Events(ctx context.Context, address string, silenceTimeout time.Duration, handle func(*CacheEvent)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	response, err := c.get(ctx, address, PathEvents)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := integrity.NewLimitedReader(response.Body, maxEventBytes)
	decoder := json.NewDecoder(body)
	for {
		body.Reset()
		event := &CacheEvent{}
		if err := decoder.Decode(event); err != nil {
			return trace.Wrap(err)
		}
		watchdog.Reset(silenceTimeout)
		handle(event)
	}
}
