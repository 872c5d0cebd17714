package node

import (
	"sync"
	"time"

	"bergamotreel/admission"
	"bergamotreel/entryvm"
	"bergamotreel/routing"
)

// grantShows is how long a decision may take to show in the fold; after that a
// unit without a right is not coming.
const maxGrantDelay = 3 * time.Second

// expectations are the units that are expected to be ready: those that this VM
// plans, for its digests, and those that it was told. Without them only the
// planner's own callers would be refused in time, and all others wait in vain.
type readyEstimates struct {
	mu         sync.Mutex
	lastNumber uint64
	own        map[string]ownEstimate
	// told are those of other VMs, by VM.
	byPeer map[string]peerEstimates
}

// expectation is one of this VM.
type ownEstimate struct {
	readyAt, madeAt time.Time
	number          uint64
}

// toldExpectations are those of one start of a VM, by unit.
type peerEstimates struct {
	incarnation string
	units       map[string]peerEstimate
}

type peerEstimate struct {
	readyAt time.Time
	number  uint64
}

// change is what admission is to be told.
type readyTimeChange struct {
	unit    string
	readyAt time.Time
	known   bool
}

func newReadyEstimates() *readyEstimates {
	return &readyEstimates{own: make(map[string]ownEstimate), byPeer: make(map[string]peerEstimates)}
}

// outlook is how things stand with a unit that is expected.
type readiness int

const (
	readinessLoading readiness = iota
	readinessReady
	readinessNoRight
)

// expect notes that a unit should be ready at a time.
func (e *readyEstimates) set(now time.Time, unit string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastNumber++
	e.own[unit] = ownEstimate{readyAt: at, madeAt: now, number: e.lastNumber}
}

// telling are the expectations that still stand. The look at a unit is taken
// without the lock, as it takes others.
func (e *readyEstimates) report(now time.Time, lookupReadiness func(unit string) readiness) []entryvm.Expected {
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
	var out []entryvm.Expected
	for unit, current := range readinessOf {
		own, ok := e.own[unit]
		denied := current == readinessNoRight && now.Sub(own.madeAt) > maxGrantDelay
		if !ok || current == readinessReady || denied || !own.readyAt.After(now) {
			delete(e.own, unit)
			continue
		}
		out = append(out, entryvm.Expected{Unit: unit, In: own.readyAt.Sub(now), Number: own.number})
	}
	return out
}

// heard takes a digest and returns what is new in it. Each expectation is new
// once: told again after the unit is ready here, it would have requests refused.
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
			known = peerEstimate{readyAt: now.Add(received.In - d.Age), number: received.Number}
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

// keep holds what a VM told, and drops VMs whose expectations have all passed.
// Call with mu held.
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

func (t peerEstimates) haveAllPassed(now time.Time) bool {
	for _, one := range t.units {
		if one.readyAt.After(now) {
			return false
		}
	}
	return true
}

// expect takes an expectation of this VM's own planner.
func (n *Node) setReadyTime(unit string, at time.Time) {
	n.readyEstimates.set(time.Now(), unit, at)
	n.applyReadyTimes([]readyTimeChange{{unit: unit, readyAt: at, known: true}})
}

func (n *Node) applyReadyTimes(changes []readyTimeChange) {
	if len(changes) == 0 {
		return
	}
	n.serving.Decide(func(a *admission.Controller, _ *routing.Router) {
		for _, c := range changes {
			a.SetReadyTime(c.unit, c.readyAt, c.known)
		}
	})
	n.serving.Wake()
}

// outlook looks at a unit that is expected.
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
