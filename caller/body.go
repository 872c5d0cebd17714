package caller

import (
	"errors"
	"io"
	"net/http"

	"bergamotreel/refusal"
)

// errCallerLeft reports that the caller has closed its connection.
var errCallerLeft = errors.New("the caller has left")

// readBody reads the whole body. It enforces the limit on one body and the limit on
// all bodies in memory; the body stays reserved in the latter until the request
// ends. It fails with errCallerLeft if nobody waits for the answer any more.
func (h *Handler) readBody(x *exchange) ([]byte, error) {
	if x.r.ContentLength > h.limits.BodyBytes {
		return nil, h.tooLarge()
	}
	if err := h.reserveBody(x); err != nil {
		return nil, err
	}
	body, err := readAll(limitBody(x.w, x.r, h.limits.BodyBytes), x.r.ContentLength)
	var limitErr *http.MaxBytesError
	if errors.As(err, &limitErr) {
		return nil, h.tooLarge()
	}
	if err != nil {
		return nil, refusal.New(refusal.CodeBadRequest, 0, "body: could not be read whole")
	}
	h.shrinkReservation(x, int64(len(body)))
	if connectionOf(x.ctx()).isClosedByPeer() {
		return nil, errCallerLeft
	}
	return body, nil
}

func (h *Handler) tooLarge() *refusal.Refusal {
	return refusal.New(refusal.CodeTooLarge, 0, "body: over %d bytes", h.limits.BodyBytes)
}

// readAll reads a body of the given length, or of unknown length if length is -1.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// reserveBody reserves memory for the body before it is read: its declared length,
// or the maximum if none is declared.
func (h *Handler) reserveBody(x *exchange) error {
	n := x.r.ContentLength
	if n < 0 {
		n = h.limits.BodyBytes
	}
	if err := h.held.reserve(x.identity.Customer, n); err != nil {
		return err
	}
	x.reservedBytes = n
	return nil
}

// shrinkReservation lowers the reservation to the n bytes that were read.
func (h *Handler) shrinkReservation(x *exchange, n int64) {
	h.held.release(x.identity.Customer, x.reservedBytes-n)
	x.reservedBytes = n
}

// limitBody is http.MaxBytesReader for a server's writer. MaxBytesReader needs net/http's
// own writer to have a body that is too large refused before its end.
func limitBody(w http.ResponseWriter, r *http.Request, maxBytes int64) io.ReadCloser {
	if draining, ok := w.(*drainingWriter); ok {
		w = draining.ResponseWriter
	}
	return http.MaxBytesReader(w, r.Body, maxBytes)
}
