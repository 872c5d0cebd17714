package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotreel/refusal"
)

const contentTypeJSON = "application/json"

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
		panic(err) // can't happen: errorBody holds only strings and numbers
	}
	return data
}

// ceilDiv returns d in units, rounded up: a caller that retries slightly too early
// would be refused again.
func ceilDiv(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}

func writeRefusal(w http.ResponseWriter, r *refusal.Refusal) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilDiv(r.RetryAfter, time.Second), 10))
	}
	writeBody(w, r.HTTPStatus(), encodeRefusal(r))
}

// writeBody sends a complete JSON answer. It ignores a write error, which means that
// the caller has disconnected.
func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// sendJSON encodes the value as JSON and sends it as the whole answer.
func (h *Handler) sendJSON(x *exchange, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return Error.Wrap(err)
	}
	h.setWholeAnswerDeadline(x, len(data))
	writeBody(x.w, http.StatusOK, data)
	return nil
}

// minReadRate is the minimum rate, in bytes per second, at which a caller must read a
// large answer.
const minReadRate = 64 << 10

// setWholeAnswerDeadline sets the time by which the caller must have read a whole
// answer of n bytes. Without it a caller that stops reading would keep the answer in
// memory indefinitely. net/http resets the deadline after the request.
func (h *Handler) setWholeAnswerDeadline(x *exchange, n int) {
	allowed := h.limits.WriteTimeout + time.Duration(n)*time.Second/minReadRate
	// The error is ignored: writers of tests don't support deadlines.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(allowed))
}
