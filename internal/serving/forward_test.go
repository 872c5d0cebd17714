package serving_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
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
	"bergamotreel/service"
)

// sending is one request that reached a backend server of a forwardBed.
type sending struct {
	target  string
	forward service.Forward
}

// forwardBed is a server over the backend servers one and two, which answer as a
// test's script says. It is the server's directory and its way there.
type forwardBed struct {
	*testing.T
	server *serving.Server
	stop   context.CancelFunc
	// script answers a sending; its number counts from 1.
	script func(ctx context.Context, number int, s sending) (*service.Forwarded, error)

	mu      sync.Mutex
	sent    []sending
	ready   bool
	lacking []string
	broken  []quarantine.Fingerprint
	limits  []service.Limit
	// permits is how many permits each candidate has, negative where it is not limited, spent
	// how many were used.
	permits, spent int
	// suspects is whether requests are looked up in the quarantine, which refuses from the
	// quarantineFrom-th sending on, 0 for never; cleared counts the answers told to it.
	suspects       bool
	quarantineFrom int
	cleared        int
	down           []string
	missing        int
	slots          int
	backends       []string
}

func newForwardBed(t *testing.T) *forwardBed {
	b := &forwardBed{T: t, ready: true, slots: 8, permits: -1, backends: []string{"one", "two"}}
	controller := admission.New(admission.Config{})
	controller.SetContracts(map[string]*contract.Contract{"c": {Customer: "c", MaxQueued: 1000}})
	b.server = serving.New(serving.Config{
		Domain: "a", Directory: b, Forwards: b, Forwarder: b, Admission: controller,
		Router: routing.New(routing.Config{}, rand.New(rand.NewSource(1))), Logger: zap.NewNop(), RetryShare: 0.1, Quarantine: b,
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { b.server.Run(ctx) })
	b.stop = func() { stop(); running.Wait() }
	t.Cleanup(b.stop)
	return b
}

func (b *forwardBed) Candidates(string) []routing.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []routing.Candidate
	for _, name := range b.backends {
		out = append(out, routing.Candidate{Engine: name, Domain: name, Slots: b.slots, Ready: b.ready, PermitRequired: b.permits >= 0, Permits: b.permits - b.spent})
	}
	return out
}
func (b *forwardBed) Servers(string) []routing.Candidate { return b.Candidates("") }
func (b *forwardBed) Missing([]admission.Demand)         { b.missing++ }
func (b *forwardBed) Interest(string)                    {}
func (b *forwardBed) Hopeless(string) *refusal.Refusal   { return nil }
func (b *forwardBed) Target(name string) (service.Target, bool) {
	return service.Target{ID: name, Address: name}, true
}
func (b *forwardBed) Unreachable(name string) { b.down = append(b.down, name) }
func (b *forwardBed) Reached(string)          {}

// Limited notes what answers said of further requests.
func (b *forwardBed) Leaving(string) {}

func (b *forwardBed) Limited(_ string, limit service.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = append(b.limits, limit)
}

// SpendPermit counts the permits used.
func (b *forwardBed) SpendPermit(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent >= b.permits {
		return false
	}
	b.spent++
	return true
}

// Broken is serving.Quarantine's, as the next three are.
func (b *forwardBed) Broken(_ string, request quarantine.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, request)
}
func (b *forwardBed) Suspects() bool { return b.suspects }
func (b *forwardBed) Answered(quarantine.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleared++
}
func (b *forwardBed) Refusal(quarantine.Fingerprint) *refusal.Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quarantineFrom == 0 || len(b.sent) < b.quarantineFrom-1 {
		return nil
	}
	return refusal.New(refusal.CodeQuarantined, time.Minute, "it crashes what runs it")
}
func (b *forwardBed) Lacking(backend, unit string) { b.lacking = append(b.lacking, backend+" "+unit) }

// Forward is service.Forwarder's.
func (b *forwardBed) Forward(ctx context.Context, target service.Target, forward service.Forward) (*service.Forwarded, error) {
	b.mu.Lock()
	s := sending{target.ID, forward}
	b.sent = append(b.sent, s)
	number := len(b.sent)
	b.mu.Unlock()
	return b.script(ctx, number, s)
}

// Probe is service.Forwarder's.
func (b *forwardBed) Probe(context.Context, service.Target) error { return nil }

// received is a caller's end of an answer.
type received struct {
	status int
	begun  bool
	body   strings.Builder
	fail   error
}

func (r *received) Begin(status int, _ http.Header, _ int64) { r.status, r.begun = status, true }
func (r *received) Begun() bool                              { return r.begun }
func (r *received) Write(piece []byte) error {
	r.body.Write(piece)
	return r.fail
}

// route is a route of one kind with two attempts, and what goes with it.
func route(repeat contract.Repeat) *contract.Route {
	return &contract.Route{Name: "r", Repeat: repeat, Stream: repeat == contract.RepeatResume,
		TargetLatency: 300 * time.Millisecond, Timeout: 4 * time.Second, MaxAttempts: 2}
}

