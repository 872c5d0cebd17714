package serving

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/admission"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// fixedDirectory is a Directory with constant candidates, and a Sink that discards
// all chunks.
type fixedDirectory []routing.Candidate

func (f fixedDirectory) Candidates(string) []routing.Candidate    { return f }
func (f fixedDirectory) Servers(string) []routing.Candidate       { return f }
func (fixedDirectory) ReportMissing([]admission.Demand)           {}
func (fixedDirectory) RequestStatus(string)                       {}
func (fixedDirectory) UnavailableRefusal(string) *refusal.Refusal { return nil }
func (fixedDirectory) WriteChunk(engine.Chunk) error              { return nil }

// Guards against two ends of a stream, which no stand-in produces, being misreported:
// a resume that finds the port closed must not count as "not sent", and an answer
// that ends before the delivered part after a move must not count as complete.
func TestBrokenStreamMayHaveRun(t *testing.T) {
	outcome := classifyEngineError(brokenStreamError(engine.ErrNotSent))
	testkit.That(t, outcome.mayHaveRun && !outcome.routerResult.NotRun, "a resume that was not sent: %+v", outcome)
	outcome = classifyEngineError((&generating{delivered: 5}).checkComplete(3))
	testkit.That(t, outcome.finalRefusal != nil && outcome.finalRefusal.Ran == refusal.RanMaybe, "a shorter answer: %+v", outcome)
}

// BenchmarkDeliver measures the delivery of one chunk to the sink.
func BenchmarkDeliver(b *testing.B) {
	chunk := engine.Chunk{Data: []byte(`{"id":"0123456789abcdef","object":"chat.completion.chunk","model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"lantern "},"finish_reason":null}]}`)}
	state := &generating{pending: &pendingRequest{timeToFirstToken: 1}, sink: fixedDirectory{}}
	for b.Loop() {
		chunk.Position++
		state.deliveredHashes = state.deliveredHashes[:0] // keeps the slice from growing beyond that of a real answer
		testkit.OK(b, state.deliver(time.Time{}, chunk, false))
	}
}

// newIdleServer returns a server whose Run isn't called, and a request to it.
func newIdleServer(directory fixedDirectory) (*Server, admission.Request, routing.Query) {
	controller := admission.New(admission.Config{})
	controller.SetContracts(map[string]*contract.Contract{"c": {RequestsPerSecond: 1e9, Burst: 1e9, MaxQueued: 9}})
	router := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	s := New(Config{Domain: "a", Directory: directory, Admission: controller, Router: router})
	request := admission.Request{Customer: "c", Unit: "m", Pool: "m", Deadline: time.Now().Add(time.Hour)}
	return s, request, routing.Query{Unit: "m", Pool: "m", Domain: "a"}
}

// Guards against a request that waits for the dispatch loop although an engine is
// free, which delays its first token. If another request waits, the new one waits as
// well and the loop chooses.
func TestFreeEngineIsAssignedAtOnce(t *testing.T) {
	s, request, query := newIdleServer(fixedDirectory{{Engine: "a", Slots: 1, Ready: true}})
	admit := func(assigned int) *pendingRequest {
		t.Helper()
		p, w, refused := s.admit(request, query, s.findCandidates("m"))
		testkit.Need(t, refused == nil && len(w.assigned) == assigned, "%v, %d assignments, want %d", refused, len(w.assigned), assigned)
		testkit.Need(t, assigned <= 0 || p.waitForBackend(t.Context(), w) == nil, "no place")
		return p
	}
	first := admit(1)
	admit(0)
	first.finish(t.Context(), nil, classifyEngineError(nil))
	admit(0) // waits behind the second request
	s.dispatch(time.Now())
	testkit.Equal(t, "those that wait", len(s.waiters), 1)
}

// batchStream is a stream whose chunks arrive in batches, and a sink that records
// which chunks it wrote together.
type batchStream struct {
	sizes              []int
	received, buffered int
	writes             []int
	endErr, flushErr   error
}

