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

// claims notes what becomes of a test's claims.
type claims struct{ ends string }

func (c *claims) Begin(context.Context, caller.ServiceCall) (serving.Claim, *service.Answer, error) {
	return c, nil, nil
}
func (c *claims) Done(service.Answer) { c.ends += "done " }
func (c *claims) NotRun()             { c.ends += "not run " }
func (c *claims) Unknown()            { c.ends += "unknown " }

// withServices adds the backend servers one and two of a plain service, with
// faults; ran counts the calls that ran there.
func (b *bed) withServices(faults serviceserver.Faults) (ran func() int) {
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
			ran += call.Times
		}
		return ran
	}
}

func (b *bed) call(method string, once bool, key string) error {
	_, err := b.relayer.Call(b.Context(), caller.ServiceCall{
		Identity: caller.Identity{Customer: "c"}, Service: contract.Service{Name: "desk", MaxWait: maxWait},
		Call: service.Call{RequestID: "r", Method: method, Path: "/x"}, AtMostOnce: once, IdempotencyKey: key, Arrived: time.Now(),
	})
	return err
}

// A booking runs and its answer is lost. The caller is told that it may have
// run; a second one would be a second booking. With a key the claim is kept.
func TestLostAnswerOfAOnceCall(t *testing.T) {
	for _, test := range []struct {
		method, key, claims string
		once                bool
	}{{"POST", "", "", true}, {"POST", "k", "unknown ", true}, {"GET", "", "", true}, {"POST", "", "", false}} {
		script(t, reopens, func(b *bed) {
			ran := b.withServices(serviceserver.Faults{LoseAnswers: 1})
			b.wantRefused(b.call(test.method, test.once, test.key), refusal.CodeOutcomeUnknown, refusal.RanMaybe)
			b.want(ran() == 1 && b.claims.ends == test.claims, "ran %d times, claims %q", ran(), b.claims.ends)
		})
	}
}

// A repeatable call whose answer is lost is sent again, within the budget of
// retries: while all answers are lost, few are.
func TestLostAnswerOfARepeatableCall(t *testing.T) {
	for lost, calls := range map[int]int{1: 1, 1000: 20} {
		script(t, map[int]*naive{1000: reopens}[lost], func(b *bed) {
			ran := b.withServices(serviceserver.Faults{LoseAnswers: lost})
			var err error
			for range calls {
				err = b.call("GET", false, "")
			}
			b.want((err == nil) == (lost == 1) && ran() <= calls+calls/10+3, "%v, ran %d times", err, ran())
		})
	}
}

// A call that was not sent goes elsewhere, also one that may run but once; with
// nowhere to go it is refused in time with "ran: no", and its claim given back.
// One that hangs may have run.
func TestCallThatWasNotSentGoesElsewhere(t *testing.T) {
	script(t, nil, func(b *bed) {
		ran := b.withServices(serviceserver.Faults{})
		b.services.Cut("one", true)
		b.want(b.call("POST", true, "k") == nil && ran() == 1, "not elsewhere")
		b.services.Cut("two", true)
		b.wantRefused(b.call("POST", true, "k"), refusal.CodeWaitTooLong, refusal.RanNo)
		b.want(b.claims.ends == "done not run ", "claims %q", b.claims.ends)
	})
	script(t, nil, func(b *bed) {
		b.withServices(serviceserver.Faults{Frozen: true})
		begun := time.Now()
		b.wantRefused(b.call("GET", false, ""), refusal.CodeOutcomeUnknown, refusal.RanMaybe)
		b.want(time.Since(begun) == maxWait, "took %v", time.Since(begun))
	})
}
