package hindsight

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// The schedule is what somebody who knows the whole day could have had loaded: for each
// engine a list of loads, with what gives way chosen by whose next request there is farthest
// off. It is found by local search from an empty list: loads are added, moved and taken out,
// and a change stays if the day's worth rises, or falls by little while the search is young.
// Each of its days could have been: room, copies, one load at a time on an engine, and no more
// loads from the store than it serves at full speed.

const (
	// searchStart and searchEnd are what a change may lose at the search's begin and end, in
	// requests of mean worth.
	searchStart, searchEnd = 0.5, 0.005
	// unloadTime is what an unload before a load takes.
	unloadTime = 150 * time.Millisecond
	// wishAhead times a model's longest load is how long before a request it may be wished
	// for.
	wishAhead = 1.5
	// needless is what a load must bring, in requests of mean worth: without it loads that
	// serve nobody pile up and stand in the way of others.
	needless = 0.01
)

// wish is a load that an engine is to begin at a time, or as soon after as it can.
type wish struct {
	at    time.Duration
	model int
}

// stay is a model's time on an engine.
type stay struct {
	model       int
	from, until time.Duration
}

// done is a load as it came about.
type done struct {
	wish
	engine       int
	begun, ready time.Duration
	store        bool
}

// plan is what an engine does; wishes are those that came about.
type plan struct {
	wishes []wish
	stays  []stay
	done   []done
}

// schedule is a plan for all engines, with what each model earns by it.
type schedule struct {
	*problem
	plans  []plan
	earned []float64
	total  float64
	// loadCost is what a load must bring.
	loadCost float64
	// foresight is whether loads may begin before anybody has asked.
	foresight bool
	// ready are the times at which a model is somewhere, by model.
	ready [][]stay
}

// search finds a good schedule, the same for the same seed. Without foresight no load begins
// before a request waits for it; what gives way is still chosen by who comes next.
func (p *problem) search(seed int64, rounds int, foresight bool) *schedule {
	s := &schedule{problem: p, foresight: foresight,
		plans: make([]plan, len(p.engines)), earned: make([]float64, len(p.models)), ready: make([][]stay, len(p.models))}
	for e := range s.plans {
		s.plans[e] = s.carryOut(e, nil)
	}
	s.adopt(s.plans)
	if p.owed() == 0 || len(p.engines) == 0 {
		return s
	}
	count := 0
	for i := range p.models {
		count += len(p.models[i].demands)
	}
	mean := p.owed() / float64(count)
	s.loadCost = needless * mean
	best, bestPlans := s.total, slices.Clone(s.plans)
	rng := rand.New(rand.NewSource(seed))
	for round := range rounds {
		engine, wishes := s.change(rng)
		if engine < 0 {
			continue
		}
		heat := mean * searchStart * math.Pow(searchEnd/searchStart, float64(round)/float64(rounds))
		s.try(engine, wishes, -heat*rng.ExpFloat64())
		if s.total > best {
			best, bestPlans = s.total, slices.Clone(s.plans)
		}
	}
	s.adopt(bestPlans)
	return s
}

// adopt goes back to plans that were there before.
func (s *schedule) adopt(plans []plan) {
	s.plans, s.total = plans, 0
	for m := range s.models {
		s.ready[m] = s.staysOf(m)
		s.earned[m] = s.worthOf(m)
		s.total += s.earned[m]
	}
}

