package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotreel/refusal"
)

const typeJSON = "application/json"

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         refusal.Code `json:"code"`
	Message      string       `json:"message"`
	Ran          refusal.Ran  `json:"ran"`
	RetryAfterMS int64        `json:"retry_after_ms"`
}

func encodeRefusal(r *refusal.Refusal) []byte {
	data, err := json.Marshal(errorBody{errorFields{
		Code: r.Code, Message: r.Message, Ran: r.Ran, RetryAfterMS: ceilDiv(r.RetryAfter, time.Millisecond),
	}})
	if err != nil {
		panic(err) // strings and numbers only: cannot fail
	}
	return data
}

// ceilDiv counts the units in d, rounded up: a caller that comes back a little
// early would be refused a second time.
func ceilDiv(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}

func writeRefusal(w http.ResponseWriter, r *refusal.Refusal) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilDiv(r.RetryAfter, time.Second), 10))
	}
	writeBody(w, r.HTTPStatus(), encodeRefusal(r))
}

// writeBody sends a whole answer in JSON. A failed write means that the caller
// left; there is nobody to tell.
func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", typeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// sendJSON sends a value as the whole answer.
func (h *Handler) sendJSON(x *exchange, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return Error.Wrap(err)
	}
	h.boundWriting(x, len(data))
	writeBody(x.w, http.StatusOK, data)
	return nil
}

// slowestCaller is the rate, in bytes a second, at which a large answer must at
// least be read.
const slowestCaller = 64 << 10

// boundWriting ends the connection if a whole answer of n bytes is not read in
// time: else a caller that stops reading holds the answer in memory for good.
// net/http takes the deadline back after the request.
func (h *Handler) boundWriting(x *exchange, n int) {
	allowed := h.limits.WriteTimeout + time.Duration(n)*time.Second/slowestCaller
	// Writers without deadlines (tests) go without.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(allowed))
}
