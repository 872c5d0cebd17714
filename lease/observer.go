package lease

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/state"
)

// Observer finds the sessions of other VMs that have not been renewed for a term.
// Its time advances only while the log works: nobody can renew in an outage, and
// the first VM to reach the log again would otherwise end all sessions at once.
type Observer struct {
	config   Config
	renewals map[state.SessionID]seenRenewal
	// logUptime is how long the log has worked, up to progressAt.
	logUptime  time.Duration
	progressAt time.Time
}

// seenRenewal is the newest renewal of a session and when it was read.
type seenRenewal struct {
	renewal state.Revision
	readAt  time.Duration
}

// NewObserver returns an Observer without sessions.
func NewObserver(config Config) *Observer {
	return &Observer{config: config, renewals: map[state.SessionID]seenRenewal{}}
}

// RecordLogProgress records that the log works: a renewal of this VM's own session
// was appended (by it or by its relay) and read back, or, on a VM without a
// session, a read reached the end of the stream.
func (o *Observer) RecordLogProgress(now time.Time) {
	o.logUptime = o.logUptimeAt(now)
	o.progressAt = now
}

// logUptimeAt returns how long the log has worked up to now. It counts at most two
// renewal intervals after the last recorded progress.
func (o *Observer) logUptimeAt(now time.Time) time.Duration {
	if o.progressAt.IsZero() || now.Before(o.progressAt) {
		return o.logUptime
	}
	return o.logUptime + min(now.Sub(o.progressAt), 2*o.config.RenewInterval)
}

// RecordRenewal records the newest renewal of a live session, as read at now. A
// renewal that was recorded before does not restart the term.
func (o *Observer) RecordRenewal(now time.Time, session state.SessionID, renewal state.Revision) {
	if old, known := o.renewals[session]; known && old.renewal >= renewal {
		return
	}
	o.renewals[session] = seenRenewal{renewal, o.logUptimeAt(now)}
}

// Forget removes a session that ended.
func (o *Observer) Forget(session state.SessionID) { delete(o.renewals, session) }

// ApplySessions records the renewals of all live sessions of a state and forgets
// the sessions that ended.
func (o *Observer) ApplySessions(now time.Time, sessions map[state.SessionID]*state.Session) {
	for id := range o.renewals {
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

// Expired returns the sessions whose newest renewal was read at least a term ago,
// by ascending ID. Each names that renewal, so that the proposal to end the
// session fails if another renewal was appended in the meantime.
func (o *Observer) Expired(now time.Time) []state.SessionExpire {
	var expired []state.SessionExpire
	for id, seen := range o.renewals {
		if o.logUptimeAt(now)-seen.readAt >= o.config.Term {
			expired = append(expired, state.SessionExpire{Session: id, LastRenewal: seen.renewal})
		}
	}
	slices.SortFunc(expired, func(a, b state.SessionExpire) int { return cmp.Compare(a.Session, b.Session) })
	return expired
}
