package idempotency

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// keyStore stores the keys of a table. A large fleet claims millions of keys a
// day, so each key takes one entry of 64 bytes without pointers, which a map
// from key to slot finds. Data that few keys have is stored separately:
// releases in a map, and answers that are more than a status in the bucket in
// which they expire. Only put, setAnswer and sweep change a store.
type keyStore struct {
	slots map[Key]slot
	// pages hold the entries. Growth adds a page and copies no entry. Slot 0 is
	// not used.
	pages []*[pageEntries]keyEntry
	// freeList is the first of the free entries, which are linked by next.
	freeList slot
	// lastSlot is the highest slot ever used.
	lastSlot slot
	claimers claimerNames
	releases map[slot]*releaseState
	// buckets hold the entries that expire within the same period of bucketMs,
	// by the number of the period.
	buckets map[int64]*bucket
	// lastSweep is the number of the bucket up to which the store was last
	// swept.
	lastSweep int64
}

const (
	pageEntries = 1024
	// bucketMs is the length of a bucket's period in milliseconds. Expired
	// entries are freed together at its end, but an entry counts as free from
	// its own expiry on.
	bucketMs = 10_000
)

// slot is the index of an entry; 0 is none.
type slot uint32

// keyEntry is the state of one key, in 64 bytes.
type keyEntry struct {
	key       Key
	digest    Digest
	revision  Revision
	sequence  uint64
	expiresMs int64
	// answer is noAnswer, a status with statusOnly, or 1 + the position of the
	// encoded answer in the bucket of expiresMs.
	answer  uint64
	claimer uint32
	// next is the next entry of the same bucket, or of the free list.
	next slot
}

const (
	noAnswer   = 0
	statusOnly = 1 << 63
)

// bucket is a list of entries to check when its period is over, and the answers
// of the entries that expire in that period.
type bucket struct {
	first   slot
	answers []byte
}

// releaseState is what is known of the releases of a key.
type releaseState struct {
	// free reports whether the latest claim of the key was released.
	free bool
	// offset is the offset of the newest release, 0 if a snapshot of an older
	// format did not contain it.
	offset uint64
	// ids are released claims of the key, newest last. A late duplicate of one
	// must not get the key again, because no one would dispatch or answer it.
	ids []ClaimID
}

// row is the complete state of one key.
type row struct {
	Holder
	release *releaseState
}

func newKeyStore() keyStore {
	return keyStore{slots: make(map[Key]slot), releases: make(map[slot]*releaseState), buckets: make(map[int64]*bucket)}
}

func (k *keyStore) entryAt(s slot) *keyEntry { return &k.pages[s/pageEntries][s%pageEntries] }

// find returns the key's row. It returns false if the key is unknown or has
// expired at nowMs.
func (k *keyStore) find(key Key, nowMs int64) (row, bool) {
	s, found := k.slots[key]
	if !found || k.entryAt(s).expiresMs <= nowMs {
		return row{}, false
	}
	return k.row(s), true
}

func (k *keyStore) row(s slot) row {
	e := k.entryAt(s)
	return row{release: k.releases[s], Holder: Holder{
		Key: e.key, ID: ClaimID{k.claimers.name(e.claimer), e.sequence}, Digest: e.digest, Revision: e.revision,
		ExpiresMs: e.expiresMs, Answer: k.answer(e),
	}}
}

func (k *keyStore) answer(e *keyEntry) *Answer {
	switch {
	case e.answer == noAnswer:
		return nil
	case e.answer&statusOnly != 0:
		return &Answer{Status: int(e.answer &^ statusOnly)}
	}
	r := reader{data: k.buckets[bucketOf(e.expiresMs)].answers[e.answer-1:]}
	a := r.answer()
	return &a
}

