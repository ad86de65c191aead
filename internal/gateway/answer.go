package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// maxBufferedBody is the number of bytes of a response body that are buffered before the
// first byte is forwarded. Until then, a failed attempt can be retried on another runner.
const maxBufferedBody = 1 << 20

// bufferedResponse is a runner's response whose body has been read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo sends the response to the caller unchanged.
func (r *bufferedResponse) writeTo(c *call) {
	c.setResponseHeaders(r.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	c.writer.WriteHeader(r.status)
	// The HTTP server detects a caller that has disconnected.
	_, _ = c.writer.Write(r.body)
}

// setResponseHeaders sets the headers of the response to the caller from those of the
// runner's response.
func (c *call) setResponseHeaders(header http.Header) {
	response := c.writer.Header()
	for name, values := range c.gateway.ports.Protocol.ResponseHeaders(header) {
		response[name] = values
	}
	response.Del(headerForwardResult)
	c.setForwardResult(resultResponse)
}

// forwardResponse buffers the runner's response and forwards it to the caller. A failure of a
// repeatable request is kept while another runner is tried.
func (c *call) forwardResponse(response *httpconn.Response) attempt.Action {
	c.recordFirstResponse()
	body, truncated, err := response.Body.ReadAll(maxBufferedBody)
	c.recordResponseEnd(integrity.EndOfBody(err))
	if err != nil {
		return c.handleInvalidResponse(quarantine.ConnectionLost, "response body is incomplete: "+err.Error())
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError || impliesNotRun(response.Status) {
		return c.handleRunnerFailure(buffered)
	}
	c.endAttempt(backend.Succeeded, quarantine.Survived, "", response.Status)
	return c.writeResponse(buffered, response, truncated)
}

// writeResponse ends the call with the response, of which buffered holds only the beginning if it is truncated.
func (c *call) writeResponse(buffered *bufferedResponse, response *httpconn.Response, truncated bool) attempt.Action {
	c.attemptState.MarkAccepted()
	c.attemptState.Finish(c.attemptState.Attempt(), 0)
	if truncated {
		c.forwardLongResponse(buffered, response)
		return attempt.Stop
	}
	buffered.writeTo(c)
	return attempt.Stop
}

// impliesNotRun reports whether callers infer from the status that the request has not run.
func impliesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// handleRunnerFailure handles a failure that the runner itself reported. Statuses that imply
// that the request has not run are never forwarded.
func (c *call) handleRunnerFailure(response *bufferedResponse) attempt.Action {
	c.endAttempt(backend.Failed, quarantine.Indeterminate, "runner returned a failure", response.status)
	if response.status != http.StatusServiceUnavailable && !impliesNotRun(response.status) {
		c.lastFailure = response
	}
	return c.attemptState.RunnerFailed()
}

// forwardLongResponse forwards a response that is too long to buffer. If the runner's
// connection breaks, the caller's connection is aborted so that the caller sees the response
// as incomplete.
func (c *call) forwardLongResponse(buffered *bufferedResponse, response *httpconn.Response) {
	c.setResponseHeaders(buffered.header)
	if response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	} else {
		c.beginUnframedResponse()
	}
	c.writer.WriteHeader(buffered.status)
	_, err := c.writer.Write(buffered.body)
	if err == nil {
		_, err = io.Copy(c.writer, response.Body)
	}
	if err != nil {
		c.logOutcome(outcomeCut)
		panic(http.ErrAbortHandler)
	}
	c.endUnframedResponse()
}
