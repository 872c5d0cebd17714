package replay

import (
	"slices"
	"strconv"
	"time"

	"bergamotreel/admission"
	"bergamotreel/contract"
	"bergamotreel/placement"
)

// queue holds the waiting requests of one router.
type queue interface {
	// submit queues a request. It reports false if it refuses the request.
	submit(now time.Time, r *request) bool
	// next removes and returns the next request of the pool for which fits returns
	// true, nil if there is none. overFairShare is whether the customer is above its
	// fair share.
	next(now time.Time, pool string, fits func(r *request, overFairShare bool) bool) *request
	// requeue puts back a request whose engine was lost.
	requeue(now time.Time, r *request)
	finish(now time.Time, r *request)
	// expire removes and returns the requests that cannot get their first token
	// within their maximum wait.
	expire(now time.Time) []*request
	// setReadyTime sets when a unit that is being loaded is expected to be ready;
	// with known false it removes the time.
	setReadyTime(unit string, at time.Time, known bool)
	demand(now time.Time) []placement.Demand
	// drain empties the queue and returns its requests, in order of arrival.
	drain(now time.Time) []*request
}

// fairQueue is a queue with the daemon's own admission.
type fairQueue struct {
	ctrl     *admission.Controller
	requests map[string]*request
}

func newFairQueue(contracts map[string]*contract.Contract, routers int) *fairQueue {
	q := &fairQueue{ctrl: admission.New(admission.Config{}), requests: make(map[string]*request)}
	q.ctrl.SetContracts(contracts)
	q.ctrl.SetVMs(routers, routers-1)
	return q
}

func (q *fairQueue) submit(now time.Time, r *request) bool {
	id := strconv.Itoa(r.id)
	t, refused := q.ctrl.Submit(now, admission.Request{
		ID: id, Customer: r.unit.customer, Unit: r.unit.name, Pool: r.unit.pool(),
		Priority: r.unit.priority, Arrived: now, Deadline: epoch.Add(r.deadline),
	})
	if refused != nil {
		return false
	}
	r.ticket = t
	q.requests[id] = r
	return true
}

func (q *fairQueue) next(now time.Time, pool string, fits func(*request, bool) bool) *request {
	t := q.ctrl.Next(now, pool, func(t *admission.Ticket) bool { return fits(q.requests[t.ID], t.OverFairShare) })
	if t == nil {
		return nil
	}
	return q.requests[t.ID]
}

func (q *fairQueue) requeue(now time.Time, r *request) { q.ctrl.Requeue(now, r.ticket) }

func (q *fairQueue) finish(now time.Time, r *request) {
	q.ctrl.Finish(now, r.ticket, admission.Outcome{OK: true})
	delete(q.requests, r.ticket.ID)
}

func (q *fairQueue) expire(now time.Time) []*request {
	var out []*request
	for _, e := range q.ctrl.Expire(now) {
		out = append(out, q.requests[e.Ticket.ID])
		delete(q.requests, e.Ticket.ID)
	}
	return out
}

func (q *fairQueue) setReadyTime(unit string, at time.Time, known bool) {
	q.ctrl.SetReadyTime(unit, at, known)
}

func (q *fairQueue) demand(now time.Time) []placement.Demand {
	var out []placement.Demand
	for _, d := range q.ctrl.Demand(now) {
		out = append(out, placement.Demand{Unit: d.Unit, Customer: d.Customer, Waiting: d.Waiting, EarliestDeadline: d.EarliestDeadline, Priority: d.Priority})
	}
	return out
}

func (q *fairQueue) drain(now time.Time) []*request {
	var out []*request
	for _, r := range q.requests {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *request) int { return a.id - b.id })
	for _, r := range out {
		q.ctrl.Cancel(now, r.ticket)
	}
	clear(q.requests)
	return out
}

// fifoQueue serves requests in order of arrival until their deadline, without
// fairness, limits or early refusal.
type fifoQueue struct {
	waiting []*request
	running map[*request]bool
}

func newFIFOQueue() *fifoQueue { return &fifoQueue{running: make(map[*request]bool)} }

func (q *fifoQueue) submit(_ time.Time, r *request) bool {
	q.waiting = append(q.waiting, r)
	return true
}

func (q *fifoQueue) next(now time.Time, pool string, fits func(*request, bool) bool) *request {
	tried := make(map[*unit]bool)
	for i, r := range q.waiting {
		if r.unit.pool() != pool || tried[r.unit] || now.After(epoch.Add(r.deadline)) {
			continue
		}
		if fits(r, false) {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			q.running[r] = true
			return r
		}
		tried[r.unit] = true
	}
	return nil
}

func (q *fifoQueue) requeue(_ time.Time, r *request) {
	delete(q.running, r)
	q.waiting = append([]*request{r}, q.waiting...)
}

func (q *fifoQueue) finish(_ time.Time, r *request) { delete(q.running, r) }

func (q *fifoQueue) expire(now time.Time) []*request {
	var out, remaining []*request
	for _, r := range q.waiting {
		if now.Before(epoch.Add(r.deadline)) {
			remaining = append(remaining, r)
		} else {
			out = append(out, r)
		}
	}
	q.waiting = remaining
	return out
}

func (q *fifoQueue) setReadyTime(string, time.Time, bool) {}

func (q *fifoQueue) demand(time.Time) []placement.Demand {
	var out []placement.Demand
	index := make(map[*unit]int)
	for _, r := range q.waiting {
		i, ok := index[r.unit]
		if !ok {
			i = len(out)
			index[r.unit] = i
			out = append(out, placement.Demand{Unit: r.unit.name, Customer: r.unit.customer, EarliestDeadline: epoch.Add(r.deadline), Priority: r.unit.priority})
		}
		out[i].Waiting++
	}
	return out
}

func (q *fifoQueue) drain(time.Time) []*request {
	out := q.waiting
	for r := range q.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *request) int { return a.id - b.id })
	q.waiting, q.running = nil, make(map[*request]bool)
	return out
}
