package quarantine

import (
	"slices"
	"time"
)

const (
	// maxAbandonedRunTime is how long a backend server may go on running a request that was abandoned:
	// most stop when the connection closes, others only when they write.
	maxAbandonedRunTime = 2 * time.Second
	// abandonedRunTTL is how long an abandoned run is remembered. The news that its backend server has
	// crashed meanwhile may come from another VM through two relays.
	abandonedRunTTL = 10 * time.Second
	// maxAbandonedRuns limits the abandoned runs that are remembered.
	maxAbandonedRuns = 4096
)

// AbandonedRuns holds the newest requests that an entry VM stopped waiting for while a backend server
// ran them, by the server's instance: the caller left, the deadline passed, or the request goes on
// elsewhere. It is not safe for concurrent use.
type AbandonedRuns struct {
	byInstance map[string][]abandonedRun
	count      int
}

type abandonedRun struct {
	subjects []Subject
	at       time.Time
}

// NewAbandonedRuns returns an AbandonedRuns without any run.
func NewAbandonedRuns() *AbandonedRuns {
	return &AbandonedRuns{byInstance: make(map[string][]abandonedRun)}
}

// Len returns how many runs are remembered.
func (a *AbandonedRuns) Len() int { return a.count }

// Add adds a run, given what of its request may crash the instance. It reports false if too many runs
// are remembered.
func (a *AbandonedRuns) Add(now time.Time, instance string, subjects []Subject) bool {
	if a.count >= maxAbandonedRuns {
		a.Expire(now)
	}
	if a.count >= maxAbandonedRuns {
		return false
	}
	a.byInstance[instance] = append(a.byInstance[instance], abandonedRun{subjects, now})
	a.count++
	return true
}

// Take removes the runs of an instance that crashed at the given time. It returns the subjects and the
// number of those that it may still have run then.
func (a *AbandonedRuns) Take(instance string, crashedAt time.Time) (subjects []Subject, runs int) {
	for _, run := range a.byInstance[instance] {
		if crashedAt.Sub(run.at) <= maxAbandonedRunTime {
			subjects = append(subjects, run.subjects...)
			runs++
		}
	}
	a.count -= len(a.byInstance[instance])
	delete(a.byInstance, instance)
	return subjects, runs
}

// HasRecent reports whether an instance may still run a request that was abandoned.
func (a *AbandonedRuns) HasRecent(now time.Time, instance string) bool {
	return slices.ContainsFunc(a.byInstance[instance], func(run abandonedRun) bool { return now.Sub(run.at) <= maxAbandonedRunTime })
}

// Expire drops the runs that were abandoned too long ago.
func (a *AbandonedRuns) Expire(now time.Time) {
	a.count = 0
	for instance, runs := range a.byInstance {
		runs = slices.DeleteFunc(runs, func(run abandonedRun) bool { return now.Sub(run.at) >= abandonedRunTTL })
		if len(runs) == 0 {
			delete(a.byInstance, instance)
			continue
		}
		a.byInstance[instance] = runs
		a.count += len(runs)
	}
}
