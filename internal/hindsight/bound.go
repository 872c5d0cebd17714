package hindsight

import (
	"math"
	"time"
)

// The bound is Lagrange's: room, the engines' time for loads and the store's are each given
// a price a step, and every model then decides for itself when to be resident, by dynamic
// programming. Whatever the prices, the sum of what the models earn at them and of what the
// priced things would fetch is no less than any schedule's worth; prices are moved where more
// or less is asked for than there is. A linear program over models and steps has tens of
// thousands of columns for a day of a hundred models; the usual library's simplex is dense.
//
// All is rounded in the schedule's favour: a model is there from the beginning of the step in
// which its load ends, any engine may hold what another one has copies of, a model that
// was resident once comes back from memory, and engines run any number of requests.

const (
	// boundStep is the length of a step: short against loads from a disk or the store, which
	// take one to twenty seconds.
	boundStep = 500 * time.Millisecond
	// boundRounds is how often prices are moved. More only tightens the bound, which holds
	// after any number of them.
	boundRounds = 240
	// stepShrink times the step of the prices follows a round without a better bound in so
	// many rounds.
	stepShrink, patience = 0.6, 8
)

// prices are of a step: of a typical model's room, an engine's time, a store's load.
type prices struct{ room, engines, store []float64 }

func newPrices(steps int) prices {
	return prices{make([]float64, steps), make([]float64, steps), make([]float64, steps)}
}

// relaxation is the bound's working state.
type relaxation struct {
	*problem
	steps int
	// typical is the size that room is counted in.
	typical float64
	// capacity and used are what there is, and what the models ask for at the prices.
	capacity, used prices
	price          prices
	// sums are the prices summed up to each step.
	sums prices
	// asked are the models that anybody asks for.
	asked []askedModel
}

// askedModel is a model with all of it that does not depend on prices.
type askedModel struct {
	size     float64
	resident bool
	// first is how it comes if it was nowhere resident, again how it comes back.
	first, again load
	// arrivals are the requests for it, by step.
	arrivals [][]demand
}

// bound is an upper bound of the worth of any placement; reached is the worth of a known
// one.
func (p *problem) bound(reached float64) float64 {
	r := newRelaxation(p)
	best, step, stale := math.Inf(1), 1.0, 0
	for range boundRounds {
		value := r.round()
		if value < best-1e-9 {
			best, stale = value, 0
		} else if stale++; stale == patience {
			step, stale = step*stepShrink, 0
		}
		if best <= reached || !r.move(step, value-reached) {
			break
		}
	}
	return min(best, p.owed())
}

func newRelaxation(p *problem) *relaxation {
	steps := int(p.length/boundStep) + 1
	r := &relaxation{problem: p, steps: steps, price: newPrices(steps), used: newPrices(steps), capacity: newPrices(steps), sums: newPrices(steps + 1)}
	for i := range p.models {
		r.typical += float64(p.models[i].Bytes) / float64(len(p.models))
	}
	for i := range p.engines {
		e := &p.engines[i]
		for k := int(e.from / boundStep); k < steps && time.Duration(k)*boundStep < e.until; k++ {
			r.capacity.room[k] += float64(p.room) / r.typical
			r.capacity.engines[k]++
		}
	}
	for k := range r.capacity.store {
		r.capacity.store[k] = float64(p.storeAtOnce)
	}
	for i := range p.models {
		if len(p.models[i].demands) > 0 {
			r.asked = append(r.asked, r.newAsked(i))
		}
	}
	return r
}

func (r *relaxation) newAsked(model int) askedModel {
	m := &r.models[model]
	a := askedModel{size: float64(m.Bytes) / r.typical, resident: r.isResident(model),
		first: r.firstLoad(model), again: r.later(model), arrivals: make([][]demand, r.steps)}
	for _, d := range m.demands {
		k := min(int(d.arrived/boundStep), r.steps-1)
		a.arrivals[k] = append(a.arrivals[k], d)
	}
	return a
}

// round has each model decide at the prices, and returns the bound that follows.
func (r *relaxation) round() float64 {
	value := 0.0
	for _, s := range r.series() {
		s.sums[0] = 0
		for k := range s.price {
			s.sums[k+1] = s.sums[k] + s.price[k]
			value += s.price[k] * s.capacity[k]
			s.used[k] = 0
		}
	}
	for i := range r.asked {
		value += r.decide(&r.asked[i])
	}
	return value
}

// series are the priced things.
type series struct{ price, used, capacity, sums []float64 }

func (r *relaxation) series() [3]series {
	return [3]series{
		{r.price.room, r.used.room, r.capacity.room, r.sums.room},
		{r.price.engines, r.used.engines, r.capacity.engines, r.sums.engines},
		{r.price.store, r.used.store, r.capacity.store, r.sums.store},
	}
}

