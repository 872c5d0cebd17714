package serving_test

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/admission/quarantine"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/routing/streamversion"
	"bergamotreel/service"
)

// sentRequest is one request that was sent to a backend server of a forwardTestbed.
type sentRequest struct {
	target  string
	forward service.ForwardRequest
	at      time.Time
}

// forwardTestbed is a server with the backend servers one and two, which answer as a
// test's respond function says. It is the server's directory, forwarder and quarantine.
type forwardTestbed struct {
	*testing.T
	server *serving.Server
	stop   context.CancelFunc
	// respond answers a sent request; its number counts from 1.
	respond func(ctx context.Context, number int, s sentRequest) (*service.ForwardResponse, error)

	mu           sync.Mutex
	sent         []sentRequest
	ready        bool
	busyUnits    map[string]bool // no backend server is ready for these
	unitsNotHeld []string
	brokenRuns   [][]quarantine.Subject
	// abandonedRuns are the subjects of the attempts that were abandoned.
	abandonedRuns [][]quarantine.Subject
	limits        []service.Limit
	// permits is how many permits were issued to each candidate, negative if it needs none;
	// spent is how many were used.
	permits, spent int
	// suspects is whether requests are looked up in the quarantine, which refuses the
	// quarantineFrom-th sent request and all later ones, none if it is 0; successes counts
	// the successful answers reported to the quarantine.
	suspects       bool
	rejections     int
	quarantineFrom int
	// trials is how many refused requests are sent as trials.
	trials            int
	answers           int
	successes         int
	unmarkedEnds      int
	markedUnreachable []string
	missingReports    int
	slots             int
	backends          []string
	// versions are the software versions of backend servers.
	versions     map[string]string
	begunStreams map[streamversion.Stream]streamversion.Origin
	// weights are the known versions of the weights on backend servers.
	weights map[string]int64
	// expectedStreams are those that had begun before their versions were recorded.
	expectedStreams []streamversion.Stream
	// doubted are the targets whose connections broke, verified those whose start was verified, restarted the
	// backend servers that have started again since their versions were read.
	doubted, verified, restarted []string
	// firstVerification is how long the first server that is asked for its start takes.
	firstVerification time.Duration
	// renamed are the versions of backend servers that are found to have changed after they were picked.
	renamed map[string]string
	// method is that of the requests.
	method string
	// progress counts the reports to the quarantine that an answer goes on.
	progress int
}

func newForwardTestbed(t *testing.T) *forwardTestbed {
	return newForwardTestbedWithLog(t, zap.NewNop())
}

func newForwardTestbedWithLog(t *testing.T, log *zap.Logger) *forwardTestbed {
	return newConfiguredForwardTestbed(t, log, func(*serving.Config) {})
}

// newConfiguredForwardTestbed is newForwardTestbedWithLog with other settings of the server.
func newConfiguredForwardTestbed(t *testing.T, log *zap.Logger, configure func(*serving.Config)) *forwardTestbed {
	b := &forwardTestbed{T: t, ready: true, slots: 8, permits: -1, backends: []string{"one", "two"}, method: http.MethodPost, begunStreams: make(map[streamversion.Stream]streamversion.Origin)}
	controller := admission.New(admission.Config{})
	controller.SetContracts(map[string]*contract.Contract{"c": {Customer: "c", MaxQueued: 1000}})
	config := serving.Config{
		Domain: "a", Directory: b, ForwardDirectory: b, Forwarder: b, Admission: controller,
		Router: routing.New(routing.Config{}, rand.New(rand.NewSource(1))), Logger: log, RetryShare: 0.1, Quarantine: b,
	}
	configure(&config)
	b.server = serving.New(config)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.server.Run(ctx) })
	b.stop = func() { stop(); running.Wait() }
	t.Cleanup(b.stop)
	return b
}

func (b *forwardTestbed) Candidates(unit string) []routing.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []routing.Candidate
	for _, name := range b.backends {
		out = append(out, routing.Candidate{Engine: name, Domain: name, Version: b.versions[name], Weights: b.weights[name], Slots: b.slots, Ready: b.ready && !b.busyUnits[unit], PermitRequired: b.permits >= 0, Permits: b.permits - b.spent})
	}
	return out
}
func (b *forwardTestbed) Servers(string) []routing.Candidate { return b.Candidates("") }
func (b *forwardTestbed) ReportMissing([]admission.Demand)   { b.missingReports++ }
func (b *forwardTestbed) RequestStatus(string)               {}

