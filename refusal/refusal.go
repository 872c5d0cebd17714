// Package refusal is the typed answer "this request was not served": a stable
// code, whether the request may have run, and when to come back. Every layer
// that gives up on a request turns its own error into a Refusal, so that the
// caller always gets one final, honest answer.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran tells what is known about a refused request's effects.
type Ran string

const (
	// RanNo is said only where no byte reached a backend server, or where the
	// backend server itself confirmed that it did nothing.
	RanNo Ran = "no"
	// RanMaybe is said in every other case.
	RanMaybe Ran = "maybe"
)

// Code names the reason of a refusal. Codes are stable: callers may match them.
type Code string

// The codes that callers can meet, with the HTTP status each one maps to.
const (
	CodeBadRequest     Code = "bad_request"     // 400
	CodeUnknownKey     Code = "unknown_key"     // 401
	CodeNotFound       Code = "not_found"       // 404
	CodeKeyConflict    Code = "key_conflict"    // 409: same idempotency key, other body
	CodeTooLarge       Code = "too_large"       // 413
	CodeRateLimited    Code = "rate_limited"    // 429: the contract's rate
	CodeQueueFull      Code = "queue_full"      // 429: the contract's queue
	CodeWaitTooLong    Code = "wait_too_long"   // 503: cannot make its longest wait
	CodeNoCapacity     Code = "no_capacity"     // 503: no replica can be had
	CodeQuarantined    Code = "quarantined"     // 503: it crashes what runs it
	CodeLogUnavailable Code = "log_unavailable" // 503: no claim can be recorded
	CodeShuttingDown   Code = "shutting_down"   // 503: this entry VM is stopping
	CodeNotReady       Code = "not_ready"       // 503: this entry VM has no state yet
	CodeBackendFailed  Code = "backend_failed"  // 502
	CodeOutcomeUnknown Code = "outcome_unknown" // 504: may have run
	CodeInternal       Code = "internal"        // 500
)

var statusByCode = map[Code]int{
	CodeBadRequest: http.StatusBadRequest, CodeUnknownKey: http.StatusUnauthorized,
	CodeNotFound: http.StatusNotFound, CodeKeyConflict: http.StatusConflict,
	CodeTooLarge: http.StatusRequestEntityTooLarge, CodeRateLimited: http.StatusTooManyRequests,
	CodeQueueFull: http.StatusTooManyRequests, CodeWaitTooLong: http.StatusServiceUnavailable,
	CodeNoCapacity: http.StatusServiceUnavailable, CodeQuarantined: http.StatusServiceUnavailable, CodeLogUnavailable: http.StatusServiceUnavailable,
	CodeShuttingDown: http.StatusServiceUnavailable, CodeNotReady: http.StatusServiceUnavailable,
	CodeBackendFailed: http.StatusBadGateway, CodeOutcomeUnknown: http.StatusGatewayTimeout,
	CodeInternal: http.StatusInternalServerError,
}

// Refusal is an error that carries the final answer of a request.
type Refusal struct {
	Code    Code
	Ran     Ran
	Message string
	// RetryAfter is when the caller should come back; 0 means that coming back
	// with the same request will not help.
	RetryAfter time.Duration
}

// New makes a refusal of a request that did not run.
func New(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// Maybe makes a refusal of a request that may have run.
func NewMaybeRan(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanMaybe, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Message)
}

// Status is the HTTP status of the refusal; 500 for a code of a newer version.
func (r *Refusal) HTTPStatus() int {
	if status, ok := statusByCode[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// From finds the Refusal inside err, or wraps err as one that may have run.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewMaybeRan(CodeInternal, "%v", err)
}
