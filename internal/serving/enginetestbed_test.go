package serving_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/serviceserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

const (
	tokenTime    = 10 * time.Millisecond
	maxWait      = 4 * time.Second
	stallTimeout = 5 * time.Second
)

// relayer is the server, or a faulty variant of it.
type relayer interface {
	Generate(context.Context, caller.Generation, contract.Unit, caller.Sink) error
	Call(context.Context, caller.ServiceCall) (service.Answer, error)
}

// testbed is a server with engines a and b and plain services in this process. It is
// the server's Directory, whose content a test may set freely, and its engine client.
type testbed struct {
	*testing.T
	*engineserver.InMemoryClient
	relayer  relayer
	server   *serving.Server
	services *serviceserver.InMemoryClient
	claims   claimRecorder
	stop     context.CancelFunc
	// beforeGenerate is called before each Generate reaches the engine, and may
	// change the request or fail it; calls counts the Generate calls.
	beforeGenerate func(address string, r *engine.Request) error
	calls          atomic.Int64

	mu                  sync.Mutex
	candidates, servers []routing.Candidate
	problems            []string
}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{T: t, InMemoryClient: engineserver.NewInMemoryClient(), services: serviceserver.NewInMemoryClient()}
	b.beforeGenerate = func(string, *engine.Request) error { return nil }
	for _, name := range []string{"a", "b"} {
		e := engineserver.New(engineserver.Options{Name: name, Slots: 8, TokenTime: tokenTime})
		t.Cleanup(e.Close)
		b.Put(name, e)
		order := engine.Order{Token: 1, Action: engine.ActionLoad, Unit: "m", Checkpoint: "c", Bytes: 1}
		testkit.Value(b.Order(t.Context(), name, order))(t)
		b.candidates = append(b.candidates, routing.Candidate{Engine: name, Domain: name, Slots: 8, Ready: true})
	}
	controller := admission.New(admission.Config{})
	promised := contract.Contract{RequestsPerSecond: 1e5, Burst: 1e5, MaxQueued: 1e5, Models: []contract.Model{{Name: "m"}}}
	controller.SetContracts(map[string]*contract.Contract{"c": &promised, "other": &promised})
	b.server = serving.New(serving.Config{
		Domain: "a", Directory: b, Engines: b, Services: b.services, Claims: &b.claims, Admission: controller,
		Router: routing.New(routing.Config{}, rand.New(rand.NewSource(1))), Logger: zap.NewNop(), StallTimeout: stallTimeout,
	})
	b.relayer = b.server
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.server.Run(ctx) })
	b.stop = func() { stop(); running.Wait() }
	t.Cleanup(b.stop)
	time.Sleep(100 * time.Millisecond) // until the engines have loaded the unit
	return b
}

func (b *testbed) Candidates(string) []routing.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]routing.Candidate(nil), b.candidates...)
}
func (b *testbed) Servers(string) []routing.Candidate         { return b.servers }
func (b *testbed) ReportMissing([]admission.Demand)           {}
func (b *testbed) RequestStatus(string)                       {}
func (b *testbed) UnavailableRefusal(string) *refusal.Refusal { return nil }

// setCandidates changes what the directory returns for the engines.
func (b *testbed) setCandidates(change func(a, b *routing.Candidate)) {
	b.mu.Lock()
	change(&b.candidates[0], &b.candidates[1])
	b.mu.Unlock()
	b.server.Wake()
}

func onlyAReady(a, b *routing.Candidate) { a.Ready, b.Ready = true, false }
func onlyBReady(a, b *routing.Candidate) { a.Ready, b.Ready = false, true }
func bothReady(a, b *routing.Candidate)  { a.Ready, b.Ready = true, true }
func noneReady(a, b *routing.Candidate)  { a.Ready, b.Ready = false, false }

// Generate implements engine.Client.
func (b *testbed) Generate(ctx context.Context, address string, r engine.Request) (engine.Stream, error) {
	b.calls.Add(1)
	if err := b.beforeGenerate(address, &r); err != nil {
		return nil, err
	}
	return b.InMemoryClient.Generate(ctx, address, r)
}

// runCounts returns how often a request ran on each engine.
func (b *testbed) runCounts(id string) (onA, onB int) {
	return b.Engine("a").Records().RunCounts[id], b.Engine("b").Records().RunCounts[id]
}

// chatBody returns a request body that asks for an answer of the given number of tokens.
func chatBody(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
}

// textSink is a sink that collects the text of an answer.
type textSink struct {
	text    strings.Builder
	chunks  int
	onChunk func(chunks int) error
}

func (s *textSink) WriteChunk(c engine.Chunk) error {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(c.Data, &chunk); err != nil {
		return err
	}
	s.text.WriteString(chunk.Choices[0].Delta.Content)
	s.chunks++
	return s.onChunk(s.chunks)
}

