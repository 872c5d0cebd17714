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

// forwardedMethods are the HTTP methods that are forwarded. A lenient service could
// treat another spelling ("post") as one of them, while the contract's call patterns
// don't match it.
var forwardedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// hopByHopHeaders are the headers that apply to one connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// droppedRequestHeaders are the request headers that are not forwarded to a service:
// the API key, headers that the entry VM sets itself, and method overrides, with which
// a request with a repeatable method could run a call that must not be repeated.
var droppedRequestHeaders = []string{
	"Authorization", headerRequestID, "Content-Length", "Expect",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

// droppedAnswerHeaders are the headers of an answer that the entry VM sets itself.
var droppedAnswerHeaders = []string{headerRequestID, headerCold, "Content-Length"}

func (h *Handler) callService(x *exchange) error {
	activeContract, err := h.identify(x)
	if err != nil {
		return err
	}
	target, ok := activeContract.FindService(x.r.PathValue("name"))
	if !ok {
		return x.preferNotReady(refusal.New(refusal.CodeNotFound, 0, "no service %.80q", x.r.PathValue("name")))
	}
	call, err := h.readCall(x, target)
	if err != nil {
		return err
	}
	answer, err := h.backend.Call(x.ctx(), call)
	if err != nil {
		return err
	}
	h.setWholeAnswerDeadline(x, len(answer.Body))
	return writeServiceAnswer(x.w, answer)
}

func (h *Handler) readCall(x *exchange, target contract.Service) (ServiceCall, error) {
	if !slices.Contains(forwardedMethods, x.r.Method) {
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
	path := servicePath(x.r)
	return ServiceCall{
		Identity: x.identity,
		Service:  target,
		Call: service.Call{
			RequestID: x.id, Method: x.r.Method, Path: path,
			Header: forwardedHeader(x.r.Header), Body: body, ReserveAnswer: x.answer.reserve,
		},
		IdempotencyKey: key,
		AtMostOnce:     target.IsAtMostOnce(x.r.Method, path),
		Arrived:        x.arrived,
	}, nil
}

// servicePath returns the path within the service with its original escapes and its
// query.
func servicePath(r *http.Request) string {
	// "/services/NAME/PATH": the third slash starts the service's own path.
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 4)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// idempotencyKey returns the idempotency key that the caller sent, or empty.
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
	out := endToEndHeader(header)
	for _, name := range droppedRequestHeaders {
		out.Del(name)
	}
	return out
}

// endToEndHeader returns a copy of the header without its hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// writeServiceAnswer sends a service's answer unchanged, without its hop-by-hop and
// dropped headers.
func writeServiceAnswer(w http.ResponseWriter, answer service.Answer) error {
	if answer.Status < http.StatusOK || answer.Status > 999 {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the service answered with status %d", answer.Status)
	}
	header := endToEndHeader(answer.Header)
	for _, name := range droppedAnswerHeaders {
		header.Del(name)
	}
	for name, values := range header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}
