package lease

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/state"
)

// Observer tells which sessions of others have not been renewed for a term. Its
// time runs only while the log works: in an outage nobody can renew, and without
// that rule the first VM to see the log again would end all the sessions at once.
type Observer struct {
	config Config
	seen   map[state.SessionID]seenRenewal
	// ran is how long the log has worked, up to workedAt.
	ran      time.Duration
	workedAt time.Time
}

// seenRenewal is the newest renewal of a session and when it was read.
type seenRenewal struct {
	renewal state.Revision
	at      time.Duration
}

// NewObserver returns an observer that has seen nothing.
func NewObserver(config Config) *Observer {
	return &Observer{config: config, seen: map[state.SessionID]seenRenewal{}}
}

// Working notes that the log works: a renewal of this VM's own session was appended
// (by it or by its relay) and read again, or, on a VM without a session, a read reached the stream's end.
func (o *Observer) RecordLogProgress(now time.Time) {
	o.ran = o.running(now)
	o.workedAt = now
}

// running returns how long the log has worked by now. It credits at most two
// renewals' time after the last sign of it.
func (o *Observer) running(now time.Time) time.Duration {
	if o.workedAt.IsZero() || now.Before(o.workedAt) {
		return o.ran
	}
	return o.ran + min(now.Sub(o.workedAt), 2*o.config.RenewInterval)
}

// Saw notes the newest renewal of a live session, as read at now. A renewal seen
// before doesn't start the term again.
func (o *Observer) RecordRenewal(now time.Time, session state.SessionID, renewal state.Revision) {
	if old, known := o.seen[session]; known && old.renewal >= renewal {
		return
	}
	o.seen[session] = seenRenewal{renewal, o.running(now)}
}

// Forget drops a session that ended.
func (o *Observer) Forget(session state.SessionID) { delete(o.seen, session) }

// Follow notes all sessions of a state at once and forgets those that ended.
func (o *Observer) ApplySessions(now time.Time, sessions map[state.SessionID]*state.Session) {
	for id := range o.seen {
		if session := sessions[id]; session == nil || session.Ended {
			o.Forget(id)
		}
	}
	for id, session := range sessions {
		if !session.Ended {
			o.RecordRenewal(now, id, session.LastRenewal)
		}
	}
}

// Expired returns the sessions whose newest renewal was read at least a term
// ago, oldest first. The renewal is named, so that the proposal fails if another
// landed meanwhile.
func (o *Observer) Expired(now time.Time) []state.SessionExpire {
	var expired []state.SessionExpire
	for id, seen := range o.seen {
		if o.running(now)-seen.at >= o.config.Term {
			expired = append(expired, state.SessionExpire{Session: id, LastRenewal: seen.renewal})
		}
	}
	slices.SortFunc(expired, func(a, b state.SessionExpire) int { return cmp.Compare(a.Session, b.Session) })
	return expired
}