// put stores a row and replaces an earlier one of its key.
func (k *keyStore) put(r row) {
	s, found := k.slots[r.Key]
	if !found {
		s = k.allocate()
		k.slots[r.Key] = s
		b := k.bucket(r.ExpiresMs)
		k.entryAt(s).next, b.first = b.first, s
	} else {
		k.claimers.release(k.entryAt(s).claimer)
	}
	e := k.entryAt(s)
	e.key, e.digest, e.revision, e.sequence, e.expiresMs = r.Key, r.Digest, r.Revision, r.ID.Sequence, r.ExpiresMs
	e.claimer = k.claimers.acquire(r.ID.Claimer)
	e.answer = k.storeAnswer(r.Answer, r.ExpiresMs)
	delete(k.releases, s)
	if r.release != nil {
		k.releases[s] = r.release
	}
}

// setAnswer stores the answer of a known key.
func (k *keyStore) setAnswer(key Key, a *Answer) {
	e := k.entryAt(k.slots[key])
	e.answer = k.storeAnswer(a, e.expiresMs)
}

// storeAnswer stores an answer until its entry expires, and returns the entry's
// encoding of it; see keyEntry.answer.
func (k *keyStore) storeAnswer(a *Answer, expiresMs int64) uint64 {
	switch {
	case a == nil:
		return noAnswer
	case a.isStatusOnly() && a.Status >= 0:
		return statusOnly | uint64(a.Status)
	}
	b := k.bucket(expiresMs)
	position := uint64(len(b.answers)) + 1
	b.answers = appendAnswer(b.answers, *a)
	return position
}

// allocate returns a free slot.
func (k *keyStore) allocate() slot {
	if s := k.freeList; s != 0 {
		k.freeList = k.entryAt(s).next
		return s
	}
	k.lastSlot++
	if int(k.lastSlot/pageEntries) >= len(k.pages) {
		k.pages = append(k.pages, new([pageEntries]keyEntry))
	}
	return k.lastSlot
}

func bucketOf(ms int64) int64 { return ms / bucketMs }

func (k *keyStore) bucket(ms int64) *bucket {
	b := k.buckets[bucketOf(ms)]
	if b == nil {
		b = new(bucket)
		k.buckets[bucketOf(ms)] = b
	}
	return b
}

// sweep frees the expired entries of the buckets whose period is over.
func (k *keyStore) sweep(nowMs int64) {
	now := bucketOf(nowMs)
	if now == k.lastSweep {
		return
	}
	k.lastSweep = now
	for number, b := range k.buckets {
		if number < now {
			delete(k.buckets, number)
			k.sweepList(b.first, now)
		}
	}
}

func (k *keyStore) sweepList(s slot, now int64) {
	for s != 0 {
		e := k.entryAt(s)
		next := e.next
		if bucketOf(e.expiresMs) < now {
			k.remove(s)
		} else {
			// The key was claimed again or released since, and expires later.
			b := k.bucket(e.expiresMs)
			e.next, b.first = b.first, s
		}
		s = next
	}
}

// remove frees an entry, which must be in no bucket.
func (k *keyStore) remove(s slot) {
	e := k.entryAt(s)
	delete(k.slots, e.key)
	delete(k.releases, s)
	k.claimers.release(e.claimer)
	*e = keyEntry{next: k.freeList}
	k.freeList = s
}

// liveSlots returns the slots that expire after nowMs, in the order of their
// claims.
func (k *keyStore) liveSlots(nowMs int64) []slot {
	var live []slot
	for _, s := range k.slots {
		if k.entryAt(s).expiresMs > nowMs {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b slot) int {
		first, second := k.entryAt(a), k.entryAt(b)
		return cmp.Or(cmp.Compare(first.revision, second.revision), bytes.Compare(first.key[:], second.key[:]))
	})
	return live
}

// clone returns a copy that shares nothing that can change.
func (k *keyStore) clone() keyStore {
	c := *k
	c.slots, c.releases = maps.Clone(k.slots), maps.Clone(k.releases)
	c.pages = make([]*[pageEntries]keyEntry, len(k.pages))
	for i, page := range k.pages {
		copied := *page
		c.pages[i] = &copied
	}
	c.buckets = make(map[int64]*bucket, len(k.buckets))
	for number, b := range k.buckets {
		c.buckets[number] = &bucket{first: b.first, answers: slices.Clone(b.answers)}
	}
	c.claimers = k.claimers.clone()
	return c
}