func (b *forwardBed) forward(ctx context.Context, r *contract.Route, model string, answer *received) error {
	now := time.Now()
	giveUp := now.Add(r.Timeout)
	return b.server.Forward(ctx, caller.RelayRequest{
		RelayHead: caller.RelayHead{ID: "id", Model: model}, Grant: caller.Grant{Customer: "c", Route: r}, Service: "s",
		Forward: service.Forward{RequestID: "id", Method: "POST"}, Arrived: now, GiveUp: giveUp, BeginBy: giveUp,
	}, answer)
}

func whole(status int, text string) *service.Forwarded {
	return &service.Forwarded{Status: status, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
}

// cut is an answer that breaks off after the text.
func cut(text string) *service.Forwarded {
	body := io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))
	return &service.Forwarded{Status: http.StatusOK, Length: -1, Body: io.NopCloser(body)}
}

func wantRefusal(t *testing.T, err error, code refusal.Code, ran refusal.Ran) {
	t.Helper()
	var got *refusal.Refusal
	testkit.Need(t, errors.As(err, &got), "got %v, want %s", err, code)
	testkit.That(t, got.Code == code && got.Ran == ran, "got %v, want %s (ran: %s)", got, code, ran)
}

// The caller books a pickup; the backend server runs it and the answer is lost. A
// second sending would be a second booking: there is one, and the caller hears that
// it may have run.
func TestForwardOnceOnly(t *testing.T) {
	for _, lost := range []func() (*service.Forwarded, error){
		func() (*service.Forwarded, error) { return nil, service.ErrOutcomeUnknown },
		func() (*service.Forwarded, error) { return cut(""), nil },
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newForwardBed(t)
			b.script = func(context.Context, int, sending) (*service.Forwarded, error) { return lost() }
			err := b.forward(t.Context(), route(contract.RepeatNever), "", &received{})
			wantRefusal(t, err, refusal.CodeBackendFailed, refusal.RanMaybe)
			testkit.Equal(t, "sendings", len(b.sent), 1)
			b.stop()
		})
	}
}

// A look-up that the backend server fails, loses, cuts off or never answers is sent
// to the other one, once; the caller sees one whole answer.
func TestForwardRepeatsWhatIsSafe(t *testing.T) {
	for name, first := range map[string]func(ctx context.Context) (*service.Forwarded, error){
		"failed":  func(context.Context) (*service.Forwarded, error) { return whole(500, "no"), nil },
		"lost":    func(context.Context) (*service.Forwarded, error) { return nil, service.ErrOutcomeUnknown },
		"cut off": func(context.Context) (*service.Forwarded, error) { f := cut("par"); f.Length = 5; return f, nil },
		"too long": func(context.Context) (*service.Forwarded, error) {
			f := whole(200, "parts")
			f.Length = 4
			return f, nil
		},
		"hung": func(ctx context.Context) (*service.Forwarded, error) {
			<-ctx.Done()
			return nil, service.ErrOutcomeUnknown
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newForwardBed(t)
				b.script = func(ctx context.Context, number int, _ sending) (*service.Forwarded, error) {
					if number == 1 {
						return first(ctx)
					}
					return whole(200, "parts"), nil
				}
				var got received
				testkit.OK(t, b.forward(t.Context(), route(contract.RepeatSafe), "", &got))
				testkit.That(t, got.status == 200 && got.body.String() == "parts", "got %d %q", got.status, got.body.String())
				testkit.That(t, len(b.sent) == 2 && b.sent[0].target != b.sent[1].target, "sent %+v", b.sent)
				b.stop()
			})
		})
	}
}

// A route bounds the backend servers that one request may run on: after the last the
// failure is the answer, as the backend server gave it.
func TestForwardBoundsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.script = func(context.Context, int, sending) (*service.Forwarded, error) { return whole(500, "no"), nil }
		var got received
		testkit.OK(t, b.forward(t.Context(), route(contract.RepeatSafe), "", &got))
		testkit.That(t, got.status == 500 && len(b.sent) == 2, "status %d after %d sendings", got.status, len(b.sent))
		b.stop()
	})
}

// A backend server that confirms that it ran nothing may be followed by another,
// also for what may run once only; what lacks the unit is told to the directory.
func TestForwardAfterNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.script = func(_ context.Context, number int, _ sending) (*service.Forwarded, error) {
			if number == 1 {
				return nil, fmt.Errorf("%w: %w", service.ErrNotRun, service.ErrWrongServer)
			}
			return whole(200, "ok"), nil
		}
		var got received
		testkit.OK(t, b.forward(t.Context(), route(contract.RepeatNever), "m", &got))
		testkit.That(t, got.status == 200 && len(b.sent) == 2, "status %d after %d sendings", got.status, len(b.sent))
		testkit.That(t, len(b.lacking) == 1 && strings.HasSuffix(b.lacking[0], " model/s/m"), "lacking %v", b.lacking)
		b.stop()
	})
}

