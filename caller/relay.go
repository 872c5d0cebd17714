package caller

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/internal/telemetry"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// RelayHead holds what the headers of a request to be forwarded unchanged say about it.
type RelayHead struct {
	// ID identifies the request on every hop. Each attempt of a caller has its own ID.
	ID string
	// CallerTimeout is how long the caller waits from now on, 0 if unknown.
	CallerTimeout time.Duration
	// Model and Adapter are empty for a request to a plain service.
	Model, Adapter string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// PromptParts are the IDs of the prompt's parts that other requests may share.
	PromptParts []string
	// Prompt identifies the whole prompt by the IDs of its parts, empty if the head doesn't.
	Prompt string
	// TokenCounts are the numbers of tokens that the head names, as the caller wrote them.
	TokenCounts string
	// OtherHeaders is a hash of the headers that have no meaning here and that a caller's repetition has too.
	OtherHeaders uint64
	// ResumedRequest is the ID of the request that brought the first event of the stream that
	// this one goes on with, ResumedAfter the ID of the last event that the caller received of
	// it. Both are empty for a new stream.
	ResumedRequest, ResumedAfter string
	// Key is the caller's API key, empty for none.
	Key string
	// Tokens is the number of tokens of the prompt plus the maximum number to
	// generate, OutputTokens that maximum. Both are valid only if HasTokens is set.
	Tokens, OutputTokens int64
	HasTokens            bool
}

// Dialect translates the headers of the platform's callers.
type Dialect interface {
	// ReadHead reads the request's head. The caller receives an error as a refusal with
	// the code for bad requests.
	ReadHead(r *http.Request) (RelayHead, error)
	// StripReserved removes the headers that callers may not set.
	StripReserved(header http.Header)
	// FormatRetryAfter returns the value of the Retry-After header for d.
	FormatRetryAfter(d time.Duration) string
}

// RelayRequest is one request to be forwarded unchanged.
type RelayRequest struct {
	RelayHead
	Grant
	// Service is the route's target that was chosen for the request.
	Service string
	service.ForwardRequest
	// CallerHost is the caller's address without the port.
	CallerHost string
	Arrived    time.Time
	// AnswerDeadline is the time by which the answer must be complete, BeginDeadline
	// the time by which it must have begun: the caller of a stream disconnects
	// earlier if it receives nothing.
	AnswerDeadline, BeginDeadline time.Time
}

// ContinueDeadline returns the time until which a stream may wait to be continued after
// its caller received an event at the given time.
func (r *RelayRequest) ContinueDeadline(received time.Time) time.Time {
	return computeBeginDeadline(received, r.AnswerDeadline, r.Route.Silence)
}

// Grant is what a request may use under the current configuration.
type Grant struct {
	Customer string
	Route    *contract.Route
	// Workspace is the workspace of the caller's key, nil on routes without keys.
	Workspace *contract.Workspace
}

// Priority returns the request's priority in the queue; higher values go first.
func (g *Grant) Priority() int {
	if g.Workspace != nil && g.Workspace.HasPriority {
		return g.Workspace.Priority
	}
	return g.Route.Priority
}

// WorkspaceName returns the workspace's name, or empty.
func (g *Grant) WorkspaceName() string {
	if g.Workspace == nil {
		return ""
	}
	return g.Workspace.Name
}

// AnswerWriter sends the answer of a RelayRequest to the caller: first its head, then
// its body piece by piece.
type AnswerWriter interface {
	// WriteHead sends the head; length is the body's length, as in service.ForwardResponse. The
	// end of a body with service.LengthUntilClose is not marked for the caller either.
	WriteHead(status int, header http.Header, length int64)
	// Write sends a piece of the body at once. An error means that the caller
	// disconnected.
	Write(piece []byte) error
	// HasBegun reports whether the head was sent. No other answer can follow then.
	HasBegun() bool
	// HasCallerLeft reports whether the caller has closed its connection, and ends the request's
	// context if so. Before a request is sent on, the context alone is not enough: it ends when
	// another goroutine has read the end of the connection.
	HasCallerLeft() bool
}

// RelayBackend authorizes and forwards requests.
type RelayBackend interface {
	// Authorize returns what a caller with the API key may use at host and path, or
	// a refusal.
	Authorize(host, path, key string) (Grant, error)
	// Relay sends the whole answer or fails: with a *refusal.Refusal before the answer
	// has begun, with any error afterwards. It stops when ctx ends.
	Relay(ctx context.Context, r RelayRequest, answer AnswerWriter) error
}

// relayRequestsTotal counts completed relay requests by code, relaySeconds is their
// duration.
const (
	relayRequestsTotal = "bergamotreel_relay_requests_total"
	relaySeconds       = "bergamotreel_relay_seconds"
)

// The metrics for codeOK are registered at start, so that a VM that has served no
// requests exports them as 0.
var (
	relaysOK        = metrics.GetOrCreateCounter(relayRequestsTotal + `{code="` + codeOK + `"}`)
	relaysOKSeconds = metrics.GetOrCreateHistogram(relaySeconds + `{code="` + codeOK + `"}`)
)

