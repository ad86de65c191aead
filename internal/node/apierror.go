package node

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/clovertiller/clovertiller/internal/attempt"
)

// Values of the field code in error responses.
const (
	codeInvalidAPIKey         = "invalid_api_key"
	codeInvalidRequest        = "invalid_request"
	codeRequestTooLarge       = "request_too_large"
	codeContextLengthExceeded = "context_length_exceeded"
	codeModelNotFound         = "model_not_found"
	codeModelNotAllowed       = "model_not_allowed"
	codeRateLimitExceeded     = "rate_limit_exceeded"
	codeOverloaded            = "overloaded"
	codeNoRunner              = "no_runner"
	codeDuplicateRequest      = "duplicate_request"
	codeClaimRefused          = "claim_refused"
	codeEngineFailed          = "engine_failed"
	codeDeadlineExceeded      = "deadline_exceeded"
	codeNotReady              = "not_ready"

	// defaultRetryAfterSeconds is the Retry-After of 429 and 5xx responses that have no other.
	defaultRetryAfterSeconds = 1
)

// apiError is the error response that ends a request of a caller.
type apiError struct {
	status  int
	code    string
	message string
	// param names the invalid field or header of the request, if there is one.
	param string
	// runState tells the caller whether the request may have run.
	runState attempt.RunState
	// retryAfter is the time after which to retry. It is 0 if a retry of the same request would
	// fail again.
	retryAfter time.Duration
}

// Error implements the error interface.
func (e *apiError) Error() string { return e.code + ": " + e.message }

// badRequest returns a 400 error for the named field or header of a request that did not run.
func badRequest(param, format string, args ...any) *apiError {
	return &apiError{status: http.StatusBadRequest, code: codeInvalidRequest, param: param, message: fmt.Sprintf(format, args...), runState: attempt.NotRun}
}

// errorResponse is the body of an error response: the error object of the OpenAI API, extended
// by the run state and the retry time.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message          string           `json:"message"`
	Type             string           `json:"type"`
	Param            *string          `json:"param"`
	Code             string           `json:"code"`
	RunState         attempt.RunState `json:"run_state"`
	RetryAfterMillis int64            `json:"retry_after_ms,omitempty"`
}

// body returns the JSON encoding of the error.
func (e *apiError) body() []byte {
	detail := errorDetail{Message: e.message, Type: errorType(e.status), Code: e.code, RunState: e.runState, RetryAfterMillis: e.retryAfter.Milliseconds()}
	if e.param != "" {
		detail.Param = &e.param
	}
	// Encoding this type cannot fail.
	encoded, _ := json.Marshal(errorResponse{Error: detail})
	return encoded
}

// errorType returns the error type that the OpenAI API uses for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// writeTo writes the error as the HTTP response. Every response with status 429 or 5xx has a
// Retry-After header.
func (e *apiError) writeTo(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if e.retryAfter == 0 && (e.status == http.StatusTooManyRequests || e.status >= http.StatusInternalServerError) {
		e.retryAfter = defaultRetryAfterSeconds * time.Second
	}
	if e.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	header.Set(headerRunState, string(e.runState))
	writeWhole(writer, e.status, e.body())
}
