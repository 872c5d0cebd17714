package admission

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
)

var epoch = time.Unix(1_000_000, 0)

func newShopController(k contract.Contract) *Controller {
	c := New(Config{})
	k.Customer = "shop"
	c.SetContracts(map[string]*contract.Contract{"shop": &k})
	return c
}

// newRequest returns a request for unit "m" with the given maximum wait.
func newRequest(now time.Time, wait time.Duration) Request {
	return Request{Customer: "shop", Unit: "m", Pool: "m", Arrived: now, Deadline: now.Add(wait)}
}

func mustSubmit(t *testing.T, c *Controller, now time.Time, r Request) *Ticket {
	t.Helper()
	ticket, refused := c.Submit(now, r)
	testkit.Need(t, refused == nil, "%v", refused)
	return ticket
}

func checkRefusal(t *testing.T, got *refusal.Refusal, code refusal.Code, minRetry, maxRetry time.Duration) {
	t.Helper()
	if got == nil {
		t.Errorf("not refused, want %s", code)
		return
	}
	testkit.That(t, got.Code == code && got.Ran == refusal.RanNo && got.RetryAfter >= minRetry && got.RetryAfter <= maxRetry,
		"refused with %v after %s, want %s after %s to %s", got, got.RetryAfter, code, minRetry, maxRetry)
}

// Each refusal must name its cause and a retry delay that follows from the bucket,
// the queue or the load in progress.
func TestRefusalsOnArrival(t *testing.T) {
	cases := map[string]struct {
		contract    contract.Contract
		setUp       func(c *Controller)
		wait        time.Duration
		priority    int
		code        refusal.Code
		least, most time.Duration
	}{
		"no contract": {setUp: func(c *Controller) { c.SetContracts(nil) }, wait: time.Minute, code: refusal.CodeUnknownKey},
		"over the rate": {
			contract: contract.Contract{RequestsPerSecond: 2, Burst: 4},
			setUp:    submitRequests(12),
			// 4 tokens are used and 8 requests held; the 13th waits for the 9th token.
			wait: time.Minute, code: refusal.CodeRateLimited, least: 4400 * time.Millisecond, most: 4500 * time.Millisecond,
		},
		"rate too slow for its wait": {
			contract: contract.Contract{RequestsPerSecond: 2, Burst: 4},
			setUp:    submitRequests(6),
			wait:     time.Second, code: refusal.CodeRateLimited, least: 1500 * time.Millisecond, most: 1500 * time.Millisecond,
		},
		"queue full, nothing dispatched": {
			contract: contract.Contract{MaxQueued: 3}, setUp: submitRequests(3),
			wait: time.Minute, code: refusal.CodeQueueFull, least: defaultRetryAfter, most: defaultRetryAfter,
		},
		"queue full, 2 a second dispatched": {
			contract: contract.Contract{MaxQueued: 100}, setUp: dispatchTwoPerSecond,
			// Half of 100 at 2 per second.
			wait: time.Hour, code: refusal.CodeQueueFull, least: 24 * time.Second, most: 27 * time.Second,
		},
		"load takes too long": {
			setUp: func(c *Controller) { c.SetReadyTime("m", epoch.Add(8*time.Second), true) },
			wait:  5 * time.Second, code: refusal.CodeWaitTooLong, least: 8 * time.Second, most: 8 * time.Second,
		},
		"wait over": {
			setUp: func(*Controller) {}, wait: 0, code: refusal.CodeWaitTooLong, least: minRetryAfter, most: minRetryAfter,
		},
		"queue too slow": {
			contract: contract.Contract{MaxQueued: 200}, setUp: dispatchTwoPerSecond,
			wait: 10 * time.Second, priority: -1, code: refusal.CodeWaitTooLong, least: 45 * time.Second, most: 55 * time.Second,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newShopController(test.contract)
			test.setUp(c)
			r := newRequest(epoch, test.wait)
			r.Priority = test.priority
			_, refused := c.Submit(epoch, r)
			checkRefusal(t, refused, test.code, test.least, test.most)
		})
	}
}

func submitRequests(n int) func(*Controller) {
	return func(c *Controller) {
		for range n {
			c.Submit(epoch, newRequest(epoch, time.Minute))
		}
	}
}

// dispatchTwoPerSecond leaves 100 requests waiting after a minute with two
// dispatches per second.
func dispatchTwoPerSecond(c *Controller) {
	for at := -time.Minute; at <= 0; at += 500 * time.Millisecond {
		for c.waitingCount < 100 {
			c.Submit(epoch.Add(at), newRequest(epoch.Add(at), time.Hour))
		}
		c.Next(epoch.Add(at), "m", nil)
	}
	c.Submit(epoch, newRequest(epoch, time.Hour))
}

// A waiting request must be refused as soon as its load is known to take too long,
// not at its deadline, so that its caller can go elsewhere. Requests that can wait
// stay.
func TestWaitingRequestIsRefusedOnceLoadTakesTooLong(t *testing.T) {
	c := newShopController(contract.Contract{})
	short := mustSubmit(t, c, epoch, newRequest(epoch, 5*time.Second))
	mustSubmit(t, c, epoch, newRequest(epoch, time.Minute))
	c.SetReadyTime("m", epoch.Add(20*time.Second), true)
	at, ok := c.NextExpiry()
	testkit.That(t, ok && !at.After(epoch), "next expiry at %s, want at once", at)
	expired := c.Expire(epoch)
	testkit.Need(t, len(expired) == 1 && expired[0].Ticket == short, "expired %v", expired)
	checkRefusal(t, expired[0].Refusal, refusal.CodeWaitTooLong, 20*time.Second, 20*time.Second)
	c.SetReadyTime("m", time.Time{}, false)
	mustSubmit(t, c, epoch, newRequest(epoch, 5*time.Second))
}

