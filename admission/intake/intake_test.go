package intake

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

var start = time.Unix(1000, 0)

const (
	kib   = int64(1 << 10)
	mib   = int64(1 << 20)
	limit = 16 * mib
)

// begin adds a body that asks for n bytes.
func begin(b *Budget, owner string, n int64, now time.Time) (*Body, Decision) {
	body := b.Begin(owner, now)
	return body, b.Request(body, n, now)
}

// Guards against bodies that stop arriving and keep their memory until their connections time out, while others wait.
func TestStalledBodiesYield(t *testing.T) {
	b := NewBudget(limit)
	var stalled []*Body
	for i := range 6 {
		body, _ := begin(b, string(rune('a'+i)), 2*mib, start)
		b.Receive(body, mib, start.Add(time.Duration(i)*time.Millisecond))
		stalled = append(stalled, body)
	}
	waits, decision := begin(b, "late", 2*mib, start.Add(time.Millisecond))
	testkit.That(t, len(decision.Granted) == 0 && len(decision.Evicted) == 0 && b.HasWaiting(), "before they stall: %v", decision)
	decision = b.Recheck(start.Add(StallTimeout + 4*time.Millisecond))
	testkit.That(t, len(decision.Evicted) == 1 && decision.Evicted[0] == stalled[0], "not the one longest without progress: %v", decision)
	decision = b.Recheck(start.Add(StallTimeout + 4*time.Millisecond))
	testkit.That(t, len(decision.Evicted) == 0, "more than needed are evicted: %v", decision)
	decision = b.Release(stalled[0], start.Add(StallTimeout+5*time.Millisecond))
	testkit.That(t, len(decision.Granted) == 1 && decision.Granted[0] == waits, "not granted: %v", decision)
}

// Without others that wait, a body may arrive at any pace.
func TestSlowBodyInCalmKeepsItsMemory(t *testing.T) {
	b := NewBudget(limit)
	slow, _ := begin(b, "a", 4*mib, start)
	_, decision := begin(b, "b", 4*mib, start.Add(time.Hour))
	testkit.That(t, !slow.IsEvicted() && len(decision.Granted) == 1, "%v", decision)
}

// Guards against an ordinary small body that finds no room because larger ones are arriving, at whatever pace, or wait.
func TestSmallBodyFindsRoom(t *testing.T) {
	b := NewBudget(limit)
	now := start
	for i := 0; b.Held() < limit-kib; i++ {
		now = now.Add(time.Millisecond)
		body, _ := begin(b, string(rune('a'+i%16)), 32*kib, now)
		b.Receive(body, 32*kib, now)
		if i%2 == 0 {
			for _, evicted := range b.Request(body, mib, now).Evicted {
				b.Release(evicted, now)
			}
		}
	}
	_, decision := begin(b, "ordinary", 2*kib, now)
	testkit.That(t, len(decision.Evicted) == 1, "evicted %d bodies", len(decision.Evicted))
	decision = b.Release(decision.Evicted[0], now)
	testkit.That(t, len(decision.Granted) > 0, "no room for a small body")
}

// Guards against one owner that has the whole memory, and large bodies that leave none for small ones.
func TestShares(t *testing.T) {
	b := NewBudget(limit)
	for range 10 {
		body, decision := begin(b, "a", 2*mib, start)
		if len(decision.Granted) == 1 {
			b.Complete(body, 2*mib, start)
		}
	}
	testkit.Equal(t, "large bodies of one owner", b.owners["a"], 6*mib)
	_, decision := begin(b, "a", SmallBytes, start)
	testkit.Equal(t, "small body of the same owner", len(decision.Granted), 1)
	for i := range 10 {
		body, decision := begin(b, string(rune('b'+i)), 2*mib, start)
		if len(decision.Granted) == 1 {
			b.Complete(body, 2*mib, start)
		}
	}
	testkit.That(t, b.Held() <= limit/4*3, "large bodies hold %d bytes", b.Held())
	_, decision = begin(b, "z", SmallBytes, start)
	testkit.Equal(t, "small body", len(decision.Granted), 1)
}

// Guards against bodies that all have a part of the memory and wait for more, so that none can go on.
func TestWaitingBodiesDoNotTakeTheMemory(t *testing.T) {
	b := NewBudget(limit)
	evicted := 0
	for i := range 1000 {
		body, _ := begin(b, string(rune(i)), SmallBytes, start)
		if body.held == 0 {
			continue
		}
		decision := b.Request(body, 2*mib, start)
		evicted += len(decision.Evicted)
		for _, other := range decision.Evicted {
			b.Release(other, start)
		}
	}
	large := 0
	for body := range b.bodies {
		if body.held > mib {
			large++
		}
	}
	testkit.That(t, large >= 4 && evicted > 900, "%d large bodies arrive, %d were evicted", large, evicted)
}

// TestRandomBodies checks on random histories that the memory stays within its limits, that a body's memory is granted to
// another one only after its release, and that bodies which arrive at a fair pace all end.
func TestRandomBodies(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		b := NewBudget(limit)
		now := start
		bodies := map[*Body]int64{} // size
		completed, step := 0, 0
		for ; step < 4000; step++ {
			now = now.Add(time.Duration(random.Intn(5)) * time.Millisecond)
			if len(bodies) < 40 && step < 3000 && random.Intn(3) == 0 {
				body := b.Begin(string(rune('a'+random.Intn(5))), now)
				bodies[body] = []int64{kib, 40 * kib, mib, 4 * mib}[random.Intn(4)]
				b.Request(body, min(bodies[body], SmallBytes), now)
			}
			for body, size := range bodies {
				switch {
				case body.evicted:
					b.Release(body, now)
					delete(bodies, body)
				case body.wanted > 0:
				case body.arrived && random.Intn(3) == 0:
					b.Release(body, now)
					delete(bodies, body)
					completed++
				case body.arrived:
				case body.held < size && body.received == body.held:
					b.Request(body, size-body.held, now)
				case body.received < body.held:
					b.Receive(body, min(body.held-body.received, 256*kib), now)
				default:
					b.Complete(body, size, now)
				}
			}
			b.Recheck(now)
			sum := int64(0)
			for body := range b.bodies {
				sum += body.held
			}
			testkit.Need(t, sum == b.Held() && b.Held() <= limit, "seed %d: %d bytes held, budget says %d", seed, sum, b.Held())
			for owner, held := range b.owners {
				testkit.Need(t, held > 0 && held <= limit/2, "seed %d: %s holds %d bytes", seed, owner, held)
			}
		}
		testkit.Need(t, len(bodies) == 0 && len(b.queue) == 0 && b.Held() == 0, "seed %d: %d bodies never ended", seed, len(bodies))
		testkit.Need(t, completed > 100, "seed %d: only %d bodies completed", seed, completed)
	}
}
