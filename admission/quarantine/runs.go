package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRunTime is how long a backend server may go on running a request whose connection broke or
	// that was abandoned: most stop when the connection closes, others only when they write.
	maxRunTime = 2 * time.Second
	// maxCrashDelay is how long after its complete answer a run may crash the server.
	maxCrashDelay = time.Second
	// runTTL is how long a run is remembered, and that an instance has ended. The news of an end may
	// come with the next renewal of the server's entry, or from another VM through two relays.
	runTTL = 10 * time.Second
	// maxRuns limits the runs that are remembered.
	maxRuns = 16384
)

// RunEnd is how a run ended for the entry VM that had sent the request.
type RunEnd int

const (
	// RunBroken is a run whose connection ended before the answer did.
	RunBroken RunEnd = iota
	// RunAbandoned is a run that the VM stopped waiting for: the caller left, the deadline passed, or
	// the request goes on elsewhere.
	RunAbandoned
	// RunAnswered is a run whose answer was complete, or may have been, and no error.
	RunAnswered
	// RunFailed is a run whose complete answer was an error.
	RunFailed
)

// Runs holds the newest runs of an entry VM under which a backend server may have crashed, by the
// server's instance, and the instances that have ended. A run is judged when its instance is known to
// have ended, however that becomes known. It is not safe for concurrent use.
type Runs struct {
	// remembered holds the runs, oldest first.
	remembered []run
	ended      map[string]instanceEnd
}

type run struct {
	instance string
	end      RunEnd
	subjects []Subject
	at       time.Time
}

// instanceEnd is the end of an instance. crashed is false if it had announced that it would end.
type instanceEnd struct {
	at, knownAt time.Time
	crashed     bool
}

// Evidence is what an instance may have run when it crashed.
type Evidence struct {
	// CrashedAt is the time of the crash, as far as the runs show it.
	CrashedAt time.Time
	Subjects  []Subject
	// Abandoned counts the runs that were abandoned.
	Abandoned int
}

// NewRuns returns a Runs without any run.
func NewRuns() *Runs { return &Runs{ended: make(map[string]instanceEnd)} }

// Len returns how many runs are remembered.
func (r *Runs) Len() int { return len(r.remembered) }

// IsFull reports whether the next run displaces the oldest one.
func (r *Runs) IsFull() bool { return len(r.remembered) >= maxRuns }

// Add adds a run, given what of its request may crash the instance. Beyond the limit it drops the
// oldest run. If the instance is known to have crashed, it returns what the run adds to the evidence.
func (r *Runs) Add(now time.Time, instance string, end RunEnd, subjects []Subject) (late Evidence) {
	added := run{instance, end, subjects, now}
	if known, ok := r.ended[instance]; ok {
		late = Evidence{CrashedAt: known.at}
		if known.crashed {
			late.add(&added)
		}
		return late
	}
	if r.IsFull() {
		r.remembered = r.remembered[1:]
	}
	r.remembered = append(r.remembered, added)
	return Evidence{}
}

// HasEnded reports whether an instance is known to have ended.
func (r *Runs) HasEnded(instance string) bool {
	_, ended := r.ended[instance]
	return ended
}

// HasBroken reports whether runs of an instance broke that no known end explains.
func (r *Runs) HasBroken(instance string) bool {
	return slices.ContainsFunc(r.remembered, func(run run) bool { return run.instance == instance && run.end == RunBroken })
}

// HasEvidence reports whether an instance would be found to have run anything if it had crashed now or
// since its last run.
func (r *Runs) HasEvidence(now time.Time, instance string) bool {
	return slices.ContainsFunc(r.remembered, func(run run) bool {
		return run.instance == instance && (run.end != RunAbandoned || now.Sub(run.at) <= maxRunTime)
	})
}

// Answer is an answer to a request.
type Answer struct {
	Request Subject
	At      time.Time
}

// ConfirmedAnswers returns the remembered answers to requests with the fingerprints that their instances have outlived.
func (r *Runs) ConfirmedAnswers(now time.Time, fingerprints map[Fingerprint]bool) (answers []Answer) {
	for _, run := range r.remembered {
		isConfirmed := run.end == RunAnswered && now.Sub(run.at) > maxCrashDelay
		if isConfirmed && fingerprints[run.subjects[0].Fingerprint] && !run.subjects[0].PromptPart {
			answers = append(answers, Answer{run.subjects[0], run.at})
		}
	}
	return answers
}

// RecordCrash records that an instance crashed at the given time, zero for unknown, and returns what
// it may have run then. What was found before of the same crash isn't returned again.
func (r *Runs) RecordCrash(now time.Time, instance string, crashedAt time.Time) Evidence {
	if crashedAt.IsZero() {
		crashedAt = r.lastSignOf(now, instance)
	}
	if r.HasEnded(instance) || now.Sub(crashedAt) >= runTTL {
		return Evidence{}
	}
	r.ended[instance] = instanceEnd{at: crashedAt, knownAt: now, crashed: true}
	found := Evidence{CrashedAt: crashedAt}
	for i := range r.remembered {
		if r.remembered[i].instance == instance {
			found.add(&r.remembered[i])
		}
	}
	r.forget(instance)
	return found
}

// RecordAnnouncedEnd records that an instance ended as it had announced, whatever it ran. It reports
// whether that was news.
func (r *Runs) RecordAnnouncedEnd(now time.Time, instance string) bool {
	if r.HasEnded(instance) {
		return false
	}
	r.ended[instance] = instanceEnd{at: now, knownAt: now}
	r.forget(instance)
	return true
}

// lastSignOf returns the time of the last broken run of an instance, unless it answered much later. If
// none broke, it is that of the last run.
func (r *Runs) lastSignOf(now time.Time, instance string) time.Time {
	var last [RunFailed + 1]time.Time
	for _, run := range r.remembered {
		if run.instance == instance {
			last[run.end] = run.at
		}
	}
	broken, answered, abandoned := last[RunBroken], later(last[RunAnswered], last[RunFailed]), last[RunAbandoned]
	switch {
	case !broken.IsZero() && answered.Sub(broken) <= maxRunTime:
		return broken
	case !answered.IsZero():
		return answered
	case !abandoned.IsZero():
		return abandoned
	default:
		return now
	}
}

func (r *Runs) forget(instance string) {
	r.remembered = slices.DeleteFunc(r.remembered, func(run run) bool { return run.instance == instance })
}

// Expire drops what happened too long ago.
func (r *Runs) Expire(now time.Time) {
	r.remembered = slices.DeleteFunc(r.remembered, func(run run) bool { return now.Sub(run.at) >= runTTL })
	for instance, end := range r.ended {
		if now.Sub(end.knownAt) >= runTTL {
			delete(r.ended, instance)
		}
	}
}

// add adds a run unless it had ended before the crash.
func (e *Evidence) add(run *run) {
	delay := e.CrashedAt.Sub(run.at)
	isAnswered := run.end == RunAnswered || run.end == RunFailed
	if delay > maxRunTime || (isAnswered && (delay < 0 || delay > maxCrashDelay)) {
		return
	}
	e.Subjects = append(e.Subjects, run.subjects...)
	if run.end == RunAbandoned {
		e.Abandoned++
	}
}
