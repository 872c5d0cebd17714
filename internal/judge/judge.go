// Package judge checks the recorded history of a run for violations of the system's
// guarantees. A history holds only what callers, backend servers and the operator observed on
// their connections, nothing that the system reports about itself. The package does no I/O and
// reads no clock, so that a history can be checked again with the same result.
package judge

import (
	"fmt"
	"time"
)

// Arrival is a request that reached a backend server.
type Arrival struct {
	// Request identifies one attempt of a caller, Backend one instance of a backend server: a
	// restart makes a new one. Service is the service that the backend server belongs to.
	Request, Backend, Service string
	// VM is the entry VM that forwarded the request, Incarnation the number of its instance.
	VM          string
	Incarnation int
	// Sent is when the caller sent the request, At when it reached the backend server.
	Sent, At time.Time
	// Ran reports whether the backend server began to process the request.
	Ran bool
	// Leaving reports whether the answer said that the backend server is leaving. RetryAfter
	// is for how long a backend server that refused the request wants no requests from this
	// VM.
	Leaving    bool
	RetryAfter time.Duration
}

// Outcome is the final result of a request at its caller.
type Outcome struct {
	// Request identifies the request, VM the entry VM that it was sent to. Service is the
	// service of its route.
	Request, VM, Service string
	// Sent is when the caller sent the request.
	Sent time.Time
	// Answered reports whether the caller received the whole answer, NotRun whether the
	// response said that the request has not run and will not.
	Answered, NotRun bool
	// QuarantinedAt is when it was refused as one that crashes backend servers, zero if it was not.
	QuarantinedAt time.Time
	// Versions are the software versions of the backend servers whose events the caller received, over
	// all of its attempts.
	Versions []string
	// Events are the numbers of a stream's events, from 1 on, in the order in which the caller received them over all
	// of its attempts.
	Events []int
	// CutOff reports whether the caller was told that the answer is complete although it isn't.
	CutOff bool
}

// LeaveNotice records that the registry accepted a backend server's notice that it leaves.
type LeaveNotice struct {
	Backend string
	At      time.Time
}

// Disruption is a period in which a VM may exceed the time bounds of guarantees; an empty VM
// stands for all VMs.
type Disruption struct {
	VM       string
	From, To time.Time
	// Registry reports whether the registry was disrupted; otherwise the VM or its network
	// connections were.
	Registry bool
}

// PathLoss is a period in which entry VMs had no path to any backend server, while callers, the
// registry and the other entry VMs reached them.
type PathLoss struct {
	VMs      map[string]bool
	From, To time.Time
}

// FragilePeriod is a period in which backend servers said that they crash if they reject many
// requests. Crashes are the times at which some did.
type FragilePeriod struct {
	Backends int
	From, To time.Time
	Crashes  []time.Time
}

// History holds the observations of a run, each kind in order of time.
type History struct {
	Arrivals     []Arrival
	Outcomes     []Outcome
	LeaveNotices []LeaveNotice
	Disruptions  []Disruption
	PathLosses   []PathLoss
	Fragile      []FragilePeriod
	// CrashingParts are the parts of prompts that end backend servers.
	CrashingParts []CrashingPart
}

// Violation is one violation of a guarantee.
type Violation struct {
	Guarantee string
	At        time.Time
	Detail    string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Guarantee, v.Detail) }

// Names of the guarantees.
const (
	atMostOnce      = "at most once"
	honestRefusals  = "honest refusals"
	drainByAnswer   = "drain by answer"
	drainByRegistry = "drain by entry"
	retryAfterKept  = "rest kept"
	recovery        = "recovers"
	servedElsewhere = "served without paths"
	roomKept        = "room kept"
	oneVersion      = "one software version"
	completeStreams = "complete streams"
	streamOrder     = "streams in order"
)

// process identifies one instance of an entry VM.
type process struct {
	vm          string
	incarnation int
}

func (a *Arrival) process() process { return process{a.VM, a.Incarnation} }

// CheckAtMostOnce finds requests that ran more than once.
func CheckAtMostOnce(h *History) (violations []Violation) {
	ran := make(map[string]*Arrival)
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		if !a.Ran {
			continue
		}
		if firstRun := ran[a.Request]; firstRun != nil {
			violations = append(violations, Violation{atMostOnce, a.At, fmt.Sprintf("%s ran at %s and, sent by %s, at %s", a.Request, firstRun.Backend, a.VM, a.Backend)})
			continue
		}
		ran[a.Request] = a
	}
	return violations
}

