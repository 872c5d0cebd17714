package caller

import (
	"context"
	"errors"
	"hash/fnv"
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

// RelayHead is what a request that is passed on unchanged says of itself.
type RelayHead struct {
	// ID identifies the request on every hop; each attempt of a caller has its own.
	ID string
	// Patience is how long the caller waits from now on, 0 if it does not say.
	Patience time.Duration
	// Model and Adapter are empty for a request to a plain service.
	Model, Adapter string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Key is the caller's API key, empty for none.
	Key string
	// Tokens are those of the prompt and the most to generate, where Counted.
	Tokens  int64
	Counted bool
}

// Dialect reads what the platform's callers say in headers of its own.
type Dialect interface {
	// Read reads the head. An error is told to the caller as a bad request.
	Read(r *http.Request) (RelayHead, error)
	// Strip removes from the header what callers may not set.
	Strip(header http.Header)
	// RetryAfter writes the time after which to come back.
	RetryAfter(d time.Duration) string
}

// RelayRequest is one request that is to be passed on unchanged.
type RelayRequest struct {
	RelayHead
	Grant
	// Service is the one of the route's targets that the request goes to.
	Service string
	service.Forward
	// CallerHost is the caller's address without its port.
	CallerHost string
	Arrived    time.Time
	// GiveUp is when the request must have its final answer, BeginBy when the
	// answer must have begun: a stream's caller leaves earlier if it hears nothing.
	GiveUp, BeginBy time.Time
}

// Grant is what a request may use by the configuration in force.
type Grant struct {
	Customer string
	Route    *contract.Route
	// Workspace is the one that holds the caller's key, nil on routes without keys.
	Workspace *contract.Workspace
}

// Priority orders the request among waiting ones; higher goes first.
func (g *Grant) Priority() int {
	if g.Workspace != nil && g.Workspace.HasPriority {
		return g.Workspace.Priority
	}
	return g.Route.Priority
}

// WorkspaceName is the workspace's name, empty for none.
func (g *Grant) WorkspaceName() string {
	if g.Workspace == nil {
		return ""
	}
	return g.Workspace.Name
}

// RelayAnswer takes the answer of a RelayRequest: its head, then its body as it
// comes.
type RelayAnswer interface {
	// Begin sends the head; length is the body's, -1 if it isn't known.
	Begin(status int, header http.Header, length int64)
	// Write sends a piece of the body at once. An error means that the caller left.
	Write(piece []byte) error
	// Begun tells whether the head was sent, so that no other answer can follow.
	Begun() bool
}

// RelayBackend is what an entry VM does with requests that it passes on.
type RelayBackend interface {
	// Authorize returns what a caller with the API key may use at host and path, or
	// fails with a refusal.
	Authorize(host, path, key string) (Grant, error)
	// Relay delivers the whole answer or fails: with a *refusal.Refusal before the
	// answer began, with any error after. It stops when ctx ends.
	Relay(ctx context.Context, r RelayRequest, answer RelayAnswer) error
}

// relayEnds counts the ends of relayed requests, relaySeconds measures them.
const (
	relayEnds    = "bergamotreel_relay_requests_total"
	relaySeconds = "bergamotreel_relay_seconds"
)

// The usual end is counted from the start, so that a quiet VM shows it as 0.
var (
	relaysOK     = metrics.GetOrCreateCounter(relayEnds + `{code="` + codeOK + `"}`)
	relaysOKTook = metrics.GetOrCreateHistogram(relaySeconds + `{code="` + codeOK + `"}`)
)

// defaultPatience bounds a request whose caller and route name no time.
const defaultPatience = 30 * time.Second

// answerReserve is how long before the caller leaves or the route's timeout the last
// answer is on its way, so that it arrives in time over a loaded link.
const answerReserve = 20 * time.Millisecond

// beginReserve is how long before its caller leaves a request that still waits is
// refused: the refusal tells when to come back, a caller that left learns nothing. It
// is at most a part of beginShare of the whole wait.
const (
	beginReserve = 100 * time.Millisecond
	beginShare   = 5
)

// RelayHandler serves callers whose requests are passed on unchanged. It is an
// http.Handler without a mux: that would redirect paths that it finds unclean,
// where they belong to the backend server.
type RelayHandler struct {
	backend RelayBackend
	dialect Dialect
	limits  Limits
	log     *zap.Logger
	held    *heldBytes
}

// NewRelay makes a handler.
func NewRelay(backend RelayBackend, dialect Dialect, limits Limits, log *zap.Logger) *RelayHandler {
	limits = limits.withDefaults()
	return &RelayHandler{backend: backend, dialect: dialect, limits: limits, log: log, held: newHeldBytes(limits.HeldBytes)}
}

// ServeHTTP implements http.Handler. An answer that can't be finished breaks the
// connection, so that no part of an answer looks whole.
func (h *RelayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	x := &relayExchange{answer: relayAnswer{w: w, limits: h.limits}, arrived: arrived}
	err := h.relay(x, r)
	h.record(x, r, err)
	if err == nil {
		return
	}
	if x.answer.begun || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	h.refuse(w, refusal.FromError(err))
}

// relayExchange is one request on its way.
type relayExchange struct {
	answer   relayAnswer
	request  RelayRequest
	arrived  time.Time
	bodySize int64
}

func (h *RelayHandler) relay(x *relayExchange, r *http.Request) error {
	head, err := h.dialect.Read(r)
	if err != nil {
		return refusal.New(refusal.CodeBadRequest, 0, "%v", err)
	}
	x.request.RelayHead = head
	path, _, _ := strings.Cut(r.RequestURI, "?")
	grant, err := h.backend.Authorize(r.Host, path, head.Key)
	x.request.Key = "" // nothing further on needs it
	if err != nil {
		return err
	}
	body, err := h.readBody(x, r, grant.Customer)
	if err != nil {
		return err
	}
	defer h.held.giveBack(grant.Customer, x.bodySize)
	h.fill(x, r, grant, body)
	return h.backend.Relay(r.Context(), x.request, &x.answer)
}

// fill completes the request that is passed on.
func (h *RelayHandler) fill(x *relayExchange, r *http.Request, grant Grant, body []byte) {
	q := &x.request
	q.Grant = grant
	route := grant.Route
	q.Service = route.Target(draw(q.ID))
	q.CallerHost, _, _ = net.SplitHostPort(r.RemoteAddr)
	q.Arrived = x.arrived
	q.GiveUp = giveUp(x.arrived, q.Patience, route.Timeout)
	q.BeginBy = beginBy(x.arrived, q.GiveUp, route.Silence)
	h.dialect.Strip(r.Header)
	service.StripHop(r.Header)
	q.Forward = service.Forward{
		RequestID: q.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Deadline: q.GiveUp, ForWorkspace: grant.WorkspaceName(),
	}
}

// giveUp is when the request must have its final answer: just before the caller is
// gone, or before the operator wants it kept no longer.
func giveUp(arrived time.Time, patience, timeout time.Duration) time.Time {
	allowed := defaultPatience
	for _, bound := range []time.Duration{patience, timeout} {
		if bound > 0 {
			allowed = min(allowed, max(bound-answerReserve, bound/2))
		}
	}
	return arrived.Add(allowed)
}

// beginBy is until when the request may wait for its first attempt. One that began
// later could not be answered before its caller has left. Failure: requests were
// refused a moment before the caller left, and the refusals that had to cross a busy
// link found nobody.
func beginBy(arrived, giveUp time.Time, silence time.Duration) time.Time {
	allowed := giveUp.Sub(arrived)
	if silence > 0 {
		allowed = min(allowed, silence)
	}
	return arrived.Add(allowed - min(beginReserve, allowed/beginShare))
}

// draw turns an identity into a number from 0 up to 1, the same on every VM.
func draw(id string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return float64(hash.Sum32()) / (1 << 32)
}

// readBody reads the whole body, bounded for itself and with all others held.
func (h *RelayHandler) readBody(x *relayExchange, r *http.Request, customer string) ([]byte, error) {
	if r.ContentLength > h.limits.BodyBytes {
		return nil, refusal.New(refusal.CodeTooLarge, 0, "body: over %d bytes", h.limits.BodyBytes)
	}
	body, err := readAll(http.MaxBytesReader(x.answer.w, r.Body, h.limits.BodyBytes), r.ContentLength)
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, refusal.New(refusal.CodeTooLarge, 0, "body: over %d bytes", h.limits.BodyBytes)
	}
	if err != nil {
		return nil, refusal.New(refusal.CodeBadRequest, 0, "body: could not be read whole")
	}
	if err := h.held.take(customer, int64(len(body))); err != nil {
		return nil, err
	}
	x.bodySize = int64(len(body))
	// The bound on reading ends with the body. Left in place it would fire while
	// net/http watches for the caller's leaving, and look like that.
	_ = http.NewResponseController(x.answer.w).SetReadDeadline(time.Time{})
	return body, nil
}

