package idempotency

import (
	"container/heap"
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
	nowMs   int64
	holders map[Key]*Holder
	expiry  expiryHeap
}

// expiry is when the window of one claim ends.
type expiry struct {
	atMs  int64
	key   Key
	claim Revision
}

// expiryHeap is a heap.Interface with the earliest end first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].atMs < h[j].atMs }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Holder is the claim that holds a key, and its outcome.
type Holder struct {
	Key      Key      `cbor:"1,keyasint"`
	ID       ClaimID  `cbor:"2,keyasint"`
	Digest   Digest   `cbor:"3,keyasint"`
	VM       string   `cbor:"4,keyasint,omitempty"`
	Revision Revision `cbor:"5,keyasint"`
	// ExpiresMs is when the key is free again, by the log's time in Unix
	// milliseconds.
	ExpiresMs int64 `cbor:"6,keyasint"`
	// Answer is nil until the Outcome.
	Answer *Answer `cbor:"7,keyasint,omitempty"`
	// Released are claims that held the key before, newest last. A late
	// duplicate of one must not take the key again: nobody would answer it.
	Released []ClaimID `cbor:"8,keyasint,omitempty"`
	// Free is whether this claim was released too.
	Free bool `cbor:"9,keyasint,omitempty"`
	// ReleasedAt is the offset of the newest release of the key, 0 without one.
	ReleasedAt uint64 `cbor:"10,keyasint,omitempty"`
}

// maxReleased bounds Holder.Released.
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
	// Holder is who holds the key after the entry, nil when it is free. It must
	// not be changed.
	Holder *Holder
	// Repeated marks a second landing of the claim that holds the key. It gives
	// no second right to dispatch.
	Repeated bool
}

// NewTable returns the table before the first record.
func NewTable() *Table {
	return &Table{holders: map[Key]*Holder{}}
}

// Applied is the offset of the last folded record.
func (t *Table) Applied() uint64 { return t.applied }

// Skipped counts records that could not be read.
func (t *Table) Skipped() uint64 { return t.skipped }

// Now is the log's time of the newest record.
func (t *Table) Now() time.Time { return time.UnixMilli(t.nowMs) }

// Len is the number of keys that are held.
func (t *Table) Len() int { return len(t.holders) }

// State returns who holds a key; nil means that it is free. The result must not
// be changed.
func (t *Table) State(key Key) *Holder {
	if holder := t.holders[key]; holder != nil && !holder.Free {
		return holder
	}
	return nil
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
	for len(t.expiry) > 0 && t.expiry[0].atMs <= t.nowMs {
		ended := heap.Pop(&t.expiry).(expiry)
		// A released key is remembered from its release on, and may be held by a
		// later claim.
		holder := t.holders[ended.key]
		if holder != nil && holder.Revision == ended.claim && holder.ExpiresMs == ended.atMs {
			delete(t.holders, ended.key)
		}
	}
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
	r := Result{Key: c.Key, ID: c.ID, Revision: rev, Holder: t.State(c.Key)}
	switch holder := r.Holder; {
	case !c.valid():
		r.Verdict = VerdictInvalid
	case holder == nil && t.releasedSince(c):
		r.Verdict = VerdictStale
	case holder == nil:
		r.Verdict = VerdictApplied
		r.Holder = t.hold(rev, c)
	case holder.ID == c.ID:
		r.Verdict, r.Repeated = VerdictApplied, true
	case holder.Digest != c.Digest:
		r.Verdict = VerdictMismatch
	default:
		r.Verdict = VerdictTaken
	}
	return r
}

// releasedSince tells whether the claim was made before a release of its key
// that its request had not seen, or was itself released.
func (t *Table) releasedSince(c *Claim) bool {
	last := t.holders[c.Key]
	if last == nil {
		return false
	}
	unseen := c.Since != 0 && last.ReleasedAt >= c.Since
	return unseen || slices.Contains(last.Released, c.ID)
}

func (c *Claim) valid() bool {
	return c.Key.Customer != "" && c.Key.Key != "" && len(c.Key.Key) <= MaxKeyBytes &&
		c.ID.Claimer != "" && c.Digest != "" &&
		c.WindowMs >= MinWindow.Milliseconds() && c.WindowMs <= MaxWindow.Milliseconds()
}

// hold gives the key to the claim. What is known of earlier releases is kept for
// as long as they need, also with a shorter window.
func (t *Table) hold(rev Revision, c *Claim) *Holder {
	holder := &Holder{
		Key: c.Key, ID: c.ID, Digest: c.Digest, VM: c.VM, Revision: rev,
		ExpiresMs: t.nowMs + c.WindowMs,
	}
	if last := t.holders[c.Key]; last != nil {
		holder.Released, holder.ReleasedAt = last.Released, last.ReleasedAt
		holder.ExpiresMs = max(holder.ExpiresMs, last.ExpiresMs)
	}
	t.holders[c.Key] = holder
	t.expireLater(holder)
	return holder
}

func (t *Table) expireLater(holder *Holder) {
	heap.Push(&t.expiry, expiry{holder.ExpiresMs, holder.Key, holder.Revision})
}

func (t *Table) outcome(rev Revision, o *Outcome) Result {
	r := Result{Key: o.Key, Revision: rev, Holder: t.State(o.Key)}
	switch {
	case len(o.Answer.Body) > MaxBodyBytes:
		r.Verdict = VerdictInvalid
	case r.Holder == nil || r.Holder.Revision != o.Claim || r.Holder.Answer != nil:
		r.Verdict = VerdictStale
	default:
		r.Verdict = VerdictApplied
		r.Holder = t.change(r.Holder, func(h *Holder) { h.Answer = &o.Answer })
	}
	return r
}

// release frees the key by its claimer's word alone: another process can't know
// whether the call was dispatched.
func (t *Table) release(rev Revision, rel *Release) Result {
	r := Result{Key: rel.Key, ID: rel.ID, Revision: rev, Holder: t.State(rel.Key)}
	if r.Holder == nil || r.Holder.Revision != rel.Claim || r.Holder.ID != rel.ID || r.Holder.Answer != nil {
		r.Verdict = VerdictStale
		return r
	}
	r.Verdict = VerdictApplied
	freed := t.change(r.Holder, func(h *Holder) {
		h.Free = true
		h.ReleasedAt = rev.Offset()
		h.ExpiresMs = t.nowMs + ReleasedFor.Milliseconds()
		h.Released = append(slices.Clone(h.Released), h.ID)
		h.Released = h.Released[max(0, len(h.Released)-maxReleased):]
	})
	t.expireLater(freed)
	r.Holder = nil
	return r
}

// change puts a changed copy in a holder's place: readers may hold the old one.
func (t *Table) change(old *Holder, by func(*Holder)) *Holder {
	changed := *old
	by(&changed)
	t.holders[old.Key] = &changed
	return &changed
}
