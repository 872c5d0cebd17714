package node

import (
	"context"
	"sync"
	"time"

	"bergamotreel/entryvm"
)

const (
	// rosterKeeps is how long an entry VM that is gone is remembered: longer than
	// any outage of the log for which "not run" is worth telling.
	rosterTTL = 48 * time.Hour
	// listLag is by how much the VM list may trail, and how old it may be to
	// count as read.
	maxListLag = 10 * time.Second
	// askTimeout bounds asking peers for a claim: the caller waits for it.
	claimQueryTimeout = 300 * time.Millisecond
)

// roster remembers the other entry VMs that were listed or heard, also those
// that are gone.
type roster struct {
	self string

	mu    sync.Mutex
	known map[string]member
}

// member is one entry VM, with when it was last listed or heard.
type member struct {
	address string
	seenAt  time.Time
}

func newRoster(self string) *roster { return &roster{self: self, known: make(map[string]member)} }

// saw notes that a VM is there.
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

// forget drops those that are long gone. Call with mu held.
func (r *roster) dropExpired(now time.Time) {
	for vm, m := range r.known {
		if now.Sub(m.seenAt) > rosterTTL {
			delete(r.known, vm)
		}
	}
}

// since returns the addresses of the VMs that were there at or after a time;
// false if that is too long ago to tell.
func (r *roster) seenSince(now, at time.Time) ([]string, bool) {
	if now.Sub(at) > rosterTTL-maxListLag {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, m := range r.known {
		if !m.seenAt.Before(at.Add(-maxListLag)) {
			addresses = append(addresses, m.address)
		}
	}
	return addresses, true
}

// nobodyAhead implements claims.Config.NobodyAhead. Without a VM list read lately
// there may be VMs that nobody here has heard of.
func (n *Node) isUndispatchedByPeers(ctx context.Context, query entryvm.ClaimQuery, applied uint64, since time.Time) bool {
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
			// The process before this one on its VM may have been there since.
			speaksForAll := !time.Now().Add(-reply.Up).After(since)
			answers <- err == nil && speaksForAll && !reply.Held && reply.Applied <= applied
		}()
	}
	for range others {
		if !<-answers {
			return false
		}
	}
	return true
}
