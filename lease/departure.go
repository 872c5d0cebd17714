package lease

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/state"
)

// neverListedFactor is for how many message lifetimes a VM that this process never
// saw listed must be missing, as the list lags and the VM may be new.
const neverListedFactor = 10

// Departures tracks which VMs have been missing from the VM list for so long that
// none of their messages can still arrive.
type Departures struct {
	config Config
	// self is this VM; incarnation and started belong to this process.
	self        string
	incarnation string
	started     time.Time

	listVersion uint64
	listed      map[string]bool
	// listedAt is when the newest trusted list was read, zero before the first.
	listedAt time.Time
	// missing holds the VMs that are missing from the list.
	missing map[string]absence
}

// absence is since when a VM is missing from the list.
type absence struct {
	since time.Time
	// wasListed is whether this process has seen the VM listed before.
	wasListed bool
}

// NewDepartures returns a Departures for the process that started at the given
// time.
func NewDepartures(config Config, self, incarnation string, started time.Time) *Departures {
	return &Departures{
		config: config, self: self, incarnation: incarnation, started: started,
		listed: map[string]bool{}, missing: map[string]absence{},
	}
}

// ApplyList applies a VM list and reports whether it is trusted. A list that is
// older than an earlier one, or that lacks this VM itself, is not: otherwise a
// fault of the list would free the memory of every engine.
func (d *Departures) ApplyList(now time.Time, version uint64, vms []string) bool {
	if version < d.listVersion || !slices.Contains(vms, d.self) {
		return false
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm] = true
		delete(d.missing, vm)
	}
	for vm := range d.listed {
		if !listed[vm] {
			d.missing[vm] = absence{since: now, wasListed: true}
		}
	}
	d.listVersion, d.listed, d.listedAt = version, listed, now
	return true
}

// IsDeparted reports whether a VM's last message can no longer arrive. Only the time
// between trusted lists counts: a list that is no longer refreshed says nothing
// about the present.
func (d *Departures) IsDeparted(vm string) bool {
	if d.listedAt.IsZero() || d.listed[vm] {
		return false
	}
	absent, known := d.missing[vm]
	if !known {
		absent = absence{since: d.listedAt}
		d.missing[vm] = absent
	}
	wait := d.config.MessageLifetime
	if !absent.wasListed {
		wait *= neverListedFactor
	}
	return d.listedAt.Sub(absent.since) >= wait
}

// SettleableSessions returns the ended sessions whose orders can no longer arrive:
// their VM has departed, or they belong to an earlier process of this VM and the
// lifetime of its last messages has passed. A VM runs one process at a time, which
// holds the port.
func (d *Departures) SettleableSessions(now time.Time, sessions map[state.SessionID]*state.Session) []state.SessionSettle {
	messagesExpired := now.Sub(d.started) >= d.config.MessageLifetime
	own := d.newestOwnSession(sessions)
	var settleable []state.SessionSettle
	for id, session := range sessions {
		if session.Ended && (d.IsDeparted(session.VM) || messagesExpired && d.isEarlierProcess(session, own)) {
			settleable = append(settleable, state.SessionSettle{Session: id})
		}
	}
	slices.SortFunc(settleable, func(a, b state.SessionSettle) int { return cmp.Compare(a.Session, b.Session) })
	return settleable
}

// AbandonedSessions returns the live sessions of earlier processes of this VM. They
// can be ended at once: nobody is left to renew them.
func (d *Departures) AbandonedSessions(sessions map[state.SessionID]*state.Session) []state.SessionExpire {
	own := d.newestOwnSession(sessions)
	var abandoned []state.SessionExpire
	for id, session := range sessions {
		if !session.Ended && d.isEarlierProcess(session, own) {
			abandoned = append(abandoned, state.SessionExpire{Session: id, LastRenewal: session.LastRenewal})
		}
	}
	slices.SortFunc(abandoned, func(a, b state.SessionExpire) int { return cmp.Compare(a.Session, b.Session) })
	return abandoned
}

// isEarlierProcess reports whether a session belongs to an earlier process of this
// VM. The session must have been opened before this process's own; otherwise a paused
// process that was replaced would end the session of its replacement.
func (d *Departures) isEarlierProcess(session *state.Session, own state.SessionID) bool {
	return session.VM == d.self && session.Incarnation != d.incarnation && session.ID < own
}

// newestOwnSession returns this process's newest session, or 0 without one.
func (d *Departures) newestOwnSession(sessions map[state.SessionID]*state.Session) state.SessionID {
	var own state.SessionID
	for id, session := range sessions {
		if session.VM == d.self && session.Incarnation == d.incarnation {
			own = max(own, id)
		}
	}
	return own
}

// RemovableEngines returns the engines whose VM has departed, sorted by name. An
// engine has the same name as its VM.
func (d *Departures) RemovableEngines(engines map[string]*state.Engine) []state.EngineRemove {
	var removable []state.EngineRemove
	for name, engine := range engines {
		if d.IsDeparted(name) {
			removable = append(removable, state.EngineRemove{
				Engine: name, FencingToken: engine.FencingToken, Incarnation: engine.Incarnation,
			})
		}
	}
	slices.SortFunc(removable, func(a, b state.EngineRemove) int { return cmp.Compare(a.Engine, b.Engine) })
	return removable
}