// If the first token takes at least a second, a request with half a second left
// cannot meet its deadline. Kept waiting, it would occupy a slot and still be late.
func TestExpiresBeforeFirstTokenWouldBeLate(t *testing.T) {
	c := newShopController(contract.Contract{MaxQueued: 50})
	for range minFirstTokenSamples {
		mustSubmit(t, c, epoch, newRequest(epoch, time.Minute))
		c.Finish(epoch, c.Next(epoch, "m", nil), Outcome{OK: true, TimeToFirstToken: time.Second, ServiceTime: 5 * time.Second})
	}
	mustSubmit(t, c, epoch, newRequest(epoch, 10*time.Second))
	at, ok := c.NextExpiry()
	want := epoch.Add(9 * time.Second)
	testkit.Need(t, ok && at.Equal(want), "next expiry at %s, want %s", at, want)
	early := c.Expire(at.Add(-time.Millisecond))
	testkit.That(t, len(early) == 0, "expired early: %v", early)
	due := c.Expire(at)
	testkit.That(t, len(due) == 1, "%d expired when due", len(due))
}

// If one customer fills the queue of the whole VM, the other customer's requests must
// still be accepted, and the queue must stay bounded.
func TestFullQueueDoesNotExcludeOtherCustomers(t *testing.T) {
	c := New(Config{MaxQueued: 20})
	c.SetContracts(map[string]*contract.Contract{
		"shop": {Customer: "shop", MaxQueued: 1000}, "other": {Customer: "other", MaxQueued: 1000},
	})
	accepted := map[string]int{}
	for _, name := range []string{"shop", "other"} {
		for range 100 {
			r := newRequest(epoch, time.Minute)
			r.Customer = name
			if _, refused := c.Submit(epoch, r); refused == nil {
				accepted[name]++
			}
		}
	}
	testkit.That(t, accepted["shop"] == 20 && accepted["other"] == 5, "accepted %v, want 20 and 5", accepted)
}

// If a contract ends while its requests wait, they must be refused at once.
func TestEndedContractRefusesWaiting(t *testing.T) {
	c := newShopController(contract.Contract{})
	mustSubmit(t, c, epoch, newRequest(epoch, time.Minute))
	c.SetContracts(nil)
	expired := c.Expire(epoch)
	testkit.Need(t, len(expired) == 1, "expired %v", expired)
	checkRefusal(t, expired[0].Refusal, refusal.CodeUnknownKey, 0, 0)
	testkit.That(t, len(c.customers) == 0, "the customer's state was not deleted")
}

// Within a customer, tickets are ordered by priority, then by deadline. A requeued
// ticket keeps its place.
func TestOrderWithinCustomer(t *testing.T) {
	c := newShopController(contract.Contract{})
	for i, r := range []struct {
		priority int
		wait     time.Duration
	}{{0, 30}, {0, 20}, {5, 40}, {0, 20}} {
		req := newRequest(epoch, r.wait*time.Second)
		req.ID, req.Priority = fmt.Sprint(i), r.priority
		mustSubmit(t, c, epoch, req)
	}
	first := c.Next(epoch, "m", nil)
	c.Requeue(epoch, first)
	var order string
	for t := c.Next(epoch, "m", nil); t != nil; t = c.Next(epoch, "m", nil) {
		order += t.ID
	}
	testkit.That(t, order == "2130", "order %s, want 2130", order)
}

// A unit that is not loaded must block neither other units of its customer nor other
// customers.
func TestUnloadedUnitDoesNotBlockOthers(t *testing.T) {
	c := newShopController(contract.Contract{MaxQueued: 100})
	for range 50 {
		r := newRequest(epoch, 10*time.Second)
		r.Unit, r.Priority = "cold", 9
		mustSubmit(t, c, epoch, r)
	}
	mustSubmit(t, c, epoch, newRequest(epoch, 20*time.Second))
	fitsCalls := 0
	got := c.Next(epoch, "m", func(t *Ticket) bool { fitsCalls++; return t.Unit == "m" })
	testkit.That(t, got != nil && got.Unit == "m", "got %v", got)
	testkit.That(t, fitsCalls == maxFitFailuresPerUnit+1, "fits was called %d times", fitsCalls)
}

// Retries must stay at a tenth of the traffic however many requests fail.
func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	retried := 0
	for i := range 6000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		b.RecordRequest(now)
		if b.AllowRetry(now) {
			retried++
		}
	}
	testkit.That(t, retried >= 500 && retried <= 700, "%d retries of 6000 requests", retried)
}

// RetryBudget.Share must apply, and a negative one must leave only minRetries.
func TestRetryShare(t *testing.T) {
	for share, maxRetries := range map[float64]int{-1: 10, 0.5: 600} {
		b := RetryBudget{Share: share}
		retried := 0
		for i := range 1000 {
			b.RecordRequest(epoch.Add(time.Duration(i) * 10 * time.Millisecond))
			if b.AllowRetry(epoch.Add(time.Duration(i) * 10 * time.Millisecond)) {
				retried++
			}
		}
		testkit.That(t, retried <= maxRetries && (share <= 0 || retried >= 300), "share %v: %d retries of 1000 requests", share, retried)
	}
}
