package replica

import (
	"context"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/platformlog"
)

// In a large fleet one or two VMs of each group, the relays, read the log for the
// whole group: otherwise each of 3,400 VMs would keep a read open at the log for each
// stream. The other VMs poll their relay, which answers as soon as it has new records.
//
// A relay returns what the log holds (see Replica), so a faulty relay can only delay
// records. A request to a relay that is down or hangs fails. A relay that has no
// connection to the log, follows another VM in a cycle, or has no state yet is
// recognized by the time since the log last answered it. In each of these cases the
// VM reads the log itself for directReadDuration.

const (
	// relayPollTimeout is how long a relay holds a request open until it has new
	// records. With relayGrace for the network, a relay that hangs costs 1.5 s.
	relayPollTimeout = time.Second
	relayGrace       = 500 * time.Millisecond
	// minRelayInterval is the pause after an answer that holds records. Without it
	// a relay of 15 VMs in a stream of 45 records a second would answer 675 requests
	// a second. It delays only the second of two consecutive records.
	minRelayInterval = 50 * time.Millisecond
	// maxRelayAge is the longest time since the log last answered a working relay:
	// that of a read which timed out without new records.
	maxRelayAge = readPollTimeout + readGrace
	// directReadDuration is how long a VM reads the log itself after its relay failed.
	directReadDuration = 5 * time.Second
	// unreachedAge is the value of ReachedAgo if the replica does not follow the
	// stream or the log has never answered.
	unreachedAge = 24 * time.Hour
)

// ReaderRecords is a relay's answer to a request for all records from an offset on.
type ReaderRecords struct {
	Records  []platformlog.Record
	Snapshot [][]byte
	// ReachedAgo is the time since the log last answered the relay.
	ReachedAgo time.Duration
}

// RequestRecordsFunc requests records from this VM's relay and reports whether it
// has a relay. The relay may hold the request open until it has new records.
type RequestRecordsFunc func(ctx context.Context, from platformlog.Offset, wait time.Duration) (ReaderRecords, bool, error)

// followRelay requests records from the relay once and applies them. It returns false
// if this VM must read the log itself.
func (r *Replica) followRelay(ctx context.Context) bool {
	start := time.Now()
	if r.config.RequestRecords == nil || !r.isFollowing() || start.Before(r.directReadUntil) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, relayPollTimeout+relayGrace)
	defer cancel()
	relayed, hasRelay, err := r.config.RequestRecords(ctx, r.nextOffset(), relayPollTimeout)
	if !hasRelay {
		return false
	}
	// A relay that returns no records at once runs a version without long polling.
	empty := len(relayed.Records)+len(relayed.Snapshot) == 0
	if err != nil || relayed.ReachedAgo > maxRelayAge || empty && time.Since(start) < relayPollTimeout/2 {
		r.directReadUntil = time.Now().Add(directReadDuration)
		return false
	}
	r.ApplyPeerRecords(relayed.Records, relayed.Snapshot)
	r.recordRelayedRead(relayed)
	if !empty {
		pause.For(ctx, minRelayInterval)
	}
	return true
}

func (r *Replica) isFollowing() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.following
}

// recordRelayedRead updates when the log last answered from the relay's answer.
func (r *Replica) recordRelayedRead(relayed ReaderRecords) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := time.Now().Add(-relayed.ReachedAgo); at.After(r.reachedAt) {
		r.reachedAt = at
	}
	r.end = max(r.end, r.config.StateMachine.Applied())
}

// ReachedAgo returns the time since the log last answered this VM or its relay. It
// returns unreachedAge if this replica does not follow the stream, since it can't
// serve as a relay then, whatever it reads.
func (r *Replica) ReachedAgo() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.following || r.reachedAt.IsZero() {
		return unreachedAge
	}
	return time.Since(r.reachedAt)
}

// WaitForRecords waits until a record at or after the offset has been applied, or
// until the time has passed.
func (r *Replica) WaitForRecords(from platformlog.Offset, wait time.Duration) {
	timeout := time.NewTimer(min(wait, relayPollTimeout))
	defer timeout.Stop()
	for {
		r.mu.RLock()
		isApplied, changes := r.config.StateMachine.Applied() >= from, r.changes
		r.mu.RUnlock()
		if isApplied {
			return
		}
		select {
		case <-changes:
		case <-timeout.C:
			return
		}
	}
}
