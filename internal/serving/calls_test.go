package serving_test

import (
	"context"
	"testing"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/standin/serviceserver"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

// claimRecorder records how a test's claims end.
type claimRecorder struct{ calls string }

func (c *claimRecorder) Begin(context.Context, caller.ServiceCall) (serving.Claim, *service.Answer, error) {
	return c, nil, nil
}
func (c *claimRecorder) Complete(service.Answer) { c.calls += "done " }
func (c *claimRecorder) Release()                { c.calls += "not run " }
func (c *claimRecorder) MarkUnknown()            { c.calls += "unknown " }

// withServices adds the backend servers one and two of a plain service with the given
// faults; ran counts the calls that ran there.
func (b *testbed) withServices(faults serviceserver.Faults) (ran func() int) {
	var all [2]*serviceserver.Service
	for i, name := range []string{"one", "two"} {
		all[i] = serviceserver.New()
		all[i].SetFaults(faults)
		b.Cleanup(all[i].Close)
		b.services.Put(name, all[i])
		b.servers = append(b.servers, routing.Candidate{Engine: name, Domain: name, Slots: 8, Ready: true})
	}
	return func() (ran int) {
		for _, call := range append(all[0].Calls(), all[1].Calls()...) {
			ran += call.Count
		}
		return ran
	}
}

func (b *testbed) callService(method string, once bool, key string) error {
	_, err := b.relayer.Call(b.Context(), caller.ServiceCall{
		Identity: caller.Identity{Customer: "c"}, Service: contract.Service{Name: "desk", MaxWait: maxWait},
		Call: service.Call{RequestID: "r", Method: method, Path: "/x"}, AtMostOnce: once, IdempotencyKey: key, Arrived: time.Now(),
	})
	return err
}

// Guards against a call that must not be repeated being sent again after it ran and
// its answer was lost. The caller is told that it may have run; with an idempotency
// key its claim is kept.
func TestLostAnswerOfOnceCallIsNotRepeated(t *testing.T) {
	for _, test := range []struct {
		method, key, claims string
		once                bool
	}{{"POST", "", "", true}, {"POST", "k", "unknown ", true}, {"GET", "", "", true}, {"POST", "", "", false}} {
		runScenario(t, restartingVariant, func(b *testbed) {
			ran := b.withServices(serviceserver.Faults{LoseAnswers: 1})
			b.checkRefusal(b.callService(test.method, test.once, test.key), refusal.CodeOutcomeUnknown, refusal.RanMaybe)
			b.check(ran() == 1 && b.claims.calls == test.claims, "ran %d times, claims %q", ran(), b.claims.calls)
		})
	}
}

// Guards against a repeatable call that isn't sent again after its answer was lost,
// and against retries beyond the budget while all answers are lost.
func TestLostAnswersAreRetriedWithinBudget(t *testing.T) {
	for lost, calls := range map[int]int{1: 1, 1000: 20} {
		runScenario(t, map[int]*faultyVariant{1000: restartingVariant}[lost], func(b *testbed) {
			ran := b.withServices(serviceserver.Faults{LoseAnswers: lost})
			var err error
			for range calls {
				err = b.callService("GET", false, "")
			}
			b.check((err == nil) == (lost == 1) && ran() <= calls+calls/10+3, "%v, ran %d times", err, ran())
		})
	}
}

// Guards against a call that isn't sent elsewhere although its first attempt was not
// sent, also if it must run only once. With no server left it is refused in time with
// "ran: no" and its claim released. A call that hangs may have run.
func TestUnsentCallIsSentElsewhere(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		ran := b.withServices(serviceserver.Faults{})
		b.services.SetUnreachable("one", true)
		b.check(b.callService("POST", true, "k") == nil && ran() == 1, "not elsewhere")
		b.services.SetUnreachable("two", true)
		b.checkRefusal(b.callService("POST", true, "k"), refusal.CodeWaitTooLong, refusal.RanNo)
		b.check(b.claims.calls == "done not run ", "claims %q", b.claims.calls)
	})
	runScenario(t, nil, func(b *testbed) {
		b.withServices(serviceserver.Faults{Frozen: true})
		begun := time.Now()
		b.checkRefusal(b.callService("GET", false, ""), refusal.CodeOutcomeUnknown, refusal.RanMaybe)
		b.check(time.Since(begun) == maxWait, "took %v", time.Since(begun))
	})
}
