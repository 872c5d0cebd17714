package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"bergamotreel/internal/sendonce"
)

// AnswersWithoutID counts the answers of backend servers that name no request. Each platform adapter increments it.
var AnswersWithoutID = metrics.NewCounter("bergamotreel_answers_without_id_total")

// ErrNotRun reports that the backend server received the request and confirmed
// that it did not run it and will not.
var ErrNotRun = errs.New("not run by the backend server")

// ErrWrongServer accompanies ErrNotRun: another backend server, or a later start
// of the same one, answers at the address, or the server lacks what the request
// needs.
var ErrWrongServer = errs.New("not the backend server that was meant")

// ErrOtherWeights accompanies ErrWrongServer: the backend server refused the request because its weights of the
// model are not of the version that the request names.
var ErrOtherWeights = errs.New("other weights than those that were meant")

// ErrConnectionRefused accompanies ErrNotSent: the backend server's machine refused
// the connection, so nothing listens at the address and the process has ended.
var ErrConnectionRefused = errs.New("connection refused")

// ErrClosedByServer accompanies ErrOutcomeUnknown: the backend server closed or reset the connection, so nothing
// that was sent over it arrives any more. A reset by this side shows nothing: a stopped process reads what its
// kernel has received when it goes on.
var ErrClosedByServer = errs.New("connection closed by the backend server")

// Target is the backend server that a request is sent to.
type Target struct {
	// ID identifies one start of the backend server; any other start refuses the
	// request.
	ID, Address string
	// Version is the version of the backend server's software, empty if unknown.
	Version string
	// Started identifies the start of the backend server, 0 if unknown.
	Started int64
	// Gateway is the address of the entry VM through which the backend server is reached,
	// empty for a direct connection.
	Gateway string
}

// ForwardRequest is a caller's request that is forwarded unchanged.
type ForwardRequest struct {
	// RequestID identifies the request on every hop.
	RequestID string
	Method    string
	// URI is the path and the query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is the time after which the backend server may stop working on the
	// request.
	Deadline time.Time
	// Urgency orders requests within a model engine, 0 first; -1 means none.
	Urgency int
	// CallerWorkspace is the workspace of the caller's API key, empty for none.
	CallerWorkspace string
	// ResumeAfter is the id of the last event that the caller received of a broken
	// stream, empty for a new request.
	ResumeAfter string
	// Weights is the version of the model's weights that the request has to run with, 0 for any.
	Weights int64
	// Sendings tracks the connections over which this request was sent, also by earlier calls; nil for a
	// request that is sent only once.
	Sendings *sendonce.Sendings
}

// Limit is the rate limit that an overloaded backend server sets on the requests of
// all entry VMs together.
type Limit struct {
	// Limited reports whether the backend server set a limit.
	Limited bool
	// PerSecond is the maximum number of requests per second, rejected ones
	// included.
	PerSecond float64
}

// Values of ForwardResponse.Length for a body whose length is not known in advance.
const (
	// LengthChunked is that of a body whose sender marks its end.
	LengthChunked int64 = -1
	// LengthUntilClose is that of a body that ends with its connection (RFC 9112, 6.3). Its end
	// doesn't show whether the sender had sent the whole answer.
	LengthUntilClose int64 = -2
)

// ForwardResponse is the head of an answer and the reader of its body.
type ForwardResponse struct {
	Status int
	// Header has no hop-by-hop fields.
	Header http.Header
	// Length is the length of the body in bytes, LengthChunked or LengthUntilClose.
	Length int64
	// Body ends with io.EOF only after the whole answer or, with LengthUntilClose, when its
	// connection was closed in good order. Any other error means that the answer was truncated.
	// The caller must close Body.
	Body io.ReadCloser
	// Limit is the rate limit that the answer sets on further requests.
	Limit Limit
	// Leaving reports whether the answer announces that the backend server is about
	// to end.
	Leaving bool
	// Weights is the version of the model's weights that the answer names, 0 if it names none. In an event stream,
	// a first line of an event with the field WeightsField names the version from that event on.
	Weights      int64
	WeightsField string
	// MaxRejections is how many requests the backend server can reject for want of room within
	// a second. Beyond that it crashes. 0 means that the answer names no bound.
	MaxRejections int
	// Cooldown is how long this entry VM should send no requests to the backend
	// server, which rejected this one; 0 if the answer doesn't say.
	Cooldown time.Duration
}

// GatewayDialer connects to backend servers through other entry VMs.
type GatewayDialer interface {
	// DialBackend connects to the backend server at address through the entry VM at gateway.
	DialBackend(ctx context.Context, gateway, address string) (net.Conn, error)
}

// Connector connects to backend servers directly, for other entry VMs.
type Connector interface {
	// Connect fails with ErrNotSent.
	Connect(ctx context.Context, target Target) (net.Conn, error)
}

// StartReader reads the starts of engines.
type StartReader interface {
	// Start returns the start that the target's engine reports, 0 if it reports none. It takes the path that
	// requests to the target take, and fails if the engine doesn't answer.
	Start(ctx context.Context, target Target) (int64, error)
}

// Forwarder forwards requests to backend servers.
type Forwarder interface {
	// Forward sends the request once, without retries, and returns after receiving
	// the head of the answer. It fails with ErrNotSent, ErrNotRun or
	// ErrOutcomeUnknown, the latter with ErrClosedByServer if that is known. With ErrNotRun it also returns a ForwardResponse without a
	// body, which carries the answer's other fields. The end of ctx aborts the request
	// at the backend server, also while the body is read.
	Forward(ctx context.Context, target Target, request ForwardRequest) (*ForwardResponse, error)
	// Probe checks that a backend server accepts connections. It fails with
	// ErrNotSent.
	Probe(ctx context.Context, target Target) error
}
