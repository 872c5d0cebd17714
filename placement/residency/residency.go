// Package residency plans which models the engines of a pool hold where all of
// them nearly fit: rare models with a place each, busy ones with more, and swaps
// where a model that is asked for has none. It does no I/O; time is passed in.
package residency

import (
	"cmp"
	"slices"
	"time"
)

// Source is where an engine finds the weights of a model that it loads.
type Source int

const (
	// SourceMemory and SourceDisk are the engine's own copies, SourceStore is the
	// weight store that all engines share.
	SourceMemory Source = iota
	SourceDisk
	SourceStore
)

// String names the source for logs.
func (s Source) String() string {
	return [...]string{"memory", "disk", "store"}[s]
}

// Held is a model on an engine.
type Replica struct {
	Name string
	// Ready is whether it takes requests; else it is being loaded or unloaded.
	Ready bool
	// Running counts the requests for it that run there.
	Running int
	// Since is when this VM first saw it there.
	FirstSeen time.Time
}

// Engine is an engine as the planner sees it.
type Engine struct {
	ID, Domain string
	// Room is what its models may take together, in bytes.
	CapacityBytes int64
	Slots         int
	Models        []Replica
	// InMemory and OnDisk are the models of which the engine has copies.
	InMemory, OnDisk map[string]bool
	// Orderable is whether it can be given orders: it is healthy, stays, and has a
	// keeper that answers. BusyFor is how long the one under way should still take,
	// 0 without one.
	AcceptsSwaps bool
	BusyFor      time.Duration
	// Serving is whether it takes requests at all.
	Serving bool
	// Running counts all requests that run there.
	Running int
}

// Model is a model that could be loaded, with the demand for it.
type Model struct {
	Name  string
	Bytes int64
	// FromMemory, FromDisk and FromStore are how long a load takes.
	MemoryLoadTime, DiskLoadTime, StoreLoadTime time.Duration
	// Waiting counts the requests that wait for it, Oldest is for how long the
	// first of them has waited.
	Waiting    int
	OldestWait time.Duration
	// Running counts the requests for it that run on any engine.
	Running int
	// Rate is the requests for it, a second, smoothed.
	Rate float64
	// Worth weighs a request for it against those for other models, 1 for most.
	RequestWeight float64
}

// Swap is a change of what an engine holds: unload some models, load another.
type Swap struct {
	Engine string
	Unload []string
	Load   string
	Source Source
	// Takes is how long the load should take.
	LoadTime time.Duration
	// Reason tells why, for logs.
	Reason string
}

// FromStore tells whether it loads from the weight store; one that only unloads does not.
func (s Swap) LoadsFromStore() bool { return s.Source == SourceStore && s.Load != "" }

// Situation is what a plan is made from.
type PlanInput struct {
	Now     time.Time
	Engines []Engine
	Models  []Model
	// Loading are the swaps that are under way already.
	InFlight []Swap
	// StoreLoads is how many loads from the weight store should run at once.
	MaxStoreLoads int
	// Ahead is whether loads ahead of demand are looked for, which takes longer than
	// all else.
	Preload bool
}

const (
	// UnloadTime is what an unload of an idle model takes, with the news of it.
	UnloadTime = 150 * time.Millisecond
	// drainTime is what the requests that run on a model take to end.
	drainTime = 1500 * time.Millisecond
	// youngFor is how long a loaded model is not given up again: those who waited
	// for it have not all been served before. Without it two models with waiting
	// requests would take turns on one engine and serve nobody.
	youngFor = 2 * time.Second
	// evictHorizon turns a model's rate into what its absence costs: each request
	// within it would wait for a load.
	evictHorizon = 6 * time.Second
	// busyShare of the slots of a model's engines in use makes another replica
	// worth a place: above it, first tokens wait for others' prompts.
	busyShare = 0.6
	// spareRate is the rate above which a model keeps two replicas: losing its only
	// engine would leave all its requests without one for a load's time.
	spareRate = 4.0
	// spreadAtOnce bounds a busy model's replicas that are loaded at the same time:
	// its load falls with the first of them.
	spreadAtOnce = 2
	// fillAtOnce bounds the engines that load ahead of demand at the same time while
	// requests wait: the others stay free for these.
	fillAtOnce = 4
	// placeWorth is what a place is worth to a model that has none, however rarely it
	// is asked for: its next request waits for no load.
	placeWorth = time.Second
	// unknownReplicas is how many replicas a model keeps while no demand is known, as
	// after a start: those that the platform placed on several engines are the busy
	// ones, and what came to them is about to come again.
	unknownReplicas = 3
	// wasteCost is what it costs to leave room of a typical model's size unused: some
	// model has no place for it, and now and then a request waits for that one.
	wasteCost = 600 * time.Millisecond
	// sameDomainCost is what it costs to put a replica into a failure domain that has
	// one: a cut of that domain takes both.
	sameDomainCost = 300 * time.Millisecond
	// crowdedShare of an engine's slots in use leaves none for a model that is asked for
	// rarely: the next one that comes free is taken by the busy one beside it.
	crowdedShare = 0.9
	// starving is the wait after which a model may take the place of one that has
	// requests running.
	starving = 400 * time.Millisecond
)

