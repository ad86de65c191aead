package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/integrity"
	"github.com/clovertiller/clovertiller/internal/notrun"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// maxBufferedBody is the number of bytes of a response body that are buffered before the
// first byte is forwarded. Until then, a failed attempt can be retried on another runner.
const maxBufferedBody = 1 << 20

// maxWrite is the number of bytes written to a caller at a time, for which the caller has writeTimeoutSlack.
const maxWrite = 32 << 10

// bufferedResponse is a runner's response whose body has been read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeTo sends the response to the caller unchanged.
func (r *bufferedResponse) writeTo(c *call) error {
	c.setResponseHeaders(r.header)
	return c.writeWhole(unpromisedStatus(r.status), r.body)
}

// beginWriting writes the status of the response to the caller.
func (c *call) beginWriting(status callerStatus) {
	c.responseBegun = true
	c.writer.WriteHeader(status.code)
}

// writeWhole writes a response whose headers are set, and flushes it so that a failed write is noticed.
func (c *call) writeWhole(status callerStatus, body []byte) error {
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.beginWriting(status)
	if _, err := c.writeBody(body); err != nil {
		return err
	}
	return c.flush()
}

// writeBody writes a part of the response's body. A caller that reads it is not cut off by the end of the call's time.
func (c *call) writeBody(data []byte) (int, error) {
	for written := 0; written < len(data); {
		c.extendWriteDeadline()
		n, err := c.writer.Write(data[written:min(len(data), written+maxWrite)])
		written += n
		switch {
		case errors.Is(err, http.ErrBodyNotAllowed):
			// The response to a HEAD request has no body.
			return len(data), nil
		case err != nil:
			return written, c.recordWrite(err)
		}
	}
	return len(data), nil
}

// flush sends what is buffered of the response.
func (c *call) flush() error {
	c.extendWriteDeadline()
	return c.recordWrite(c.controller.Flush())
}

// extendWriteDeadline gives the next write its own time once that of the call has passed.
func (c *call) extendWriteDeadline() {
	if !c.deadline.IsZero() && !c.gateway.now().Before(c.deadline) {
		_ = c.controller.SetWriteDeadline(time.Now().Add(writeTimeoutSlack))
	}
}

// setResponseHeaders sets the headers of the response to the caller from those of the
// runner's response.
func (c *call) setResponseHeaders(header http.Header) {
	response := c.writer.Header()
	for name, values := range c.gateway.ports.Protocol.ResponseHeaders(header) {
		response[name] = values
	}
	response.Del(headerForwardResult)
	response.Del(headerForwardSoftware)
	c.setForwardResult(resultResponse)
}

// forwardResponse buffers the runner's response and forwards it to the caller. A failure of a
// repeatable request is kept while another runner is tried.
func (c *call) forwardResponse(response *httpconn.Response) attempt.Action {
	c.recordFirstResponse()
	buffered, end := c.bufferResponse(response)
	switch {
	case end.IsBroken():
		return c.handleInvalidResponse(quarantine.ConnectionLost, "response body is incomplete: "+end.String())
	case buffered.isFailure():
		return c.handleRunnerFailure(buffered, end)
	case !end.IsComplete():
		return c.forwardLongResponse(buffered, response)
	}
	c.endAttempt(backend.Succeeded, quarantine.Survived, "", response.Status)
	c.markComplete()
	if err := buffered.writeTo(c); err != nil {
		cause, _ := c.interruption()
		c.abortInterrupted(cause, errorText(c.writeErr))
	}
	return attempt.Stop
}

// forwardLongResponse forwards a response that is too long to buffer. No other attempt can follow if it breaks off,
// because the begin of the response was forwarded.
func (c *call) forwardLongResponse(buffered *bufferedResponse, response *httpconn.Response) attempt.Action {
	end, err := c.copyLongResponse(buffered, response)
	switch {
	case err != nil || c.ctx.Err() != nil && !end.IsComplete():
		c.handleCanceled(notrun.Proof{})
	case !end.IsComplete():
		c.endAttempt(backend.Failed, quarantine.ConnectionLost, "response body is incomplete: "+end.String(), response.Status)
		c.attemptState.Fail()
	default:
		c.endAttempt(backend.Succeeded, quarantine.Survived, "", response.Status)
		c.markComplete()
	}
	return attempt.Stop
}

// bufferResponse reads the body of the response, or the first part of a long one, in which case the end is
// Unfinished.
func (c *call) bufferResponse(response *httpconn.Response) (*bufferedResponse, integrity.End) {
	body, end := response.Body.ReadAll(bufferChunkBytes)
	if isHeld := c.memory.TryHold(int64(len(body))); isHeld && end.Verdict == integrity.Unfinished {
		body, end = c.readHeld(response.Body, body, maxBufferedBody)
	}
	if end.Verdict != integrity.Unfinished {
		c.recordResponseEnd(end)
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body}, end
}

// markComplete records that the caller has the whole response.
func (c *call) markComplete() {
	c.attemptState.MarkAccepted()
	c.attemptState.Finish(c.attemptState.Attempt(), 0)
}

// isFailure reports whether the runner reported a failure of the request.
func (r *bufferedResponse) isFailure() bool {
	return r.status >= http.StatusInternalServerError || impliesNotRun(r.status)
}

// handleRunnerFailure handles a failure that the runner itself reported.
func (c *call) handleRunnerFailure(response *bufferedResponse, end integrity.End) attempt.Action {
	c.endAttempt(backend.Failed, quarantine.Indeterminate, "runner returned a failure", response.status)
	c.keepFailure(response, end)
	return c.attemptState.RunnerFailed()
}

// keepFailure keeps the failure for the caller if its body is complete and its status does not imply that the call has not run.
func (c *call) keepFailure(response *bufferedResponse, end integrity.End) {
	if end.IsComplete() && !impliesNotRun(response.status) {
		c.lastFailure = response
	}
}

// callerWriter writes to the caller. Its errors are errCallerDisconnected, and the call keeps the cause.
type callerWriter struct{ call *call }

func (w callerWriter) Write(data []byte) (int, error) { return w.call.writeBody(data) }

// recordWrite records the error of a write to the caller and returns errCallerDisconnected, or nil if there is none.
func (c *call) recordWrite(err error) error {
	if err == nil {
		return nil
	}
	c.writeErr = err
	return errCallerDisconnected
}

// copyLongResponse writes a response of which the begin is buffered to the caller, and returns how its body ended,
// or errCallerDisconnected.
func (c *call) copyLongResponse(buffered *bufferedResponse, response *httpconn.Response) (integrity.End, error) {
	c.setResponseHeaders(buffered.header)
	if response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	} else {
		c.beginUnframedResponse()
	}
	c.beginWriting(unpromisedStatus(buffered.status))
	_, err := io.Copy(callerWriter{c}, io.MultiReader(bytes.NewReader(buffered.body), response.Body))
	if errors.Is(err, errCallerDisconnected) {
		return integrity.End{}, err
	}
	end := integrity.EndOfBody(err)
	c.recordResponseEnd(end)
	if end.IsComplete() {
		c.endUnframedResponse()
	}
	return end, nil
}
