package backendqueue_test

import (
	"math"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
	"bergamotreel/routing/backendqueue"
)

var start = time.Unix(1000, 0)

func prepare(q *backendqueue.Queues, now time.Time, change func(*routing.Candidate)) routing.Candidate {
	c := routing.Candidate{Engine: "b", Slots: 6, Ready: true, Sharers: 62, PeersInFlight: 9}
	change(&c)
	candidates := []routing.Candidate{c}
	q.Prepare(now, "s", candidates)
	return candidates[0]
}

func newQueues() *backendqueue.Queues { return backendqueue.New(rand.New(rand.NewSource(1))) }

// Guards against rejections by servers that crash from them, and against changes to services with
// enough places.
func TestExcludedServersAreUnchanged(t *testing.T) {
	for name, change := range map[string]func(*routing.Candidate){
		"permits":     func(c *routing.Candidate) { c.PermitRequired = true },
		"many places": func(c *routing.Candidate) { c.Slots = 124 },
		"no slots":    func(c *routing.Candidate) { c.Slots = -1 },
	} {
		q := newQueues()
		var want routing.Candidate
		got := prepare(q, start, func(c *routing.Candidate) { c.Sharers = 62; change(c); want = *c })
		testkit.That(t, reflect.DeepEqual(got, want), "%s: %+v", name, got)
		_, ok := q.Admit(start, backendqueue.Request{Service: "s"})
		testkit.That(t, ok, "%s: a request is refused", name)
	}
	testkit.Equal(t, "queue of a new server", prepare(newQueues(), start, func(*routing.Candidate) {}).QueueLength, 3)
}

// Guards against a VM that refuses all requests, or fills queues without end, because of another
// VM's invalid values.
func TestInvalidLoads(t *testing.T) {
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300} {
		q := newQueues()
		for i := range 30 {
			now := start.Add(time.Duration(i) * time.Second)
			c := prepare(q, now, func(*routing.Candidate) {})
			testkit.That(t, c.QueueLength >= 0 && c.QueueLength <= 6, "%v: queue of %d", bad, c.QueueLength)
			_, ok := q.Admit(now, backendqueue.Request{Service: "s", Deadline: now.Add(time.Second)})
			testkit.That(t, ok, "%v: a request is refused", bad)
			q.RecordResult(now, "s", "b", 30*time.Millisecond, false)
			q.SetFleet(now, []backendqueue.Load{{Service: "s", Arrived: bad, Sent: bad, Work: bad}, {Service: "s", Backend: "b", Sent: bad, Rejected: bad, Length: bad, VMs: -3}, {Service: "x", VMs: 2}})
		}
	}
}

// Guards against lengths that grow with repeated or late reports, as after a VM froze, and against
// a restarted VM that refuses requests until its own length has grown.
func TestLengthFollowsReports(t *testing.T) {
	q := newQueues()
	queue := func(now time.Time) int { return prepare(q, now, func(*routing.Candidate) {}).QueueLength }
	loads := []backendqueue.Load{{Service: "s", Backend: "b", Sent: 100, Length: 62 * 4, VMs: 62}}
	queue(start)
	q.SetFleet(start, loads)
	testkit.Equal(t, "adopted length, grown for a second", queue(start), 5)
	for range 100 {
		q.SetFleet(start, loads)
	}
	testkit.Equal(t, "length after repeated reports", queue(start), 5)
	q.Admit(start, backendqueue.Request{Service: "s", Target: time.Second})
	q.RecordResult(start, "s", "b", 30*time.Millisecond, false)
	q.SetFleet(start.Add(time.Hour), loads)
	testkit.Equal(t, "length after a freeze", queue(start.Add(time.Hour)), 6)
	loads[0].Rejected = 10
	for i := range 3 {
		q.SetFleet(start.Add(time.Hour+time.Duration(i)*400*time.Millisecond), loads)
	}
	testkit.Equal(t, "length after rejections", queue(start.Add(time.Hour)), 3)
}

// Guards against refused callers that return all at once, or later than they can use.
func TestReturnsAreSpread(t *testing.T) {
	q := newQueues()
	prepare(q, start, func(*routing.Candidate) {})
	q.RecordResult(start, "s", "b", 30*time.Millisecond, false)
	q.SetFleet(start, []backendqueue.Load{{Service: "s", Arrived: 2000, Sent: 100, Work: 3}})
	delays := map[time.Duration]int{}
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		delay, ok := q.Admit(now, backendqueue.Request{Service: "s", Deadline: now.Add(3 * time.Second)})
		testkit.That(t, ok || (delay >= 400*time.Millisecond && delay <= time.Second), "returns after %s", delay)
		delays[delay]++
	}
	testkit.That(t, len(delays) >= 5 && delays[0] > 0, "returns after %v", delays)
}

// Guards against a VM that can hear nobody, and so takes its own requests for all, but whose
// requests fill the queues of the others.
func TestVMsThatHearNobody(t *testing.T) {
	f := newFleet(62, 12, 1)
	f.servers[1].gone, f.servers[2].gone = true, true
	var before, s stats
	f.load(&before, 155, 10*time.Second)
	f.deaf = 20
	f.load(&s, 155, 20*time.Second)
	testkit.That(t, s.inTime >= 0.9*s.requests && s.rejected < 0.01*s.sent, "%+v", s)
}
