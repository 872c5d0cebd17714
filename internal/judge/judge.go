// Package judge finds broken promises in the history of a run: what callers, backend
// servers and the operator saw on their connections, and nothing that the system says of
// itself. It does no I/O and reads no clock, so that a history can be judged again.
package judge

import (
	"fmt"
	"time"
)

// Arrival is a request that reached a backend server.
type Arrival struct {
	// Request identifies one try of a caller, Backend the start of a backend server.
	Request, Backend string
	// VM is the entry VM that sent it, Incarnation which start of that.
	VM          string
	Incarnation int
	// Sent is when the caller sent it, At when it arrived.
	Sent, At time.Time
	// Ran is whether the backend server began to work on it.
	Ran bool
	// Leaving is whether the answer said that the backend server leaves; Rest is how long it
	// wants no requests from this VM, where it turned the request away.
	Leaving    bool
	RetryAfter time.Duration
}

// Ending is what a caller got for a request at last.
type Outcome struct {
	Request string
	// Sent is when the caller sent it.
	Sent time.Time
	// Answered is whether the whole answer came, NotRun whether the caller was told that the
	// request has not run and will not.
	Answered, NotRun bool
}

// Leaving is that the registry took a backend server's word that it leaves.
type LeaveNotice struct {
	Backend string
	At      time.Time
}

// Disruption is a span in which a promise with a time may be late at a VM, or at all where
// VM is empty.
type Disruption struct {
	VM       string
	From, To time.Time
	// Registry is whether the registry was disrupted, else the VM or its paths were.
	Registry bool
}

// History is what was seen of a run, in order of time.
type History struct {
	Arrivals     []Arrival
	Outcomes     []Outcome
	LeaveNotices []LeaveNotice
	Disruptions  []Disruption
}

// Broken is a promise that was broken.
type Violation struct {
	Guarantee string
	At        time.Time
	Detail    string
}

func (b Violation) String() string { return fmt.Sprintf("%s: %s", b.Guarantee, b.Detail) }

// Promises that are judged.
const (
	atMostOnce     = "at most once"
	honestRefusals = "honest refusals"
	drainByAnswer  = "drain by answer"
	drainByEntry   = "drain by entry"
	restKept       = "rest kept"
	recovers       = "recovers"
)

// process is one start of an entry VM.
type process struct {
	vm          string
	incarnation int
}

func (a *Arrival) process() process { return process{a.VM, a.Incarnation} }

// AtMostOnce finds requests that may run once and ran twice.
func CheckAtMostOnce(h *History) (broken []Violation) {
	ran := make(map[string]*Arrival)
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		if !a.Ran {
			continue
		}
		if first := ran[a.Request]; first != nil {
			broken = append(broken, Violation{atMostOnce, a.At, fmt.Sprintf("%s ran at %s and, sent by %s, at %s", a.Request, first.Backend, a.VM, a.Backend)})
			continue
		}
		ran[a.Request] = a
	}
	return broken
}

// HonestRefusals finds refusals that say "not run" of requests that ran.
func CheckHonestRefusals(h *History) (broken []Violation) {
	ran := make(map[string]*Arrival)
	for i := range h.Arrivals {
		if a := &h.Arrivals[i]; a.Ran {
			ran[a.Request] = a
		}
	}
	for _, e := range h.Outcomes {
		if a := ran[e.Request]; e.NotRun && a != nil {
			broken = append(broken, Violation{honestRefusals, a.At, fmt.Sprintf("%s ran at %s and its caller was told that it did not", e.Request, a.Backend)})
		}
	}
	return broken
}

// DrainByAnswer finds requests that callers sent later than bound after an entry VM was told in an
// answer that a backend server leaves, and that reached it all the same. Only a restart of
// the VM excuses that.
func CheckDrainByAnswer(h *History, bound time.Duration) (broken []Violation) {
	type path struct {
		process
		backend string
	}
	first := make(map[path]time.Time)
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		key := path{a.process(), a.Backend}
		at, known := first[key]
		if known && a.Sent.Sub(at) > bound {
			broken = append(broken, Violation{drainByAnswer, a.At, fmt.Sprintf("%s reached %s from %s %s after that was told", a.Request, a.Backend, a.VM, a.At.Sub(at))})
		}
		if !known && a.Leaving {
			first[key] = a.At
		}
	}
	return broken
}

// DrainByEntry finds requests that reach a backend server later than bound after the registry took
// its leaving, from VMs that nothing disrupted since calm before that.
func CheckDrainByRegistry(h *History, bound, calm time.Duration) (broken []Violation) {
	left := make(map[string]time.Time)
	for _, l := range h.LeaveNotices {
		if _, known := left[l.Backend]; !known {
			left[l.Backend] = l.At
		}
	}
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		at, leaves := left[a.Backend]
		if !leaves || a.Sent.Sub(at) <= bound || h.disrupted(a.VM, at.Add(-calm), a.At, true) {
			continue
		}
		broken = append(broken, Violation{drainByEntry, a.At, fmt.Sprintf("%s reached %s from %s %s after its leaving was accepted", a.Request, a.Backend, a.VM, a.At.Sub(at))})
	}
	return broken
}

// Rest finds VMs that send a backend server more than extra requests between grace after it
// asked for rest and the end of that. Disruptions of the VM excuse it.
func CheckRetryAfter(h *History, grace time.Duration, extra int) (broken []Violation) {
	for i := range h.Arrivals {
		asked := &h.Arrivals[i]
		if asked.RetryAfter == 0 {
			continue
		}
		end, count := asked.At.Add(asked.RetryAfter), 0
		for j := i + 1; j < len(h.Arrivals) && h.Arrivals[j].At.Before(end); j++ {
			a := &h.Arrivals[j]
			if a.Backend == asked.Backend && a.process() == asked.process() && a.At.Sub(asked.At) > grace {
				count++
			}
		}
		if count > extra && !h.disrupted(asked.VM, asked.At, end, false) {
			broken = append(broken, Violation{restKept, asked.At, fmt.Sprintf("%s asked %s for %s of rest and got %d requests in it", asked.Backend, asked.VM, asked.RetryAfter, count)})
		}
	}
	return broken
}

// Recovery finds that less than the least share of the requests sent from a time on was
// answered.
func CheckRecovery(h *History, from time.Time, least float64) (broken []Violation) {
	sent, answered := 0, 0
	for _, e := range h.Outcomes {
		if e.Sent.Before(from) {
			continue
		}
		sent++
		if e.Answered {
			answered++
		}
	}
	if float64(answered) < least*float64(sent) {
		broken = append(broken, Violation{recovers, from, fmt.Sprintf("%d of %d requests were answered", answered, sent)})
	}
	return broken
}

// disrupted tells whether anything disrupted a VM, or with registry also the registry, in a
// span.
func (h *History) disrupted(vm string, from, to time.Time, registry bool) bool {
	for _, d := range h.Disruptions {
		concerns := d.VM == "" || d.VM == vm
		if concerns && (registry || !d.Registry) && d.From.Before(to) && d.To.After(from) {
			return true
		}
	}
	return false
}
