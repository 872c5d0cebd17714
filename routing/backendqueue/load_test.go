package backendqueue_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
	"bergamotreel/routing/backendqueue"
)

const (
	slots    = 6
	work     = 30 * time.Millisecond
	target   = 5 * work
	patience = 2500 * time.Millisecond
)

// fleet is a fleet of VMs and three backend servers in virtual time. Sums and counts of other VMs
// are half a second to a second old.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	events  []event
	vms     []*vm
	servers [3]server
	// deaf is how many VMs receive no reports.
	deaf  int
	total *stats
}

type vm struct {
	queues     *backendqueue.Queues
	router     *routing.Router
	waiting    []*request
	own, peers [3]int
}

// server rejects requests beyond its slots and queue. free is when each slot becomes free.
type server struct {
	gone            bool
	queue, inFlight int
	free            [slots]time.Time
}

type request struct {
	arrived, deadline time.Time
	returned          bool
	rejections        int
}

// stats counts callers' requests, those answered in time and refused twice, requests sent to backend
// servers and rejected by them, and arrivals that found a place empty while a request waited.
type stats struct{ requests, inTime, refusedTwice, sent, rejected, idle float64 }

type event struct {
	at  time.Time
	run func()
}

func newFleet(vms, queue int, seed int64) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0)}
	for range vms {
		f.vms = append(f.vms, &vm{queues: backendqueue.New(rand.New(rand.NewSource(f.rng.Int63()))), router: routing.New(routing.Config{}, f.rng)})
	}
	for b := range f.servers {
		f.servers[b].queue = queue
	}
	f.after(0, f.exchange)
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	e := event{f.now.Add(d), run}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.events = slices.Insert(f.events, i, e)
}

// exchange sums up what the VMs measured; they receive it half a second later.
func (f *fleet) exchange() {
	sum, counts := map[[2]string]backendqueue.Load{}, [3]int{}
	for _, v := range f.vms {
		for _, l := range v.queues.Report(f.now) {
			s := sum[[2]string{l.Service, l.Backend}]
			sum[[2]string{l.Service, l.Backend}] = backendqueue.Load{Service: l.Service, Backend: l.Backend, Arrived: s.Arrived + l.Arrived,
				Sent: s.Sent + l.Sent, Rejected: s.Rejected + l.Rejected, Work: s.Work + l.Work, Length: s.Length + l.Length, VMs: s.VMs + l.VMs}
		}
		for b := range counts {
			counts[b] += v.own[b]
		}
	}
	f.after(500*time.Millisecond, func() {
		for _, v := range f.vms[f.deaf:] {
			for b := range counts {
				v.peers[b] = max(0, counts[b]-v.own[b])
			}
			v.queues.SetFleet(f.now, slices.Collect(maps.Values(sum)))
			f.dispatch(v)
		}
	})
	f.after(500*time.Millisecond, f.exchange)
}

func (f *fleet) candidates(v *vm) (out []routing.Candidate) {
	for b := range f.servers {
		if !f.servers[b].gone {
			out = append(out, routing.Candidate{Engine: fmt.Sprint(b), Slots: slots, Ready: true, PeersInFlight: v.peers[b], PeersInFlightAge: 750 * time.Millisecond, Sharers: len(f.vms)})
		}
	}
	v.queues.Prepare(f.now, "booking", out)
	return out
}

func (f *fleet) arrive(v *vm, r *request) {
	f.candidates(v)
	if retryAfter, ok := v.queues.Admit(f.now, backendqueue.Request{Service: "booking", Target: target, Deadline: r.deadline, Waiting: len(v.waiting)}); ok {
		v.waiting = append(v.waiting, r)
		f.dispatch(v)
	} else {
		f.refuse(r, retryAfter)
	}
}

// refuse has a caller return once, at another VM.
func (f *fleet) refuse(r *request, retryAfter time.Duration) {
	if r.returned {
		f.total.refusedTwice++
		return
	}
	v := f.vms[f.rng.Intn(len(f.vms))]
	f.after(retryAfter, func() { f.arrive(v, &request{arrived: f.now, deadline: r.deadline, returned: true}) })
}

func (f *fleet) dispatch(v *vm) {
	for len(v.waiting) > 0 {
		choice, ok := v.router.Pick(f.now, routing.Query{Pool: "p"}, f.candidates(v))
		if !ok {
			return
		}
		r := v.waiting[0]
		v.waiting = v.waiting[1:]
		f.send(v, r, int(choice.Engine[0]-'0'))
	}
}

