package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/clovertiller/clovertiller/internal/membudget"
)

// isConnectionError reports whether the error of a read from a caller comes from its connection, not from what it sent.
func isConnectionError(err error) bool {
	var networkError net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &networkError)
}

// bodyHasLength reports whether the end of the body is known. A request in HTTP/1.0 with a method that has a body must name its length
// (RFC 1945, section 8.3). net/http removes its Transfer-Encoding, and would take the body for an empty one.
func (c *call) bodyHasLength() bool {
	switch c.incoming.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return c.incoming.ProtoAtLeast(1, 1) || len(c.incoming.Header["Content-Length"]) > 0
	}
	return true
}

// readBody reads the whole body into memory, so that it can be sent more than once. It returns an error
// if the body did not arrive whole.
func (c *call) readBody() (*refusal, error) {
	maxBytes := c.config.table.Limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if !c.bodyHasLength() {
		// What follows the header may be a body and must not be parsed as another request.
		c.writer.Header().Set("Connection", "close")
		return &refusal{status: http.StatusBadRequest, reason: "a body in HTTP/1.0 needs a length"}, nil
	}
	if c.incoming.ContentLength > maxBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}, nil
	}
	// A body that stops arriving ends with the time of its call.
	if c.incoming.ContentLength != 0 {
		_ = c.controller.SetReadDeadline(time.Now().Add(c.gateway.until(c.deadline)))
	}
	// A read deadline in the past ends the wait for the rest of a body.
	stop := context.AfterFunc(c.gateway.callsCtx, func() { _ = c.controller.SetReadDeadline(time.Now()) })
	refused, err := c.receiveBody(maxBytes)
	if !stop() && !c.gateway.serversClosed.Load() {
		// After the read deadline, net/http may take the caller for disconnected.
		return stopping(), nil
	}
	if c.incoming.ContentLength != 0 {
		_ = c.controller.SetReadDeadline(time.Time{})
	}
	switch {
	case refused != nil:
		return refused, nil
	case err != nil && c.memory.IsEvicted():
		return c.outOfMemory(), nil
	case errors.Is(err, os.ErrDeadlineExceeded) && c.gateway.until(c.deadline) <= 0:
		c.writer.Header().Set("Connection", "close")
		return unavailable("the time is up", busyRetryAfter), nil
	case err != nil && !isConnectionError(err):
		return &refusal{status: http.StatusBadRequest, reason: "the body is malformed", detail: err.Error()}, nil
	case err != nil:
		return nil, err
	case int64(len(c.body)) > maxBytes:
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}, nil
	}
	c.memory.SetClass(membudget.Whole)
	return nil, nil
}

// receiveBody reads the body, of which it reads at most one byte more than maxBytes. Memory is held before it is allocated.
func (c *call) receiveBody(maxBytes int64) (*refusal, error) {
	size, isKnown := c.incoming.ContentLength, c.incoming.ContentLength >= 0
	if !isKnown {
		size = min(firstChunkBytes, maxBytes+1)
	}
	for {
		if refused := c.holdBody(size - int64(cap(c.body))); refused != nil {
			return refused, nil
		}
		body := make([]byte, len(c.body), size)
		copy(body, c.body)
		c.body = body
		err := c.fillBody()
		switch {
		case err == io.EOF && (!isKnown || int64(len(c.body)) == size):
			return nil, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil || isKnown || size > maxBytes:
			return nil, err
		}
		size = min(2*size, maxBytes+1)
	}
}

// fillBody reads until the body has taken its capacity, which is no error.
func (c *call) fillBody() error {
	for len(c.body) < cap(c.body) {
		n, err := c.incoming.Body.Read(c.body[len(c.body):min(len(c.body)+bufferChunkBytes, cap(c.body))])
		c.body = c.body[:len(c.body)+n]
		if err != nil {
			return err
		}
		c.memory.Arrived()
	}
	return nil
}
