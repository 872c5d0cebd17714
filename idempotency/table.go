package idempotency

import (
	"math"
	"slices"
	"time"
)

// Table is the folded stream of claims. Apply changes it in place; readers need
// their own lock. Invariant: between two claims of one key that landed lie a
// Release by the first one or the end of the first one's window.
type Table struct {
	applied uint64
	skipped uint64
	// nowMs is the log's time of the newest record, in Unix milliseconds.
	nowMs int64
	held  held
}

// Holder is the claim that holds a key, and its outcome.
type Holder struct {
	Key      Key
	ID       ClaimID
	Digest   Digest
	Revision Revision
	// ExpiresMs is when the key is free again, by the log's time in Unix
	// milliseconds.
	ExpiresMs int64
	// Answer is nil until the Outcome.
	Answer *Answer
}

// maxReleased bounds the released claims that are remembered of one key.
const maxReleased = 16

// Verdict says what an entry came to.
type Verdict string

const (
	// VerdictApplied: the claim holds the key (the claimer may dispatch once),
	// the outcome is stored, or the key is free again.
	VerdictApplied Verdict = "applied"
	// VerdictTaken: another claim of the same request holds the key.
	VerdictTaken Verdict = "taken"
	// VerdictMismatch: another request holds the key.
	VerdictMismatch Verdict = "mismatch"
	// VerdictStale: an outcome or a release of a claim that doesn't hold the key,
	// or a claim of before a release of the key.
	VerdictStale Verdict = "stale"
	// VerdictInvalid: malformed.
	VerdictInvalid Verdict = "invalid"
)

// Result is what one entry came to, the same on every VM.
type Result struct {
	Verdict Verdict
	Key     Key
	// ID is the claim's or release's own; zero for an outcome.
	ID ClaimID
	// Revision is the entry's place.
	Revision Revision
	// Holder is who holds the key after the entry, nil when it is free. The bytes
	// of its answer must not be changed.
	Holder *Holder
	// Repeated marks a second landing of the claim that holds the key. It gives
	// no second right to dispatch.
	Duplicate bool
}

// NewTable returns the table before the first record.
func NewTable() *Table {
	return &Table{held: newHeld()}
}

// Applied is the offset of the last folded record.
func (t *Table) Applied() uint64 { return t.applied }

// Skipped counts records that could not be read.
func (t *Table) SkippedRecords() uint64 { return t.skipped }

// Now is the log's time of the newest record.
func (t *Table) LogTime() time.Time { return time.UnixMilli(t.nowMs) }

// State returns who holds a key; nil means that it is free. The bytes of the
// answer must not be changed.
func (t *Table) HolderOf(key Key) *Holder {
	last, known := t.held.find(key, t.nowMs)
	if !known || last.free() {
		return nil
	}
	return &last.Holder
}

// maxOffset is the highest offset that a revision can hold.
const maxOffset = 1<<(64-revisionIndexBits) - 1

// Apply folds the record at an offset; logTime is when the log stored it. What
// can't be read is skipped and counted, and an offset folded before is ignored.
func (t *Table) Apply(offset uint64, logTime time.Time, data []byte) []Result {
	if offset <= t.applied {
		return nil
	}
	t.applied = offset
	t.expire(logTime)
	record, err := Decode(data)
	if err != nil || offset > maxOffset {
		t.skipped++
		return nil
	}
	results := make([]Result, 0, len(record.Entries))
	for i := range record.Entries {
		results = append(results, t.fold(MakeRevision(offset, i), &record.Entries[i]))
	}
	return results
}

// expire frees the keys whose window has ended. The log's time never goes back;
// should a record say so, the time stands still.
func (t *Table) expire(logTime time.Time) {
	t.nowMs = max(t.nowMs, logTime.UnixMilli())
	t.held.sweep(t.nowMs)
}

// after is the log's time so many milliseconds from now.
func (t *Table) after(ms int64) int64 {
	if t.nowMs > math.MaxInt64-ms {
		return math.MaxInt64
	}
	return t.nowMs + ms
}

