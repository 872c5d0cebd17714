// Package daylog reconstructs a day from the log lines of entry VMs: the requests, the engines
// and models that could serve them, and the outcomes. It does not evaluate them.
//
// Lines of several VMs may be interleaved in any order and may have a prefix before their JSON,
// as log collectors add one. If lines that an analysis needs are missing, Read returns an error
// that names them: a bound computed from incomplete logs would look valid.
package daylog

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("daylog")

// Day holds what the logs contain about one engine pool. Times are offsets from Begin.
type Day struct {
	// Begin is the time of the first line, Length the time from there to the last line.
	Begin  time.Time
	Length time.Duration
	// Service is the pool's service, CapacityBytes the memory for models on each engine.
	Service       string
	CapacityBytes int64
	// Models are the pool's models by name, Engines its engines by ID.
	Models  map[string]Model
	Engines map[string]*Engine
	// Requests are in order of arrival.
	Requests []Request
	// Swaps are those that planners requested, started or not, in order of time.
	Swaps []Swap
	// MaxStoreLoads is how many concurrent loads from the weight store were measured to run
	// at full speed, 0 if no VM measured it.
	MaxStoreLoads int
	// Planners are the VMs that planned, PlannerOverlap how long more than one did at once.
	Planners       []string
	PlannerOverlap time.Duration
}

// ForEachCaller calls f with the first and the last attempt of each caller; they are the same
// for a caller that did not retry.
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

// Model holds a model's size and its load time from each source.
type Model struct {
	Name                                        string
	Bytes                                       int64
	MemoryLoadTime, DiskLoadTime, StoreLoadTime time.Duration
}

// Engine describes one start of an engine, from its listing until its end.
type Engine struct {
	ID, Domain string
	// ListedAt and GoneAt are when it was listed and when it was gone; GoneAt is the end of the
	// day for an engine that stayed.
	ListedAt, GoneAt time.Duration
	// Models, InMemory and OnDisk are what it held when a VM first learned its status, at
	// StatusAt. HasStatus is whether a VM ever did.
	Models, InMemory, OnDisk []string
	HasStatus                bool
	StatusAt                 time.Duration
}

// Request is one request of a caller, as an entry VM logged it.
type Request struct {
	ID, VM string
	// Route and Model are the route and the model that the caller requested.
	Route, Model string
	// ArrivedAt is when it arrived. Its answer should begin within Target from then and must
	// begin within Allowed.
	ArrivedAt, Target, Allowed time.Duration
	// Code is how it ended, EndedAt when.
	Code    string
	EndedAt time.Duration
	// Answered is whether an answer began, TimeToFirstToken how long after its arrival.
	Answered         bool
	TimeToFirstToken time.Duration
	// ReadyAtArrival is whether an engine had its model on arrival. Sent is whether it was
	// forwarded to an engine, the first time after QueueTime.
	ReadyAtArrival, Sent bool
	QueueTime            time.Duration
	// IsRetry is whether the request repeats an earlier one of the same caller that was not
	// answered, as far as the logs show. RetryIndex is the index of the request that repeats
	// this one, 0 if there is none.
	IsRetry    bool
	RetryIndex int
	// RetryAfter is the delay after which a refused caller was asked to retry.
	RetryAfter time.Duration
}

// IsOK reports whether the whole answer was delivered.
func (r *Request) IsOK() bool { return r.Code == codeOK }

// IsInTime reports whether the whole answer was delivered and began within its target.
func (r *Request) IsInTime() bool { return r.IsOK() && r.TimeToFirstToken <= r.Target }

// deadline returns until when the caller waits.
func (r *Request) deadline() time.Duration { return r.ArrivedAt + r.Allowed }

// requestKind is what all attempts of one caller have in common.
type requestKind struct{ route, model string }

func (r *Request) kind() requestKind { return requestKind{r.Route, r.Model} }

const codeOK = "ok"

// Swap is a planned change of the models that an engine holds.
type Swap struct {
	Engine, Load string
	Unload       []string
	Source       string
	// PlannedAt is when the planner requested it, Started whether the engine's keeper started it.
	PlannedAt, LoadTime time.Duration
	Started             bool
	Purpose             string
}
