package replica

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/chunks"
	"bergamotreel/platformlog"
)

// If records expired before any VM read them (an outage of the log longer than its
// retention), no VM knows the agreed state. All VMs must then agree on one of the
// states that still exist.
//
// A VM that lost records first looks for a VM that did not, among its peers and in
// the log. If it finds none it appends a candidate: its own state as a recovery
// snapshot (Chunk.Gap is set). A VM that still follows the stream answers with a
// complete snapshot. Without an answer for confirmationDelay, the author of the
// candidate appends the same snapshot again as a confirmation, which holds the
// candidate's offset in Chunk.Confirms. The confirmation is valid unless, between the
// candidate and it, the log holds a complete snapshot that covers the candidate, or any
// part of another confirmation. All VMs that have read every record since the candidate
// reach the same conclusion, so all of them restore the candidate's state and apply the
// records from the candidate on, including VMs that knew more but could not answer.
// A VM that has not read all of these records stops following the stream and waits for
// the complete snapshot that the others write next.
//
// If each VM kept its own state instead, VMs that follow the stream would differ
// permanently: one could grant a replica that another has already counted.
const (
	// candidateDelay is how long a VM that lost records waits for a VM that did not
	// before it appends a candidate. Peers answer within a second.
	candidateDelay = 10 * time.Second
	// confirmationDelay is how long a candidate waits for an answer. It covers a few
	// checks by the other VMs (snapshotCheckInterval) and the append of their snapshots.
	confirmationDelay = 10 * time.Second
	// candidateTTL is how long another VM's candidate with an equal or newer state
	// keeps a VM from appending its own: until its confirmation should be in the log.
	candidateTTL = 3 * confirmationDelay
	// maxConfirmationSpan bounds the records from a candidate to its confirmation, so
	// that the ring of every VM holds all of them.
	maxConfirmationSpan = maxRingRecords - 1
)

// recoveryState is what a replica knows of candidates and confirmations. Replica.mu
// guards it.
type recoveryState struct {
	// lastConfirmationPart is the newest record that holds a part of a confirmation.
	lastConfirmationPart platformlog.Offset
	// snapshotUpTo is the highest offset covered by a complete snapshot in the log.
	snapshotUpTo platformlog.Offset
	// snapshotNeededFor is the record that a complete snapshot must cover, 0 if none
	// is needed; snapshotNeededSince is when that became known.
	snapshotNeededFor   platformlog.Offset
	snapshotNeededSince time.Time
	// bestCandidate is the recently seen candidate with the newest state;
	// ownCandidate is this VM's own.
	bestCandidate, ownCandidate candidate
}

// candidate is a recovery snapshot that has not been confirmed.
type candidate struct {
	writer string
	upTo   platformlog.Offset
	// offset is 0 until the candidate was seen in the stream; seenAt is when it was seen.
	offset platformlog.Offset
	seenAt time.Time
}

// recordSnapshot records that the log holds a complete snapshot up to the offset.
func (s *recoveryState) recordSnapshot(upTo platformlog.Offset) {
	s.snapshotUpTo = max(s.snapshotUpTo, upTo)
	if upTo >= s.snapshotNeededFor {
		s.snapshotNeededFor = 0
	}
}

func (s *recoveryState) requestSnapshot(offset platformlog.Offset) {
	s.snapshotNeededFor = offset
	s.snapshotNeededSince = time.Now()
}

// recordCandidate records a candidate that ends at the record.
func (r *Replica) recordCandidate(record platformlog.Record, part chunks.Chunk) {
	seen := candidate{part.Writer, platformlog.Offset(part.UpTo), record.Offset, time.Now()}
	r.recovery.requestSnapshot(record.Offset)
	if seen.writer == r.config.Writer && seen.upTo == r.recovery.ownCandidate.upTo {
		r.recovery.ownCandidate = seen
	}
	if seen.upTo > r.recovery.bestCandidate.upTo || seen.seenAt.Sub(r.recovery.bestCandidate.seenAt) > candidateTTL {
		r.recovery.bestCandidate = seen
	}
}

// processConfirmation processes a confirmation that ends at the record.
func (r *Replica) processConfirmation(record platformlog.Record, parts []chunks.Chunk) {
	candidateOffset := platformlog.Offset(parts[0].Confirms)
	// A VM that follows the stream after this record writes its state, for VMs that
	// can't tell whether the confirmation is valid.
	r.recovery.requestSnapshot(record.Offset)
	if candidateOffset >= record.Offset || record.Offset-candidateOffset > maxConfirmationSpan || r.recovery.snapshotUpTo >= candidateOffset {
		return
	}
	records, isBuffered := r.ring.recordsFrom(candidateOffset, maxRingRecords)
	if !isBuffered {
		r.suspendFollowing(record)
		return
	}
	if r.isSuperseded(records, parts[0]) {
		return
	}
	r.applyConfirmation(records, parts)
}

