// Package daylog reads the log lines that the entry VMs wrote over some time, and says what
// came, what was there to serve it and what became of it. It judges nothing.
//
// Lines of several VMs may be mixed, in any order, and may have words before their JSON, as
// from a collector. What a judgement needs and the lines lack is an error that names it: a
// bound that was worked out around a hole would be believed.
package daylog

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("daylog")

// Day is what the logs tell of one engine pool, with times counted from Begin.
type Day struct {
	// Begin is the first line's time, Length how long the lines go on.
	Begin  time.Time
	Length time.Duration
	// Service is the pool's, Room what an engine's models may take, in bytes.
	Service       string
	CapacityBytes int64
	// Models are the pool's, by name; Engines are by ID.
	Models  map[string]Model
	Engines map[string]*Engine
	// Requests are in the order of their arrival.
	Requests []Request
	// Swaps are those that planners had begun, in order.
	Swaps []Swap
	// StoreAtOnce is how many loads from the weight store were found to run at full speed,
	// 0 where no VM found out.
	MaxStoreLoads int
	// Planners are the VMs that planned, Overlaps is for how long two did at once.
	Planners       []string
	PlannerOverlap time.Duration
}

// EachCaller calls f with the first and the last try of each caller, the same one for a
// caller that did not come back.
func (d *Day) ForEachCaller(f func(first, last *Request)) {
	for i := range d.Requests {
		first := &d.Requests[i]
		if first.IsRetry {
			continue
		}
		last := first
		for last.RetryIndex > 0 {
			last = &d.Requests[last.RetryIndex]
		}
		f(first, last)
	}
}

// Model is a model that can be loaded.
type Model struct {
	Name                                        string
	Bytes                                       int64
	MemoryLoadTime, DiskLoadTime, StoreLoadTime time.Duration
}

// Engine is one start of an engine.
type Engine struct {
	ID, Domain string
	// From and Until are when it was listed and gone; Until is the day's end for one that
	// stayed.
	ListedAt, GoneAt time.Duration
	// Models, InMemory and OnDisk are what it held when it was first asked, at LearnedAt.
	// Learned is whether it ever was.
	Models, InMemory, OnDisk []string
	HasStatus                bool
	StatusAt                 time.Duration
}

// Request is one request of a caller, as an entry VM saw it.
type Request struct {
	ID, VM string
	// Route and Model are what was asked for.
	Route, Model string
	// Arrived is when it came, Target and Allowed are how long after that its answer should
	// and must begin.
	ArrivedAt, Target, Allowed time.Duration
	// Code is how it ended, Ended when.
	Code    string
	EndedAt time.Duration
	// Begun is whether it was answered, First how long after its arrival.
	Answered         bool
	TimeToFirstToken time.Duration
	// ReadyAtArrival is whether an engine had its model when it came; Sent whether it was
	// passed on to one, first after Waited.
	ReadyAtArrival, Sent bool
	QueueTime            time.Duration
	// Back is whether the same caller came before and was refused, as far as that can be
	// told from outside, and ReturnedAs the index of the request as which this one came back,
	// 0 where it did not.
	IsRetry    bool
	RetryIndex int
	// RetryAfter is when a refused caller was told to come back.
	RetryAfter time.Duration
}

// OK tells whether the whole answer was delivered.
func (r *Request) IsOK() bool { return r.Code == codeOK }

// InTime tells whether the whole answer was delivered and began within its target.
func (r *Request) IsInTime() bool { return r.IsOK() && r.TimeToFirstToken <= r.Target }

// deadline is until when the caller waits.
func (r *Request) deadline() time.Duration { return r.ArrivedAt + r.Allowed }

// kind is what tells requests apart that can't be of one caller.
type requestKind struct{ route, model string }

func (r *Request) kind() requestKind { return requestKind{r.Route, r.Model} }

const codeOK = "ok"

// Swap is a change of what an engine holds.
type Swap struct {
	Engine, Load string
	Unload       []string
	Source       string
	// Planned is when the planner asked for it, Begun whether the engine's keeper did it.
	PlannedAt, LoadTime time.Duration
	Started             bool
	Purpose             string
}
