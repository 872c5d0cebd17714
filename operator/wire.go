package operator

import (
	"errors"
	"net/http"
	"strings"
)

// Paths of the HTTP API.
const (
	pathPublish   = "/v1/publish"
	pathContracts = "/v1/contracts"
	pathStatus    = "/v1/status"
)

const (
	// MaxChangeBytes bounds the sections of one publish, names and texts together. The
	// log accepts records of up to 1 MiB, and a rejected record fails together with
	// all proposals of its group commit. About 5,000 adapters of 100 bytes fit.
	MaxChangeBytes = 512 << 10
	// MaxBodyBytes bounds the body of a request: a change with JSON escapes.
	MaxBodyBytes = 2 << 20
)

// errorBody is the JSON body of every answer that is not a success.
type errorBody struct {
	// Code identifies the error; see wireErrors.
	Code string `json:"code"`
	// Error describes the error for humans.
	Error string `json:"error"`
}

// wireError maps an error of this package to its code and HTTP status.
type wireError struct {
	err    error
	code   string
	status int
	// hint is the explanation for humans if the error itself has no details.
	hint string
}

var wireErrors = []wireError{
	{ErrBadRequest, "bad_request", http.StatusBadRequest, ""},
	{ErrUnauthorized, "unauthorized", http.StatusUnauthorized, "the token's hash is not in [operators] token_sha256 of this entry VM's settings"},
	{ErrNotFound, "not_found", http.StatusNotFound, ""},
	{ErrUnavailable, "unavailable", http.StatusServiceUnavailable, "this entry VM has no state yet, or can't reach the platform's log"},
	{ErrOutcomeUnknown, "outcome_unknown", http.StatusGatewayTimeout, "the platform's log didn't answer in time"},
}

// message returns the text of err, followed by the hint if err has no details.
func (w wireError) message(err error) string {
	bare := strings.HasSuffix(err.Error(), w.err.Error())
	if !bare || w.hint == "" {
		return err.Error()
	}
	return err.Error() + ": " + w.hint
}

// toWire returns the code and the status of an error. It maps an unknown error to
// "outcome unknown", which is always true.
func toWire(err error) wireError {
	for _, known := range wireErrors {
		if errors.Is(err, known.err) {
			return known
		}
	}
	return wireErrors[len(wireErrors)-1]
}

// remoteError is an error that the entry VM returned.
type remoteError struct {
	kind    error
	message string
}

// Error returns the entry VM's error text.
func (e *remoteError) Error() string { return e.message }

// Unwrap returns one of the errors of this package.
func (e *remoteError) Unwrap() error { return e.kind }

// fromWire returns the error for the body of an unsuccessful answer. It maps an
// unknown code, from a newer version, to "outcome unknown".
func fromWire(body errorBody) error {
	kind := ErrOutcomeUnknown
	for _, known := range wireErrors {
		if known.code == body.Code {
			kind = known.err
		}
	}
	return &remoteError{kind: kind, message: body.Error}
}
