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
	tokenTime = 10 * time.Millisecond
	maxWait   = 4 * time.Second
	stall     = 5 * time.Second
)

// relayer is the server, or a naive twin of it.
type relayer interface {
	Generate(context.Context, caller.Generation, contract.Unit, caller.Sink) error
	Call(context.Context, caller.ServiceCall) (service.Answer, error)
}

// bed is a server over engines a and b and plain services in this process. It is
// the server's Directory, as wrong as a test likes, and its way to the engines.
type bed struct {
	*testing.T
	*engineserver.Fleet
	relayer  relayer
	server   *serving.Server
	services *serviceserver.Fleet
	claims   claims
	stop     context.CancelFunc
	// hook meets each Generate before the engine does; calls counts them.
	hook  func(address string, r *engine.Request) error
	calls atomic.Int64

	mu                  sync.Mutex
	candidates, servers []routing.Candidate
	problems            []string
}

func newBed(t *testing.T) *bed {
	b := &bed{T: t, Fleet: engineserver.NewFleet(), services: serviceserver.NewFleet()}
	b.hook = func(string, *engine.Request) error { return nil }
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
		Router: routing.New(routing.Config{}, rand.New(rand.NewSource(1))), Logger: zap.NewNop(), StallTimeout: stall,
	})
	b.relayer = b.server
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.server.Run(ctx) })
	b.stop = func() { stop(); running.Wait() }
	t.Cleanup(b.stop)
	time.Sleep(100 * time.Millisecond) // the loads
	return b
}

func (b *bed) Candidates(string) []routing.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]routing.Candidate(nil), b.candidates...)
}
func (b *bed) Servers(string) []routing.Candidate { return b.servers }
func (b *bed) Missing([]admission.Demand)         {}
func (b *bed) Interest(string)                    {}
func (b *bed) Hopeless(string) *refusal.Refusal   { return nil }

// set changes what the directory says of the engines.
func (b *bed) set(change func(a, b *routing.Candidate)) {
	b.mu.Lock()
	change(&b.candidates[0], &b.candidates[1])
	b.mu.Unlock()
	b.server.Wake()
}

func onlyA(a, b *routing.Candidate) { a.Ready, b.Ready = true, false }
func onlyB(a, b *routing.Candidate) { a.Ready, b.Ready = false, true }
func both(a, b *routing.Candidate)  { a.Ready, b.Ready = true, true }
func none(a, b *routing.Candidate)  { a.Ready, b.Ready = false, false }

// Generate is engine.Client's.
func (b *bed) Generate(ctx context.Context, address string, r engine.Request) (engine.Stream, error) {
	b.calls.Add(1)
	if err := b.hook(address, &r); err != nil {
		return nil, err
	}
	return b.Fleet.Generate(ctx, address, r)
}

// ran counts how often a request ran on each engine.
func (b *bed) ran(id string) (onA, onB int) {
	return b.Engine("a").Records().Ran[id], b.Engine("b").Records().Ran[id]
}

// body is a request for an answer of so many tokens.
func body(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, prompt, tokens)
}

// reader is a caller's end of an answer.
type reader struct {
	text    strings.Builder
	chunks  int
	onChunk func(chunks int) error
}

func (r *reader) WriteChunk(c engine.Chunk) error {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(c.Data, &chunk); err != nil {
		return err
	}
	r.text.WriteString(chunk.Choices[0].Delta.Content)
	r.chunks++
	return r.onChunk(r.chunks)
}

// at does something once so many chunks have come.
func at(chunks int, do func()) func(int) error {
	return func(n int) error {
		if n == chunks {
			do()
		}
		return nil
	}
}

var quietly = at(0, nil)