func (b *batchStream) Next() (engine.Chunk, error) {
	for len(b.sizes) > 0 && b.sizes[0] == 0 {
		b.sizes = b.sizes[1:]
	}
	if len(b.sizes) == 0 {
		return engine.Chunk{}, b.endErr
	}
	b.sizes[0]--
	b.received++
	return engine.Chunk{Position: uint64(b.received)}, nil
}
func (b *batchStream) Close() error                    { return nil }
func (b *batchStream) HasPending() bool                { return b.sizes[0] > 0 }
func (b *batchStream) BufferChunk(engine.Chunk) error  { b.buffered++; return nil }
func (b *batchStream) WriteChunk(c engine.Chunk) error { b.buffered++; return b.Flush() }
func (b *batchStream) Flush() error {
	if b.buffered > 0 {
		b.writes = append(b.writes, b.buffered)
	}
	b.buffered = 0
	return b.flushErr
}

// Guards against separate writes for tokens that arrived together, and against a
// token that waits for one that hasn't arrived: the stream may break after the second
// of three announced tokens, and a resume may take seconds.
func TestBatchedTokensAreWrittenTogether(t *testing.T) {
	for _, c := range []struct {
		batchStream
		want []int
	}{
		{batchStream{sizes: []int{1, 3, 2}, endErr: io.EOF}, []int{1, 3, 2}},
		{batchStream{sizes: []int{1, 0, 2}, endErr: engine.ErrBrokenStream}, []int{1, 2}},
		{batchStream{sizes: []int{1}, endErr: io.EOF, flushErr: errStalled}, []int{1}},
	} {
		b := &c.batchStream
		state := &generating{pending: &pendingRequest{timeToFirstToken: 1}, sink: b, bufferingSink: b}
		g := newStallGuard(time.Minute, time.Minute, nil, errLate, nil)
		_, err := state.readChunks(b, 0, g)
		g.stop()
		testkit.That(t, b.flushErr != nil == isTerminalError(err) && slices.Equal(b.writes, c.want),
			"sent %v, want %v: %v", b.writes, c.want, err)
	}
	// Next fails although HasPending reported a chunk.
	b := &batchStream{buffered: 1, endErr: engine.ErrBrokenStream}
	state := &generating{sink: b, bufferingSink: b}
	_, err := state.readChunks(b, 0, nil)
	testkit.That(t, errors.Is(err, engine.ErrBrokenStream) && len(b.writes) == 1, "sent %v, %v", b.writes, err)
}

// Guards against silent attempts that aren't ended or get the wrong reason: a guard
// ends an attempt if the first or a later token is late, but not if tokens arrive in
// time or after stop.
func TestStallGuardEndsSilentAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		tokens []time.Duration
		stop   time.Duration
		end    time.Duration
		reason error
	}{
		"no token":          {nil, time.Minute, 20 * time.Second, errLate},
		"silence":           {[]time.Duration{1, 2, 8}, time.Minute, 18 * time.Second, errStalled},
		"late, then silent": {[]time.Duration{19}, time.Minute, 29 * time.Second, errStalled},
		"stopped":           {[]time.Duration{1, 10, 19}, 21 * time.Second, 21 * time.Second, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			start := time.Now()
			g := newStallGuard(20*time.Second, 10*time.Second, cancel, errLate, nil)
			for _, at := range c.tokens {
				time.Sleep(at*time.Second - time.Since(start))
				g.beginDelivery(time.Now())
				g.endDelivery(time.Now())
			}
			time.AfterFunc(c.stop-time.Since(start), func() { g.stop(); cancel(nil) })
			<-ctx.Done()
			if cause := context.Cause(ctx); time.Since(start) != c.end || c.reason != nil && cause != c.reason {
				t.Errorf("%s: %v after %v", name, cause, time.Since(start))
			}
		})
	}
}

// BenchmarkDispatch measures the admission, dispatch, first token and end of one request.
func BenchmarkDispatch(b *testing.B) {
	for _, candidates := range []int{24, 500} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			var directory fixedDirectory
			for i := range candidates {
				directory = append(directory, routing.Candidate{
					Engine: fmt.Sprint(i), Domain: string(rune('a' + i%3)), Slots: 16, Ready: true,
				})
			}
			s, request, query := newIdleServer(directory)
			for b.Loop() {
				p, w, refused := s.admit(request, query, s.findCandidates("m"))
				if refused != nil {
					b.Fatal(refused)
				}
				testkit.OK(b, p.waitForBackend(b.Context(), w))
				p.recordFirstToken(time.Now())
				p.finish(b.Context(), nil, classifyEngineError(nil))
			}
		})
	}
}