// maxRequestTime is the maximum time until a request must be answered if its route sets
// no timeout. It bounds the timeout that its caller sets, however long that is.
const maxRequestTime = 30 * time.Second

// answerMargin is how long before the caller's or the route's timeout the final answer
// is sent, so that it arrives in time over a loaded link.
const answerMargin = 20 * time.Millisecond

// A queued request is refused refusalMargin before its caller is expected to disconnect,
// because a caller that has disconnected can't learn when to retry. The margin is at most
// the whole wait divided by refusalMarginDivisor.
const (
	refusalMargin        = 100 * time.Millisecond
	refusalMarginDivisor = 5
)

// RelayHandler is an http.Handler that forwards requests unchanged. Only a Server without TLS shows
// callers that an answer which ends with its connection was broken off. The handler uses no
// http.ServeMux, which would redirect paths that are not in canonical form, although
// the path is the backend server's to interpret.
type RelayHandler struct {
	backend RelayBackend
	dialect Dialect
	limits  Limits
	log     *zap.Logger
	bodies  bodyReader
	// ended is done once EndRequests has been called.
	ended       context.Context
	endRequests context.CancelFunc
}

// NewRelayHandler returns a RelayHandler.
func NewRelayHandler(backend RelayBackend, dialect Dialect, limits Limits, log *zap.Logger) *RelayHandler {
	limits = limits.withDefaults()
	h := &RelayHandler{backend: backend, dialect: dialect, limits: limits, log: log}
	h.bodies = bodyReader{held: newHeldBytes(limits.HeldBytes), limits: limits}
	h.ended, h.endRequests = context.WithCancel(context.Background())
	return h
}

// EndRequests ends all requests in flight, at the end of a shutdown. Those whose answer has
// not begun are answered that they may have run, or that they haven't if their body is still
// arriving, because a closed connection says less.
func (h *RelayHandler) EndRequests() { h.endRequests() }

// ServeHTTP implements http.Handler. It aborts the connection if an answer can't be
// completed, so that a partial answer doesn't look complete.
func (h *RelayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	x := &relayExchange{answer: newAnswerWriter(w, r, h.limits), arrived: arrived}
	err := h.relay(x, r)
	h.record(x, r, err)
	if err == nil {
		x.answer.complete()
		return
	}
	if x.answer.begun || x.hasCallerLeft(r) {
		panic(http.ErrAbortHandler)
	}
	h.refuse(w, r, x, refusal.FromError(err))
}

// relayExchange is one request in flight and its answer.
type relayExchange struct {
	answer  answerWriter
	request RelayRequest
	arrived time.Time
	// bodyStarted is whether reading the body has started. bodyUnread is whether the request was refused before its body was
	// read to its end. If that ended the reading, it has ended the request's context too.
	bodyStarted, bodyUnread bool
}

// hasCallerLeft reports whether the caller was found to have closed its connection.
func (x *relayExchange) hasCallerLeft(r *http.Request) bool {
	return x.answer.callerLeft || (r.Context().Err() != nil && !x.bodyUnread)
}

func (h *RelayHandler) relay(x *relayExchange, r *http.Request) error {
	head, err := h.dialect.ReadHead(r)
	if err != nil {
		return refusal.New(refusal.CodeBadRequest, 0, "%v", err)
	}
	x.request.RelayHead = head
	path, _, _ := strings.Cut(r.RequestURI, "?")
	grant, err := h.backend.Authorize(r.Host, path, head.Key)
	x.request.Key = "" // not needed after authorization
	if err != nil {
		return err
	}
	x.request.CallerHost, _, _ = net.SplitHostPort(r.RemoteAddr)
	memory, body, err := h.readBody(x, r, &grant)
	defer memory.release()
	if err != nil {
		return err
	}
	h.completeRequest(x, r, grant, body)
	return h.forward(x, r)
}

// forward calls the backend. It ends the request when EndRequests is called.
func (h *RelayHandler) forward(x *relayExchange, r *http.Request) error {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(h.ended, cancel)
	defer stop()
	x.answer.endRequest = cancel
	err := h.backend.Relay(ctx, x.request, &x.answer)
	if errors.Is(err, context.Canceled) && h.ended.Err() != nil {
		return refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "this entry VM stops before the answer")
	}
	return err
}

// completeRequest sets the remaining fields of x.request.
func (h *RelayHandler) completeRequest(x *relayExchange, r *http.Request, grant Grant, body []byte) {
	q := &x.request
	q.Grant = grant
	route := grant.Route
	q.Service = route.PickTarget(hashFraction(cmp.Or(q.ResumedRequest, q.ID)))
	q.Arrived = x.arrived
	q.AnswerDeadline = computeAnswerDeadline(x.arrived, q.CallerTimeout, route.Timeout)
	q.BeginDeadline = computeBeginDeadline(x.arrived, q.AnswerDeadline, route.Silence)
	h.dialect.StripReserved(r.Header)
	service.StripHopByHopHeaders(r.Header)
	q.ForwardRequest = service.ForwardRequest{
		RequestID: q.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Deadline: q.AnswerDeadline, CallerWorkspace: grant.WorkspaceName(),
	}
}