// isSuperseded reports whether the records from the candidate to its confirmation hold
// a part of another confirmation, or do not begin with the candidate.
func (r *Replica) isSuperseded(records []platformlog.Record, confirmation chunks.Chunk) bool {
	first := r.config.StateMachine.DecodePart(records[0])
	if first == nil || !first.Gap || first.Confirms != 0 || !isSameState(*first, confirmation) {
		return true
	}
	for _, record := range records[1:] {
		part := r.config.StateMachine.DecodePart(record)
		if part != nil && part.Confirms != 0 && (part.Confirms != confirmation.Confirms || !isSameState(*part, confirmation)) {
			return true
		}
	}
	return false
}

func isSameState(a, b chunks.Chunk) bool {
	return a.Writer == b.Writer && a.UpTo == b.UpTo && a.Sum == b.Sum
}

// applyConfirmation restores the state of the confirmation and applies the records from
// its candidate on.
func (r *Replica) applyConfirmation(records []platformlog.Record, parts []chunks.Chunk) {
	wasFollowing := r.following
	if err := r.config.StateMachine.Restore(parts); err != nil {
		r.config.Logger.Error("recovery confirmation not usable", zap.String("stream", r.config.Stream), zap.Error(err))
		r.suspendFollowing(records[len(records)-1])
		return
	}
	for _, record := range records {
		r.config.StateMachine.Apply(record)
	}
	r.startFollowing()
	r.recovery.ownCandidate, r.recovery.bestCandidate = candidate{}, candidate{}
	r.config.Logger.Error("records expired before any VM read them, restored an older state",
		zap.String("stream", r.config.Stream), zap.Uint64("up_to", parts[0].UpTo),
		zap.Uint64("go_on_at", parts[0].Confirms), zap.Bool("knew_more", wasFollowing))
}

// suspendFollowing stops following the stream because this VM can't tell whether a
// confirmation is valid.
func (r *Replica) suspendFollowing(record platformlog.Record) {
	if !r.following {
		return
	}
	r.config.Logger.Warn("recovery confirmation could not be checked, waiting for a snapshot",
		zap.String("stream", r.config.Stream), zap.Uint64("offset", uint64(record.Offset)))
	r.stopFollowing()
	r.suspect = true
}

// nextRecoverySnapshot returns the recovery snapshot that this VM should append now: a
// candidate, its confirmation, or nil. The caller holds mu.
func (r *Replica) nextRecoverySnapshot(now time.Time, isWriter bool) Encoder {
	applied := r.config.StateMachine.Applied()
	own, best := r.recovery.ownCandidate, r.recovery.bestCandidate
	if applied == 0 {
		return nil
	}
	isOtherAhead := best.writer != r.config.Writer && best.upTo >= applied && best.offset != 0
	if isOtherAhead && now.Sub(best.seenAt) < candidateTTL {
		return nil // a candidate with an equal or newer state was first
	}
	if own.offset != 0 && own.upTo == applied && own.offset > r.recovery.lastConfirmationPart && now.Sub(own.seenAt) < candidateTTL {
		if now.Sub(own.seenAt) < confirmationDelay {
			return nil
		}
		r.recovery.ownCandidate = candidate{}
		return r.captureRecoverySnapshot(uint64(own.offset))
	}
	delay := candidateDelay
	if !isWriter {
		delay = 2 * candidateDelay
	}
	if best.offset != 0 && best.upTo < applied {
		delay = 0 // append a newer candidate before the older one is confirmed
	}
	if now.Sub(r.stoppedFollowingAt) < delay || now.Sub(r.snapshots.lastWriteAt) < candidateDelay {
		return nil
	}
	r.recovery.ownCandidate = candidate{writer: r.config.Writer, upTo: applied}
	return r.captureRecoverySnapshot(0)
}

// captureRecoverySnapshot captures the state for a candidate, or for the confirmation
// of the candidate at the offset confirms.
func (r *Replica) captureRecoverySnapshot(confirms uint64) Encoder {
	encode := r.config.StateMachine.Capture(r.config.Writer)
	return func() ([]chunks.Chunk, error) {
		parts, err := encode()
		for i := range parts {
			parts[i].Gap, parts[i].Confirms = true, confirms
		}
		return parts, err
	}
}
