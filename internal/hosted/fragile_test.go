package hosted

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const (
	// fragileNotice is how long after engines say that they are fragile they may shorten their
	// queues. Within one such time at most maxFragileCrashes plus a tenth of their number may
	// crash, by the hosting platform's rules.
	fragileNotice     = 3 * time.Second
	maxFragileCrashes = 2
	// normalQueue is how many requests an engine queues otherwise.
	normalQueue = 4
)

// allowedFragileCrashes returns how many of a number of fragile engines may crash.
func allowedFragileCrashes(engines int) int { return maxFragileCrashes + engines/10 }

// engineRoom bounds the requests on an engine.
type engineRoom struct {
	running int
	// maxRejections, if positive, is how many requests the engine rejects within a second
	// before it crashes; all its answers say so since the time saidAt.
	maxRejections int
	saidAt        time.Time
	rejectedAt    []time.Time
}

// maxRejections returns what an engine's answers say.
func (b *engineCluster) maxRejections(e *servingEngine) int {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	if e.room == nil {
		return 0
	}
	return e.room.maxRejections
}

// capacity returns how many requests the engine takes now.
func (r *engineRoom) capacity(now time.Time) int {
	if r.maxRejections > 0 && now.Sub(r.saidAt) >= fragileNotice {
		return engineSlots
	}
	return engineSlots + normalQueue
}

// enterRoom counts a request on an engine. It returns false if the engine has no room for it,
// and crashes a fragile engine that has rejected too many.
func (b *engineCluster) enterRoom(e *servingEngine) bool {
	b.statsMu.Lock()
	r, now := e.room, time.Now()
	if r == nil {
		b.statsMu.Unlock()
		return true
	}
	if r.running < r.capacity(now) {
		r.running++
		b.statsMu.Unlock()
		return true
	}
	r.rejectedAt = append(r.rejectedAt, now)
	for now.Sub(r.rejectedAt[0]) >= time.Second {
		r.rejectedAt = r.rejectedAt[1:]
	}
	crashes := r.maxRejections > 0 && now.Sub(r.saidAt) >= fragileNotice && len(r.rejectedAt) > r.maxRejections
	b.rejections++
	if crashes {
		b.roomCrashes = append(b.roomCrashes, now)
	}
	b.statsMu.Unlock()
	if crashes {
		b.endEngine(e)
	}
	return false
}

// leaveRoom reverts enterRoom.
func (b *engineCluster) leaveRoom(e *servingEngine) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	if e.room != nil {
		e.room.running--
	}
}

// setFragile bounds the room of all engines and, if maxRejections is positive, makes them
// fragile.
func (b *engineCluster) setFragile(maxRejections int) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	saidAt := time.Now()
	for _, e := range b.engines {
		if e.room == nil {
			e.room = &engineRoom{}
		}
		e.room.maxRejections, e.room.saidAt = maxRejections, saidAt
	}
	b.newEngineRoom = func() *engineRoom { return &engineRoom{maxRejections: maxRejections, saidAt: saidAt} }
}

// Guards against VMs that together send fragile engines more requests than these have room for,
// until they crash.
func TestFragileEnginesSurviveLoad(t *testing.T) {
	for name, c := range map[string]fragileCase{
		"as much as fits":           {8, 6, 3, 7 * time.Millisecond},
		"more than fits":            {8, 6, 3, 4 * time.Millisecond},
		"more than fits, one alone": {8, 1, 5, 25 * time.Millisecond},
		"large fleet":               {30, 6, 5, 4 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { checkFragileEngines(t, c) })
	}
}

// Guards against room that stays empty on few engines of a large fleet: the issuer goes by reported
// requests in flight that have ended.
func TestFewFragileEnginesOfLargeFleet(t *testing.T) {
	checkFragileEngines(t, fragileCase{30, 2, 5, 12 * time.Millisecond})
}

// fragileCase is a fleet with fragile engines, and the time between two requests.
type fragileCase struct {
	vms, engines, maxRejections int
	pause                       time.Duration
}

// checkFragileEngines checks that few fragile engines crash and that at least half of what they
// have room for is served.
func checkFragileEngines(t *testing.T, c fragileCase) {
	withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
		b.setFragile(0)
		b.sendOtherRequests(2*time.Second, c.pause)
		b.Logf("%d rejections before", b.rejections)
		b.setFragile(c.maxRejections)
		servedBefore := b.answered
		b.sendOtherRequests(12*time.Second, c.pause)
		crashes := len(b.endedAt)
		served := float64(b.answered-servedBefore) / 12
		b.setFragile(0)
		b.sendOtherRequests(3*time.Second, c.pause)
		b.inFlight.Wait()
		for _, vm := range b.vms {
			testkit.That(t, !b.nodes[vm].rooms.hasFragile(), "%s still takes engines for fragile", vm)
		}
		slots := float64(c.engines*engineSlots) / runTime.Seconds()
		b.Logf("%d crashes, %d rejections; %.0f served a second, %.0f have room, %.0f asked", crashes, b.rejections, served, slots, 1/c.pause.Seconds())
		allowed := allowedFragileCrashes(c.engines)
		testkit.That(t, crashes <= allowed, "%d crashes of fragile engines, %d are allowed", crashes, allowed)
		possible := min(slots, 1/c.pause.Seconds())
		testkit.That(t, served >= possible/2, "%.0f requests served a second where %.0f are possible", served, possible)
	})
}

// hasFragile reports whether any backend server counts as fragile.
func (r *backendRooms) hasFragile() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.byBackend {
		if b.MaxRejections > 0 {
			return true
		}
	}
	return false
}
