package caller

import (
	"errors"
	"io"
	"net/http"

	"bergamotreel/refusal"
)

// readBody reads the whole body, bounded for itself and together with all other
// bodies held. Its bytes count as held until the request ends.
func (h *Handler) readBody(x *exchange) ([]byte, error) {
	if x.r.ContentLength > h.limits.BodyBytes {
		return nil, h.tooLarge()
	}
	if err := h.reserve(x); err != nil {
		return nil, err
	}
	body, err := readAll(http.MaxBytesReader(x.w, x.r.Body, h.limits.BodyBytes), x.r.ContentLength)
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, h.tooLarge()
	}
	if err != nil {
		return nil, refusal.New(refusal.CodeBadRequest, 0, "body: could not be read whole")
	}
	h.settle(x, int64(len(body)))
	return body, nil
}

func (h *Handler) tooLarge() *refusal.Refusal {
	return refusal.New(refusal.CodeTooLarge, 0, "body: over %d bytes", h.limits.BodyBytes)
}

// readAll reads a body of the given length, or of one not known (-1).
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// reserve counts the body as held before it is read: with the length that the
// caller said, else with the longest.
func (h *Handler) reserve(x *exchange) error {
	n := x.r.ContentLength
	if n < 0 {
		n = h.limits.BodyBytes
	}
	if err := h.held.take(x.identity.Customer, n); err != nil {
		return err
	}
	x.held = n
	return nil
}

// settle lowers the reservation to what was read.
func (h *Handler) settle(x *exchange, n int64) {
	h.held.giveBack(x.identity.Customer, x.held-n)
	x.held = n
}
