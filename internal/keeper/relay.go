package keeper

import (
	"context"
	"time"

	"bergamotreel/state"
)

// In a large fleet one append for each renewal would be more than the log takes:
// 1,290 a second at 3,400 VMs. There each VM has the renewal that it wants in its
// digests, and the first relay of its group proposes one record for all whom it
// heard. A VM whose renewals are not folded proposes its own before its session is
// in danger (lease.Config.OwnRenewAfter). As always, nothing but who works on an
// engine rests on a session's end.

// askParts is into how many parts of the time between two renewals the askings
// cut it: the relay then finds one that is young, so that much of the term is left.
const relayRequestsPerRenewal = 5

// Renewal is what this VM's digest asks its relay to renew; no session where
// there is none or it renews by itself.
func (k *Keeper) RenewalRequest() state.Renewal {
	usesRelay := k.config.UsesRelay()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !usesRelay || k.session == 0 {
		return state.Renewal{}
	}
	now := time.Now()
	if now.Sub(k.relayRequestedAt) >= k.config.Lease.RenewInterval/relayRequestsPerRenewal {
		k.relayRequestNumber++
		k.relayRequestedAt = now
		k.holder.RecordRelayRequest(now, k.relayRequestNumber)
	}
	return state.Renewal{Session: k.session, Number: k.relayRequestNumber}
}

// noteCollected notes a renewal of the own session that a relay proposed.
func (k *Keeper) confirmRelayRenewal(session state.SessionID) {
	var number uint64
	k.config.Control.View(func(s *state.State) {
		if known := s.Sessions[session]; known != nil {
			number = known.RenewalNumber
		}
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session != session || number <= k.confirmedRelayRequest {
		return
	}
	k.confirmedRelayRequest = number
	k.holder.ConfirmRelayRenewal(number)
	k.observer.RecordLogProgress(time.Now())
}

// collectRenewals proposes what others asked of this VM as their relay, with its
// own. Two that do so cost an append: the numbers let each renewal count once.
func (k *Keeper) proposeRelayedRenewals(ctx context.Context) {
	requested, isRelay := k.config.RequestedRenewals()
	if !isRelay || time.Since(k.relayedAt) < k.config.Lease.RenewInterval {
		return
	}
	if own := k.RenewalRequest(); own.Session != 0 {
		requested = append(requested, own)
	}
	renewals := k.notYetApplied(requested)
	if len(renewals) == 0 {
		return
	}
	k.relayedAt = time.Now()
	k.propose(ctx, state.Proposal{SessionsRenew: &state.SessionsRenew{Renewals: renewals}})
}

// unfolded are the renewals that would have an effect, as far as is folded: a VM
// that died is heard for a while after its last asking.
func (k *Keeper) notYetApplied(requested []state.Renewal) []state.Renewal {
	var out []state.Renewal
	k.config.Control.View(func(s *state.State) {
		for _, r := range requested {
			session := s.Sessions[r.Session]
			if session != nil && !session.Ended && r.Number > session.RenewalNumber {
				out = append(out, r)
			}
		}
	})
	return out
}
