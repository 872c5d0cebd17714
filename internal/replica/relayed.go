package replica

import (
	"context"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/platformlog"
)

// In a large fleet one or two VMs of each group read the log for all of it: 3,400
// VMs would else have as many reads waiting at the log for each stream. The others
// ask theirs, who answers as soon as it has news.
//
// What they get is what the log holds (see Replica), so only lateness is at stake.
// A reader that is gone or hangs fails the question, and one that is cut off from
// the log, follows somebody itself in a circle, or has no state yet says so by the
// age of the log's newest answer: then the VM reads the log itself for a while.

const (
	// relayWait is how long a question waits for news at the reader. With
	// relayGrace for the way, a reader that hangs costs 1.5 s.
	relayWait  = time.Second
	relayGrace = 500 * time.Millisecond
	// relayPause is the pause after an answer with news: a reader in a stream of 45
	// records a second, with 15 others behind it, would else answer 675 questions a
	// second. Only the second of two records in a row comes later by it.
	relayPause = 50 * time.Millisecond
	// maxRelayAge is the highest age of the log's newest answer at a reader that
	// works: that of a read that waited for news in vain.
	maxRelayAge = readWait + readGrace
	// aloneFor is how long a VM reads the log itself after its reader failed it.
	aloneFor = 5 * time.Second
	// neverReached is the age where no answer counts.
	neverReached = 24 * time.Hour
)

// RelayedRecords is what a reader gave for all records from an offset on.
type RelayedRecords struct {
	Records  []platformlog.Record
	Snapshot [][]byte
	// ReachedAgo is how long ago the log last answered it.
	ReachedAgo time.Duration
}

// RequestRecordsFunc asks the VM that reads the log for this one, and tells whether there is
// one. The answer may wait for news.
type RequestRecordsFunc func(ctx context.Context, from platformlog.Offset, wait time.Duration) (RelayedRecords, bool, error)

// followReader follows through the reader once. It tells whether it was served;
// else this VM must read the log itself.
func (r *Replica) followReader(ctx context.Context) bool {
	begun := time.Now()
	if r.config.RequestRecords == nil || !r.isFollowing() || begun.Before(r.aloneUntil) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayGrace)
	defer cancel()
	got, asked, err := r.config.RequestRecords(ctx, r.nextOffset(), relayWait)
	if !asked {
		return false
	}
	// One that answers nothing at once is of a version that can't wait.
	empty := len(got.Records)+len(got.Snapshot) == 0
	if err != nil || got.ReachedAgo > maxRelayAge || empty && time.Since(begun) < relayWait/2 {
		r.aloneUntil = time.Now().Add(aloneFor)
		return false
	}
	r.ApplyPeerRecords(got.Records, got.Snapshot)
	r.reachedThrough(got)
	if !empty {
		pause.For(ctx, relayPause)
	}
	return true
}

func (r *Replica) isFollowing() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.following
}

// reachedThrough notes when the log answered the reader.
func (r *Replica) reachedThrough(got RelayedRecords) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := time.Now().Add(-got.ReachedAgo); at.After(r.reachedAt) {
		r.reachedAt = at
	}
	r.end = max(r.end, r.config.StateMachine.Applied())
}

// ReachedAgo is how long ago the log last answered this VM or its reader. One that
// does not follow serves nobody, whatever it reads.
func (r *Replica) ReachedAgo() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.following || r.reachedAt.IsZero() {
		return neverReached
	}
	return time.Since(r.reachedAt)
}

// WaitForRecords waits until a record at the offset or after it is at hand, or for the time.
func (r *Replica) WaitForRecords(from platformlog.Offset, wait time.Duration) {
	timeout := time.NewTimer(min(wait, relayWait))
	defer timeout.Stop()
	for {
		r.mu.RLock()
		known, news := r.config.StateMachine.Applied() >= from, r.news
		r.mu.RUnlock()
		if known {
			return
		}
		select {
		case <-news:
		case <-timeout.C:
			return
		}
	}
}
