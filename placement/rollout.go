package placement

// replaceOutdated replaces rights that were granted for another checkpoint than
// the contract in force names. Without it a new version would be served only once
// the old one happened to be idle. It withdraws at most one outdated replica of a unit
// per plan. If the contract allows one more replica, it does so only after a
// replacement is ready, so that no request of the unit has to wait.
func (r *round) replaceOutdated() {
	for _, u := range r.heldUnits {
		outdated, ready, loading := r.findOutdated(u)
		if len(outdated) == 0 {
			continue
		}
		rep := outdated[0]
		switch {
		case !rep.holding.Wanted || !r.isStillNeeded(u, rep):
			r.withdrawWithAdapters(u, rep, "another checkpoint")
		case loading > 0:
			// The next outdated replica is withdrawn once this one is ready, so that
			// the capacity never falls by more than one replica.
		case ready > 0 || !r.canAddReplica(u):
			r.withdrawWithAdapters(u, rep, "another checkpoint")
		default:
			r.startReplacement(u, rep)
		}
	}
}

// findOutdated returns the customer's active rights for an old checkpoint, and
// counts the replicas with the new one that serve, load or have a pending grant.
func (r *round) findOutdated(u Unit) (outdated []replica, ready, loading int) {
	for _, rep := range r.replicasOf(u) {
		h := rep.holding
		switch {
		case !r.isActive(rep):
		case h.Checkpoint != "" && h.Checkpoint != u.Checkpoint:
			outdated = append(outdated, rep)
		case h.Ready && rep.engine.isServing():
			ready++
		case h.Wanted && rep.engine.isServing():
			loading++
		}
	}
	if len(outdated) == 0 {
		return nil, 0, 0
	}
	for k, d := range r.p.pending {
		if k.unit == u.Name && d.kind == Grant && d.customer == u.Customer {
			loading++
		}
	}
	return outdated, ready, loading
}

// startReplacement starts a replica with the new checkpoint in addition to the old
// one, or withdraws the old one if no engine can take the new one.
func (r *round) startReplacement(u Unit, outdated replica) {
	best, ok := r.chooseEngine(u, outdated.engine.Domain)
	if !ok {
		r.withdrawWithAdapters(u, outdated, "another checkpoint")
		return
	}
	if best.bytesToFree > 0 {
		r.makeRoom(best, u)
		return
	}
	r.proposeGrant(best.engine, u, true, "another checkpoint")
}

// withdrawWithAdapters withdraws a right after those of the adapters based on it,
// as a base must not be withdrawn before its adapters.
func (r *round) withdrawWithAdapters(u Unit, rep replica, reason string) {
	for i := range rep.engine.Holdings {
		h := &rep.engine.Holdings[i]
		if h.Base == u.Name {
			r.withdraw(replica{rep.engine, h}, "base goes")
		}
	}
	r.withdraw(rep, reason)
}
