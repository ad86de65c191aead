package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/clovertiller/clovertiller/internal/attempt"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/httpconn"
	"github.com/clovertiller/clovertiller/internal/quarantine"
)

// wholeAnswer is the longest body that is read whole before it is passed on.
const wholeAnswer = 1 << 20

// heldAnswer is a runner's answer that has been read.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on unchanged.
func (a *heldAnswer) write(c *call) {
	c.copyHead(a.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.writer.WriteHeader(a.status)
	// A caller that has gone is noticed by the server.
	_, _ = c.writer.Write(a.body)
}

// copyHead sets the headers of the answer to the caller.
func (c *call) copyHead(header http.Header) {
	own := c.writer.Header()
	for name, values := range c.gateway.ports.Protocol.ResponseHeaders(header) {
		own[name] = values
	}
}

// passOn reads a whole answer and passes it on. A failure of a repeatable
// request is kept while another runner is tried.
func (c *call) passOn(response *httpconn.Response) attempt.Action {
	c.firstAnswer()
	body, more, err := response.Body.ReadAll(wholeAnswer)
	if err != nil {
		return c.spoilt(quarantine.ConnectionLost, "answer broke off: "+err.Error())
	}
	answer := &heldAnswer{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError || isPromise(response.Status) {
		return c.runnerFailed(answer)
	}
	c.end(backend.Succeeded, quarantine.Survived, "", response.Status)
	c.request.MarkAccepted()
	c.request.Finish(c.request.Attempt(), 0)
	if more {
		c.passOnLong(answer, response)
		return attempt.Stop
	}
	answer.write(c)
	return attempt.Stop
}

// isPromise tells whether callers take the status as the word that the request
// has not run.
func isPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// runnerFailed takes a runner's own failure.
func (c *call) runnerFailed(answer *heldAnswer) attempt.Action {
	c.end(backend.Failed, quarantine.Indeterminate, "runner's failure", answer.status)
	if answer.status != http.StatusServiceUnavailable && !isPromise(answer.status) {
		c.failure = answer
	}
	return c.request.RunnerFailed()
}

// passOnLong relays the rest of a long answer; a break must look like one.
func (c *call) passOnLong(answer *heldAnswer, response *httpconn.Response) {
	c.copyHead(answer.header)
	if response.ContentLength >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	c.writer.WriteHeader(answer.status)
	_, err := c.writer.Write(answer.body)
	if err == nil {
		_, err = io.Copy(c.writer, response.Body)
	}
	if err != nil {
		c.logEnd(outcomeCut)
		panic(http.ErrAbortHandler)
	}
}
