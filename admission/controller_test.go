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

func oneShop(k contract.Contract) *Controller {
	c := New(Config{})
	k.Customer = "shop"
	c.SetContracts(map[string]*contract.Contract{"shop": &k})
	return c
}

// request is for unit "m" with the given longest wait.
func request(now time.Time, wait time.Duration) Request {
	return Request{Customer: "shop", Unit: "m", Pool: "m", Arrived: now, Deadline: now.Add(wait)}
}

func arrive(t *testing.T, c *Controller, now time.Time, r Request) *Ticket {
	t.Helper()
	ticket, refused := c.Submit(now, r)
	testkit.Need(t, refused == nil, "%v", refused)
	return ticket
}

func checkRefusal(t *testing.T, got *refusal.Refusal, code refusal.Code, least, most time.Duration) {
	t.Helper()
	if got == nil {
		t.Errorf("not refused, want %s", code)
		return
	}
	testkit.That(t, got.Code == code && got.Ran == refusal.RanNo && got.RetryAfter >= least && got.RetryAfter <= most,
		"refused with %v after %s, want %s after %s to %s", got, got.RetryAfter, code, least, most)
}

// Each refusal names its cause and a time to come back that follows from the
// bucket, the queue or the load under way.
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
			setUp:    fill(12),
			// 4 tokens, 8 held; the 13th has to wait for the 9th token.
			wait: time.Minute, code: refusal.CodeRateLimited, least: 4400 * time.Millisecond, most: 4500 * time.Millisecond,
		},
		"rate too slow for its wait": {
			contract: contract.Contract{RequestsPerSecond: 2, Burst: 4},
			setUp:    fill(6),
			wait:     time.Second, code: refusal.CodeRateLimited, least: 1500 * time.Millisecond, most: 1500 * time.Millisecond,
		},
		"queue full, nothing dispatched": {
			contract: contract.Contract{MaxQueued: 3}, setUp: fill(3),
			wait: time.Minute, code: refusal.CodeQueueFull, least: retryUnknown, most: retryUnknown,
		},
		"queue full, 2 a second dispatched": {
			contract: contract.Contract{MaxQueued: 100}, setUp: drainTwoASecond,
			// Half of 100 at 2 a second.
			wait: time.Hour, code: refusal.CodeQueueFull, least: 24 * time.Second, most: 27 * time.Second,
		},
		"load takes too long": {
			setUp: func(c *Controller) { c.SetReadyTime("m", epoch.Add(8*time.Second), true) },
			wait:  5 * time.Second, code: refusal.CodeWaitTooLong, least: 8 * time.Second, most: 8 * time.Second,
		},
		"wait over": {
			setUp: func(*Controller) {}, wait: 0, code: refusal.CodeWaitTooLong, least: retrySoon, most: retrySoon,
		},
		"queue too slow": {
			contract: contract.Contract{MaxQueued: 200}, setUp: drainTwoASecond,
			wait: 10 * time.Second, priority: -1, code: refusal.CodeWaitTooLong, least: 45 * time.Second, most: 55 * time.Second,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := oneShop(test.contract)
			test.setUp(c)
			r := request(epoch, test.wait)
			r.Priority = test.priority
			_, refused := c.Submit(epoch, r)
			checkRefusal(t, refused, test.code, test.least, test.most)
		})
	}
}

func fill(n int) func(*Controller) {
	return func(c *Controller) {
		for range n {
			c.Submit(epoch, request(epoch, time.Minute))
		}
	}
}

// drainTwoASecond leaves 100 waiting, after a minute of two dispatches a second.
func drainTwoASecond(c *Controller) {
	for at := -time.Minute; at <= 0; at += 500 * time.Millisecond {
		for c.waiting < 100 {
			c.Submit(epoch.Add(at), request(epoch.Add(at), time.Hour))
		}
		c.Next(epoch.Add(at), "m", nil)
	}
	c.Submit(epoch, request(epoch, time.Hour))
}

// A waiting request is refused as soon as its load is known to take too long,
// not at its deadline: its caller can go elsewhere meanwhile. Those who can wait
// stay.
func TestLoadThatTakesTooLongRefusesAtOnce(t *testing.T) {
	c := oneShop(contract.Contract{})
	short := arrive(t, c, epoch, request(epoch, 5*time.Second))
	arrive(t, c, epoch, request(epoch, time.Minute))
	c.SetReadyTime("m", epoch.Add(20*time.Second), true)
	at, ok := c.NextExpiry()
	testkit.That(t, ok && !at.After(epoch), "next expiry at %s, want at once", at)
	expired := c.Expire(epoch)
	testkit.Need(t, len(expired) == 1 && expired[0].Ticket == short, "expired %v", expired)
	checkRefusal(t, expired[0].Refusal, refusal.CodeWaitTooLong, 20*time.Second, 20*time.Second)
	c.SetReadyTime("m", time.Time{}, false)
	arrive(t, c, epoch, request(epoch, 5*time.Second))
}