// record writes the request's last line and counts it.
func (h *RelayHandler) record(x *relayExchange, r *http.Request, err error) {
	code := codeOK
	switch {
	case err == nil:
	case r.Context().Err() != nil:
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
	ended, seconds := relaysOK, relaysOKTook
	if code != codeOK {
		ended = metrics.GetOrCreateCounter(relayEnds + `{code="` + code + `"}`)
		seconds = metrics.GetOrCreateHistogram(relaySeconds + `{code="` + code + `"}`)
	}
	ended.Inc()
	seconds.Update(took.Seconds())
	fields := []zap.Field{
		zap.String("request", x.request.ID), zap.String("route", route), zap.String("service", x.request.Service),
		zap.String("workspace", x.request.WorkspaceName()), zap.String("code", code), zap.Int("status", x.answer.status), zap.Duration("took", took),
	}
	fields = append(fields, x.expectations()...)
	if err != nil {
		fields = append(fields, telemetry.Reason(err), zap.Duration("retry_after", refusal.FromError(err).RetryAfter),
			zap.String("host", r.Host), zap.String("uri", r.RequestURI), zap.String("caller", x.request.CallerHost))
	}
	h.log.Info("request ended", fields...)
}

// expectations are the fields that tell what the request asked for and by when, and when
// its answer began: what a day's logs are judged by afterwards.
func (x *relayExchange) expectations() []zap.Field {
	if x.request.Route == nil {
		return nil
	}
	fields := []zap.Field{
		zap.Duration("target", x.request.Route.TargetLatency), zap.Duration("allowed", x.request.GiveUp.Sub(x.arrived)),
	}
	if x.request.Model != "" {
		fields = append(fields, zap.String("model", x.request.Model), zap.String("adapter", x.request.Adapter))
	}
	if x.answer.begun {
		fields = append(fields, zap.Duration("first", x.answer.begunAt.Sub(x.arrived)))
	}
	return fields
}

// refuse sends a refusal in JSON, with the time after which to come back.
func (h *RelayHandler) refuse(w http.ResponseWriter, r *refusal.Refusal) {
	if r.Code == refusal.CodeBadRequest || r.Code == refusal.CodeTooLarge {
		// What else is on the connection can't be told from the bad request's rest.
		w.Header().Set("Connection", "close")
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", h.dialect.RetryAfter(r.RetryAfter))
	}
	writeBody(w, r.HTTPStatus(), encodeRefusal(r))
}
