package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
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
	// A read deadline in the past ends the wait for the rest of a body.
	stop := context.AfterFunc(c.gateway.callsCtx, func() { _ = c.controller.SetReadDeadline(time.Now()) })
	var err error
	if size := c.incoming.ContentLength; size >= 0 {
		c.body = make([]byte, size)
		_, err = io.ReadFull(c.incoming.Body, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(c.incoming.Body, maxBytes+1))
	}
	if !stop() && !c.gateway.serversClosed.Load() {
		// After the read deadline, net/http may take the caller for disconnected.
		return stopping(), nil
	}
	if err != nil && !isConnectionError(err) {
		return &refusal{status: http.StatusBadRequest, reason: "the body is malformed", detail: err.Error()}, nil
	}
	if err != nil {
		return nil, err
	}
	if int64(len(c.body)) > maxBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}, nil
	}
	return nil, nil
}
