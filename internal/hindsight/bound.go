package hindsight

import (
	"math"
	"time"
)

// The upper bound is a Lagrangian relaxation. Engine memory, engine time for loads and store
// loads each have a price per time step, and each model's residency is optimized on its own at
// these prices, by dynamic programming. For any prices, the sum of what the models earn net of
// prices and of the price of all available resources is at least any schedule's worth. A
// subgradient method updates the prices where usage differs from what is available.
// The equivalent linear program over models and steps has tens of thousands of columns for a
// day of a hundred models, too many for a dense simplex solver.
//
// All rounding favours the schedule, so that the bound holds: a model is ready from the
// beginning of the step in which its load ends, any engine may load what another one has
// copies of, a model that was resident once is reloaded at its fastest, and engines run any
// number of requests.

const (
	// timeStep is short against loads from a disk or the store, which take one to twenty
	// seconds.
	timeStep = 500 * time.Millisecond
	// maxPriceUpdates limits the iterations. More of them only tighten the bound, which holds
	// after any number.
	maxPriceUpdates = 240
	// After maxStaleRounds rounds without a better bound, the step size of the prices is
	// multiplied by stepShrinkFactor.
	stepShrinkFactor, maxStaleRounds = 0.6, 8
)

// resourceSeries holds one value per time step for each resource: the memory of a model of
// mean size, the time of one engine, and one load from the store.
type resourceSeries struct{ memory, engineTime, storeLoads []float64 }

func newResourceSeries(steps int) resourceSeries {
	return resourceSeries{make([]float64, steps), make([]float64, steps), make([]float64, steps)}
}

// relaxation is the working state of the upper bound.
type relaxation struct {
	*problem
	steps int
	// meanModelBytes is the unit of memory.
	meanModelBytes float64
	// available is what exists of each resource, used what the models use at the prices.
	available, used resourceSeries
	price           resourceSeries
	// priceSums are the prices summed up to each step.
	priceSums resourceSeries
	// requested are the models with at least one demand.
	requested []requestedModel
}

// requestedModel is the part of a model's state that does not depend on prices.
type requestedModel struct {
	size     float64
	resident bool
	// initialLoad loads a model that was not resident before, reload one that was.
	initialLoad, reload load
	// arrivals are the requests for it, by step.
	arrivals [][]demand
}

// upperBound returns an upper bound on the worth of any placement; knownWorth is the worth of
// a known one.
func (p *problem) upperBound(knownWorth float64) float64 {
	r := newRelaxation(p)
	best, stepSize, stale := math.Inf(1), 1.0, 0
	for range maxPriceUpdates {
		value := r.evaluatePrices()
		if value < best-1e-9 {
			best, stale = value, 0
		} else if stale++; stale == maxStaleRounds {
			stepSize, stale = stepSize*stepShrinkFactor, 0
		}
		if best <= knownWorth || !r.updatePrices(stepSize, value-knownWorth) {
			break
		}
	}
	return min(best, p.totalWorth())
}

func newRelaxation(p *problem) *relaxation {
	steps := int(p.length/timeStep) + 1
	r := &relaxation{problem: p, steps: steps, price: newResourceSeries(steps), used: newResourceSeries(steps), available: newResourceSeries(steps), priceSums: newResourceSeries(steps + 1)}
	for i := range p.models {
		r.meanModelBytes += float64(p.models[i].Bytes) / float64(len(p.models))
	}
	for i := range p.engines {
		e := &p.engines[i]
		for k := int(e.listedAt / timeStep); k < steps && time.Duration(k)*timeStep < e.goneAt; k++ {
			r.available.memory[k] += float64(p.capacityBytes) / r.meanModelBytes
			r.available.engineTime[k]++
		}
	}
	for k := range r.available.storeLoads {
		r.available.storeLoads[k] = float64(p.maxStoreLoads)
	}
	for i := range p.models {
		if len(p.models[i].demands) > 0 {
			r.requested = append(r.requested, r.newRequestedModel(i))
		}
	}
	return r
}

func (r *relaxation) newRequestedModel(model int) requestedModel {
	m := &r.models[model]
	a := requestedModel{size: float64(m.Bytes) / r.meanModelBytes, resident: r.isInitiallyResident(model),
		initialLoad: r.initialLoadOf(model), reload: r.reloadOf(model), arrivals: make([][]demand, r.steps)}
	for _, d := range m.demands {
		k := min(int(d.arrivedAt/timeStep), r.steps-1)
		a.arrivals[k] = append(a.arrivals[k], d)
	}
	return a
}

// evaluatePrices optimizes each model at the current prices and returns the resulting bound.
func (r *relaxation) evaluatePrices() float64 {
	value := 0.0
	for _, s := range r.resources() {
		s.priceSums[0] = 0
		for k := range s.price {
			s.priceSums[k+1] = s.priceSums[k] + s.price[k]
			value += s.price[k] * s.available[k]
			s.used[k] = 0
		}
	}
	for i := range r.requested {
		value += r.optimizeModel(&r.requested[i])
	}
	return value
}

// resource is one priced resource, with one value per time step.
type resource struct{ price, used, available, priceSums []float64 }

func (r *relaxation) resources() [3]resource {
	return [3]resource{
		{r.price.memory, r.used.memory, r.available.memory, r.priceSums.memory},
		{r.price.engineTime, r.used.engineTime, r.available.engineTime, r.priceSums.engineTime},
		{r.price.storeLoads, r.used.storeLoads, r.available.storeLoads, r.priceSums.storeLoads},
	}
}