// Plan returns the swaps to begin now. It answers two load patterns: many rare models
// that are each asked for every few seconds and fit together only just, and few busy
// models that change. Every model should have one place, a busy one more, and what must
// give way is what is asked for least. Nothing is kept between calls.
func Plan(s PlanInput) []Swap {
	next := newRound(s)
	next.dropStrangers()
	next.serve()
	if s.Preload {
		next.fill()
	}
	return next.swaps
}

// round is one call of Plan.
type round struct {
	PlanInput
	models map[string]*Model
	// order is the models by how urgently they are wanted.
	order []*Model
	// ready and coming count each model's replicas.
	ready, coming map[string]int
	storeLoads    int
	// demand is whether any model is asked for.
	demand bool
	// domains are the failure domains with a replica of each model.
	domains map[string]map[string]bool
	// smallest is the size of the smallest model.
	smallest int64
	// filling counts the loads ahead of demand under way and planned.
	filling int
	// unplacedMost is what unplaced worked out, negative before.
	unplacedMost float64
	// taken are the engines that got a swap in this round.
	taken map[string]bool
	swaps []Swap
}

func newRound(s PlanInput) *round {
	r := &round{
		PlanInput: s, models: make(map[string]*Model, len(s.Models)),
		ready: make(map[string]int), coming: make(map[string]int), taken: make(map[string]bool),
		domains: make(map[string]map[string]bool, len(s.Models)), unplacedMost: -1,
	}
	for i := range s.Models {
		m := &s.Models[i]
		r.models[m.Name] = m
		r.order = append(r.order, m)
		r.demand = r.demand || m.Rate > 0
		if r.smallest == 0 || m.Bytes < r.smallest {
			r.smallest = m.Bytes
		}
	}
	for i := range s.Engines {
		for _, m := range s.Engines[i].Models {
			if m.Ready && s.Engines[i].Serving {
				r.ready[m.Name]++
				r.inDomain(m.Name, s.Engines[i].Domain)
			}
		}
	}
	for _, swap := range s.InFlight {
		r.note(swap)
	}
	slices.SortFunc(r.order, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(r.urgency(b), r.urgency(a)), cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	return r
}

func (r *round) inDomain(model, domain string) {
	if r.domains[model] == nil {
		r.domains[model] = make(map[string]bool)
	}
	r.domains[model][domain] = true
}

// urgency is what the wait for a model costs: the requests that wait, and more
// for each further moment of the first one's wait.
func (m *Model) urgency() float64 {
	return float64(m.Waiting) * m.RequestWeight * (1 + m.OldestWait.Seconds())
}

// urgency counts the requests that were turned away as well.
func (r *round) urgency(m *Model) float64 { return max(m.urgency(), r.turnedAway(m)*m.RequestWeight) }

// turnedAway is how many requests for a model that no engine has came lately. Failure:
// those that can't wait for its load are refused at once, so that none of them waits; the
// planner saw no demand for the model, and it was never loaded.
func (r *round) turnedAway(m *Model) float64 {
	if r.ready[m.Name]+r.coming[m.Name] > 0 {
		return 0
	}
	return m.Rate * evictHorizon.Seconds()
}

func (r *round) note(swap Swap) {
	r.coming[swap.Load]++
	r.taken[swap.Engine] = true
	if swap.Reason == reasonFill || swap.Reason == reasonSpare {
		r.filling++
	}
	if swap.LoadsFromStore() {
		r.storeLoads++
	}
}

// dropStrangers unloads models that the configuration no longer names. Their size
// isn't known, and an engine that is ordered to load more than fits crashes.
func (r *round) dropStrangers() {
	for i := range r.Engines {
		e := &r.Engines[i]
		if !e.AcceptsSwaps || e.BusyFor > 0 || r.taken[e.ID] {
			continue
		}
		swap := Swap{Engine: e.ID, Reason: "not configured"}
		for _, held := range e.Models {
			if r.models[held.Name] == nil && held.Running == 0 {
				swap.Unload = append(swap.Unload, held.Name)
			}
		}
		if len(swap.Unload) > 0 {
			r.taken[e.ID] = true
			r.swaps = append(r.swaps, swap)
		}
	}
}

// serve goes through the models, the most urgent first. Failure: with a first pass for
// models without any place, these took all loads from the store for as long as there was
// one of them; a busy model with 200 waiting requests got none in sixteen seconds.
func (r *round) serve() {
	for _, m := range r.order {
		r.serveWaiting(m)
		r.spread(m)
	}
}

// serveWaiting finds a place for a model that requests wait for, or were turned away, and
// no engine has or is getting, or another one where its engines are full of requests for
// others.
func (r *round) serveWaiting(m *Model) {
	switch {
	case r.coming[m.Name] > 0:
	case m.Waiting == 0 && r.turnedAway(m) >= 1:
		r.place(m, want{reason: reasonTurnedAway, storeLoads: r.MaxStoreLoads})
	case m.Waiting == 0:
	case r.ready[m.Name] == 0:
		r.place(m, want{reason: reasonWaited, force: m.OldestWait > starving, storeLoads: r.MaxStoreLoads})
	case m.OldestWait > starving && r.crowdedOut(m):
		r.place(m, want{reason: reasonCrowded, surplusOnly: true})
	}
}

// crowdedOut tells whether all engines that hold the model are full, mostly with
// requests for other models. Load pattern: a rare model sits beside a busy one, whose
// requests take each slot that comes free; its few requests waited for up to six seconds
// while engines with a copy of it were idle.
func (r *round) crowdedOut(m *Model) bool {
	own := 0
	for i := range r.Engines {
		e := &r.Engines[i]
		at := slices.IndexFunc(e.Models, func(held Replica) bool { return held.Name == m.Name && held.Ready })
		if at < 0 || !e.Serving {
			continue
		}
		if float64(e.Running) < crowdedShare*float64(e.Slots) {
			return false
		}
		own += e.Models[at].Running
	}
	return float64(own) < busyShare*float64(r.ready[m.Name]*r.mostSlots())
}

// spread gives a busy model further replicas.
func (r *round) spread(m *Model) {
	if !r.demand {
		return
	}
	for r.ready[m.Name]+r.coming[m.Name] > 0 && r.ready[m.Name]+r.coming[m.Name] < r.wanted(m) && r.coming[m.Name] < spreadAtOnce {
		if !r.place(m, want{reason: reasonBusy, storeLoads: r.MaxStoreLoads}) {
			return
		}
	}
}

// fill loads ahead of demand, where this costs nobody a place: models that have none,
// from a copy at hand, or from the store while nobody else needs it; then a second
// replica of each model, from copies at hand, while there is room. Load pattern: engines
// crash or are cut off, or demand moves to models with one replica; from the store the
// next one takes many seconds.
func (r *round) fill() {
	// One load from the store stays free for requests that wait.
	most, storeLoads := fillAtOnce, r.MaxStoreLoads-1
	if !r.waiting() {
		most, storeLoads = len(r.Engines), max(1, storeLoads)
	}
	for _, w := range []want{
		{reason: reasonFill, storeLoads: storeLoads},
		{reason: reasonSpare, replicas: 1, roomOnly: true},
	} {
		for _, m := range r.order {
			if r.filling >= most {
				return
			}
			if r.ready[m.Name]+r.coming[m.Name] == w.replicas {
				r.place(m, w)
			}
		}
	}
}

// waiting tells whether requests wait for a model that has no place.
func (r *round) waiting() bool {
	return slices.ContainsFunc(r.order, func(m *Model) bool { return m.Waiting > 0 && r.ready[m.Name] == 0 })
}

// wanted is how many replicas a model's load deserves.
func (r *round) wanted(m *Model) int {
	slots := r.mostSlots()
	wanted := 1
	if !r.demand {
		wanted = unknownReplicas
	}
	if slots > 0 {
		wanted += int(float64(m.Running+m.Waiting) / (busyShare * float64(slots)))
	}
	if m.Rate >= spareRate {
		wanted = max(wanted, 2)
	}
	return wanted
}

// mostSlots is how many requests the largest engine runs at once.
func (r *round) mostSlots() int {
	slots := 0
	for i := range r.Engines {
		slots = max(slots, r.Engines[i].Slots)
	}
	return slots
}

// Reasons of swaps.
const (
	reasonWaited     = "waited for"
	reasonTurnedAway = "turned away"
	reasonCrowded    = "crowded out"
	reasonBusy       = "busy"
	reasonFill       = "ahead of demand"
	reasonSpare      = "spare"
)
