package keeper

import (
	"context"
	"time"

	"bergamotreel/state"
)

// In a large fleet one append for each renewal would exceed what the log can take:
// 3,400 VMs make 1,290 a second. There each VM puts the renewal that it requests
// into its digests, and the first relay of its group proposes one record for all
// requests that it received. A VM whose renewals are not applied proposes its own
// before its session is at risk (lease.Config.OwnRenewalTimeout). Losing a
// session is safe: it only moves its engines to other keepers.

// relayRequestsPerRenewal is the number of renewal requests per renewal interval:
// the relay then finds a recent one, and most of the lease term is left.
const relayRequestsPerRenewal = 5

// RenewalRequest returns the renewal that this VM's digest requests from its relay.
// It has no session if there is none or the VM renews it by itself.
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

// confirmRelayRenewal records an applied renewal of this VM's session that a relay
// proposed.
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

// proposeRelayedRenewals proposes the renewals that others requested from this VM
// as their relay, and its own. If two relays propose the same renewals, the second
// record has no effect, because each renewal has a number; it only costs an append.
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

// notYetApplied returns the renewals that would have an effect on the control state
// as applied here. A VM that crashed still appears in digests for a while after its
// last request.
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