// CheckSoftwareVersions finds streams whose callers received events of several software versions.
func CheckSoftwareVersions(h *History) (violations []Violation) {
	for _, o := range h.Outcomes {
		if len(o.Versions) > 1 {
			violations = append(violations, Violation{oneVersion, o.Sent, fmt.Sprintf("%s has events of %v", o.Request, o.Versions)})
		}
	}
	return violations
}

// CheckCompleteStreams finds streams that were cut off and whose callers were told that they are
// complete.
func CheckCompleteStreams(h *History) (violations []Violation) {
	for _, o := range h.Outcomes {
		if o.CutOff {
			violations = append(violations, Violation{completeStreams, o.Sent, fmt.Sprintf("%s was cut off and looks complete", o.Request)})
		}
	}
	return violations
}

// CheckStreamOrder finds streams whose callers received events out of order, twice, or not at all although later ones
// came, over all of their attempts.
func CheckStreamOrder(h *History) (violations []Violation) {
	for _, o := range h.Outcomes {
		for i, number := range o.Events {
			if number != i+1 {
				violations = append(violations, Violation{streamOrder, o.Sent, fmt.Sprintf("%s has the events %v", o.Request, o.Events)})
				break
			}
		}
	}
	return violations
}

// CheckHonestRefusals finds requests that ran although their callers were told that they had
// not.
func CheckHonestRefusals(h *History) (violations []Violation) {
	ran := make(map[string]*Arrival)
	for i := range h.Arrivals {
		if a := &h.Arrivals[i]; a.Ran {
			ran[a.Request] = a
		}
	}
	for _, o := range h.Outcomes {
		if a := ran[o.Request]; o.NotRun && a != nil {
			violations = append(violations, Violation{honestRefusals, a.At, fmt.Sprintf("%s ran at %s and its caller was told that it did not", o.Request, a.Backend)})
		}
	}
	return violations
}

// CheckDrainByAnswer finds requests that an entry VM forwarded to a backend server although
// their callers sent them later than bound after the VM had received an answer that said that
// the backend server is leaving. Only a restart of the VM excuses this.
func CheckDrainByAnswer(h *History, bound time.Duration) (violations []Violation) {
	type path struct {
		process
		backend string
	}
	leavingSince := make(map[path]time.Time)
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		key := path{a.process(), a.Backend}
		since, known := leavingSince[key]
		if known && a.Sent.Sub(since) > bound {
			violations = append(violations, Violation{drainByAnswer, a.At, fmt.Sprintf("%s reached %s from %s %s after its answer said that it is leaving", a.Request, a.Backend, a.VM, a.At.Sub(since))})
		}
		if !known && a.Leaving {
			leavingSince[key] = a.At
		}
	}
	return violations
}

// CheckDrainByRegistry finds requests that reached a backend server although their callers
// sent them later than bound after the registry had accepted its leave notice. A VM is
// excused by a disruption between settleTime before the notice and the request's arrival.
func CheckDrainByRegistry(h *History, bound, settleTime time.Duration) (violations []Violation) {
	acceptedAt := make(map[string]time.Time)
	for _, l := range h.LeaveNotices {
		if _, known := acceptedAt[l.Backend]; !known {
			acceptedAt[l.Backend] = l.At
		}
	}
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		accepted, known := acceptedAt[a.Backend]
		if !known || a.Sent.Sub(accepted) <= bound || h.isDisrupted(a.VM, accepted.Add(-settleTime), a.At, true) {
			continue
		}
		violations = append(violations, Violation{drainByRegistry, a.At, fmt.Sprintf("%s reached %s from %s %s after its leave notice was accepted", a.Request, a.Backend, a.VM, a.At.Sub(accepted))})
	}
	return violations
}

