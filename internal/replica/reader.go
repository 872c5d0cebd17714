package replica

import (
	"context"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/platformlog"
)

// In a large fleet one or two VMs of each group, the readers, read the log for the
// whole group: otherwise each of 3,400 VMs would keep a read open at the log for each
// stream. The other VMs poll their reader, which answers as soon as it has new records.
//
// A reader returns what the log holds (see Replica), so a faulty reader can only delay
// records. A request to a reader that is down or hangs fails. A reader that has no
// connection to the log, follows another VM in a cycle, or has no state yet is
// recognized by the time since the log last answered it. In each of these cases the
// VM reads the log itself for directReadDuration.

const (
	// readerPollTimeout is how long a reader holds a request open until it has new
	// records. With readerGrace for the network, a reader that hangs costs 1.5 s.
	readerPollTimeout = time.Second
	readerGrace       = 500 * time.Millisecond
	// minReaderPollInterval is the pause after an answer that holds records. Without it
	// a reader of 15 VMs in a stream of 45 records a second would answer 675 requests
	// a second. It delays only the second of two consecutive records.
	minReaderPollInterval = 50 * time.Millisecond
	// maxReachedAgo is the longest time since the log last answered a working reader:
	// that of a read that timed out without new records.
	maxReachedAgo = readPollTimeout + readGrace
	// directReadDuration is how long a VM reads the log itself after its reader failed.
	directReadDuration = 5 * time.Second
	// unreachedAge is the value of ReachedAgo if the replica does not follow the
	// stream or the log has never answered.
	unreachedAge = 24 * time.Hour
)

// ReaderRecords is a reader's answer to a request for all records from an offset on.
type ReaderRecords struct {
	Records  []platformlog.Record
	Snapshot [][]byte
	// ReachedAgo is the time since the log last answered the reader.
	ReachedAgo time.Duration
}

// RequestRecordsFunc requests records from this VM's reader and reports whether it
// has a reader. The reader may hold the request open until it has new records.
type RequestRecordsFunc func(ctx context.Context, from platformlog.Offset, wait time.Duration) (ReaderRecords, bool, error)

// followReader requests records from the reader once and applies them. It returns false
// if this VM must read the log itself.
func (r *Replica) followReader(ctx context.Context) bool {
	start := time.Now()
	if r.config.RequestRecords == nil || !r.isFollowing() || start.Before(r.directReadUntil) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readerPollTimeout+readerGrace)
	defer cancel()
	received, hasReader, err := r.config.RequestRecords(ctx, r.nextOffset(), readerPollTimeout)
	if !hasReader {
		return false
	}
	// A reader that returns no records at once runs a version without long polling.
	empty := len(received.Records)+len(received.Snapshot) == 0
	if err != nil || received.ReachedAgo > maxReachedAgo || empty && time.Since(start) < readerPollTimeout/2 {
		r.directReadUntil = time.Now().Add(directReadDuration)
		return false
	}
	r.ApplyPeerRecords(received.Records, received.Snapshot)
	r.updateReachedAt(received)
	if !empty {
		pause.For(ctx, minReaderPollInterval)
	}
	return true
}

func (r *Replica) isFollowing() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.following
}

// updateReachedAt updates when the log last answered, from the reader's answer.
func (r *Replica) updateReachedAt(received ReaderRecords) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := time.Now().Add(-received.ReachedAgo); at.After(r.reachedAt) {
		r.reachedAt = at
	}
	r.end = max(r.end, r.config.StateMachine.Applied())
}

// ReachedAgo returns the time since the log last answered this VM or its reader. It
// returns unreachedAge if this replica does not follow the stream, since it can't
// serve as a reader then, whatever it reads.
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
	timeout := time.NewTimer(min(wait, readerPollTimeout))
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
