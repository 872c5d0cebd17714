// Package refusal defines the final answer for a request that was not served: a
// stable code, whether the request may have run, and when to retry. Every layer
// that gives up on a request converts its error to a Refusal, so that the caller
// always gets exactly one final answer that is correct about what may have run.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran is what is known about whether a refused request ran.
type Ran string

const (
	// RanNo is used only if no byte reached a backend server, or if the backend
	// server itself confirmed that it did nothing.
	RanNo Ran = "no"
	// RanMaybe is used in every other case.
	RanMaybe Ran = "maybe"
)

// Code is the reason for a refusal. Codes are stable: callers may match them.
type Code string

// The codes that callers may receive, with the HTTP status of each.
const (
	CodeBadRequest     Code = "bad_request"     // 400
	CodeUnknownKey     Code = "unknown_key"     // 401
	CodeNotFound       Code = "not_found"       // 404
	CodeBodyTimeout    Code = "body_timeout"    // 408: the body did not arrive in time
	CodeKeyConflict    Code = "key_conflict"    // 409: same idempotency key, other body
	CodeTooLarge       Code = "too_large"       // 413
	CodeRateLimited    Code = "rate_limited"    // 429: over the contract's rate
	CodeQueueFull      Code = "queue_full"      // 429: over the contract's queue limit
	CodeWaitTooLong    Code = "wait_too_long"   // 503: cannot be served within its maximum wait
	CodeNoCapacity     Code = "no_capacity"     // 503: no replica is available
	CodeQuarantined    Code = "quarantined"     // 503: the request crashes backend servers
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
	CodeBodyTimeout: http.StatusRequestTimeout, CodeTooLarge: http.StatusRequestEntityTooLarge, CodeRateLimited: http.StatusTooManyRequests,
	CodeQueueFull: http.StatusTooManyRequests, CodeWaitTooLong: http.StatusServiceUnavailable,
	CodeNoCapacity: http.StatusServiceUnavailable, CodeQuarantined: http.StatusServiceUnavailable, CodeLogUnavailable: http.StatusServiceUnavailable,
	CodeShuttingDown: http.StatusServiceUnavailable, CodeNotReady: http.StatusServiceUnavailable,
	CodeBackendFailed: http.StatusBadGateway, CodeOutcomeUnknown: http.StatusGatewayTimeout,
	CodeInternal: http.StatusInternalServerError,
}

// Refusal is an error that carries the final answer for a request.
type Refusal struct {
	Code    Code
	Ran     Ran
	Message string
	// RetryAfter is the delay after which the caller may retry; 0 means that
	// retrying the same request will not help.
	RetryAfter time.Duration
}

// New returns a refusal of a request that did not run.
func New(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// MaxRetryAfter returns the longest useful delay for a caller that has the given time left, a third of
// it: the rest is for the new attempt and its answer.
func MaxRetryAfter(left time.Duration) time.Duration { return max(left, 0) / 3 }

// NewMaybeRan returns a refusal of a request that may have run.
func NewMaybeRan(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanMaybe, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", r.Code, r.Ran, r.Message)
}

// HTTPStatus returns the HTTP status of the refusal, or 500 for an unknown code,
// such as one of a newer version.
func (r *Refusal) HTTPStatus() int {
	if status, ok := statusByCode[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// FromError returns the Refusal in err's chain, or a CodeInternal refusal with RanMaybe
// and err's text.
func FromError(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewMaybeRan(CodeInternal, "%v", err)
}