// change draws a change of one engine's wishes; engine is negative where nothing was drawn.
func (s *schedule) change(rng *rand.Rand) (engine int, wishes []wish) {
	if rng.Intn(3) == 0 {
		engine = rng.Intn(len(s.plans))
		wishes = slices.Clone(s.plans[engine].wishes)
		if len(wishes) == 0 {
			return -1, nil
		}
		at := rng.Intn(len(wishes))
		if rng.Intn(2) == 0 {
			return engine, slices.Delete(wishes, at, at+1)
		}
		wishes[at].at = max(0, wishes[at].at+time.Duration(rng.NormFloat64()*float64(time.Second)))
		return engine, sorted(wishes)
	}
	m := rng.Intn(len(s.models))
	if len(s.models[m].demands) == 0 {
		return -1, nil
	}
	wanted := &s.models[m].demands[rng.Intn(len(s.models[m].demands))]
	engine = s.drawEngine(rng, m)
	first := wish{s.drawTime(rng, m, wanted), m}
	wishes = append(slices.Clone(s.plans[engine].wishes), first)
	if stays := s.plans[engine].stays; rng.Intn(2) == 0 && len(stays) > 0 {
		// What gave way comes back: without it a model whose absence costs much for as long
		// as nobody brings it back would never give way to a short visit.
		back := stays[rng.Intn(len(stays))].model
		wishes = append(wishes, wish{first.at + time.Duration((1+rng.Float64())*float64(s.models[m].DiskLoadTime)), back})
	}
	return engine, sorted(wishes)
}

// drawTime draws when a model is wished for that a request wants.
func (s *schedule) drawTime(rng *rand.Rand, m int, wanted *demand) time.Duration {
	if !s.foresight {
		return wanted.arrived + time.Duration(rng.Float64()*rng.Float64()*float64(wanted.last-wanted.arrived))
	}
	early := time.Duration(rng.Float64() * wishAhead * float64(s.models[m].StoreLoadTime))
	return max(0, wanted.inTime-early)
}

func sorted(wishes []wish) []wish {
	slices.SortStableFunc(wishes, func(a, b wish) int { return cmp.Compare(a.at, b.at) })
	return wishes
}

// drawEngine draws an engine for a model, more often one with a copy of it.
func (s *schedule) drawEngine(rng *rand.Rand, m int) int {
	var able []int
	for e := range s.engines {
		if s.engines[e].onDisk[m] || s.engines[e].inMemory[m] {
			able = append(able, e)
		}
	}
	if len(able) == 0 || rng.Intn(5) == 0 {
		return rng.Intn(len(s.engines))
	}
	return able[rng.Intn(len(able))]
}

// try changes an engine's wishes if the day's worth rises by more than least.
func (s *schedule) try(engine int, wishes []wish, least float64) {
	before := s.plans[engine]
	s.plans[engine] = s.carryOut(engine, wishes)
	touched := make(map[int]bool)
	for _, list := range [][]stay{before.stays, s.plans[engine].stays} {
		for _, st := range list {
			touched[st.model] = true
		}
	}
	type old struct {
		ready  []stay
		earned float64
	}
	undo := make(map[int]old, len(touched))
	gain := 0.0
	for _, m := range sortedKeys(touched) {
		undo[m] = old{s.ready[m], s.earned[m]}
		s.ready[m] = s.staysOf(m)
		s.earned[m] = s.worthOf(m)
		gain += s.earned[m] - undo[m].earned
	}
	if gain-s.loadCost*float64(len(s.plans[engine].done)-len(before.done)) > least {
		s.total += gain
		return
	}
	s.plans[engine] = before
	for m, o := range undo {
		s.ready[m], s.earned[m] = o.ready, o.earned
	}
}

func sortedKeys[Value any](m map[int]Value) []int { return slices.Sorted(maps.Keys(m)) }

// carryOut works out what comes of an engine's wishes.
func (s *schedule) carryOut(engine int, wishes []wish) plan {
	e := &s.engines[engine]
	out := plan{}
	here := make(map[int]time.Duration, len(e.models)) // since when
	free := s.room
	for _, m := range e.models {
		here[m] = e.from
		free -= s.models[m].Bytes
	}
	loaded := make(map[int]bool)
	idle := e.from
	for _, w := range wishes {
		begin := max(w.at, idle)
		if _, held := here[w.model]; held || begin >= e.until || !(s.foresight || s.isAskedFor(w.model, begin)) {
			continue
		}
		takes, store := s.takes(e, w.model, loaded)
		if store && s.storeBusy(engine, out.done, begin, begin+takes) {
			continue
		}
		ready := begin + takes
		for free < s.models[w.model].Bytes {
			gone := s.leastWanted(here, begin)
			if gone < 0 {
				break
			}
			out.stays = append(out.stays, stay{gone, here[gone], begin})
			ready = max(ready, s.idleAt(gone, here[gone], begin)+takes) + unloadTime
			delete(here, gone)
			free += s.models[gone].Bytes
		}
		if free < s.models[w.model].Bytes || ready >= e.until {
			continue
		}
		free -= s.models[w.model].Bytes
		here[w.model], loaded[w.model], idle = ready, true, ready
		out.wishes = append(out.wishes, w)
		out.done = append(out.done, done{wish: w, engine: engine, begun: begin, ready: ready, store: store})
	}
	for _, m := range sortedKeys(here) { // the search draws among them
		out.stays = append(out.stays, stay{m, here[m], e.until})
	}
	return out
}

