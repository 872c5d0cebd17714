package lease

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/state"
)

// unseenFactor is how many message lifetimes a VM must be missing that this
// process never saw listed: the list lags, so it may be new and not yet listed.
const unseenFactor = 10

// Departures tells which VMs have been gone from the VM list for so long that no
// message of theirs can arrive any more.
type Departures struct {
	config Config
	// self is this VM; incarnation and started are this process's.
	self        string
	incarnation string
	started     time.Time

	version uint64
	listed  map[string]bool
	// listedAt is when the newest trusted list was read, zero before the first.
	listedAt time.Time
	// missing holds when a VM was first found missing.
	missing map[string]absence
}

type absence struct {
	since time.Time
	// listedOnce is whether this process saw the VM listed before.
	listedOnce bool
}

// NewDepartures returns a tracker for the process that started at the given time.
func NewDepartures(config Config, self, incarnation string, started time.Time) *Departures {
	return &Departures{
		config: config, self: self, incarnation: incarnation, started: started,
		listed: map[string]bool{}, missing: map[string]absence{},
	}
}

// Saw takes in one answer of the VM list and tells whether it was trusted. A
// list that is older than one seen before, or that misses this VM itself, proves
// nothing: a fault of the list would else free the memory of every engine.
func (d *Departures) ApplyList(now time.Time, version uint64, vms []string) bool {
	if version < d.version || !slices.Contains(vms, d.self) {
		return false
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm] = true
		delete(d.missing, vm)
	}
	for vm := range d.listed {
		if !listed[vm] {
			d.missing[vm] = absence{since: now, listedOnce: true}
		}
	}
	d.version, d.listed, d.listedAt = version, listed, now
	return true
}

// Gone tells whether a VM's last message has died out. Only the time between
// trusted lists counts: a list that is no longer refreshed says nothing of now.
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
	if !absent.listedOnce {
		wait *= unseenFactor
	}
	return d.listedAt.Sub(absent.since) >= wait
}

// Settleable returns the ended sessions that can send no order any more: their
// VM is gone, or they belong to an earlier process of this VM (a VM runs one
// process, which holds the port) and its last messages have died out.
func (d *Departures) SettleableSessions(now time.Time, sessions map[state.SessionID]*state.Session) []state.SessionSettle {
	diedOut := now.Sub(d.started) >= d.config.MessageLifetime
	own := d.ownNewest(sessions)
	var settleable []state.SessionSettle
	for id, session := range sessions {
		if session.Ended && (d.IsDeparted(session.VM) || diedOut && d.earlier(session, own)) {
			settleable = append(settleable, state.SessionSettle{Session: id})
		}
	}
	slices.SortFunc(settleable, func(a, b state.SessionSettle) int { return cmp.Compare(a.Session, b.Session) })
	return settleable
}

// Abandoned returns the live sessions of earlier processes of this VM. They can
// be ended at once: nobody is left to renew them.
func (d *Departures) AbandonedSessions(sessions map[state.SessionID]*state.Session) []state.SessionExpire {
	own := d.ownNewest(sessions)
	var abandoned []state.SessionExpire
	for id, session := range sessions {
		if !session.Ended && d.earlier(session, own) {
			abandoned = append(abandoned, state.SessionExpire{Session: id, LastRenewal: session.LastRenewal})
		}
	}
	slices.SortFunc(abandoned, func(a, b state.SessionExpire) int { return cmp.Compare(a.Session, b.Session) })
	return abandoned
}

// earlier tells whether a session belongs to an earlier process of this VM. It
// must have been opened before this process's own: a process that was paused and
// replaced must not take its successor for its predecessor.
func (d *Departures) earlier(session *state.Session, own state.SessionID) bool {
	return session.VM == d.self && session.Incarnation != d.incarnation && session.ID < own
}

// ownNewest returns this process's newest session, 0 without one.
func (d *Departures) ownNewest(sessions map[state.SessionID]*state.Session) state.SessionID {
	var own state.SessionID
	for id, session := range sessions {
		if session.VM == d.self && session.Incarnation == d.incarnation {
			own = max(own, id)
		}
	}
	return own
}

// Removable returns the engines whose VM is gone, sorted by name. An engine is
// named as its VM.
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
