package keeper

import (
	"time"

	"bergamotreel/state"
)

const (
	// minDuplicateSessions is how many sessions another process with this VM's name
	// must have opened beside this one's before it counts as a duplicate: a single
	// one may be the last proposal of a process that died as this one started.
	minDuplicateSessions = 2
	// duplicateTTL is how long after its newest session a duplicate counts as
	// running: two processes end each other's sessions about every two seconds.
	duplicateTTL = 30 * time.Second
)

// DuplicateProcess is another process that runs under this VM's name.
type DuplicateProcess struct {
	Incarnation string
	// FirstSeen is when its first session beside this process's was seen.
	FirstSeen time.Time
	// IsOlder reports whether it had a session before this process had one. Of two
	// processes at most one sees the other as older, because the log orders their
	// sessions.
	IsOlder bool
}

// duplicateRecord holds what was seen of the sessions of one other incarnation.
type duplicateRecord struct {
	DuplicateProcess
	// oldestSession is its first session that was seen, newestSession the last one
	// beside this process's.
	oldestSession, newestSession state.SessionID
	sessionCount                 int
	lastSeen                     time.Time
}

// detectDuplicates looks for sessions that other processes open under this VM's
// name. The caller must hold mu.
//
// Two processes with one name take each other for a predecessor and keep expiring
// each other's sessions (lease.Departures.AbandonedSessions): their engines change
// the keeper every two seconds. Safety does not depend on the detection, because
// every right and order is bound to a session and a fencing token, not to a name.
//
// Sessions are recorded even before this process has one: a younger process ends
// the older one's session before it opens its own. It would otherwise see no older
// process, and neither would yield.
func (k *Keeper) detectDuplicates(now time.Time) {
	k.config.Control.View(func(s *state.State) {
		for id, session := range s.Sessions {
			if session.VM == k.config.VM && session.Incarnation != k.config.Incarnation {
				k.recordDuplicate(now, id, session.Incarnation)
			}
		}
	})
}

func (k *Keeper) recordDuplicate(now time.Time, id state.SessionID, incarnation string) {
	r := k.duplicates[incarnation]
	if r == nil {
		r = &duplicateRecord{DuplicateProcess: DuplicateProcess{Incarnation: incarnation}}
		k.duplicates[incarnation] = r
	}
	if r.oldestSession == 0 || id < r.oldestSession {
		r.oldestSession = id
	}
	if k.firstSession == 0 {
		return
	}
	r.IsOlder = r.oldestSession < k.firstSession
	if id < k.firstSession || id <= r.newestSession {
		return
	}
	if r.sessionCount == 0 {
		r.FirstSeen = now
	}
	r.newestSession, r.lastSeen = id, now
	r.sessionCount++
}

// FindDuplicate returns a process that now also runs under this VM's name, false if
// there is none.
func (k *Keeper) FindDuplicate(now time.Time) (DuplicateProcess, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.duplicates {
		if r.sessionCount >= minDuplicateSessions && now.Sub(r.lastSeen) < duplicateTTL {
			return r.DuplicateProcess, true
		}
	}
	return DuplicateProcess{}, false
}
