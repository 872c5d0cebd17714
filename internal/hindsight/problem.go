// Package hindsight judges the placement of a day that is over: what somebody who had known
// all of it could have served, and what nobody could have. Between what was served and the
// first lies what better decisions can gain; between the two lies what is not known.
//
// It is about one thing: whether some engine had a request's model in time. A request that
// found its model and was served badly all the same counts for what it got, in all three.
package hindsight

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/internal/daylog"
)

// Worth is what a request earns that is answered within its target, and later.
type Worth struct{ InTime, Late float64 }

// Value tells the worth of a request by its target and how long it may take.
type WorthFunc func(target, allowed time.Duration) Worth

// demand is what one caller wanted: a request with its returns.
type demand struct {
	model   int
	arrived time.Duration
	// inTime and last are until when the model must be there for the request to be answered
	// within its target, and at all.
	inTime, last time.Duration
	worth        Worth
	// ours is what it earned.
	ours float64
}

// model is a model with what is asked of it.
type model struct {
	daylog.Model
	demands []demand // in the order of their arrival
}

// engine is an engine's life.
type engine struct {
	id          string
	from, until time.Duration
	models      []int
	inMemory    map[int]bool
	onDisk      map[int]bool
}

// problem is a day as the bound and the schedule see it.
type problem struct {
	length  time.Duration
	room    int64
	models  []model
	engines []engine
	// storeAtOnce is how many loads from the weight store run at full speed.
	storeAtOnce int
	// answer is how long a request takes to its first token once its model is there, run how
	// long from then on: its model can't be unloaded meanwhile.
	answer, run time.Duration
}

// storeUnknown is how many loads at once the store is taken to serve where no VM found out.
const storeUnknown = 4

func newProblem(d *daylog.Day, value WorthFunc) *problem {
	p := &problem{length: d.Length, room: d.CapacityBytes, storeAtOnce: cmp.Or(d.MaxStoreLoads, storeUnknown)}
	index := make(map[string]int)
	for _, m := range d.Models {
		p.models = append(p.models, model{Model: m})
	}
	slices.SortFunc(p.models, func(a, b model) int { return cmp.Compare(a.Name, b.Name) })
	for i := range p.models {
		index[p.models[i].Name] = i
	}
	p.answer, p.run = usualTimes(d.Requests)
	p.addDemands(d, index, value)
	for _, e := range d.Engines {
		p.engines = append(p.engines, newEngine(e, index)) // one that was never asked was there, too
	}
	slices.SortFunc(p.engines, func(a, b engine) int { return cmp.Compare(a.id, b.id) })
	return p
}

func newEngine(e *daylog.Engine, index map[string]int) engine {
	out := engine{id: e.ID, from: e.ListedAt, until: e.GoneAt, inMemory: make(map[int]bool), onDisk: make(map[int]bool)}
	known := func(names []string, f func(int)) {
		for _, name := range names {
			if i, ok := index[name]; ok {
				f(i)
			}
		}
	}
	known(e.Models, func(i int) { out.models = append(out.models, i) })
	known(e.InMemory, func(i int) { out.inMemory[i] = true })
	known(e.OnDisk, func(i int) { out.onDisk[i] = true })
	return out
}

// usualTimes are the medians of the time to the first token and from there to the end, of the
// requests that found their model.
func usualTimes(requests []daylog.Request) (answer, run time.Duration) {
	var answers, runs []time.Duration
	for i := range requests {
		if r := &requests[i]; r.ReadyAtArrival && r.IsOK() {
			answers = append(answers, r.TimeToFirstToken)
			runs = append(runs, r.EndedAt-r.ArrivedAt-r.TimeToFirstToken)
		}
	}
	return median(answers), median(runs)
}

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// addDemands takes what each caller wanted, and what came of it.
func (p *problem) addDemands(d *daylog.Day, index map[string]int, value WorthFunc) {
	d.ForEachCaller(func(first, last *daylog.Request) {
		w := value(first.Target, first.Allowed)
		wanted := demand{model: index[first.Model], arrived: first.ArrivedAt, inTime: first.ArrivedAt + max(0, first.Target-p.answer),
			last: first.ArrivedAt + max(0, first.Allowed-p.answer), worth: w}
		switch {
		case last.IsOK() && last.ArrivedAt+last.TimeToFirstToken <= first.ArrivedAt+first.Target:
			wanted.ours = w.InTime
		case last.IsOK():
			wanted.ours = w.Late
		}
		if last.ReadyAtArrival && last == first {
			// Its model was there: what became of it is not the placement's.
			wanted.worth = Worth{InTime: wanted.ours, Late: min(wanted.ours, w.Late)}
		}
		m := &p.models[wanted.model]
		m.demands = append(m.demands, wanted)
	})
}

// ours is what was earned.
func (p *problem) ours() float64 {
	total := 0.0
	for i := range p.models {
		for _, d := range p.models[i].demands {
			total += d.ours
		}
	}
	return total
}

// owed is what all requests for which the placement answers are worth.
func (p *problem) owed() float64 {
	total := 0.0
	for i := range p.models {
		for _, d := range p.models[i].demands {
			total += d.worth.InTime
		}
	}
	return total
}
