package replica

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/chunks"
	"bergamotreel/platformlog"
)

// Where records expired before anybody read them (an outage of the log longer
// than its retention), no VM can say what the agreed state is. One of the states
// that are left must count, the same on every VM.
//
// A VM that lost records first looks for somebody who did not, among its peers
// and in the log. Finding nobody it appends a bid: its state as a marked
// snapshot. A VM that still follows answers with a whole snapshot. Without an
// answer for confirmWait, the bidder appends the same snapshot once more, as a
// ruling that names the bid's offset. It counts where it lands unless, between
// the bid and it, a whole snapshot landed that has folded the bid, or any part
// of another ruling did. Each VM that has met every record since the bid sees
// the same, so all of them take the bid's state and fold the records from the
// bid on, including those who knew more but could not say so. A VM that has not
// met them all stops following and waits for the whole snapshot that the others
// write next.
//
// Were each VM to keep what it knows instead, two that follow would differ for
// good: one would grant a replica that the other counts already.
const (
	// gapWait is how long a VM that lost records waits for somebody who did not
	// before it bids. Peers answer within a second.
	gapWait = 10 * time.Second
	// confirmWait is how long a bid waits for an answer: a few looks by the
	// others (snapshotCheck) and the append of their snapshots.
	confirmWait = 10 * time.Second
	// bidMemory is how long a bid of another VM that knows more holds back one's
	// own: until its ruling should have landed.
	bidMemory = 3 * confirmWait
	// rulingSpan bounds the records from a bid to its ruling, so that every VM
	// has them at hand.
	rulingSpan = ringRecords - 1
)

// rulingWatch is what a replica knows of bids and rulings; Replica.mu guards it.
type rulingWatch struct {
	// lastPart is the newest record that holds a part of a ruling.
	lastPart platformlog.Offset
	// wholeUpTo is the most that a whole snapshot in the log has folded.
	wholeUpTo platformlog.Offset
	// owed is the record that a whole snapshot is to be written for, 0 if none,
	// and owedAt when that became known.
	owed   platformlog.Offset
	owedAt time.Time
	// best is the bid met lately that knows most; own the own one.
	best, own bid
}

// bid is one bid as met in the stream.
type bid struct {
	writer string
	upTo   platformlog.Offset
	// offset is 0 until the bid was met in the stream; metAt is when.
	offset platformlog.Offset
	metAt  time.Time
}

// landed notes a whole snapshot.
func (w *rulingWatch) landed(upTo platformlog.Offset) {
	w.wholeUpTo = max(w.wholeUpTo, upTo)
	if upTo >= w.owed {
		w.owed = 0
	}
}

func (w *rulingWatch) owe(offset platformlog.Offset) {
	w.owed = offset
	w.owedAt = time.Now()
}

// takeBid notes a bid that landed at the record.
func (r *Replica) takeBid(record platformlog.Record, part chunks.Chunk) {
	met := bid{part.Writer, platformlog.Offset(part.UpTo), record.Offset, time.Now()}
	r.rulings.owe(record.Offset)
	if met.writer == r.config.Writer && met.upTo == r.rulings.own.upTo {
		r.rulings.own = met
	}
	if met.upTo > r.rulings.best.upTo || met.metAt.Sub(r.rulings.best.metAt) > bidMemory {
		r.rulings.best = met
	}
}

// takeRuling takes a ruling that landed at the record.
func (r *Replica) takeRuling(record platformlog.Record, parts []chunks.Chunk) {
	since := platformlog.Offset(parts[0].Confirms)
	// Whoever follows after this writes its state, for those who can't tell.
	r.rulings.owe(record.Offset)
	if since >= record.Offset || record.Offset-since > rulingSpan || r.rulings.wholeUpTo >= since {
		return
	}
	records, held := r.ring.from(since, ringRecords)
	if !held {
		r.doubt(record)
		return
	}
	if r.outbid(records, parts[0]) {
		return
	}
	r.rule(records, parts)
}

// outbid tells whether the records from the bid to its ruling hold a part of
// another ruling, or not the bid.
func (r *Replica) outbid(records []platformlog.Record, ruling chunks.Chunk) bool {
	first := r.config.StateMachine.DecodePart(records[0])
	if first == nil || !first.Gap || first.Confirms != 0 || !sameState(*first, ruling) {
		return true
	}
	for _, record := range records[1:] {
		part := r.config.StateMachine.DecodePart(record)
		if part != nil && part.Confirms != 0 && (part.Confirms != ruling.Confirms || !sameState(*part, ruling)) {
			return true
		}
	}
	return false
}

func sameState(a, b chunks.Chunk) bool {
	return a.Writer == b.Writer && a.UpTo == b.UpTo && a.Sum == b.Sum
}

// rule takes the state of the ruling and folds the records from its bid on.
func (r *Replica) rule(records []platformlog.Record, parts []chunks.Chunk) {
	wasFollowing := r.following
	if err := r.config.StateMachine.Restore(parts); err != nil {
		r.config.Logger.Error("ruling not usable", zap.String("stream", r.config.Stream), zap.Error(err))
		r.doubt(records[len(records)-1])
		return
	}
	for _, record := range records {
		r.config.StateMachine.Apply(record)
	}
	r.follow()
	r.rulings.own, r.rulings.best = bid{}, bid{}
	r.config.Logger.Error("records were lost to the log's retention, an older state counts",
		zap.String("stream", r.config.Stream), zap.Uint64("up_to", parts[0].UpTo),
		zap.Uint64("go_on_at", parts[0].Confirms), zap.Bool("knew_more", wasFollowing))
}

// doubt stops following: whether the ruling counts, this VM can't tell.
func (r *Replica) doubt(record platformlog.Record) {
	if !r.following {
		return
	}
	r.config.Logger.Warn("ruling not understood, waiting for a snapshot",
		zap.String("stream", r.config.Stream), zap.Uint64("offset", uint64(record.Offset)))
	r.lose()
	r.suspect = true
}

// nextClaim is the marked snapshot that this VM should append now, if any: a
// bid, or the ruling that confirms it. Call with mu held.
func (r *Replica) nextClaim(now time.Time, chosen bool) Encoder {
	applied := r.config.StateMachine.Applied()
	own, best := r.rulings.own, r.rulings.best
	if applied == 0 {
		return nil
	}
	others := best.writer != r.config.Writer && best.upTo >= applied && best.offset != 0
	if others && now.Sub(best.metAt) < bidMemory {
		return nil // one that knows as much was first
	}
	if own.offset != 0 && own.upTo == applied && own.offset > r.rulings.lastPart && now.Sub(own.metAt) < bidMemory {
		if now.Sub(own.metAt) < confirmWait {
			return nil
		}
		r.rulings.own = bid{}
		return r.marked(uint64(own.offset))
	}
	wait := gapWait
	if !chosen {
		wait = 2 * gapWait
	}
	if best.offset != 0 && best.upTo < applied {
		wait = 0 // a bid that knows less: outbid it before its ruling
	}
	if now.Sub(r.lostAt) < wait || now.Sub(r.snapshots.wroteAt) < gapWait {
		return nil
	}
	r.rulings.own = bid{writer: r.config.Writer, upTo: applied}
	return r.marked(0)
}

// marked makes the parts of a bid, or of the ruling that confirms it.
func (r *Replica) marked(confirms uint64) Encoder {
	encode := r.config.StateMachine.Capture(r.config.Writer)
	return func() ([]chunks.Chunk, error) {
		parts, err := encode()
		for i := range parts {
			parts[i].Gap, parts[i].Confirms = true, confirms
		}
		return parts, err
	}
}