// The first token takes a second at least. A request with half a second left
// can't make it; kept waiting, it would take a slot and still come late.
func TestExpiresBeforeFirstTokenWouldBeLate(t *testing.T) {
	c := oneShop(contract.Contract{MaxQueued: 50})
	for range firstTokenLeast {
		arrive(t, c, epoch, request(epoch, time.Minute))
		c.Finish(epoch, c.Next(epoch, "m", nil), Outcome{OK: true, TimeToFirstToken: time.Second, ServiceTime: 5 * time.Second})
	}
	arrive(t, c, epoch, request(epoch, 10*time.Second))
	at, ok := c.NextExpiry()
	want := epoch.Add(9 * time.Second)
	testkit.Need(t, ok && at.Equal(want), "next expiry at %s, want %s", at, want)
	early := c.Expire(at.Add(-time.Millisecond))
	testkit.That(t, len(early) == 0, "expired early: %v", early)
	due := c.Expire(at)
	testkit.That(t, len(due) == 1, "%d expired when due", len(due))
}

// One customer fills the queue of the whole VM. The other's requests still get
// in, and the queue stays bounded.
func TestFullQueueShutsNobodyOut(t *testing.T) {
	c := New(Config{MaxQueued: 20})
	c.SetContracts(map[string]*contract.Contract{
		"shop": {Customer: "shop", MaxQueued: 1000}, "other": {Customer: "other", MaxQueued: 1000},
	})
	taken := map[string]int{}
	for _, name := range []string{"shop", "other"} {
		for range 100 {
			r := request(epoch, time.Minute)
			r.Customer = name
			if _, refused := c.Submit(epoch, r); refused == nil {
				taken[name]++
			}
		}
	}
	testkit.That(t, taken["shop"] == 20 && taken["other"] == 5, "taken %v, want 20 and 5", taken)
}

// A contract ends while its requests wait: they get an answer at once.
func TestEndedContractRefusesWaiting(t *testing.T) {
	c := oneShop(contract.Contract{})
	arrive(t, c, epoch, request(epoch, time.Minute))
	c.SetContracts(nil)
	expired := c.Expire(epoch)
	testkit.Need(t, len(expired) == 1, "expired %v", expired)
	checkRefusal(t, expired[0].Refusal, refusal.CodeUnknownKey, 0, 0)
	testkit.That(t, len(c.customers) == 0, "the customer is still remembered")
}

// Within a customer, priority goes first, then the earliest deadline; a ticket
// that is put back keeps its place.
func TestOrderWithinCustomer(t *testing.T) {
	c := oneShop(contract.Contract{})
	for i, r := range []struct {
		priority int
		wait     time.Duration
	}{{0, 30}, {0, 20}, {5, 40}, {0, 20}} {
		req := request(epoch, r.wait*time.Second)
		req.ID, req.Priority = fmt.Sprint(i), r.priority
		arrive(t, c, epoch, req)
	}
	first := c.Next(epoch, "m", nil)
	c.Requeue(epoch, first)
	var order string
	for t := c.Next(epoch, "m", nil); t != nil; t = c.Next(epoch, "m", nil) {
		order += t.ID
	}
	testkit.That(t, order == "2130", "order %s, want 2130", order)
}

// A unit that is not loaded holds up neither other units of its customer nor
// other customers.
func TestUnloadedUnitHoldsNothingUp(t *testing.T) {
	c := oneShop(contract.Contract{MaxQueued: 100})
	for range 50 {
		r := request(epoch, 10*time.Second)
		r.Unit, r.Priority = "cold", 9
		arrive(t, c, epoch, r)
	}
	arrive(t, c, epoch, request(epoch, 20*time.Second))
	asked := 0
	got := c.Next(epoch, "m", func(t *Ticket) bool { asked++; return t.Unit == "m" })
	testkit.That(t, got != nil && got.Unit == "m", "got %v", got)
	testkit.That(t, asked == fitsPerUnit+1, "asked %d times", asked)
}

// Retries stay a tenth of the traffic however much fails.
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

// The operator's share of retries counts, and 0 of it leaves only the floor.
func TestRetryShare(t *testing.T) {
	for share, most := range map[float64]int{-1: 10, 0.5: 600} {
		b := RetryBudget{Share: share}
		retried := 0
		for i := range 1000 {
			b.RecordRequest(epoch.Add(time.Duration(i) * 10 * time.Millisecond))
			if b.AllowRetry(epoch.Add(time.Duration(i) * 10 * time.Millisecond)) {
				retried++
			}
		}
		testkit.That(t, retried <= most && (share <= 0 || retried >= 300), "share %v: %d retries of 1000 requests", share, retried)
	}
}
