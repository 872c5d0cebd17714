package caller

import (
	"net/http"
	"slices"
	"strings"

	"bergamotreel/contract"
	"bergamotreel/idempotency"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

const headerIdempotencyKey = "Idempotency-Key"

// methods are the HTTP methods passed on. Others could mean to a lenient
// service what they don't mean to the contract's patterns ("post").
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded are the headers of a caller that a service does not get: the API
// key, what we set ourselves, and what would let a repeatable method stand for
// one that may not be repeated.
var notForwarded = []string{
	"Authorization", headerRequestID, "Content-Length", "Expect",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

// notReturned are the headers of an answer that we set ourselves.
var notReturned = []string{headerRequestID, headerCold, "Content-Length"}

func (h *Handler) callService(x *exchange) error {
	inForce, err := h.identify(x)
	if err != nil {
		return err
	}
	called, ok := inForce.FindService(x.r.PathValue("name"))
	if !ok {
		return x.unlessNotReady(refusal.New(refusal.CodeNotFound, 0, "no service %.80q", x.r.PathValue("name")))
	}
	call, err := h.readCall(x, called)
	if err != nil {
		return err
	}
	answer, err := h.backend.Call(x.ctx(), call)
	if err != nil {
		return err
	}
	h.boundWriting(x, len(answer.Body))
	return passOn(x.w, answer)
}

func (h *Handler) readCall(x *exchange, called contract.Service) (ServiceCall, error) {
	if !slices.Contains(methods, x.r.Method) {
		return ServiceCall{}, badField("method", "not passed on")
	}
	key, err := idempotencyKey(x.r.Header)
	if err != nil {
		return ServiceCall{}, err
	}
	body, err := h.readBody(x)
	if err != nil {
		return ServiceCall{}, err
	}
	sent := servicePath(x.r)
	return ServiceCall{
		Identity: x.identity,
		Service:  called,
		Call: service.Call{
			RequestID: x.id, Method: x.r.Method, Path: sent,
			Header: forwardedHeader(x.r.Header), Body: body,
		},
		IdempotencyKey: key,
		Once:           called.IsOnce(x.r.Method, sent),
		Arrived:        x.arrived,
	}, nil
}

// servicePath returns the path within the service as it came, with escapes and
// query.
func servicePath(r *http.Request) string {
	// "/services/NAME/PATH": the third slash starts the service's own path.
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 4)
	sent := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		sent += "?" + r.URL.RawQuery
	}
	return sent
}

// idempotencyKey returns the caller's key, empty when it sent none.
func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", badField(headerIdempotencyKey, "stands twice")
	}
	key := values[0]
	if key == "" || len(key) > idempotency.MaxKeyBytes {
		return "", badField(headerIdempotencyKey, "must have 1 to %d bytes", idempotency.MaxKeyBytes)
	}
	if strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c > '~' }) {
		return "", badField(headerIdempotencyKey, "must be printable ASCII")
	}
	return key, nil
}

func forwardedHeader(header http.Header) http.Header {
	out := endToEnd(header)
	for _, name := range notForwarded {
		out.Del(name)
	}
	return out
}

// endToEnd copies a header without its hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// passOn sends a service's answer as it is.
func passOn(w http.ResponseWriter, answer service.Answer) error {
	if answer.Status < http.StatusOK || answer.Status > 999 {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the service answered with status %d", answer.Status)
	}
	header := endToEnd(answer.Header)
	for _, name := range notReturned {
		header.Del(name)
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}
