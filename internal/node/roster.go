package node

import (
	"context"
	"sync"
	"time"

	"bergamotreel/entryvm"
)

const (
	// rosterTTL is how long a departed entry VM is remembered. After a longer log outage,
	// refusals say "may have run", because this VM no longer knows all VMs of that time.
	rosterTTL = 48 * time.Hour
	// maxListLag is how far the VM list may lag behind, and how long after its last read
	// it still counts as current.
	maxListLag = 10 * time.Second
	// claimQueryTimeout limits the claim queries to peers, which a caller waits for.
	claimQueryTimeout = 300 * time.Millisecond
)

// roster records the other entry VMs that were on the VM list or sent a digest,
// including departed ones.
type roster struct {
	self string

	mu    sync.Mutex
	known map[string]member
}

// member is one entry VM with the time at which it was last listed or sent a digest.
type member struct {
	address string
	seenAt  time.Time
}

func newRoster(self string) *roster { return &roster{self: self, known: make(map[string]member)} }

// recordSeen records that a VM was present at a time.
func (r *roster) recordSeen(now time.Time, vm, address string) {
	if vm == r.self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.known[vm]
	if !ok {
		r.dropExpired(now)
	}
	if now.After(known.seenAt) {
		r.known[vm] = member{address: address, seenAt: now}
	}
}

// dropExpired drops VMs not seen for rosterTTL. The caller must hold mu.
func (r *roster) dropExpired(now time.Time) {
	for vm, m := range r.known {
		if now.Sub(m.seenAt) > rosterTTL {
			delete(r.known, vm)
		}
	}
}

// seenSince returns the addresses of the VMs that may have been present at or after
// since. It returns false if since is too long ago for the roster to be complete.
func (r *roster) seenSince(now, since time.Time) ([]string, bool) {
	if now.Sub(since) > rosterTTL-maxListLag {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, m := range r.known {
		if !m.seenAt.Before(since.Add(-maxListLag)) {
			addresses = append(addresses, m.address)
		}
	}
	return addresses, true
}

// ruleOutDispatchByPeers implements claims.Config.RuleOutDispatch. It reports whether no
// VM that was present at or after since can have dispatched the call by a claim that this
// VM has not applied. Without a recently read VM list it returns false, since there may
// be VMs that this one does not know.
func (n *Node) ruleOutDispatchByPeers(ctx context.Context, query entryvm.ClaimQuery, applied uint64, since time.Time) bool {
	now := time.Now()
	others, known := n.roster.seenSince(now, since)
	if !known || now.Sub(n.fleet.ListedAt()) > maxListLag {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimQueryTimeout)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, address := range others {
		go func() {
			reply, err := n.config.Peers.EntryVMs.Claimed(ctx, address, query)
			// A process that started after since can't answer for an earlier process on its VM.
			coversSince := !time.Now().Add(-reply.Uptime).After(since)
			answers <- err == nil && coversSince && !reply.Held && reply.Applied <= applied
		}()
	}
	for range others {
		if !<-answers {
			return false
		}
	}
	return true
}
