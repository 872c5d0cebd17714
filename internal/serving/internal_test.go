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

// fixed is a Directory that says the same always, and a Sink that drops all.
type fixed []routing.Candidate

func (f fixed) Candidates(string) []routing.Candidate { return f }
func (f fixed) Servers(string) []routing.Candidate    { return f }
func (fixed) Missing([]admission.Demand)              {}
func (fixed) Interest(string)                         {}
func (fixed) Hopeless(string) *refusal.Refusal        { return nil }
func (fixed) WriteChunk(engine.Chunk) error           { return nil }

// An end that no stand-in makes: a resume that meets a closed port at the moment
// that the wait ends, and an engine moved to that ends before what was delivered.
// Neither is "not sent", nor a whole answer.
func TestEndsOfBrokenStreams(t *testing.T) {
	v := judge(broken(engine.ErrNotSent))
	testkit.That(t, v.ran && !v.result.NotRun, "a resume that was not sent: %+v", v)
	v = judge((&relay{delivered: 5}).whole(3))
	testkit.That(t, v.final != nil && v.final.Ran == refusal.RanMaybe, "a shorter answer: %+v", v)
}

// BenchmarkDeliver is the cost of one chunk on its way through serving.
func BenchmarkDeliver(b *testing.B) {
	chunk := engine.Chunk{Data: []byte(`{"id":"0123456789abcdef","object":"chat.completion.chunk","model":"m",` +
		`"choices":[{"index":0,"delta":{"content":"lantern "},"finish_reason":null}]}`)}
	r := &relay{place: &place{firstToken: 1}, sink: fixed{}}
	for b.Loop() {
		chunk.Position++
		r.sums = r.sums[:0] // an answer's hashes, not a benchmark's
		testkit.OK(b, r.deliver(time.Time{}, chunk, false))
	}
}

// alone is a server without its duties, and a request to it.
func alone(directory fixed) (*Server, admission.Request, routing.Query) {
	controller := admission.New(admission.Config{})
	controller.SetContracts(map[string]*contract.Contract{"c": {RequestsPerSecond: 1e9, Burst: 1e9, MaxQueued: 9}})
	router := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	s := New(Config{Domain: "a", Directory: directory, Admission: controller, Router: router})
	request := admission.Request{Customer: "c", Unit: "m", Pool: "m", Deadline: time.Now().Add(time.Hour)}
	return s, request, routing.Query{Unit: "m", Pool: "m", Domain: "a"}
}

// The first token of a request that meets a free engine does not wait until the
// queue's duty runs. Where another one waits, the newcomer waits as well, and
// the duty chooses.
func TestFreeEngineIsAssignedAtOnce(t *testing.T) {
	s, request, query := alone(fixed{{Engine: "a", Slots: 1, Ready: true}})
	ask := func(assigned int) *place {
		t.Helper()
		p, w, refused := s.arrive(request, query, s.find("m"))
		testkit.Need(t, refused == nil && len(w.assign) == assigned, "%v, %d assignments, want %d", refused, len(w.assign), assigned)
		testkit.Need(t, assigned <= 0 || p.wait(t.Context(), w) == nil, "no place")
		return p
	}
	first := ask(1)
	ask(0)
	first.end(t.Context(), nil, judge(nil))
	ask(0) // behind the second
	s.dispatch(time.Now())
	testkit.Equal(t, "those that wait", len(s.waiters), 1)
}

// batches is a stream whose chunks come in batches, and a sink that tells which
// chunks it sent together.
type batches struct {
	sizes       []int
	came, held  int
	sent        []int
	end, failed error
}

func (b *batches) Next() (engine.Chunk, error) {
	for len(b.sizes) > 0 && b.sizes[0] == 0 {
		b.sizes = b.sizes[1:]
	}
	if len(b.sizes) == 0 {
		return engine.Chunk{}, b.end
	}
	b.sizes[0]--
	b.came++
	return engine.Chunk{Position: uint64(b.came)}, nil
}
func (b *batches) Close() error                    { return nil }
func (b *batches) Pending() bool                   { return b.sizes[0] > 0 }
func (b *batches) BufferChunk(engine.Chunk) error  { b.held++; return nil }
func (b *batches) WriteChunk(c engine.Chunk) error { b.held++; return b.Flush() }
func (b *batches) Flush() error {
	if b.held > 0 {
		b.sent = append(b.sent, b.held)
	}
	b.held = 0
	return b.failed
}

// The caller gets tokens that came together in one write, and none waits for a
// token that has not come.
// The engine's tokens come as 1, 3 and 2; or the stream breaks behind the second
// of what looked like three, and a resume may take seconds.
func TestTokensThatCameTogetherGoTogether(t *testing.T) {
	for _, c := range []struct {
		batches
		want []int
	}{
		{batches{sizes: []int{1, 3, 2}, end: io.EOF}, []int{1, 3, 2}},
		{batches{sizes: []int{1, 0, 2}, end: engine.ErrBrokenStream}, []int{1, 2}},
		{batches{sizes: []int{1}, end: io.EOF, failed: errStalled}, []int{1}},
	} {
		b := &c.batches
		r := &relay{place: &place{firstToken: 1}, sink: b, holder: b}
		g := startGuard(time.Minute, time.Minute, nil, errLate)
		_, err := r.pump(b, 0, g)
		g.stop()
		testkit.That(t, b.failed != nil == isSinkError(err) && slices.Equal(b.sent, c.want),
			"sent %v, want %v: %v", b.sent, c.want, err)
	}
	// Next fails although the stream said that it had a chunk.
	b := &batches{held: 1, end: engine.ErrBrokenStream}
	r := &relay{sink: b, holder: b}
	_, err := r.pump(b, 0, nil)
	testkit.That(t, errors.Is(err, engine.ErrBrokenStream) && len(b.sent) == 1, "sent %v, %v", b.sent, err)
}

// A guard ends an attempt, and says why, when the first token or a later one is
// late; a token that comes in time, or the stop, keeps it from that.
func TestGuardEndsSilence(t *testing.T) {
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
			g := startGuard(20*time.Second, 10*time.Second, cancel, errLate)
			for _, at := range c.tokens {
				time.Sleep(at*time.Second - time.Since(start))
				g.heard(time.Now())
			}
			time.AfterFunc(c.stop-time.Since(start), func() { g.stop(); cancel(nil) })
			<-ctx.Done()
			if cause := context.Cause(ctx); time.Since(start) != c.end || c.reason != nil && cause != c.reason {
				t.Errorf("%s: %v after %v", name, cause, time.Since(start))
			}
		})
	}
}

// BenchmarkDispatch is one request's arrival, dispatch, first token and end.
func BenchmarkDispatch(b *testing.B) {
	for _, candidates := range []int{24, 500} {
		b.Run(fmt.Sprintf("candidates=%d", candidates), func(b *testing.B) {
			var directory fixed
			for i := range candidates {
				directory = append(directory, routing.Candidate{
					Engine: fmt.Sprint(i), Domain: string(rune('a' + i%3)), Slots: 16, Ready: true,
				})
			}
			s, request, query := alone(directory)
			for b.Loop() {
				p, w, refused := s.arrive(request, query, s.find("m"))
				if refused != nil {
					b.Fatal(refused)
				}
				testkit.OK(b, p.wait(b.Context(), w))
				p.answer(time.Now())
				p.end(b.Context(), nil, judge(nil))
			}
		})
	}
}