// atChunk returns a callback that calls do when the given number of chunks has arrived.
func atChunk(chunks int, do func()) func(int) error {
	return func(n int) error {
		if n == chunks {
			do()
		}
		return nil
	}
}

var ignoreChunks = atChunk(0, nil)

// sendRequest sends a request and checks its result against what really happened: a
// complete answer is the expected text, a partial one is a prefix of it and followed
// by a refusal, and "ran: no" is reported only if no engine ran the request.
func (b *testbed) sendRequest(ctx context.Context, id string, body []byte, onChunk func(int) error) error {
	sink, begun := &textSink{onChunk: onChunk}, time.Now()
	customer := map[bool]string{false: "c", true: "other"}[id == "other"]
	err := b.relayer.Generate(ctx, caller.Generation{
		Identity: caller.Identity{Customer: customer}, Arrived: begun, Prefixes: engineserver.HashPromptPrefixes("m", body),
		Request: engine.Request{ID: id, Unit: "m", Path: "/v1/chat/completions", Body: body},
	}, contract.Unit{Name: "m", MaxWait: maxWait}, sink)
	expected, got := engineserver.ExpectedText(body), sink.text.String()
	b.check(strings.HasPrefix(expected, got) && (err != nil || got == expected), "%q instead of %q, %v", got, expected, err)
	var r *refusal.Refusal
	if errors.As(err, &r) {
		onA, onB := b.runCounts(id)
		b.check(r.Ran == refusal.RanMaybe || onA+onB+sink.chunks == 0, "it ran: %v", r)
		b.check(r.RetryAfter > 0 || r.Code == refusal.CodeBadRequest, "when to come back? %v", r)
		b.check(r.Code != refusal.CodeWaitTooLong || time.Since(begun) <= maxWait, "late")
	}
	return err
}

// expectAnswer sends a request that must get its complete answer.
func (b *testbed) expectAnswer(id string, tokens int, onChunk func(int) error) {
	err := b.sendRequest(b.Context(), id, chatBody("hello", tokens), onChunk)
	b.check(err == nil, "%s: %v", id, err)
}

// expectRefusal sends a request that must be refused with the code and ran.
func (b *testbed) expectRefusal(id string, onChunk func(int) error, code refusal.Code, ran refusal.Ran) {
	b.checkRefusal(b.sendRequest(b.Context(), id, chatBody("hello", 400), onChunk), code, ran)
}

func (b *testbed) checkRefusal(err error, code refusal.Code, ran refusal.Ran) {
	var r *refusal.Refusal
	b.check(errors.As(err, &r) && r.Code == code && r.Ran == ran, "%v, want %s, ran %s", err, code, ran)
}

// check records a problem unless ok.
func (b *testbed) check(ok bool, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok {
		b.problems = append(b.problems, fmt.Sprintf(format, args...))
	}
}

// faultyVariant is a relayer with known faults: it tries the backend servers in turn
// on any error, reports "ran: no" at the end, cancels nothing and doesn't compare
// answers. With skipDelivered it skips delivered chunks by their position alone.
type faultyVariant struct {
	*testbed
	skipDelivered bool
}

var (
	restartingVariant, skippingVariant = &faultyVariant{}, &faultyVariant{skipDelivered: true}
	allFailed                          = refusal.New(refusal.CodeBackendFailed, time.Second, "all failed")
)

func (v faultyVariant) Generate(ctx context.Context, g caller.Generation, u contract.Unit, sink caller.Sink) error {
	delivered := uint64(0)
	for i := range 80 {
		c := v.Candidates(u.Name)[i%2]
		if !c.Ready || ctx.Err() != nil {
			continue
		}
		stream, err := v.testbed.Generate(ctx, c.Engine, g.Request)
		for err == nil {
			var chunk engine.Chunk
			if chunk, err = stream.Next(); err != nil || (v.skipDelivered && chunk.Position <= delivered) {
				continue
			}
			delivered = chunk.Position
			err = sink.WriteChunk(chunk)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
	}
	return allFailed
}

func (v faultyVariant) Call(ctx context.Context, call caller.ServiceCall) (answer service.Answer, err error) {
	for i := range 80 {
		if answer, err = v.services.Do(ctx, v.servers[i%2].Engine, call.Call); err == nil {
			return answer, nil
		}
	}
	return answer, allFailed
}

// runScenario runs one failure scenario. The server must pass it, and the faulty
// variant, if given, must fail it: otherwise the scenario wouldn't detect the fault.
func runScenario(t *testing.T, variant *faultyVariant, run func(b *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
		run(b)
		for _, problem := range b.problems {
			t.Error(problem)
		}
	})
	if variant == nil {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
		b.relayer = faultyVariant{b, variant.skipDelivered}
		run(b)
		testkit.That(t, len(b.problems) != 0, "the faulty variant passes this too")
	})
}
