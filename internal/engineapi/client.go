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
)

// Times and sizes of the client.
const (
	dialTimeout = time.Second
	// AnswerTimeout bounds the wait for the engine's word that it took a request.
	AnswerTimeout  = 3 * time.Second
	controlTimeout = 2 * time.Second
	maxReplyBytes  = 64 << 20
	// streamBufferBytes is the read buffer of one stream.
	streamBufferBytes = 4 << 10
	idleConnections   = 64
)

// Errors of the client.
var (
	// ErrNotConnected means that no connection was made, so nothing was sent.
	ErrNotConnected = errors.New("no connection to the engine")
	// ErrLost means that the connection broke after something may have been sent.
	ErrLost = errors.New("the engine's answer was lost")
)

// RefusedError is the engine's own refusal: the attempt has not run.
type RefusedError struct {
	Refusal Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused: %s: %s", e.Refusal.Code, e.Refusal.Message)
}

// Client talks to engines.
type Client struct {
	http *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		WriteBufferSize:     streamBufferBytes,
		ReadBufferSize:      streamBufferBytes,
	}}}
}

// Stream is an open output stream.
type Stream struct {
	Frames *FrameReader
	body   io.Closer
}

// NewStream returns a stream of frames that closes body with itself.
func NewStream(frames *FrameReader, body io.Closer) *Stream {
	return &Stream{Frames: frames, body: body}
}

// Close ends the stream.
func (s *Stream) Close() { s.body.Close() }

// Generate sends one attempt. It returns a *RefusedError, ErrNotConnected or
// ErrLost; only the last leaves it open whether the attempt runs.
func (c *Client) Generate(ctx context.Context, address string, request *GenerateRequest) (*Stream, error) {
	return c.openStream(ctx, address, PathGenerate, request)
}

// Resume asks for the rest of a stream, with the errors of Generate.
func (c *Client) Resume(ctx context.Context, address string, request *ResumeRequest) (*Stream, error) {
	return c.openStream(ctx, address, PathResume, request)
}

func (c *Client) openStream(ctx context.Context, address, path string, body any) (*Stream, error) {
	streamContext, cancel := context.WithCancel(ctx)
	// The timer ends the wait for the answer only, not the stream behind it.
	timer := time.AfterFunc(AnswerTimeout, cancel)
	response, err := c.post(streamContext, address, path, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if !timer.Stop() {
		response.Body.Close()
		cancel()
		return nil, ErrLost
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		return nil, readRefusal(response)
	}
	reader := bufio.NewReaderSize(response.Body, streamBufferBytes)
	return NewStream(NewFrameReader(reader), &cancelCloser{response.Body, cancel}), nil
}

// cancelCloser ends the request's context with its body.
type cancelCloser struct {
	body   io.Closer
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelCloser) Close() error {
	c.cancel()
	return c.body.Close()
}

// post sends a JSON body. The connection trace tells "never connected" from "lost".
func (c *Client) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Without GetBody the HTTP library never sends a request a second time on
	// its own, which it otherwise may on a broken idle connection.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load():
		return nil, ErrNotConnected
	}
	return nil, ErrLost
}

func readRefusal(response *http.Response) error {
	var refusal Refusal
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes))
	if err := decoder.Decode(&refusal); err != nil || refusal.Code == "" {
		// Whatever answered did not speak the protocol: nothing is known.
		return ErrLost
	}
	return &RefusedError{Refusal: refusal}
}

// Cancel stops an attempt.
func (c *Client) Cancel(ctx context.Context, address string, request *CancelRequest) error {
	return c.control(ctx, address, PathCancel, request)
}

// Order gives a fenced order.
func (c *Client) Order(ctx context.Context, address string, order *Order) error {
	return c.control(ctx, address, PathOrders, order)
}

func (c *Client) control(ctx context.Context, address, path string, body any) error {
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

// Blocks reads the full list of cached blocks.
func (c *Client) Blocks(ctx context.Context, address string) (*BlockList, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathBlocks, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	list := &BlockList{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(list); err != nil {
		return nil, trace.Wrap(err)
	}
	return list, nil
}

// Events reads the engine's event stream until it ends, and calls visit for
// each event. Silence for longer than the given time ends it with an error.
func (c *Client) Events(ctx context.Context, address string, silence time.Duration, visit func(*CacheEvent)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathEvents, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		event := &CacheEvent{}
		if err := decoder.Decode(event); err != nil {
			return trace.Wrap(err)
		}
		watchdog.Reset(silence)
		visit(event)
	}
}
