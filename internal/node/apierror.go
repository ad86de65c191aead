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

// Error codes told to callers.
const (
	codeInvalidKey      = "invalid_api_key"
	codeBadRequest      = "invalid_request"
	codeTooLarge        = "request_too_large"
	codeContextLength   = "context_length_exceeded"
	codeModelNotFound   = "model_not_found"
	codeModelForbidden  = "model_not_allowed"
	codeRateLimited     = "rate_limit_exceeded"
	codeOverloaded      = "overloaded"
	codeNoRunner        = "no_runner"
	codeDuplicate       = "duplicate_request"
	codeClaimRefused    = "claim_refused"
	codeEngineFailed    = "engine_failed"
	codeDeadline        = "deadline_exceeded"
	codeNotReady        = "not_ready"
	defaultRetrySeconds = 1
)

// apiError is the final, unsuccessful answer to a caller.
type apiError struct {
	status  int
	code    string
	message string
	// param names the faulty field of the request, if there is one.
	param    string
	runState attempt.RunState
	// retryAfter is when to come back; 0 means that the same request would fail again.
	retryAfter time.Duration
}

// Error implements error.
func (e *apiError) Error() string { return e.code + ": " + e.message }

func badRequest(param, format string, args ...any) *apiError {
	return &apiError{status: http.StatusBadRequest, code: codeBadRequest, param: param, message: fmt.Sprintf(format, args...), runState: attempt.NotRun}
}

// errorBody is the JSON form of an apiError, with the usual fields of OpenAI's
// API and the run state.
type errorBody struct {
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

func (e *apiError) body() []byte {
	detail := errorDetail{Message: e.message, Type: errorType(e.status), Code: e.code, RunState: e.runState, RetryAfterMillis: e.retryAfter.Milliseconds()}
	if e.param != "" {
		detail.Param = &e.param
	}
	// The struct always encodes.
	encoded, _ := json.Marshal(errorBody{Error: detail})
	return encoded
}

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

// write answers with the error. Every refusal that may succeed later says when
// to come back.
func (e *apiError) write(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if e.retryAfter == 0 && (e.status == http.StatusTooManyRequests || e.status >= http.StatusInternalServerError) {
		e.retryAfter = defaultRetrySeconds * time.Second
	}
	if e.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	header.Set(headerRunState, string(e.runState))
	writer.WriteHeader(e.status)
	writer.Write(e.body())
}
