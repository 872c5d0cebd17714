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
const grantShows = 3 * time.Second

// expectations are the units that are expected to be ready: those that this VM
// plans, for its digests, and those that it was told. Without them only the
// planner's own callers would be refused in time, and all others wait in vain.
type expectations struct {
	mu     sync.Mutex
	number uint64
	own    map[string]expectation
	// told are those of other VMs, by VM.
	told map[string]toldExpectations
}

// expectation is one of this VM.
type expectation struct {
	at, madeAt time.Time
	number     uint64
}

// toldExpectations are those of one start of a VM, by unit.
type toldExpectations struct {
	incarnation string
	units       map[string]toldExpectation
}

type toldExpectation struct {
	at     time.Time
	number uint64
}

// change is what admission is to be told.
type change struct {
	unit  string
	at    time.Time
	known bool
}

func newExpectations() *expectations {
	return &expectations{own: make(map[string]expectation), told: make(map[string]toldExpectations)}
}

// outlook is how things stand with a unit that is expected.
type outlook int

const (
	outlookLoading outlook = iota
	outlookReady
	outlookNoRight
)

// expect notes that a unit should be ready at a time.
func (e *expectations) expect(now time.Time, unit string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number++
	e.own[unit] = expectation{at: at, madeAt: now, number: e.number}
}

// telling are the expectations that still stand. The look at a unit is taken
// without the lock, as it takes others.
func (e *expectations) telling(now time.Time, look func(unit string) outlook) []entryvm.Expected {
	e.mu.Lock()
	units := make([]string, 0, len(e.own))
	for unit := range e.own {
		units = append(units, unit)
	}
	e.mu.Unlock()
	looks := make(map[string]outlook, len(units))
	for _, unit := range units {
		looks[unit] = look(unit)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []entryvm.Expected
	for unit, seen := range looks {
		own, ok := e.own[unit]
		lost := seen == outlookNoRight && now.Sub(own.madeAt) > grantShows
		if !ok || seen == outlookReady || lost || !own.at.After(now) {
			delete(e.own, unit)
			continue
		}
		out = append(out, entryvm.Expected{Unit: unit, In: own.at.Sub(now), Number: own.number})
	}
	return out
}

// heard takes a digest and returns what is new in it. Each expectation is new
// once: told again after the unit is ready here, it would have requests refused.
func (e *expectations) heard(now time.Time, d entryvm.Digest) []change {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.told[d.VM]
	if before.incarnation != d.Incarnation {
		before = toldExpectations{incarnation: d.Incarnation}
	}
	units := make(map[string]toldExpectation, len(d.Expected))
	var changes []change
	for _, told := range d.Expected {
		known, ok := before.units[told.Unit]
		if !ok || known.number != told.Number {
			known = toldExpectation{at: now.Add(told.In - d.Age), number: told.Number}
			changes = append(changes, change{unit: told.Unit, at: known.at, known: true})
		}
		units[told.Unit] = known
	}
	for unit := range before.units {
		if _, still := units[unit]; !still {
			changes = append(changes, change{unit: unit})
		}
	}
	e.keep(now, d.VM, toldExpectations{incarnation: d.Incarnation, units: units})
	return changes
}

// keep holds what a VM told, and drops VMs whose expectations have all passed.
// Call with mu held.
func (e *expectations) keep(now time.Time, vm string, told toldExpectations) {
	if len(told.units) == 0 {
		delete(e.told, vm)
		return
	}
	if _, known := e.told[vm]; !known {
		for other, old := range e.told {
			if old.passed(now) {
				delete(e.told, other)
			}
		}
	}
	e.told[vm] = told
}

func (t toldExpectations) passed(now time.Time) bool {
	for _, one := range t.units {
		if one.at.After(now) {
			return false
		}
	}
	return true
}

// expect takes an expectation of this VM's own planner.
func (n *Node) expect(unit string, at time.Time) {
	n.expected.expect(time.Now(), unit, at)
	n.takeExpected([]change{{unit: unit, at: at, known: true}})
}

func (n *Node) takeExpected(changes []change) {
	if len(changes) == 0 {
		return
	}
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		for _, c := range changes {
			a.SetReadyTime(c.unit, c.at, c.known)
		}
	})
	n.serving.Wake()
}

// outlook looks at a unit that is expected.
func (n *Node) outlook(unit string) outlook {
	candidates := n.Candidates(unit)
	for _, c := range candidates {
		if c.Ready && !c.Leaving {
			return outlookReady
		}
	}
	if len(candidates) == 0 {
		return outlookNoRight
	}
	return outlookLoading
}
