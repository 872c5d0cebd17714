package placement

// renew replaces rights that were granted for another checkpoint than the
// contract in force names. Without it a new version would be served only once
// the old one happened to fall idle. One replica a plan goes: where the contract
// allows one more, only after its replacement is ready, so that none of the
// unit's requests has to wait.
func (r *round) renew() {
	for _, u := range r.placed {
		stale, ready, coming := r.versions(u)
		if len(stale) == 0 {
			continue
		}
		at := stale[0]
		switch {
		case !at.holding.Wanted || !r.stillNeeded(u, at):
			r.withdrawWithAdapters(u, at, "another checkpoint")
		case coming > 0:
			// The next old one goes when this is ready, so that capacity never
			// falls by more than one replica.
		case ready > 0 || !r.mayGrow(u):
			r.withdrawWithAdapters(u, at, "another checkpoint")
		default:
			r.startFresh(u, at)
		}
	}
}

// versions lists the customer's standing rights for an old checkpoint, and
// counts the replicas with the new one that serve or are on their way.
func (r *round) versions(u Unit) (stale []place, ready, coming int) {
	for _, at := range r.holdingsOf(u) {
		h := at.holding
		switch {
		case !r.standing(at):
		case h.Checkpoint != "" && h.Checkpoint != u.Checkpoint:
			stale = append(stale, at)
		case h.Ready && at.engine.serving():
			ready++
		case h.Wanted && at.engine.serving():
			coming++
		}
	}
	if len(stale) == 0 {
		return nil, 0, 0
	}
	for k, d := range r.p.pending {
		if k.unit == u.Name && d.kind == Grant && d.customer == u.Customer {
			coming++
		}
	}
	return stale, ready, coming
}

// startFresh brings up a replica with the new checkpoint beside the old one, or
// lets the old one go where no engine has room for both.
func (r *round) startFresh(u Unit, old place) {
	c, ok := r.choose(u, old.engine.Domain)
	if !ok {
		r.withdrawWithAdapters(u, old, "another checkpoint")
		return
	}
	if c.need > 0 {
		r.makeRoom(c, u)
		return
	}
	r.grant(c.engine, u, true, "another checkpoint")
}

// withdrawWithAdapters ends a right, and those of the adapters on it first: a
// base is not withdrawn under them.
func (r *round) withdrawWithAdapters(u Unit, at place, reason string) {
	for i := range at.engine.Holdings {
		h := &at.engine.Holdings[i]
		if h.Base == u.Name {
			r.withdraw(place{at.engine, h}, "base goes")
		}
	}
	r.withdraw(at, reason)
}
