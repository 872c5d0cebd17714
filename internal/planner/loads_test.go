package planner

import (
	"testing"
	"time"

	"bergamotreel/placement"
)

// The policy's first estimate is a guess by the unit's size: 28 s for a load that
// took 2 s. Told as the truth it had requests refused that could have waited. So
// an estimate is told only once one for the same tier came true, and no more
// after one that did not; that a load took longer takes nobody's wait away.
func TestGuessIsNotTold(t *testing.T) {
	l, now := newLoads(), time.Unix(1000, 0)
	key, wanted := holding{"engine", "unit"}, placement.Holding{Wanted: true}
	steps := []struct {
		tier            placement.Tier
		estimate, takes time.Duration
		told            bool
	}{
		{placement.TierRemote, 28 * time.Second, 2 * time.Second, false},
		{placement.TierRemote, 2 * time.Second, 2 * time.Second, false},
		{placement.TierRemote, 2 * time.Second, 9 * time.Second, true},
		{placement.TierDisk, time.Second, time.Second, false},
		{placement.TierRemote, 20 * time.Second, 2 * time.Second, true},
		{placement.TierRemote, 2 * time.Second, 2 * time.Second, false},
	}
	for i, step := range steps {
		if told := l.expect(key, step.tier, step.estimate); told != step.told {
			t.Errorf("step %d: told %v", i, told)
		}
		// The right shows before it is wanted; the checkpoint is in memory before
		// the load has ended.
		l.watch(key, now, placement.Holding{}, step.tier)
		l.watch(key, now, wanted, step.tier)
		l.watch(key, now.Add(step.takes/2), wanted, placement.TierMemory)
		now = now.Add(step.takes)
		if ended, ok := l.end(key, now); !ok || ended.took != step.takes || ended.tier != step.tier {
			t.Errorf("step %d: ended %+v, %v", i, ended, ok)
		}
		if _, ok := l.end(key, now); ok {
			t.Errorf("step %d: ended twice", i)
		}
	}
	l.watch(key, now, wanted, placement.TierDisk)
	l.forget(func(holding) bool { return true })
	if _, ok := l.end(key, now); ok {
		t.Error("a load on an engine that is gone has ended")
	}
}
