package node

import (
	"sync"
	"time"

	"bergamotreel/admission"
	"bergamotreel/entryvm"
	"bergamotreel/routing"
)

// maxGrantDelay is how long a granted right may take to appear in the applied state.
// After that, a unit without a right is not expected to load.
const maxGrantDelay = 3 * time.Second

// readyEstimates holds the times at which units are expected to be ready: those of
// the units that this VM plans, for its digests, and those received from peers.
// Without the peers' estimates, only the planner's own callers would be refused in
// time, and all others would wait in vain.
type readyEstimates struct {
	mu         sync.Mutex
	lastNumber uint64
	own        map[string]ownEstimate
	// byPeer holds the estimates received from other VMs, by VM ID.
	byPeer map[string]peerEstimates
}

// ownEstimate is an estimate by this VM's planner.
type ownEstimate struct {
	readyAt, madeAt time.Time
	number          uint64
}

// peerEstimates holds the estimates of one incarnation of a peer, by unit.
type peerEstimates struct {
	incarnation string
	units       map[string]peerEstimate
}

type peerEstimate struct {
	readyAt time.Time
	number  uint64
}

// readyTimeChange is an estimate to set or, if known is false, to remove in admission.
type readyTimeChange struct {
	unit    string
	readyAt time.Time
	known   bool
}

func newReadyEstimates() *readyEstimates {
	return &readyEstimates{own: make(map[string]ownEstimate), byPeer: make(map[string]peerEstimates)}
}

// readiness is the loading state of a unit that has an estimate.
type readiness int

const (
	readinessLoading readiness = iota
	readinessReady
	readinessNoRight
)

// set records that a unit that this VM plans is expected to be ready at readyAt.
func (e *readyEstimates) set(now time.Time, unit string, readyAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastNumber++
	e.own[unit] = ownEstimate{readyAt: readyAt, madeAt: now, number: e.lastNumber}
}

// report drops the estimates that no longer hold and returns the others. It calls
// lookupReadiness without holding mu, since that function takes other locks.
func (e *readyEstimates) report(now time.Time, lookupReadiness func(unit string) readiness) []entryvm.ReadyExpectation {
	e.mu.Lock()
	units := make([]string, 0, len(e.own))
	for unit := range e.own {
		units = append(units, unit)
	}
	e.mu.Unlock()
	readinessOf := make(map[string]readiness, len(units))
	for _, unit := range units {
		readinessOf[unit] = lookupReadiness(unit)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []entryvm.ReadyExpectation
	for unit, current := range readinessOf {
		own, ok := e.own[unit]
		denied := current == readinessNoRight && now.Sub(own.madeAt) > maxGrantDelay
		if !ok || current == readinessReady || denied || !own.readyAt.After(now) {
			delete(e.own, unit)
			continue
		}
		out = append(out, entryvm.ReadyExpectation{Unit: unit, ReadyIn: own.readyAt.Sub(now), Number: own.number})
	}
	return out
}

// applyDigest stores the estimates of a digest and returns the changes. Each estimate
// is returned only once: repeated after the unit is ready here, it would cause
// requests to be refused.
func (e *readyEstimates) applyDigest(now time.Time, d entryvm.Digest) []readyTimeChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.byPeer[d.VM]
	if before.incarnation != d.Incarnation {
		before = peerEstimates{incarnation: d.Incarnation}
	}
	units := make(map[string]peerEstimate, len(d.Expected))
	var changes []readyTimeChange
	for _, received := range d.Expected {
		known, ok := before.units[received.Unit]
		if !ok || known.number != received.Number {
			known = peerEstimate{readyAt: now.Add(received.ReadyIn - d.Age), number: received.Number}
			changes = append(changes, readyTimeChange{unit: received.Unit, readyAt: known.readyAt, known: true})
		}
		units[received.Unit] = known
	}
	for unit := range before.units {
		if _, still := units[unit]; !still {
			changes = append(changes, readyTimeChange{unit: unit})
		}
	}
	e.storePeer(now, d.VM, peerEstimates{incarnation: d.Incarnation, units: units})
	return changes
}

// storePeer stores the estimates of a peer. When a new peer is added, it drops peers
// whose estimates have all passed. The caller must hold mu.
func (e *readyEstimates) storePeer(now time.Time, vm string, estimates peerEstimates) {
	if len(estimates.units) == 0 {
		delete(e.byPeer, vm)
		return
	}
	if _, known := e.byPeer[vm]; !known {
		for other, old := range e.byPeer {
			if old.haveAllPassed(now) {
				delete(e.byPeer, other)
			}
		}
	}
	e.byPeer[vm] = estimates
}

func (e peerEstimates) haveAllPassed(now time.Time) bool {
	for _, estimate := range e.units {
		if estimate.readyAt.After(now) {
			return false
		}
	}
	return true
}

// setReadyTime records an estimate of this VM's planner and passes it to admission.
func (n *Node) setReadyTime(unit string, readyAt time.Time) {
	n.readyEstimates.set(time.Now(), unit, readyAt)
	n.applyReadyTimes([]readyTimeChange{{unit: unit, readyAt: readyAt, known: true}})
}

func (n *Node) applyReadyTimes(changes []readyTimeChange) {
	if len(changes) == 0 {
		return
	}
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		for _, c := range changes {
			a.SetReadyTime(c.unit, c.readyAt, c.known)
		}
	})
	n.serving.Wake()
}

// lookupReadiness returns the loading state of a unit.
func (n *Node) lookupReadiness(unit string) readiness {
	candidates := n.Candidates(unit)
	for _, c := range candidates {
		if c.Ready && !c.Leaving {
			return readinessReady
		}
	}
	if len(candidates) == 0 {
		return readinessNoRight
	}
	return readinessLoading
}