// UnavailableRefusal refuses units at a software version that no backend server has.
func (b *forwardTestbed) UnavailableRefusal(unit string) *refusal.Refusal {
	_, version := serving.SplitVersion(unit)
	if version == "" || slices.ContainsFunc(b.backends, func(name string) bool { return b.versions[name] == version }) {
		return nil
	}
	return refusal.New(refusal.CodeNoCapacity, 0, "no backend server of the version")
}

func (b *forwardTestbed) Target(name string) (service.Target, bool) {
	version := b.versions[name]
	if b.renamed[name] != "" {
		version = b.renamed[name]
	}
	return service.Target{ID: name, Address: name, Version: version}, true
}
func (b *forwardTestbed) MarkUnreachable(target service.Target, _ error) {
	b.markedUnreachable = append(b.markedUnreachable, target.ID)
}
func (b *forwardTestbed) MarkReachable(service.Target) {}

func (b *forwardTestbed) CountUnreachable(string) int { return 0 }

// RecordMaxRejections counts the rejections for want of room.
func (b *forwardTestbed) RecordMaxRejections(_ string, _ int, rejected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rejected {
		b.rejections++
	}
}

func (b *forwardTestbed) RecordAbandoned(string) {}
func (b *forwardTestbed) RecordRunEnd(string)    {}

func (b *forwardTestbed) RecordWeights(string, string, int64) {}

// DoubtStart records whose connections broke.
func (b *forwardTestbed) DoubtStart(target service.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubted = append(b.doubted, target.ID)
}

// IsStartConfirmed finds that the servers in doubted are to be asked.
func (b *forwardTestbed) IsStartConfirmed(target service.Target, _ time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.Contains(b.doubted, target.ID)
}

// ExpectStream records that a stream has begun.
func (b *forwardTestbed) ExpectStream(stream streamversion.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expectedStreams = append(b.expectedStreams, stream)
}

// VerifyStart finds that the servers in restarted have started again.
func (b *forwardTestbed) VerifyStart(_ context.Context, target service.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.verified = append(b.verified, target.ID)
	if len(b.verified) == 1 {
		b.mu.Unlock()
		time.Sleep(b.firstVerification)
		b.mu.Lock()
	}
	return !slices.Contains(b.restarted, target.ID)
}

func (b *forwardTestbed) MarkLeaving(string) {}

// RecordLimit records the limits that answers contained.
func (b *forwardTestbed) RecordLimit(_ string, limit service.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = append(b.limits, limit)
}

// RecordStream records where streams began.
func (b *forwardTestbed) RecordStream(stream streamversion.Stream, origin streamversion.Origin) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begunStreams[stream] = origin
}

// FindStreamVersion refuses streams that have not begun.
func (b *forwardTestbed) FindStreamVersion(_ context.Context, stream streamversion.Stream) (streamversion.Origin, *refusal.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if origin, known := b.begunStreams[stream]; known {
		return origin, nil
	}
	return streamversion.Origin{}, refusal.New(refusal.CodeNoCapacity, 0, "unknown stream")
}

// TryUsePermit counts the permits used.
func (b *forwardTestbed) TryUsePermit(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent >= b.permits {
		return false
	}
	b.spent++
	return true
}

// RecordAbandonedRun implements serving.Quarantine, as do the next five methods.
func (b *forwardTestbed) RecordAbandonedRun(_ service.Target, request []quarantine.Subject) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandonedRuns = append(b.abandonedRuns, request)
}
func (b *forwardTestbed) RecordConnectionLost(_ service.Target, request []quarantine.Subject) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokenRuns = append(b.brokenRuns, request)
}
func (b *forwardTestbed) HasSuspects() bool { return b.suspects }
func (b *forwardTestbed) RecordAnswer(_ service.Target, _ []quarantine.Subject, success bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	if success {
		b.successes++
	}
}
func (b *forwardTestbed) RecordUnmarkedEnd(service.Target, []quarantine.Subject) { b.unmarkedEnds++ }
func (b *forwardTestbed) RecordProgress([]quarantine.Subject) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.progress++
}
func (b *forwardTestbed) RefusalFor([]quarantine.Subject) *refusal.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quarantineFrom == 0 || len(b.sent) < b.quarantineFrom-1 {
		return nil
	}
	return refusal.New(refusal.CodeQuarantined, time.Minute, "it crashes what runs it")
}
func (b *forwardTestbed) BeginTrial([]quarantine.Subject) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trials--
	return b.trials >= 0
}
func (b *forwardTestbed) RecordUnitNotHeld(backend, unit string) {
	b.unitsNotHeld = append(b.unitsNotHeld, backend+" "+unit)
}

