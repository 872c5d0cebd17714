package hindsight

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// The schedule is a list of loads for each engine; a load evicts the model whose next request
// is farthest in the future. Simulated annealing finds it, from empty lists: it adds, moves and
// removes loads, and keeps a change if the day's worth rises, or falls by less than the
// temperature allows. Every schedule it visits is feasible: it respects engine memory, local
// copies, one load at a time on an engine, and the number of concurrent loads that the store
// serves at full speed.

const (
	// startTemperature and endTemperature are the mean loss of worth at which a change is still
	// accepted, at the start and end of the search, as a multiple of the mean worth of a request.
	startTemperature, endTemperature = 0.5, 0.005
	// unloadTime is how long an unload before a load takes.
	unloadTime = 150 * time.Millisecond
	// maxLeadFactor times a model's load time from the store is the longest lead of a planned
	// load before its request.
	maxLeadFactor = 1.5
	// minLoadGain is what a load must earn, in requests of mean worth. Without it, loads that
	// serve no request accumulate and block others.
	minLoadGain = 0.01
)

// plannedLoad is a load that an engine starts at a time, or as soon as possible after it.
type plannedLoad struct {
	at    time.Duration
	model int
}

// residence is a period in which a model is ready on an engine.
type residence struct {
	model       int
	from, until time.Duration
}

// executedLoad is a planned load with the times that the simulation gave it.
type executedLoad struct {
	plannedLoad
	engine             int
	startedAt, readyAt time.Duration
	fromStore          bool
}

// enginePlan is what one engine does. planned holds only the loads that were executed.
type enginePlan struct {
	planned    []plannedLoad
	residences []residence
	executed   []executedLoad
}

// schedule is a plan for all engines, with the worth that each model earns by it.
type schedule struct {
	*problem
	plans       []enginePlan
	modelWorths []float64
	totalEarned float64
	// minLoadGain is what each load must earn.
	minLoadGain float64
	// foresight is whether loads may start before a request arrives.
	foresight bool
	// residences are each model's residences on all engines, in order.
	residences [][]residence
}

// search finds a good schedule, the same one for the same seed. Without foresight no load
// starts before a request waits for it; evictions still use knowledge of future requests.
func (p *problem) search(seed int64, rounds int, foresight bool) *schedule {
	s := &schedule{problem: p, foresight: foresight,
		plans: make([]enginePlan, len(p.engines)), modelWorths: make([]float64, len(p.models)), residences: make([][]residence, len(p.models))}
	for e := range s.plans {
		s.plans[e] = s.simulate(e, nil)
	}
	s.restorePlans(s.plans)
	if p.totalWorth() == 0 || len(p.engines) == 0 {
		return s
	}
	count := 0
	for i := range p.models {
		count += len(p.models[i].demands)
	}
	meanWorth := p.totalWorth() / float64(count)
	s.minLoadGain = minLoadGain * meanWorth
	best, bestPlans := s.totalEarned, slices.Clone(s.plans)
	rng := rand.New(rand.NewSource(seed))
	for round := range rounds {
		engine, planned := s.proposeChange(rng)
		if engine < 0 {
			continue
		}
		temperature := meanWorth * startTemperature * math.Pow(endTemperature/startTemperature, float64(round)/float64(rounds))
		s.tryChange(engine, planned, -temperature*rng.ExpFloat64())
		if s.totalEarned > best {
			best, bestPlans = s.totalEarned, slices.Clone(s.plans)
		}
	}
	s.restorePlans(bestPlans)
	return s
}

// restorePlans sets the plans and recomputes residences and worth from them.
func (s *schedule) restorePlans(plans []enginePlan) {
	s.plans, s.totalEarned = plans, 0
	for m := range s.models {
		s.residences[m] = s.residencesOf(m)
		s.modelWorths[m] = s.modelWorth(m)
		s.totalEarned += s.modelWorths[m]
	}
}

