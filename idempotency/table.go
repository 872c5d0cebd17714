package idempotency

import (
	"math"
	"slices"
	"time"
)

// Table is the state after applying a stream of claims. Apply changes it in
// place; callers must synchronize reads with it. Invariant: between two applied
// claims of one key, either the first one was released or its window ended.
type Table struct {
	applied uint64
	skipped uint64
	// nowMs is the log's time of the newest record, in Unix milliseconds.
	nowMs int64
	keys  keyStore
}

// Holder is the claim that holds a key, and its answer.
type Holder struct {
	Key      Key
	ID       ClaimID
	Digest   Digest
	Revision Revision
	// ExpiresMs is when the key becomes free again, by the log's time in Unix
	// milliseconds.
	ExpiresMs int64
	// Answer is nil until an Outcome is applied.
	Answer *Answer
}

// maxReleasedIDs bounds the released claims that are remembered for one key.
const maxReleasedIDs = 16

// Verdict is the effect of an entry.
type Verdict string

const (
	// VerdictApplied: the claim holds the key (its claimer may dispatch once),
	// the outcome is stored, or the key is free again.
	VerdictApplied Verdict = "applied"
	// VerdictTaken: another claim of the same request holds the key.
	VerdictTaken Verdict = "taken"
	// VerdictMismatch: a claim of another request holds the key.
	VerdictMismatch Verdict = "mismatch"
	// VerdictStale: the entry is an outcome or a release of a claim that
	// doesn't hold the key or already has an outcome, or a claim that was made
	// before a release of the key or was released itself.
	VerdictStale Verdict = "stale"
	// VerdictInvalid: the entry is malformed.
	VerdictInvalid Verdict = "invalid"
)

// Result is the result of applying one entry. It is the same on every VM.
type Result struct {
	Verdict Verdict
	Key     Key
	// ID is the claim's or the release's ID. It is zero for an outcome.
	ID ClaimID
	// Revision is the entry's position.
	Revision Revision
	// Holder is the claim that holds the key after the entry, nil if the key is
	// free. The bytes of its answer must not be modified.
	Holder *Holder
	// Duplicate is true if the claim already held the key. It gives no second
	// right to dispatch.
	Duplicate bool
}

// NewTable returns an empty table, before the first record.
func NewTable() *Table {
	return &Table{keys: newKeyStore()}
}

// Applied returns the offset of the last applied record.
func (t *Table) Applied() uint64 { return t.applied }

// SkippedRecords returns the number of records that could not be decoded.
func (t *Table) SkippedRecords() uint64 { return t.skipped }

// LogTime returns the log's time of the newest record.
func (t *Table) LogTime() time.Time { return time.UnixMilli(t.nowMs) }

// HolderOf returns the claim that holds a key, nil if the key is free. The
// bytes of its answer must not be modified.
func (t *Table) HolderOf(key Key) *Holder {
	current, found := t.keys.find(key, t.nowMs)
	if !found || current.isFree() {
		return nil
	}
	return &current.Holder
}

// maxOffset is the highest offset that a revision can hold.
const maxOffset = 1<<(64-revisionIndexBits) - 1

// Apply applies the record at an offset; logTime is when the log stored it.
// Records that can't be decoded are skipped and counted, and records at or
// below Applied are ignored.
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

// advanceTime sets the log's time and frees the keys whose window has ended.
// The log's time never goes back; a record with an earlier time leaves it
// unchanged.
func (t *Table) advanceTime(logTime time.Time) {
	t.nowMs = max(t.nowMs, logTime.UnixMilli())
	t.keys.sweep(t.nowMs)
}

// timeAfter returns the log's time plus ms, limited to the highest value.
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

// applyClaim gives a free key to the claim. The first claim in offset order
// wins.
func (t *Table) applyClaim(rev Revision, c *Claim) Result {
	r := Result{Key: c.Key, ID: c.ID, Revision: rev}
	current, found := t.keys.find(c.Key, t.nowMs)
	if found && !current.isFree() {
		r.Holder = &current.Holder
	}
	switch holder := r.Holder; {
	case !c.isValid():
		r.Verdict = VerdictInvalid
	case holder == nil && current.rejects(c):
		r.Verdict = VerdictStale
	case holder == nil:
		r.Verdict = VerdictApplied
		r.Holder = t.assignKey(rev, c, current)
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

// rejects reports whether the claim was made before a release of its key that
// its request had not seen, or was itself released.
func (r row) rejects(c *Claim) bool {
	if r.release == nil {
		return false
	}
	unseen := c.FirstUnseen != 0 && r.release.offset >= c.FirstUnseen
	return unseen || slices.Contains(r.release.ids, c.ID)
}

// assignKey gives the key to the claim. Earlier releases stay known for as long
// as they would without the claim, even if the claim's window is shorter.
func (t *Table) assignKey(rev Revision, c *Claim, previous row) *Holder {
	assigned := row{Holder: Holder{Key: c.Key, ID: c.ID, Digest: c.Digest, Revision: rev, ExpiresMs: t.timeAfter(c.WindowMs)}}
	if previous.release != nil {
		assigned.ExpiresMs = max(assigned.ExpiresMs, previous.ExpiresMs)
		assigned.release = &releaseState{offset: previous.release.offset, ids: previous.release.ids}
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

// applyRelease frees the key. Only the claim's own claimer may release it: no
// other process knows whether the call was dispatched.
func (t *Table) applyRelease(rev Revision, rel *Release) Result {
	r := Result{Key: rel.Key, ID: rel.ID, Revision: rev}
	current, found := t.keys.find(rel.Key, t.nowMs)
	if found && !current.isFree() {
		r.Holder = &current.Holder
	}
	if r.Holder == nil || r.Holder.Revision != rel.ClaimRevision || r.Holder.ID != rel.ID || r.Holder.Answer != nil {
		r.Verdict = VerdictStale
		return r
	}
	r.Verdict, r.Holder = VerdictApplied, nil
	t.freeKey(rev, current)
	return r
}

// freeKey records the release. It changes no row or slice that a reader may
// hold.
func (t *Table) freeKey(rev Revision, current row) {
	released := &releaseState{free: true, offset: rev.Offset()}
	if current.release != nil {
		released.ids = slices.Clone(current.release.ids)
	}
	released.ids = append(released.ids, current.ID)
	released.ids = released.ids[max(0, len(released.ids)-maxReleasedIDs):]
	current.release, current.ExpiresMs = released, t.timeAfter(ReleaseTTL.Milliseconds())
	t.keys.put(current)
}