// Forward implements service.Forwarder.
func (b *forwardTestbed) Forward(ctx context.Context, target service.Target, forward service.ForwardRequest) (*service.ForwardResponse, error) {
	b.mu.Lock()
	s := sentRequest{target.ID, forward, time.Now()}
	b.sent = append(b.sent, s)
	number := len(b.sent)
	b.mu.Unlock()
	return b.respond(ctx, number, s)
}

// Probe implements service.Forwarder.
func (b *forwardTestbed) Probe(context.Context, service.Target) error { return nil }

// answerRecorder records the answer that a caller receives.
type answerRecorder struct {
	status   int
	length   int64
	begun    bool
	body     strings.Builder
	writeErr error
	// writeTime is how long each Write takes.
	writeTime time.Duration
	// callerLeft is whether the caller has closed its connection.
	callerLeft bool
	// panics is whether WriteHead panics.
	panics bool
	// firstWrite is when the caller received the first piece.
	firstWrite time.Time
}

func (r *answerRecorder) WriteHead(status int, _ http.Header, length int64) {
	if r.panics {
		panic("invalid head")
	}
	r.status, r.length, r.begun = status, length, true
}
func (r *answerRecorder) HasBegun() bool { return r.begun }

func (r *answerRecorder) HasCallerLeft() bool { return r.callerLeft }
func (r *answerRecorder) Write(piece []byte) error {
	if r.body.Len() == 0 {
		r.firstWrite = time.Now()
	}
	time.Sleep(r.writeTime)
	r.body.Write(piece)
	return r.writeErr
}

// route returns a route with the given repeat policy that allows two attempts.
func route(repeat contract.RepeatPolicy) *contract.Route {
	return &contract.Route{Name: "r", Repeat: repeat, Stream: repeat == contract.RepeatResume,
		TargetLatency: 300 * time.Millisecond, Timeout: 4 * time.Second, MaxAttempts: 2}
}

func (b *forwardTestbed) forward(ctx context.Context, r *contract.Route, model string, answer *answerRecorder) error {
	return b.forwardWithParts(ctx, r, model, answer)
}

// forwardWithParts is forward for a request whose prompt has the given shared parts.
func (b *forwardTestbed) forwardWithParts(ctx context.Context, r *contract.Route, model string, answer *answerRecorder, parts ...string) error {
	return b.forwardRequest(ctx, r, caller.RelayRequest{RelayHead: caller.RelayHead{ID: "id", Model: model, PromptParts: parts}}, answer)
}

// forwardRequest forwards a request of which only the head is given.
func (b *forwardTestbed) forwardRequest(ctx context.Context, r *contract.Route, request caller.RelayRequest, answer *answerRecorder) error {
	now := time.Now()
	deadline := now.Add(r.Timeout)
	begin := deadline
	if r.Silence > 0 {
		begin = now.Add(r.Silence)
	}
	request.Grant, request.Service = caller.Grant{Customer: "c", Route: r}, "s"
	request.ForwardRequest = service.ForwardRequest{RequestID: request.ID, Method: b.method}
	request.Arrived, request.AnswerDeadline, request.BeginDeadline = now, deadline, begin
	return b.server.Forward(ctx, request, answer)
}

func completeAnswer(status int, text string) *service.ForwardResponse {
	return &service.ForwardResponse{Status: status, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
}

// cutOffAnswer returns an answer that breaks off after the text.
func cutOffAnswer(text string) *service.ForwardResponse {
	body := io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))
	return &service.ForwardResponse{Status: http.StatusOK, Length: -1, Body: io.NopCloser(body)}
}

func wantRefusal(t *testing.T, err error, code refusal.Code, ran refusal.Ran) {
	t.Helper()
	var got *refusal.Refusal
	testkit.Need(t, errors.As(err, &got), "got %v, want %s", err, code)
	testkit.That(t, got.Code == code && got.Ran == ran, "got %v, want %s (ran: %s)", got, code, ran)
}