// proposeChange draws a random change of one engine's planned loads. engine is negative if
// there is nothing to change.
func (s *schedule) proposeChange(rng *rand.Rand) (engine int, planned []plannedLoad) {
	if rng.Intn(3) == 0 {
		engine = rng.Intn(len(s.plans))
		planned = slices.Clone(s.plans[engine].planned)
		if len(planned) == 0 {
			return -1, nil
		}
		at := rng.Intn(len(planned))
		if rng.Intn(2) == 0 {
			return engine, slices.Delete(planned, at, at+1)
		}
		planned[at].at = max(0, planned[at].at+time.Duration(rng.NormFloat64()*float64(time.Second)))
		return engine, sortByTime(planned)
	}
	m := rng.Intn(len(s.models))
	if len(s.models[m].demands) == 0 {
		return -1, nil
	}
	request := &s.models[m].demands[rng.Intn(len(s.models[m].demands))]
	engine = s.drawEngine(rng, m)
	first := plannedLoad{s.drawLoadTime(rng, m, request), m}
	planned = append(slices.Clone(s.plans[engine].planned), first)
	if residences := s.plans[engine].residences; rng.Intn(2) == 0 && len(residences) > 0 {
		// Also reload a model that the new load may evict. Without this, a costly absence
		// that lasts until some later reload would rule out evicting it for a short time.
		displaced := residences[rng.Intn(len(residences))].model
		planned = append(planned, plannedLoad{first.at + time.Duration((1+rng.Float64())*float64(s.models[m].DiskLoadTime)), displaced})
	}
	return engine, sortByTime(planned)
}

// drawLoadTime draws when to start loading a model for a request.
func (s *schedule) drawLoadTime(rng *rand.Rand, m int, request *demand) time.Duration {
	if !s.foresight {
		return request.arrivedAt + time.Duration(rng.Float64()*rng.Float64()*float64(request.finalDeadline-request.arrivedAt))
	}
	lead := time.Duration(rng.Float64() * maxLeadFactor * float64(s.models[m].StoreLoadTime))
	return max(0, request.targetDeadline-lead)
}

func sortByTime(planned []plannedLoad) []plannedLoad {
	slices.SortStableFunc(planned, func(a, b plannedLoad) int { return cmp.Compare(a.at, b.at) })
	return planned
}

// drawEngine draws an engine for a model and prefers those with a local copy.
func (s *schedule) drawEngine(rng *rand.Rand, m int) int {
	var withCopy []int
	for e := range s.engines {
		if s.engines[e].onDisk[m] || s.engines[e].inMemory[m] {
			withCopy = append(withCopy, e)
		}
	}
	if len(withCopy) == 0 || rng.Intn(5) == 0 {
		return rng.Intn(len(s.engines))
	}
	return withCopy[rng.Intn(len(withCopy))]
}

// tryChange replaces an engine's planned loads if the day's worth, less minLoadGain for each
// additional load, rises by more than minGain.
func (s *schedule) tryChange(engine int, planned []plannedLoad, minGain float64) {
	before := s.plans[engine]
	s.plans[engine] = s.simulate(engine, planned)
	affected := make(map[int]bool)
	for _, list := range [][]residence{before.residences, s.plans[engine].residences} {
		for _, r := range list {
			affected[r.model] = true
		}
	}
	type modelState struct {
		residences []residence
		worth      float64
	}
	undo := make(map[int]modelState, len(affected))
	gain := 0.0
	for _, m := range sortedKeys(affected) {
		undo[m] = modelState{s.residences[m], s.modelWorths[m]}
		s.residences[m] = s.residencesOf(m)
		s.modelWorths[m] = s.modelWorth(m)
		gain += s.modelWorths[m] - undo[m].worth
	}
	if gain-s.minLoadGain*float64(len(s.plans[engine].executed)-len(before.executed)) > minGain {
		s.totalEarned += gain
		return
	}
	s.plans[engine] = before
	for m, old := range undo {
		s.residences[m], s.modelWorths[m] = old.residences, old.worth
	}
}

func sortedKeys[Value any](m map[int]Value) []int { return slices.Sorted(maps.Keys(m)) }