// ask sends a request and holds its end against what really happened: a whole
// answer is the engine's own, a part of one is its beginning and followed by a
// refusal, and "ran: no" is said only of what no engine ran.
func (b *bed) ask(ctx context.Context, id string, body []byte, onChunk func(int) error) error {
	sink, begun := &reader{onChunk: onChunk}, time.Now()
	customer := map[bool]string{false: "c", true: "other"}[id == "other"]
	err := b.relayer.Generate(ctx, caller.Generation{
		Identity: caller.Identity{Customer: customer}, Arrived: begun, Prefixes: engineserver.PromptPrefixes("m", body),
		Request: engine.Request{ID: id, Unit: "m", Path: "/v1/chat/completions", Body: body},
	}, contract.Unit{Name: "m", MaxWait: maxWait}, sink)
	whole, got := engineserver.ExpectedText(body), sink.text.String()
	b.want(strings.HasPrefix(whole, got) && (err != nil || got == whole), "%q instead of %q, %v", got, whole, err)
	var r *refusal.Refusal
	if errors.As(err, &r) {
		onA, onB := b.ran(id)
		b.want(r.Ran == refusal.RanMaybe || onA+onB+sink.chunks == 0, "it ran: %v", r)
		b.want(r.RetryAfter > 0 || r.Code == refusal.CodeBadRequest, "when to come back? %v", r)
		b.want(r.Code != refusal.CodeWaitTooLong || time.Since(begun) <= maxWait, "late")
	}
	return err
}

// whole asks for an answer that must come whole.
func (b *bed) whole(id string, tokens int, onChunk func(int) error) {
	err := b.ask(b.Context(), id, body("hello", tokens), onChunk)
	b.want(err == nil, "%s: %v", id, err)
}

// refused asks for what must be refused so.
func (b *bed) refused(id string, onChunk func(int) error, code refusal.Code, ran refusal.Ran) {
	b.wantRefused(b.ask(b.Context(), id, body("hello", 400), onChunk), code, ran)
}

func (b *bed) wantRefused(err error, code refusal.Code, ran refusal.Ran) {
	var r *refusal.Refusal
	b.want(errors.As(err, &r) && r.Code == code && r.Ran == ran, "%v, want %s, ran %s", err, code, ran)
}

// want notes a problem unless ok.
func (b *bed) want(ok bool, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok {
		b.problems = append(b.problems, fmt.Sprintf(format, args...))
	}
}

// naive is the twin: it sends to the backend servers in turn on any error, says
// "ran: no" at the end, cancels nothing and does not compare. With skips it
// leaves out what was delivered, by its position alone.
type naive struct {
	*bed
	skips bool
}

var (
	reopens, skips = &naive{}, &naive{skips: true}
	allFailed      = refusal.New(refusal.CodeBackendFailed, time.Second, "all failed")
)

func (n naive) Generate(ctx context.Context, g caller.Generation, u contract.Unit, sink caller.Sink) error {
	delivered := uint64(0)
	for i := range 80 {
		c := n.Candidates(u.Name)[i%2]
		if !c.Ready || ctx.Err() != nil {
			continue
		}
		stream, err := n.bed.Generate(ctx, c.Engine, g.Request)
		for err == nil {
			var chunk engine.Chunk
			if chunk, err = stream.Next(); err != nil || (n.skips && chunk.Position <= delivered) {
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

func (n naive) Call(ctx context.Context, call caller.ServiceCall) (answer service.Answer, err error) {
	for i := range 80 {
		if answer, err = n.services.Do(ctx, n.servers[i%2].Engine, call.Call); err == nil {
			return answer, nil
		}
	}
	return answer, allFailed
}

// script runs one failure: the server must stand it, and the twin, if there is
// one, must not, as otherwise the script shows nothing.
func script(t *testing.T, twin *naive, run func(b *bed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		run(b)
		for _, problem := range b.problems {
			t.Error(problem)
		}
	})
	if twin == nil {
		return
	}
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.relayer = naive{b, twin.skips}
		run(b)
		testkit.That(t, len(b.problems) != 0, "the naive twin stands this too")
	})
}