// updatePrices moves the prices along the difference between usage and what is available. It
// returns false if there is nothing to adjust because all usage fits.
func (r *relaxation) updatePrices(stepSize, gap float64) bool {
	norm := 0.0
	for _, s := range r.resources() {
		for k := range s.price {
			if over := s.used[k] - s.available[k]; over > 0 || s.price[k] > 0 {
				norm += over * over
			}
		}
	}
	if norm == 0 {
		return false
	}
	scale := stepSize * gap / norm
	for _, s := range r.resources() {
		for k := range s.price {
			s.price[k] = max(0, s.price[k]+scale*(s.used[k]-s.available[k]))
		}
	}
	return true
}

// load describes how a model is loaded: for how many steps, and whether from the store.
type load struct {
	steps     int
	fromStore bool
}

// initialLoadOf returns the fastest load of a model that was not resident before.
func (r *relaxation) initialLoadOf(model int) load {
	m := &r.models[model]
	loadTime, fromStore := m.StoreLoadTime, true
	for i := range r.engines {
		switch e := &r.engines[i]; {
		case e.inMemory[model]:
			loadTime, fromStore = min(loadTime, m.MemoryLoadTime), false
		case e.onDisk[model]:
			loadTime, fromStore = min(loadTime, m.DiskLoadTime), false
		}
	}
	return load{int(loadTime / timeStep), fromStore}
}

// reloadOf returns the fastest load of a model that was resident before. It uses no store
// load, whatever its source, which favours the schedule.
func (r *relaxation) reloadOf(model int) load {
	m := &r.models[model]
	return load{int(min(m.MemoryLoadTime, m.DiskLoadTime, m.StoreLoadTime) / timeStep), false}
}

// priceOfLoad returns the price of a load that occupies the steps just before end.
func (r *relaxation) priceOfLoad(l load, size float64, end int) float64 {
	begin := max(0, end-l.steps)
	cost := size*(r.priceSums.memory[end]-r.priceSums.memory[begin]) + r.priceSums.engineTime[end] - r.priceSums.engineTime[begin]
	if l.fromStore {
		cost += r.priceSums.storeLoads[end] - r.priceSums.storeLoads[begin]
	}
	return cost
}

// choice is the best decision for a resident model at a step: keepResident, unloadForGood, or
// the step at which it is ready again after an unload.
type choice struct{ readyStep int }

const (
	keepResident  = -1
	unloadForGood = -2
)

// optimizeModel finds when a model should be resident at the prices, adds what it uses, and
// returns what it earns net of prices.
func (r *relaxation) optimizeModel(m *requestedModel) float64 {
	value := make([]float64, r.steps+1)
	choices := make([]choice, r.steps+1)
	// absentWorth is what the requests that arrive while the model is not resident earn, by
	// the step at which it is ready again.
	absentWorth := make([]float64, r.steps+1)
	for k := r.steps - 1; k >= 0; k-- {
		residentWorth := 0.0
		for _, d := range m.arrivals[k] {
			residentWorth += d.worth.InTime
			for c := k + 1; c <= min(r.steps, int(d.finalDeadline/timeStep)); c++ {
				absentWorth[c] += worthIfReadyAt(&d, time.Duration(c)*timeStep)
			}
		}
		value[k], choices[k] = residentWorth-m.size*r.price.memory[k]+value[k+1], choice{keepResident}
		r.considerUnload(k, m, absentWorth, value, choices)
	}
	if m.resident {
		r.addUsage(0, m, choices)
		return value[0]
	}
	best, readyStep := 0.0, unloadForGood
	for c := max(1, m.initialLoad.steps); c < r.steps; c++ {
		if v := absentWorth[c] - r.priceOfLoad(m.initialLoad, m.size, c) + value[c]; v > best {
			best, readyStep = v, c
		}
	}
	if readyStep != unloadForGood {
		r.addLoadUsage(m.initialLoad, m.size, readyStep)
		r.addUsage(readyStep, m, choices)
	}
	return best
}

// worthIfReadyAt returns what a request earns if its model is ready at that time.
func worthIfReadyAt(d *demand, at time.Duration) float64 {
	switch {
	case at <= d.targetDeadline:
		return d.worth.InTime
	case at <= d.finalDeadline:
		return d.worth.Late
	default:
		return 0
	}
}

// considerUnload updates the choice at step k if an unload is better, for good or until some
// later step.
func (r *relaxation) considerUnload(k int, m *requestedModel, absentWorth, value []float64, choices []choice) {
	if value[k] < 0 {
		value[k], choices[k] = 0, choice{unloadForGood}
	}
	for c := k + max(1, m.reload.steps); c < r.steps; c++ {
		if v := absentWorth[c] - r.priceOfLoad(m.reload, m.size, c) + value[c]; v > value[k] {
			value[k], choices[k] = v, choice{c}
		}
	}
}

func (r *relaxation) isInitiallyResident(index int) bool {
	for i := range r.engines {
		for _, held := range r.engines[i].initialModels {
			if held == index {
				return true
			}
		}
	}
	return false
}

// addUsage adds the resources that the choices from step k on use.
func (r *relaxation) addUsage(k int, m *requestedModel, choices []choice) {
	for k < r.steps {
		switch readyStep := choices[k].readyStep; readyStep {
		case unloadForGood:
			return
		case keepResident:
			r.used.memory[k] += m.size
			k++
		default:
			r.addLoadUsage(m.reload, m.size, readyStep)
			k = readyStep
		}
	}
}

func (r *relaxation) addLoadUsage(l load, size float64, end int) {
	for k := max(0, end-l.steps); k < end; k++ {
		r.used.memory[k] += size
		r.used.engineTime[k]++
		if l.fromStore {
			r.used.storeLoads[k]++
		}
	}
}