// move changes the prices by what was asked for beyond what there is; false if all fits.
func (r *relaxation) move(step, gap float64) bool {
	norm := 0.0
	for _, s := range r.series() {
		for k := range s.price {
			if over := s.used[k] - s.capacity[k]; over > 0 || s.price[k] > 0 {
				norm += over * over
			}
		}
	}
	if norm == 0 {
		return false
	}
	scale := step * gap / norm
	for _, s := range r.series() {
		for k := range s.price {
			s.price[k] = max(0, s.price[k]+scale*(s.used[k]-s.capacity[k]))
		}
	}
	return true
}

// load is how a model comes.
type load struct {
	steps int
	store bool
}

// firstLoad is how a model comes that was nowhere resident, later how one that was.
func (r *relaxation) firstLoad(model int) load {
	m := &r.models[model]
	takes, store := m.StoreLoadTime, true
	for i := range r.engines {
		switch e := &r.engines[i]; {
		case e.inMemory[model]:
			takes, store = min(takes, m.MemoryLoadTime), false
		case e.onDisk[model]:
			takes, store = min(takes, m.DiskLoadTime), false
		}
	}
	return load{int(takes / boundStep), store}
}

func (r *relaxation) later(model int) load {
	m := &r.models[model]
	return load{int(min(m.MemoryLoadTime, m.DiskLoadTime, m.StoreLoadTime) / boundStep), false}
}

// cost is what a load that ends with the step before costs at the prices.
func (r *relaxation) cost(l load, size float64, end int) float64 {
	begin := max(0, end-l.steps)
	cost := size*(r.sums.room[end]-r.sums.room[begin]) + r.sums.engines[end] - r.sums.engines[begin]
	if l.store {
		cost += r.sums.store[end] - r.sums.store[begin]
	}
	return cost
}

// choice is what a model does from a step on: stay, go for good, or be back at a step.
type choice struct{ back int }

const (
	stays = -1
	goes  = -2
)

// decide finds when a model should be resident at the prices, adds what it uses, and
// returns what it earns less what it pays.
func (r *relaxation) decide(m *askedModel) float64 {
	value := make([]float64, r.steps+1)
	choices := make([]choice, r.steps+1)
	// missed is what the requests that come while it is away earn, by the step at which it
	// is back.
	missed := make([]float64, r.steps+1)
	for k := r.steps - 1; k >= 0; k-- {
		here := 0.0
		for _, d := range m.arrivals[k] {
			here += d.worth.InTime
			for c := k + 1; c <= min(r.steps, int(d.last/boundStep)); c++ {
				missed[c] += earned(&d, time.Duration(c)*boundStep)
			}
		}
		value[k], choices[k] = here-m.size*r.price.room[k]+value[k+1], choice{stays}
		r.consider(k, m, missed, value, choices)
	}
	if m.resident {
		r.use(0, m, choices)
		return value[0]
	}
	best, back := 0.0, goes
	for c := max(1, m.first.steps); c < r.steps; c++ {
		if v := missed[c] - r.cost(m.first, m.size, c) + value[c]; v > best {
			best, back = v, c
		}
	}
	if back != goes {
		r.useLoad(m.first, m.size, back)
		r.use(back, m, choices)
	}
	return best
}

// earned is what a request earns whose model is there at that time.
func earned(d *demand, at time.Duration) float64 {
	switch {
	case at <= d.inTime:
		return d.worth.InTime
	case at <= d.last:
		return d.worth.Late
	default:
		return 0
	}
}

// consider weighs going at step k, for good or until some later step.
func (r *relaxation) consider(k int, m *askedModel, missed, value []float64, choices []choice) {
	if value[k] < 0 {
		value[k], choices[k] = 0, choice{goes}
	}
	for c := k + max(1, m.again.steps); c < r.steps; c++ {
		if v := missed[c] - r.cost(m.again, m.size, c) + value[c]; v > value[k] {
			value[k], choices[k] = v, choice{c}
		}
	}
}

func (r *relaxation) isResident(index int) bool {
	for i := range r.engines {
		for _, held := range r.engines[i].models {
			if held == index {
				return true
			}
		}
	}
	return false
}

// use adds what the choices from a step on use.
func (r *relaxation) use(k int, m *askedModel, choices []choice) {
	for k < r.steps {
		switch back := choices[k].back; back {
		case goes:
			return
		case stays:
			r.used.room[k] += m.size
			k++
		default:
			r.useLoad(m.again, m.size, back)
			k = back
		}
	}
}

func (r *relaxation) useLoad(l load, size float64, end int) {
	for k := max(0, end-l.steps); k < end; k++ {
		r.used.room[k] += size
		r.used.engines[k]++
		if l.store {
			r.used.store[k]++
		}
	}
}