// CheckRetryAfter finds VMs that send a backend server more than extra requests in a period
// for which it asked them to send none, not counting the first grace of the period. Disruptions
// of the VM excuse this.
func CheckRetryAfter(h *History, grace time.Duration, extra int) (violations []Violation) {
	for i := range h.Arrivals {
		refused := &h.Arrivals[i]
		if refused.RetryAfter == 0 {
			continue
		}
		end, count := refused.At.Add(refused.RetryAfter), 0
		for j := i + 1; j < len(h.Arrivals) && h.Arrivals[j].At.Before(end); j++ {
			a := &h.Arrivals[j]
			if a.Backend == refused.Backend && a.process() == refused.process() && a.At.Sub(refused.At) > grace {
				count++
			}
		}
		if count > extra && !h.isDisrupted(refused.VM, refused.At, end, false) {
			violations = append(violations, Violation{retryAfterKept, refused.At, fmt.Sprintf("%s asked %s to send no requests for %s and received %d", refused.Backend, refused.VM, refused.RetryAfter, count)})
		}
	}
	return violations
}

// CheckRecovery reports a violation if less than minShare of the requests sent at or after
// from were answered.
func CheckRecovery(h *History, from time.Time, minShare float64) (violations []Violation) {
	sent, answered := 0, 0
	for _, o := range h.Outcomes {
		if o.Sent.Before(from) {
			continue
		}
		sent++
		if o.Answered {
			answered++
		}
	}
	if float64(answered) < minShare*float64(sent) {
		violations = append(violations, Violation{recovery, from, fmt.Sprintf("%d of %d requests were answered", answered, sent)})
	}
	return violations
}

// CheckServedWithoutPaths finds path losses in which, from settle after their beginning, the VMs
// without paths answered less than minShare of the share that the others answered, by one request
// at least, and more than failures of their requests failed. A disruption of any VM excuses the whole period.
func CheckServedWithoutPaths(h *History, settle time.Duration, minShare float64, failures func(sent int) int) (violations []Violation) {
	for _, loss := range h.PathLosses {
		if h.isAnyDisrupted(loss.From, loss.To) {
			continue
		}
		var sent, answered [2]int // of the VMs with paths, of those without
		for _, o := range h.Outcomes {
			if o.Sent.Before(loss.From.Add(settle)) || !o.Sent.Before(loss.To) {
				continue
			}
			side := 0
			switch {
			case loss.VMs[o.VM]:
				side = 1
			case h.hasLostPaths(o.VM, loss.From, loss.To):
				continue // in another loss that overlaps
			}
			sent[side]++
			if o.Answered {
				answered[side]++
			}
		}
		if sent[0] == 0 || sent[1]-answered[1] <= failures(sent[1]) {
			continue
		}
		due := minShare * float64(answered[0]) / float64(sent[0]) * float64(sent[1])
		if answered[1] < int(due) {
			violations = append(violations, Violation{servedElsewhere, loss.From, fmt.Sprintf("VMs without paths answered %d of %d requests, the others %d of %d", answered[1], sent[1], answered[0], sent[0])})
		}
	}
	return violations
}

// hasLostPaths reports whether a VM had no path to the backend servers at some time in the period.
func (h *History) hasLostPaths(vm string, from, to time.Time) bool {
	for _, loss := range h.PathLosses {
		if loss.VMs[vm] && loss.From.Before(to) && loss.To.After(from) {
			return true
		}
	}
	return false
}

// CheckRoom finds periods in which more fragile backend servers than allowed crashed. A
// disruption of any VM excuses the crashes until settle after it.
func CheckRoom(h *History, allowed func(backends int) int, settle time.Duration) (violations []Violation) {
	for _, p := range h.Fragile {
		crashes := 0
		for _, at := range p.Crashes {
			if !h.isAnyDisrupted(at.Add(-settle), at) {
				crashes++
			}
		}
		if crashes > allowed(p.Backends) {
			violations = append(violations, Violation{roomKept, p.From, fmt.Sprintf("%d crashes of %d fragile backend servers", crashes, p.Backends)})
		}
	}
	return violations
}

// isAnyDisrupted reports whether a disruption of any VM overlaps the period.
func (h *History) isAnyDisrupted(from, to time.Time) bool {
	for _, d := range h.Disruptions {
		if !d.Registry && d.From.Before(to) && d.To.After(from) {
			return true
		}
	}
	return false
}

// isDisrupted reports whether a disruption of the VM overlaps the period. Disruptions of the
// registry count only if registry is set.
func (h *History) isDisrupted(vm string, from, to time.Time, registry bool) bool {
	for _, d := range h.Disruptions {
		affectsVM := d.VM == "" || d.VM == vm
		if affectsVM && (registry || !d.Registry) && d.From.Before(to) && d.To.After(from) {
			return true
		}
	}
	return false
}