// idleAt is when a model that is here since some time, and takes no new requests from now on,
// has run its last one.
func (s *schedule) idleAt(model int, since, now time.Duration) time.Duration {
	demands := s.models[model].demands
	at, _ := slices.BinarySearchFunc(demands, now, func(d demand, t time.Duration) int { return cmp.Compare(d.arrived, t) })
	if at == 0 || demands[at-1].last < since {
		return now
	}
	return max(now, max(since, demands[at-1].arrived)+s.answer+s.run)
}

// isAskedFor tells whether a request for the model waits, or was turned away and could come
// back, at that time.
func (s *schedule) isAskedFor(model int, at time.Duration) bool {
	for i := range s.models[model].demands {
		if d := &s.models[model].demands[i]; d.arrived <= at && at <= d.last {
			return true
		}
	}
	return false
}

// takes is how long a load takes on an engine, and whether it is the store's.
func (s *schedule) takes(e *engine, model int, loaded map[int]bool) (time.Duration, bool) {
	m := &s.models[model]
	switch {
	case e.inMemory[model]:
		return m.MemoryLoadTime, false
	case e.onDisk[model], loaded[model]:
		return m.DiskLoadTime, false
	default:
		return m.StoreLoadTime, true
	}
}

// storeBusy tells whether a load from the store would be one too many at some moment.
func (s *schedule) storeBusy(engine int, own []done, begin, end time.Duration) bool {
	at := 0
	count := func(list []done) {
		for i := range list {
			if list[i].store && list[i].begun < end && begin < list[i].ready {
				at++
			}
		}
	}
	count(own)
	for e := range s.plans {
		if e != engine {
			count(s.plans[e].done)
		}
	}
	return at >= s.storeAtOnce
}

// leastWanted is the model here whose next request comes last, negative for none; one that
// was loaded a moment ago stays.
func (s *schedule) leastWanted(here map[int]time.Duration, now time.Duration) int {
	gone, farthest := -1, time.Duration(-1)
	for m, since := range here {
		if since > now {
			continue
		}
		next := time.Duration(math.MaxInt64)
		demands := s.models[m].demands
		if at, _ := slices.BinarySearchFunc(demands, now, func(d demand, t time.Duration) int { return cmp.Compare(d.arrived, t) }); at < len(demands) {
			next = demands[at].arrived
		}
		if next > farthest || (next == farthest && m < gone) {
			gone, farthest = m, next
		}
	}
	return gone
}

// staysOf are a model's stays on all engines, in order.
func (s *schedule) staysOf(model int) []stay {
	var out []stay
	for e := range s.plans {
		for _, st := range s.plans[e].stays {
			if st.model == model && st.until > st.from {
				out = append(out, st)
			}
		}
	}
	slices.SortFunc(out, func(a, b stay) int { return cmp.Compare(a.from, b.from) })
	return out
}

// worthOf is what a model's requests earn.
func (s *schedule) worthOf(model int) float64 {
	total := 0.0
	for i := range s.models[model].demands {
		total += s.worthOfDemand(model, &s.models[model].demands[i])
	}
	return total
}

func (s *schedule) worthOfDemand(model int, d *demand) float64 {
	for _, st := range s.ready[model] {
		if st.until > d.arrived {
			return earned(d, max(d.arrived, st.from))
		}
	}
	return 0
}
