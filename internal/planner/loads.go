package planner

import (
	"maps"
	"time"

	"bergamotreel/placement"
)

// tooLong is by how much an estimate may exceed the load that followed for the
// next one from the same tier to be told. A request is refused by it at once.
const tooLong = 1.5

// loads watches how long loads take, from the decision's showing in the log to
// the engine's word, and whether the policy's estimates come true.
type loads struct {
	running map[holding]load
	// expected is what the policy estimated for a place, until the load's end.
	expected map[holding]time.Duration
	// proved is whether the newest estimate for a tier came true. Failure: the
	// policy's first estimate is a guess by the unit's size; told as the truth, it
	// had requests refused for 28 s of loading that took 2 s.
	proved map[placement.Tier]bool
}

// load is a load under way, or one that has ended after took.
type load struct {
	tier  placement.Tier
	begun time.Time
	took  time.Duration
}

func newLoads() loads {
	return loads{
		running: make(map[holding]load), expected: make(map[holding]time.Duration),
		proved: make(map[placement.Tier]bool),
	}
}

// watch notes a unit that is not ready. Its tier is that of the beginning: a
// checkpoint is in memory soon after.
func (l *loads) watch(key holding, now time.Time, h placement.Holding, tier placement.Tier) {
	_, running := l.running[key]
	switch {
	case h.Withdrawn:
		delete(l.running, key)
		delete(l.expected, key)
	case !h.Wanted:
		delete(l.running, key)
	case !running:
		l.running[key] = load{tier: tier, begun: now}
	}
}

// end notes that a unit is ready; false if its load was not seen.
func (l *loads) end(key holding, now time.Time) (load, bool) {
	ended, running := l.running[key]
	if !running {
		return load{}, false
	}
	ended.took = now.Sub(ended.begun)
	if expected, ok := l.expected[key]; ok {
		l.proved[ended.tier] = float64(expected) <= tooLong*float64(ended.took)
	}
	delete(l.running, key)
	delete(l.expected, key)
	return ended, true
}

// expect keeps the policy's estimate for a place and tells whether to trust it.
func (l *loads) expect(key holding, tier placement.Tier, estimate time.Duration) bool {
	l.expected[key] = estimate
	return l.proved[tier]
}

func (l *loads) forget(gone func(holding) bool) {
	maps.DeleteFunc(l.running, func(key holding, _ load) bool { return gone(key) })
	maps.DeleteFunc(l.expected, func(key holding, _ time.Duration) bool { return gone(key) })
}