// An engine has crashed and accepts no connection. That costs no budget and nothing
// that may run once only; the directory is told, so that nobody else is sent there.
func TestForwardUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.script = func(_ context.Context, _ int, s sending) (*service.Forwarded, error) {
			if s.target == "one" {
				return nil, service.ErrNotSent
			}
			return whole(200, "ok"), nil
		}
		for range 20 {
			var got received
			testkit.OK(t, b.forward(t.Context(), route(contract.RepeatNever), "m", &got))
		}
		testkit.That(t, len(b.down) > 0 && b.down[0] == "one", "told as unreachable: %v", b.down)
		b.stop()
	})
}

// All backend servers turn a flood of requests away. Each further try is one more
// arrival there: the budget ends them, and the callers hear that nothing ran.
func TestForwardKeepsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.script = func(context.Context, int, sending) (*service.Forwarded, error) { return nil, service.ErrNotRun }
		const requests = 100
		for range requests {
			err := b.forward(t.Context(), route(contract.RepeatNever), "", &received{})
			wantRefusal(t, err, refusal.CodeNoCapacity, refusal.RanNo)
			time.Sleep(10 * time.Millisecond)
		}
		testkit.That(t, len(b.sent) <= requests*12/10, "%d arrivals of %d requests", len(b.sent), requests)
		b.stop()
	})
}

// A digest's engine dies in the middle of its third event. The caller has two whole
// events; the stream goes on after them elsewhere, and no byte is missing or twice.
func TestForwardResumesStream(t *testing.T) {
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", id, id) }
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.script = func(_ context.Context, number int, s sending) (*service.Forwarded, error) {
			if number == 1 {
				return cut(event(1) + event(2) + "id: 3\nda"), nil
			}
			testkit.Equal(t, "resumed after", s.forward.ResumeAfter, "2")
			f := whole(200, event(3)+event(4))
			f.Length = -1
			return f, nil
		}
		var got received
		testkit.OK(t, b.forward(t.Context(), route(contract.RepeatResume), "m", &got))
		testkit.Equal(t, "stream", got.body.String(), event(1)+event(2)+event(3)+event(4))
		b.stop()
	})
}

// A stream that can't be resumed breaks: the caller must see that, and nothing may be
// sent again.
func TestForwardBrokenStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.script = func(context.Context, int, sending) (*service.Forwarded, error) { return cut("id: 1\n\n"), nil }
		var got received
		err := b.forward(t.Context(), route(contract.RepeatNever), "m", &got)
		testkit.That(t, err != nil && got.begun && len(b.sent) == 1, "got %v, begun %v, %d sendings", err, got.begun, len(b.sent))
		b.stop()
	})
}

// A machine is stopped while a request waits there for a model. Its connection would
// end unanswered with the process; it is refused instead, and not run.
func TestForwardRefusesWaitingAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.ready = false
		ended := make(chan error, 1)
		go func() { ended <- b.forward(t.Context(), route(contract.RepeatNever), "m", &received{}) }()
		time.Sleep(time.Second)
		b.server.RefuseWaiting()
		wantRefusal(t, <-ended, refusal.CodeShuttingDown, refusal.RanNo)
		testkit.That(t, len(b.sent) == 0 && b.missing > 0, "%d sendings, %d times missing", len(b.sent), b.missing)
		b.stop()
	})
}

// No engine gets the model in time: the caller hears at the latest when it would
// leave anyway, and that nothing ran. One that was sent and not answered may have run.
func TestForwardGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		b.ready = false
		begun := time.Now()
		wantRefusal(t, b.forward(t.Context(), route(contract.RepeatNever), "m", &received{}), refusal.CodeWaitTooLong, refusal.RanNo)
		testkit.That(t, time.Since(begun) <= 4*time.Second, "refused after %s", time.Since(begun))
		b.ready = true
		b.script = func(ctx context.Context, _ int, _ sending) (*service.Forwarded, error) {
			<-ctx.Done()
			return nil, service.ErrOutcomeUnknown
		}
		wantRefusal(t, b.forward(t.Context(), route(contract.RepeatNever), "m", &received{}), refusal.CodeOutcomeUnknown, refusal.RanMaybe)
		b.stop()
	})
}

// A caller that left gets nothing more sent for it.
func TestForwardCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newForwardBed(t)
		ctx, leave := context.WithCancel(t.Context())
		b.script = func(ctx context.Context, _ int, _ sending) (*service.Forwarded, error) {
			leave()
			<-ctx.Done()
			return nil, service.ErrOutcomeUnknown
		}
		err := b.forward(ctx, route(contract.RepeatSafe), "", &received{})
		testkit.That(t, errors.Is(err, context.Canceled) && len(b.sent) == 1, "got %v after %d sendings", err, len(b.sent))
		b.stop()
	})
}

func TestModelUnit(t *testing.T) {
	for _, unit := range []serving.ModelUnit{{Service: "s", Model: "m"}, {Service: "s", Model: "m", Adapter: "a1"}} {
		got, ok := serving.ParseModelUnit(unit.String())
		testkit.That(t, ok && got == unit && unit.Pool() == "model/s/m", "got %+v, %v", got, ok)
	}
	for _, name := range []string{"service/s", "model/s", "m"} {
		_, ok := serving.ParseModelUnit(name)
		testkit.That(t, !ok, "%s read as a model's unit", name)
	}
}
