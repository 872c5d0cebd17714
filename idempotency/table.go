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
	keys  keyStore
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
const maxReleasedIDs = 16

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
	return &Table{keys: newKeyStore()}
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
	last, known := t.keys.find(key, t.nowMs)
	if !known || last.isFree() {
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
	t.advanceTime(logTime)
	record, err := Decode(data)
	if err != nil || offset > maxOffset {
		t.skipped++
		return nil
	}
	results := make([]Result, 0, len(record.Entries))
	for i := range record.Entries {
		results = append(results, t.applyEntry(MakeRevision(offset, i), &record.Entries[i]))
	}
	return results
}

// expire frees the keys whose window has ended. The log's time never goes back;
// should a record say so, the time stands still.
func (t *Table) advanceTime(logTime time.Time) {
	t.nowMs = max(t.nowMs, logTime.UnixMilli())
	t.keys.sweep(t.nowMs)
}

// after is the log's time so many milliseconds from now.
func (t *Table) timeAfter(ms int64) int64 {
	if t.nowMs > math.MaxInt64-ms {
		return math.MaxInt64
	}
	return t.nowMs + ms
}

func (t *Table) applyEntry(rev Revision, e *Entry) Result {
	switch {
	case e.Claim != nil && e.Outcome == nil && e.Release == nil:
		return t.applyClaim(rev, e.Claim)
	case e.Outcome != nil && e.Claim == nil && e.Release == nil:
		return t.applyOutcome(rev, e.Outcome)
	case e.Release != nil && e.Claim == nil && e.Outcome == nil:
		return t.applyRelease(rev, e.Release)
	}
	return Result{Verdict: VerdictInvalid, Revision: rev}
}

// claim gives the key to the first claim in offset order.
func (t *Table) applyClaim(rev Revision, c *Claim) Result {
	r := Result{Key: c.Key, ID: c.ID, Revision: rev}
	last, known := t.keys.find(c.Key, t.nowMs)
	if known && !last.isFree() {
		r.Holder = &last.Holder
	}
	switch holder := r.Holder; {
	case !c.isValid():
		r.Verdict = VerdictInvalid
	case holder == nil && last.rejects(c):
		r.Verdict = VerdictStale
	case holder == nil:
		r.Verdict = VerdictApplied
		r.Holder = t.assignKey(rev, c, last)
	case holder.ID == c.ID:
		r.Verdict, r.Duplicate = VerdictApplied, true
	case holder.Digest != c.Digest:
		r.Verdict = VerdictMismatch
	default:
		r.Verdict = VerdictTaken
	}
	return r
}

func (r row) isFree() bool { return r.release != nil && r.release.free }

// turnsAway tells whether the claim was made before a release of its key that
// its request had not seen, or was itself released.
func (r row) rejects(c *Claim) bool {
	if r.release == nil {
		return false
	}
	unseen := c.FirstUnseen != 0 && r.release.offset >= c.FirstUnseen
	return unseen || slices.Contains(r.release.ids, c.ID)
}

// hold gives the key to the claim. What is known of earlier releases is kept for
// as long as they need, also with a shorter window.
func (t *Table) assignKey(rev Revision, c *Claim, last row) *Holder {
	assigned := row{Holder: Holder{Key: c.Key, ID: c.ID, Digest: c.Digest, Revision: rev, ExpiresMs: t.timeAfter(c.WindowMs)}}
	if last.release != nil {
		assigned.ExpiresMs = max(assigned.ExpiresMs, last.ExpiresMs)
		assigned.release = &releaseState{offset: last.release.offset, ids: last.release.ids}
	}
	t.keys.put(assigned)
	return &assigned.Holder
}

func (t *Table) applyOutcome(rev Revision, o *Outcome) Result {
	r := Result{Key: o.Key, Revision: rev, Holder: t.HolderOf(o.Key)}
	switch {
	case len(o.Answer.Body) > MaxBodyBytes:
		r.Verdict = VerdictInvalid
	case r.Holder == nil || r.Holder.Revision != o.ClaimRevision || r.Holder.Answer != nil:
		r.Verdict = VerdictStale
	default:
		r.Verdict = VerdictApplied
		r.Holder.Answer = &o.Answer
		t.keys.setAnswer(o.Key, &o.Answer)
	}
	return r
}

// release frees the key by its claimer's word alone: another process can't know
// whether the call was dispatched.
func (t *Table) applyRelease(rev Revision, rel *Release) Result {
	r := Result{Key: rel.Key, ID: rel.ID, Revision: rev}
	last, known := t.keys.find(rel.Key, t.nowMs)
	if known && !last.isFree() {
		r.Holder = &last.Holder
	}
	if r.Holder == nil || r.Holder.Revision != rel.ClaimRevision || r.Holder.ID != rel.ID || r.Holder.Answer != nil {
		r.Verdict = VerdictStale
		return r
	}
	r.Verdict, r.Holder = VerdictApplied, nil
	t.freeKey(rev, last)
	return r
}

// free notes the release. The rows that readers hold stay as they are.
func (t *Table) freeKey(rev Revision, last row) {
	released := &releaseState{free: true, offset: rev.Offset()}
	if last.release != nil {
		released.ids = slices.Clone(last.release.ids)
	}
	released.ids = append(released.ids, last.ID)
	released.ids = released.ids[max(0, len(released.ids)-maxReleasedIDs):]
	last.release, last.ExpiresMs = released, t.timeAfter(ReleaseTTL.Milliseconds())
	t.keys.put(last)
}