func (t *Table) fold(rev Revision, e *Entry) Result {
	switch {
	case e.Claim != nil && e.Outcome == nil && e.Release == nil:
		return t.claim(rev, e.Claim)
	case e.Outcome != nil && e.Claim == nil && e.Release == nil:
		return t.outcome(rev, e.Outcome)
	case e.Release != nil && e.Claim == nil && e.Outcome == nil:
		return t.release(rev, e.Release)
	}
	return Result{Verdict: VerdictInvalid, Revision: rev}
}

// claim gives the key to the first claim in offset order.
func (t *Table) claim(rev Revision, c *Claim) Result {
	r := Result{Key: c.Key, ID: c.ID, Revision: rev}
	last, known := t.held.find(c.Key, t.nowMs)
	if known && !last.free() {
		r.Holder = &last.Holder
	}
	switch holder := r.Holder; {
	case !c.valid():
		r.Verdict = VerdictInvalid
	case holder == nil && last.turnsAway(c):
		r.Verdict = VerdictStale
	case holder == nil:
		r.Verdict = VerdictApplied
		r.Holder = t.hold(rev, c, last)
	case holder.ID == c.ID:
		r.Verdict, r.Duplicate = VerdictApplied, true
	case holder.Digest != c.Digest:
		r.Verdict = VerdictMismatch
	default:
		r.Verdict = VerdictTaken
	}
	return r
}

func (r row) free() bool { return r.release != nil && r.release.free }

// turnsAway tells whether the claim was made before a release of its key that
// its request had not seen, or was itself released.
func (r row) turnsAway(c *Claim) bool {
	if r.release == nil {
		return false
	}
	unseen := c.FirstUnseen != 0 && r.release.at >= c.FirstUnseen
	return unseen || slices.Contains(r.release.ids, c.ID)
}

// hold gives the key to the claim. What is known of earlier releases is kept for
// as long as they need, also with a shorter window.
func (t *Table) hold(rev Revision, c *Claim, last row) *Holder {
	taken := row{Holder: Holder{Key: c.Key, ID: c.ID, Digest: c.Digest, Revision: rev, ExpiresMs: t.after(c.WindowMs)}}
	if last.release != nil {
		taken.ExpiresMs = max(taken.ExpiresMs, last.ExpiresMs)
		taken.release = &release{at: last.release.at, ids: last.release.ids}
	}
	t.held.put(taken)
	return &taken.Holder
}

func (t *Table) outcome(rev Revision, o *Outcome) Result {
	r := Result{Key: o.Key, Revision: rev, Holder: t.HolderOf(o.Key)}
	switch {
	case len(o.Answer.Body) > MaxBodyBytes:
		r.Verdict = VerdictInvalid
	case r.Holder == nil || r.Holder.Revision != o.ClaimRevision || r.Holder.Answer != nil:
		r.Verdict = VerdictStale
	default:
		r.Verdict = VerdictApplied
		r.Holder.Answer = &o.Answer
		t.held.setAnswer(o.Key, &o.Answer)
	}
	return r
}

// release frees the key by its claimer's word alone: another process can't know
// whether the call was dispatched.
func (t *Table) release(rev Revision, rel *Release) Result {
	r := Result{Key: rel.Key, ID: rel.ID, Revision: rev}
	last, known := t.held.find(rel.Key, t.nowMs)
	if known && !last.free() {
		r.Holder = &last.Holder
	}
	if r.Holder == nil || r.Holder.Revision != rel.ClaimRevision || r.Holder.ID != rel.ID || r.Holder.Answer != nil {
		r.Verdict = VerdictStale
		return r
	}
	r.Verdict, r.Holder = VerdictApplied, nil
	t.free(rev, last)
	return r
}

// free notes the release. The rows that readers hold stay as they are.
func (t *Table) free(rev Revision, last row) {
	freed := &release{free: true, at: rev.Offset()}
	if last.release != nil {
		freed.ids = slices.Clone(last.release.ids)
	}
	freed.ids = append(freed.ids, last.ID)
	freed.ids = freed.ids[max(0, len(freed.ids)-maxReleased):]
	last.release, last.ExpiresMs = freed, t.after(ReleaseTTL.Milliseconds())
	t.held.put(last)
}
