package planner

import (
	"testing"
	"time"

	"bergamotreel/placement"
)

// The policy's first estimate is a guess by the unit's size: 28 s for a load that
// took 2 s. After an outage it is far too long too, as loads that were held up
// count. Told as the truth it has requests refused that could have waited. So
// nothing is told before loads of the tier were seen, and then never more than the
// quickest of the newest ones.
func TestEstimateThatIsToldIsNotTooLong(t *testing.T) {
	l, now := newLoads(), time.Unix(1000, 0)
	key, wanted := holding{"engine", "unit"}, placement.Holding{Wanted: true}
	const bytes, guess = 30 << 30, 28 * time.Second
	load := func(tier placement.Tier, held, takes time.Duration) {
		t.Helper()
		l.watch(key, now, placement.Holding{}, sight{tier, "1", false})
		l.watch(key, now, wanted, sight{tier, "1", false})
		now = now.Add(held)
		l.watch(key, now, wanted, sight{tier, "1", true})
		l.watch(key, now.Add(takes/2), wanted, sight{placement.TierMemory, "1", true})
		now = now.Add(takes)
		if ended, ok := l.end(key, now, bytes); !ok || ended.took != takes || ended.tier != tier {
			t.Errorf("ended %+v, %v", ended, ok)
		}
		if _, ok := l.end(key, now, bytes); ok {
			t.Error("ended twice")
		}
	}
	check := func(what string, tier placement.Tier, want time.Duration) {
		t.Helper()
		if got, _ := l.tell(tier, bytes, guess); got.Round(time.Millisecond) != want {
			t.Errorf("%s: told %v, want %v", what, got, want)
		}
	}
	check("a guess", placement.TierRemote, 0)
	for range loadsWanted {
		load(placement.TierRemote, 0, 2*time.Second)
	}
	check("loads seen", placement.TierRemote, 2*time.Second)
	check("another tier", placement.TierDisk, 0)
	load(placement.TierRemote, time.Minute, 3*time.Second)
	check("held up in an outage", placement.TierRemote, 2*time.Second)
	l.watch(key, now, wanted, sight{placement.TierRemote, "0", true})
	now = now.Add(time.Second) // the engine restarts
	load(placement.TierRemote, 0, 3*time.Second)
	check("the engine restarted", placement.TierRemote, 2*time.Second)
	for range loadsKept {
		load(placement.TierRemote, 0, 9*time.Second)
	}
	check("the store has become slow", placement.TierRemote, 9*time.Second)
	for range loadsKept {
		load(placement.TierRemote, 0, time.Minute)
	}
	check("the policy knows better", placement.TierRemote, guess)

	l.watch(key, now, wanted, sight{placement.TierDisk, "1", true})
	l.forget(func(holding) bool { return true })
	if _, ok := l.end(key, now, bytes); ok {
		t.Error("a load on an engine that is gone has ended")
	}
}