// simulate executes an engine's planned loads and skips those that are not feasible.
func (s *schedule) simulate(engine int, planned []plannedLoad) enginePlan {
	e := &s.engines[engine]
	out := enginePlan{}
	residentSince := make(map[int]time.Duration, len(e.initialModels)) // by model
	freeBytes := s.capacityBytes
	for _, m := range e.initialModels {
		residentSince[m] = e.listedAt
		freeBytes -= s.models[m].Bytes
	}
	loaded := make(map[int]bool)
	idleAt := e.listedAt
	for _, next := range planned {
		startAt := max(next.at, idleAt)
		if _, resident := residentSince[next.model]; resident || startAt >= e.goneAt || !(s.foresight || s.hasPendingDemand(next.model, startAt)) {
			continue
		}
		loadTime, fromStore := s.loadTimeOn(e, next.model, loaded)
		if fromStore && s.isStoreFull(engine, out.executed, startAt, startAt+loadTime) {
			continue
		}
		readyAt := startAt + loadTime
		for freeBytes < s.models[next.model].Bytes {
			evicted := s.evictionCandidate(residentSince, startAt)
			if evicted < 0 {
				break
			}
			out.residences = append(out.residences, residence{evicted, residentSince[evicted], startAt})
			readyAt = max(readyAt, s.lastRequestEnd(evicted, residentSince[evicted], startAt)+loadTime) + unloadTime
			delete(residentSince, evicted)
			freeBytes += s.models[evicted].Bytes
		}
		if freeBytes < s.models[next.model].Bytes || readyAt >= e.goneAt {
			continue
		}
		freeBytes -= s.models[next.model].Bytes
		residentSince[next.model], loaded[next.model], idleAt = readyAt, true, readyAt
		out.planned = append(out.planned, next)
		out.executed = append(out.executed, executedLoad{plannedLoad: next, engine: engine, startedAt: startAt, readyAt: readyAt, fromStore: fromStore})
	}
	for _, m := range sortedKeys(residentSince) { // sorted, because the search draws from this list
		out.residences = append(out.residences, residence{m, residentSince[m], e.goneAt})
	}
	return out
}

// lastRequestEnd returns when the last request ends of a model that is ready since some time
// and takes no new requests from now on.
func (s *schedule) lastRequestEnd(model int, since, now time.Duration) time.Duration {
	demands := s.models[model].demands
	at, _ := slices.BinarySearchFunc(demands, now, func(d demand, t time.Duration) int { return cmp.Compare(d.arrivedAt, t) })
	if at == 0 || demands[at-1].finalDeadline < since {
		return now
	}
	return max(now, max(since, demands[at-1].arrivedAt)+s.firstTokenTime+s.generationTime)
}

// hasPendingDemand reports whether at that time a request for the model waits, or was refused
// and could be retried.
func (s *schedule) hasPendingDemand(model int, at time.Duration) bool {
	for i := range s.models[model].demands {
		if d := &s.models[model].demands[i]; d.arrivedAt <= at && at <= d.finalDeadline {
			return true
		}
	}
	return false
}

// loadTimeOn returns how long a load takes on an engine and whether it is from the store.
func (s *schedule) loadTimeOn(e *engine, model int, loaded map[int]bool) (time.Duration, bool) {
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

// isStoreFull reports whether a load from the store could exceed the store's limit. It counts
// every store load that overlaps any part of the interval.
func (s *schedule) isStoreFull(engine int, own []executedLoad, begin, end time.Duration) bool {
	concurrent := 0
	count := func(list []executedLoad) {
		for i := range list {
			if list[i].fromStore && list[i].startedAt < end && begin < list[i].readyAt {
				concurrent++
			}
		}
	}
	count(own)
	for e := range s.plans {
		if e != engine {
			count(s.plans[e].executed)
		}
	}
	return concurrent >= s.maxStoreLoads
}

// evictionCandidate returns the resident model whose next request is farthest in the future,
// or a negative number if there is none. A model that is not ready yet is not evicted.
func (s *schedule) evictionCandidate(residentSince map[int]time.Duration, now time.Duration) int {
	candidate, farthest := -1, time.Duration(-1)
	for m, since := range residentSince {
		if since > now {
			continue
		}
		next := time.Duration(math.MaxInt64)
		demands := s.models[m].demands
		if at, _ := slices.BinarySearchFunc(demands, now, func(d demand, t time.Duration) int { return cmp.Compare(d.arrivedAt, t) }); at < len(demands) {
			next = demands[at].arrivedAt
		}
		if next > farthest || (next == farthest && m < candidate) {
			candidate, farthest = m, next
		}
	}
	return candidate
}

// residencesOf returns a model's residences on all engines, in order.
func (s *schedule) residencesOf(model int) []residence {
	var out []residence
	for e := range s.plans {
		for _, r := range s.plans[e].residences {
			if r.model == model && r.until > r.from {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b residence) int { return cmp.Compare(a.from, b.from) })
	return out
}

// modelWorth returns what all requests for a model earn.
func (s *schedule) modelWorth(model int) float64 {
	total := 0.0
	for i := range s.models[model].demands {
		total += s.demandWorth(model, &s.models[model].demands[i])
	}
	return total
}

// demandWorth returns what one request earns by the schedule.
func (s *schedule) demandWorth(model int, d *demand) float64 {
	for _, r := range s.residences[model] {
		if r.until > d.arrivedAt {
			return worthIfReadyAt(d, max(d.arrivedAt, r.from))
		}
	}
	return 0
}
