package keeper

import (
	"time"

	"bergamotreel/state"
)

const (
	// rivalSessions is how many sessions another process with this VM's name must
	// have opened beside this one's before it counts as a rival: a single one may be
	// the last word of a process that died as this one started.
	minDuplicateSessions = 2
	// rivalFor is how long after its newest session a rival counts as there: two
	// processes end each other's sessions every two seconds or so.
	duplicateTTL = 30 * time.Second
)

// Rival is another process that runs under this VM's name.
type DuplicateProcess struct {
	Incarnation string
	// Since is when its first session beside this process's was seen.
	FirstSeen time.Time
	// Older tells whether it had a session before this process had one. Of two
	// processes at most one sees an older rival, as the log orders their sessions.
	IsOlder bool
}

// rival is what was seen of the sessions of one other incarnation.
type duplicateRecord struct {
	DuplicateProcess
	// lowest is its first session that was seen, newest the last one.
	firstSeenSession, lastSession state.SessionID
	sessionCount                  int
	lastSeen                      time.Time
}

// watchRivals looks for sessions that others open under this VM's name. Call with
// mu held.
//
// Failure: two processes with one name take each other for a predecessor and expire
// each other's sessions for good (departures.Abandoned): their engines change the
// keeper every two seconds. Safety doesn't rest on what is done about it, as every
// right and order goes by session and fencing token, not by name.
//
// Sessions are noted before this process has one as well: a younger process ends the
// older one's session before it opens its own, and saw no older one any more; then
// neither gave way.
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
	if r.firstSeenSession == 0 || id < r.firstSeenSession {
		r.firstSeenSession = id
	}
	if k.firstSession == 0 {
		return
	}
	r.IsOlder = r.firstSeenSession < k.firstSession
	if id < k.firstSession || id <= r.lastSession {
		return
	}
	if r.sessionCount == 0 {
		r.FirstSeen = now
	}
	r.lastSession, r.lastSeen = id, now
	r.sessionCount++
}

// Rival is the process that now runs under this VM's name too, false without one.
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