func (f *fleet) send(v *vm, r *request, b int) {
	sentAt, name, s := f.now, fmt.Sprint(b), &f.servers[b]
	v.router.RecordStart(f.now, name, "p", nil)
	v.own[b]++
	f.total.sent++
	finish := func(rejected bool) {
		v.own[b]--
		v.router.RecordFinish(f.now, name, routing.Result{OK: !rejected, NotRun: rejected, Pool: "p"})
		rejection := v.queues.RecordResult(f.now, "booking", name, f.now.Sub(sentAt), rejected)
		switch {
		case !rejected && f.now.Sub(r.arrived) <= target:
			f.total.inTime++
		case rejected:
			f.total.rejected++
			if r.rejections++; r.rejections == 2 || rejection.Overloaded {
				f.refuse(r, v.queues.RetryAfter(f.now, "booking", r.deadline.Sub(f.now)))
			} else {
				v.waiting = append([]*request{r}, v.waiting...)
			}
			f.after(rejection.Rest, func() { f.dispatch(v) })
		}
		f.dispatch(v)
	}
	if s.inFlight == slots+s.queue {
		f.after(2*time.Millisecond, func() { finish(true) })
		return
	}
	s.inFlight++
	slot := slices.IndexFunc(s.free[:], func(t time.Time) bool { return t.Equal(slices.MinFunc(s.free[:], time.Time.Compare)) })
	s.free[slot] = slices.MaxFunc([]time.Time{s.free[slot], f.now}, time.Time.Compare).Add(work)
	f.after(s.free[slot].Sub(f.now), func() {
		s.inFlight--
		f.after(time.Millisecond, func() { finish(false) })
	})
}

// isIdle reports whether a place is empty while a request waits.
func (f *fleet) isIdle() bool {
	return slices.ContainsFunc(f.servers[:], func(s server) bool { return !s.gone && s.inFlight < slots }) &&
		slices.ContainsFunc(f.vms, func(v *vm) bool { return len(v.waiting) > 0 })
}

// load lets requests arrive at a rate for a time, at VMs with uneven shares, and adds what
// happens to total.
func (f *fleet) load(total *stats, perSecond float64, span time.Duration) {
	f.total = total
	end := f.now.Add(span)
	var next func()
	next = func() {
		if !f.now.Before(end) {
			return
		}
		f.total.requests++
		if f.isIdle() {
			f.total.idle++
		}
		f.arrive(f.vms[int(math.Pow(f.rng.Float64(), 1.6)*float64(len(f.vms)))], &request{arrived: f.now, deadline: f.now.Add(patience)})
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
	for f.events[0].at.Before(end) {
		e := f.events[0]
		f.events, f.now = f.events[1:], e.at
		e.run()
	}
}

// Guards against places that stay empty while requests wait at VMs that learn of them a second late,
// and against VMs that fill the queues of backend servers until these reject requests. Queues of 4
// are too short for the load: at 0.66 of the places in use they reject 1 in 100 random arrivals.
func TestLoadOnFewPlaces(t *testing.T) {
	for _, c := range []struct {
		vms, queue         int
		inTime, nineTenths float64
	}{
		{8, 6, 0.85, 0.75}, {8, 12, 0.95, 0.85},
		{62, 4, 0.75, 0.65}, {62, 6, 0.85, 0.75}, {62, 12, 0.95, 0.85},
		{300, 6, 0.85, 0.75}, {300, 12, 0.95, 0.85},
	} {
		var left, after, busy, jump, overload, back, other stats
		for seed := range 4 {
			f := newFleet(c.vms, c.queue, int64(seed))
			f.load(&other, 155, 20*time.Second)
			f.servers[1].gone, f.servers[2].gone = true, true
			f.load(&left, 155, time.Second)
			f.load(&after, 155, 30*time.Second)
			f.load(&busy, 180, 20*time.Second)
			f.load(&jump, 400, 2*time.Second)
			f.load(&overload, 400, 20*time.Second)
			f.load(&other, 155, 8*time.Second)
			f.servers[1].gone, f.servers[2].gone = false, false
			f.load(&back, 155, time.Second)
		}
		t.Logf("%d VMs, queue %d: in time %.3f in the first second, %.3f after, %.3f of 180/s, %.3f when back; rejected %.4f after, %.4f of 180/s, %.4f of 400/s (%.2f in its first two seconds); refused twice %.3f, %.3f, %.3f; in time of 400/s %.0f/s; idle %.4f",
			c.vms, c.queue, left.inTime/left.requests, after.inTime/after.requests, busy.inTime/busy.requests, back.inTime/back.requests,
			after.rejected/after.sent, busy.rejected/busy.sent, overload.rejected/overload.sent, jump.rejected/jump.sent, after.refusedTwice/after.requests, busy.refusedTwice/busy.requests, overload.refusedTwice/overload.requests, overload.inTime/80, after.idle/after.requests)
		for name, ok := range map[string]bool{
			"in time in the first second":   left.inTime >= 0.75*left.requests && back.inTime >= 0.75*back.requests,
			"in time":                       after.inTime >= c.inTime*after.requests,
			"in time at nine tenths":        busy.inTime >= c.nineTenths*busy.requests,
			"rejected":                      after.rejected < 0.01*after.sent,
			"rejected at nine tenths":       busy.rejected < 0.01*busy.sent,
			"rejected or late in overload":  overload.rejected < 0.01*overload.sent && overload.inTime >= 80*110,
			"empty places and waiting ones": after.idle < 0.02*after.requests,
		} {
			testkit.That(t, ok, "%d VMs, queue of %d: %s", c.vms, c.queue, name)
		}
	}
}
