// Package hindsight analyzes the model placement of a past day. It compares the worth that
// was earned with that of a schedule found with knowledge of the whole day, and with an upper
// bound on any schedule. Better placement decisions can gain the difference between the first
// two; whether the difference between the schedule and the bound can be gained is unknown.
//
// The analysis covers only whether some engine held a request's model in time. A request
// whose model was resident on arrival counts for what it earned in all three figures, however
// it was served.
package hindsight

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/internal/daylog"
)

// Worth is what a request earns if it is answered within its target, or later.
type Worth struct{ InTime, Late float64 }

// WorthFunc returns the worth of a request from its target and the longest time allowed.
type WorthFunc func(target, allowed time.Duration) Worth

// demand is one caller's request together with its retries.
type demand struct {
	model     int
	arrivedAt time.Duration
	// targetDeadline and finalDeadline are the latest times at which the model may become
	// ready for the request to be answered within its target, and to be answered at all.
	targetDeadline, finalDeadline time.Duration
	worth                         Worth
	// actualWorth is what the request earned on that day.
	actualWorth float64
}

// model is a model and the demands for it.
type model struct {
	daylog.Model
	demands []demand // in order of arrival
}

// engine describes when an engine was listed and what it held at first.
type engine struct {
	id               string
	listedAt, goneAt time.Duration
	initialModels    []int
	inMemory         map[int]bool
	onDisk           map[int]bool
}

// problem is the input of the upper bound and of the schedule search.
type problem struct {
	length        time.Duration
	capacityBytes int64
	models        []model
	engines       []engine
	// maxStoreLoads is how many concurrent loads from the weight store run at full speed.
	maxStoreLoads int
	// firstTokenTime is how long a request takes to its first token once its model is ready,
	// generationTime how long it runs after that. Its model can't be unloaded meanwhile.
	firstTokenTime, generationTime time.Duration
}

// defaultMaxStoreLoads is the number of concurrent store loads assumed when no VM measured it.
const defaultMaxStoreLoads = 4

func newProblem(d *daylog.Day, worthFunc WorthFunc) *problem {
	p := &problem{length: d.Length, capacityBytes: d.CapacityBytes, maxStoreLoads: cmp.Or(d.MaxStoreLoads, defaultMaxStoreLoads)}
	index := make(map[string]int)
	for _, m := range d.Models {
		p.models = append(p.models, model{Model: m})
	}
	slices.SortFunc(p.models, func(a, b model) int { return cmp.Compare(a.Name, b.Name) })
	for i := range p.models {
		index[p.models[i].Name] = i
	}
	p.firstTokenTime, p.generationTime = medianRequestTimes(d.Requests)
	p.addDemands(d, index, worthFunc)
	for _, e := range d.Engines {
		p.engines = append(p.engines, newEngine(e, index)) // an engine without a known status was available too
	}
	slices.SortFunc(p.engines, func(a, b engine) int { return cmp.Compare(a.id, b.id) })
	return p
}

func newEngine(e *daylog.Engine, index map[string]int) engine {
	out := engine{id: e.ID, listedAt: e.ListedAt, goneAt: e.GoneAt, inMemory: make(map[int]bool), onDisk: make(map[int]bool)}
	forEachKnown := func(names []string, f func(int)) {
		for _, name := range names {
			if i, ok := index[name]; ok {
				f(i)
			}
		}
	}
	forEachKnown(e.Models, func(i int) { out.initialModels = append(out.initialModels, i) })
	forEachKnown(e.InMemory, func(i int) { out.inMemory[i] = true })
	forEachKnown(e.OnDisk, func(i int) { out.onDisk[i] = true })
	return out
}

// medianRequestTimes returns the median time to the first token and the median time from there
// to the end, over the successful requests whose model was ready on arrival.
func medianRequestTimes(requests []daylog.Request) (firstTokenTime, generationTime time.Duration) {
	var firstTokenTimes, generationTimes []time.Duration
	for i := range requests {
		if r := &requests[i]; r.ReadyAtArrival && r.IsOK() {
			firstTokenTimes = append(firstTokenTimes, r.TimeToFirstToken)
			generationTimes = append(generationTimes, r.EndedAt-r.ArrivedAt-r.TimeToFirstToken)
		}
	}
	return median(firstTokenTimes), median(generationTimes)
}

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// addDemands adds one demand for each caller, with what it earned.
func (p *problem) addDemands(d *daylog.Day, index map[string]int, worthFunc WorthFunc) {
	d.ForEachCaller(func(first, last *daylog.Request) {
		worth := worthFunc(first.Target, first.Allowed)
		request := demand{model: index[first.Model], arrivedAt: first.ArrivedAt, targetDeadline: first.ArrivedAt + max(0, first.Target-p.firstTokenTime),
			finalDeadline: first.ArrivedAt + max(0, first.Allowed-p.firstTokenTime), worth: worth}
		switch {
		case last.IsOK() && last.ArrivedAt+last.TimeToFirstToken <= first.ArrivedAt+first.Target:
			request.actualWorth = worth.InTime
		case last.IsOK():
			request.actualWorth = worth.Late
		}
		if last.ReadyAtArrival && last == first {
			// Its model was ready on arrival, so placement did not decide the outcome.
			request.worth = Worth{InTime: request.actualWorth, Late: min(request.actualWorth, worth.Late)}
		}
		m := &p.models[request.model]
		m.demands = append(m.demands, request)
	})
}

// actualWorth returns what all requests earned on that day.
func (p *problem) actualWorth() float64 {
	total := 0.0
	for i := range p.models {
		for _, d := range p.models[i].demands {
			total += d.actualWorth
		}
	}
	return total
}

// totalWorth returns the worth of all demands if each were answered within its target.
// A request whose model was ready on arrival counts only for what it earned.
func (p *problem) totalWorth() float64 {
	total := 0.0
	for i := range p.models {
		for _, d := range p.models[i].demands {
			total += d.worth.InTime
		}
	}
	return total
}
