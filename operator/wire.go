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
	// MaxChangeBytes bounds the sections of one publish, names and texts. The log
	// takes records of 1 MiB, and one that is refused takes the other proposals
	// of its group commit with it. Some 5,000 adapters of 100 bytes fit.
	MaxChangeBytes = 512 << 10
	// MaxBodyBytes bounds a request: a change with its escapes in JSON.
	MaxBodyBytes = 2 << 20
)

// errorBody is the JSON body of every answer that is not a success.
type errorBody struct {
	// Code names the error; see the codes below.
	Code string `json:"code"`
	// Error says what happened, for people.
	Error string `json:"error"`
}

// wireError maps an error of this package to its code and HTTP status.
type wireError struct {
	err    error
	code   string
	status int
	// hint tells people more where the error itself has no details.
	hint string
}

var wireErrors = []wireError{
	{ErrBadRequest, "bad_request", http.StatusBadRequest, ""},
	{ErrUnauthorized, "unauthorized", http.StatusUnauthorized, "the token's hash is not in [operators] token_sha256 of this entry VM's settings"},
	{ErrNotFound, "not_found", http.StatusNotFound, ""},
	{ErrUnavailable, "unavailable", http.StatusServiceUnavailable, "this entry VM has no state yet, or can't reach the platform's log"},
	{ErrOutcomeUnknown, "outcome_unknown", http.StatusGatewayTimeout, "the platform's log didn't answer in time"},
}

// text is what people are told of err.
func (w wireError) text(err error) string {
	bare := strings.HasSuffix(err.Error(), w.err.Error())
	if !bare || w.hint == "" {
		return err.Error()
	}
	return err.Error() + ": " + w.hint
}

// toWire finds the code and the status of an error. An unknown one counts as
// "outcome unknown", which is true of every error.
func toWire(err error) wireError {
	for _, known := range wireErrors {
		if errors.Is(err, known.err) {
			return known
		}
	}
	return wireErrors[len(wireErrors)-1]
}

// remoteError is an error that the entry VM answered with.
type remoteError struct {
	kind error
	text string
}

// Error is the entry VM's own words.
func (e *remoteError) Error() string { return e.text }

// Unwrap gives one of the errors of this package.
func (e *remoteError) Unwrap() error { return e.kind }

// fromWire makes the error of an answer that is not a success. A code of a newer
// version counts as "outcome unknown".
func fromWire(body errorBody) error {
	kind := ErrOutcomeUnknown
	for _, known := range wireErrors {
		if known.code == body.Code {
			kind = known.err
		}
	}
	return &remoteError{kind: kind, text: body.Error}
}