// readBody reads the whole body. The caller must release its memory, also after an error.
func (h *RelayHandler) readBody(x *relayExchange, r *http.Request, grant *Grant) (*heldBody, []byte, error) {
	x.bodyStarted = true
	wait := maxMemoryWait
	if timeout := x.request.CallerTimeout; timeout > 0 {
		wait = min(wait, timeout/memoryWaitDivisor)
	}
	memory, body, err := h.bodies.read(h.ended, x.answer.w, r, bodyOwner(grant, x.request.CallerHost), wait)
	switch {
	case err == nil:
		return memory, body, nil
	case errors.Is(err, errCallerLeft):
		x.answer.callerLeft = true
	case h.ended.Err() != nil && errors.Is(err, h.ended.Err()):
		err = refusal.New(refusal.CodeShuttingDown, shortRetryAfter, "this entry VM stops before the request can be sent on")
		x.bodyUnread = true
	default:
		x.bodyUnread = true
	}
	return memory, nil, err
}

// bodyOwner returns the owner of a request's body in memory: the workspace, or without one the caller's address.
func bodyOwner(grant *Grant, callerHost string) string {
	if grant.Workspace != nil {
		return grant.Customer + "/" + grant.Workspace.Name
	}
	return grant.Customer + "@" + callerHost
}

// record logs the outcome of the request and updates the metrics.
func (h *RelayHandler) record(x *relayExchange, r *http.Request, err error) {
	code := codeOK
	switch {
	case err == nil:
	case x.hasCallerLeft(r):
		code = codeCallerLeft
	case x.answer.begun:
		code = "broken_off"
	default:
		code = string(refusal.FromError(err).Code)
	}
	took := time.Since(x.arrived)
	route := ""
	if x.request.Route != nil {
		route = x.request.Route.Name
	}
	counter, histogram := relaysOK, relaysOKSeconds
	if code != codeOK {
		counter = metrics.GetOrCreateCounter(relayRequestsTotal + `{code="` + code + `"}`)
		histogram = metrics.GetOrCreateHistogram(relaySeconds + `{code="` + code + `"}`)
	}
	counter.Inc()
	histogram.Update(took.Seconds())
	fields := []zap.Field{
		zap.String("request", x.request.ID), zap.String("route", route), zap.String("service", x.request.Service),
		zap.String("workspace", x.request.WorkspaceName()), zap.String("code", code), zap.Int("status", x.answer.status), zap.Duration("took", took),
	}
	if x.request.ResumedAfter != "" {
		fields = append(fields, zap.String("resumed_request", x.request.ResumedRequest), zap.String("resumed_after", x.request.ResumedAfter))
	}
	fields = append(fields, x.expectationFields()...)
	if err != nil {
		fields = append(fields, telemetry.Reason(err), zap.Duration("retry_after", refusal.FromError(err).RetryAfter),
			zap.String("host", r.Host), zap.String("uri", r.RequestURI), zap.String("caller", x.request.CallerHost))
	}
	h.log.Info("request ended", fields...)
}

// expectationFields returns the log fields for the route's target latency, the allowed
// time, the requested model and the time to the start of the answer. Logs are evaluated
// by these fields afterwards.
func (x *relayExchange) expectationFields() []zap.Field {
	if x.request.Route == nil {
		return nil
	}
	fields := []zap.Field{
		zap.Duration("target", x.request.Route.TargetLatency), zap.Duration("allowed", x.request.AnswerDeadline.Sub(x.arrived)),
	}
	if x.request.Model != "" {
		fields = append(fields, zap.String("model", x.request.Model), zap.String("adapter", x.request.Adapter))
	}
	if x.answer.begun {
		fields = append(fields, zap.Duration("first", x.answer.begunAt.Sub(x.arrived)))
	}
	return fields
}

// refuse sends a refusal as JSON, with the Retry-After header if it has a retry time.
func (h *RelayHandler) refuse(w http.ResponseWriter, r *http.Request, x *relayExchange, refused *refusal.Refusal) {
	switch {
	case x.bodyUnread:
		closeAfterRefusal(w, r)
	case !x.bodyStarted:
		handleUnreadBody(w, r)
	}
	if refused.Code == refusal.CodeBadRequest {
		// What follows on the connection can't be told apart from the remainder of the
		// bad request.
		w.Header().Set("Connection", "close")
	}
	if refused.RetryAfter > 0 {
		w.Header().Set("Retry-After", h.dialect.FormatRetryAfter(refused.RetryAfter))
	}
	writeBody(w, refused.HTTPStatus(), encodeRefusal(refused))
}
