package idempotency

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// held stores the keys of a table: a day's bookings of a large fleet are
// millions, so that each takes one entry of 64 bytes without pointers, found by
// a map from key to slot. What few keys have stands beside: releases in a map,
// answers that are more than a status in the bytes of the bucket in which they
// end. Only put, remove and sweep change it.
type keyStore struct {
	slots map[Key]slot
	// pages hold the entries, so that growth copies none. Slot 0 is not used.
	pages []*[pageEntries]keyEntry
	// unused is the first of the entries that are free to be used again.
	freeList slot
	// taken is how many slots were ever in use.
	highestSlot slot
	claimers    claimerNames
	releases    map[slot]*releaseState
	// buckets hold what ends in the same bucketMs, by number.
	buckets map[int64]*bucket
	// swept is the number of the bucket at which the last sweep stopped.
	lastSweep int64
}

const (
	pageEntries = 1024
	// bucketMs is the time, in milliseconds, after which entries are freed
	// together. An entry counts as free from its own end on.
	bucketMs = 10_000
)

// slot is the place of an entry; 0 is none.
type slot uint32

// entry is one key. Its size is 64 bytes.
type keyEntry struct {
	key       Key
	digest    Digest
	revision  Revision
	sequence  uint64
	expiresMs int64
	// answer is noAnswer, a status with bareAnswer, or 1 + the place of the
	// encoded answer in the bucket of expiresMs.
	answer  uint64
	claimer uint32
	// next is the next entry of its bucket, or of the unused ones.
	next slot
}

const (
	noAnswer   = 0
	statusOnly = 1 << 63
)

// bucket is a list of entries to look at when its time is over, and the answers
// of entries that end in that time.
type bucket struct {
	first   slot
	answers []byte
}

// release is what is known of the releases of a key.
type releaseState struct {
	// free is whether the claim that held the key last was released.
	free bool
	// at is the offset of the newest release, 0 if an older format didn't say.
	offset uint64
	// ids are claims that held the key before, newest last. A late duplicate of
	// one must not take the key again: nobody would answer it.
	ids []ClaimID
}

// row is all about one key.
type row struct {
	Holder
	release *releaseState
}

func newKeyStore() keyStore {
	return keyStore{slots: make(map[Key]slot), releases: make(map[slot]*releaseState), buckets: make(map[int64]*bucket)}
}

func (h *keyStore) entryAt(s slot) *keyEntry { return &h.pages[s/pageEntries][s%pageEntries] }

// find returns the key's row; false if there is none that ends after now.
func (h *keyStore) find(key Key, nowMs int64) (row, bool) {
	s, known := h.slots[key]
	if !known || h.entryAt(s).expiresMs <= nowMs {
		return row{}, false
	}
	return h.row(s), true
}

func (h *keyStore) row(s slot) row {
	e := h.entryAt(s)
	return row{release: h.releases[s], Holder: Holder{
		Key: e.key, ID: ClaimID{h.claimers.name(e.claimer), e.sequence}, Digest: e.digest, Revision: e.revision,
		ExpiresMs: e.expiresMs, Answer: h.answer(e),
	}}
}

func (h *keyStore) answer(e *keyEntry) *Answer {
	switch {
	case e.answer == noAnswer:
		return nil
	case e.answer&statusOnly != 0:
		return &Answer{Status: int(e.answer &^ statusOnly)}
	}
	r := reader{data: h.buckets[bucketOf(e.expiresMs)].answers[e.answer-1:]}
	a := r.answer()
	return &a
}

// put stores a row in the place of an earlier one of its key.
func (h *keyStore) put(r row) {
	s, known := h.slots[r.Key]
	if !known {
		s = h.allocate()
		h.slots[r.Key] = s
		b := h.bucket(r.ExpiresMs)
		h.entryAt(s).next, b.first = b.first, s
	} else {
		h.claimers.release(h.entryAt(s).claimer)
	}
	e := h.entryAt(s)
	e.key, e.digest, e.revision, e.sequence, e.expiresMs = r.Key, r.Digest, r.Revision, r.ID.Sequence, r.ExpiresMs
	e.claimer = h.claimers.acquire(r.ID.Claimer)
	e.answer = h.storeAnswer(r.Answer, r.ExpiresMs)
	delete(h.releases, s)
	if r.release != nil {
		h.releases[s] = r.release
	}
}

// setAnswer stores the answer of a key that is there.
func (h *keyStore) setAnswer(key Key, a *Answer) {
	e := h.entryAt(h.slots[key])
	e.answer = h.storeAnswer(a, e.expiresMs)
}

// keep stores an answer until its entry ends.
func (h *keyStore) storeAnswer(a *Answer, expiresMs int64) uint64 {
	switch {
	case a == nil:
		return noAnswer
	case a.isStatusOnly() && a.Status >= 0:
		return statusOnly | uint64(a.Status)
	}
	b := h.bucket(expiresMs)
	place := uint64(len(b.answers)) + 1
	b.answers = appendAnswer(b.answers, *a)
	return place
}

// take returns a slot that is not in use.
func (h *keyStore) allocate() slot {
	if s := h.freeList; s != 0 {
		h.freeList = h.entryAt(s).next
		return s
	}
	h.highestSlot++
	if int(h.highestSlot/pageEntries) >= len(h.pages) {
		h.pages = append(h.pages, new([pageEntries]keyEntry))
	}
	return h.highestSlot
}

func bucketOf(ms int64) int64 { return ms / bucketMs }

func (h *keyStore) bucket(ms int64) *bucket {
	b := h.buckets[bucketOf(ms)]
	if b == nil {
		b = new(bucket)
		h.buckets[bucketOf(ms)] = b
	}
	return b
}

// sweep frees the entries of the buckets whose time is over.
func (h *keyStore) sweep(nowMs int64) {
	now := bucketOf(nowMs)
	if now == h.lastSweep {
		return
	}
	h.lastSweep = now
	for number, b := range h.buckets {
		if number < now {
			delete(h.buckets, number)
			h.sweepList(b.first, now)
		}
	}
}

func (h *keyStore) sweepList(s slot, now int64) {
	for s != 0 {
		e := h.entryAt(s)
		next := e.next
		if bucketOf(e.expiresMs) < now {
			h.remove(s)
		} else {
			// Its key was claimed again, or released, meanwhile.
			b := h.bucket(e.expiresMs)
			e.next, b.first = b.first, s
		}
		s = next
	}
}

// remove frees the entry, which is in no list.
func (h *keyStore) remove(s slot) {
	e := h.entryAt(s)
	delete(h.slots, e.key)
	delete(h.releases, s)
	h.claimers.release(e.claimer)
	*e = keyEntry{next: h.freeList}
	h.freeList = s
}

// all returns the rows that end after now, in the order of their claims.
func (h *keyStore) liveSlots(nowMs int64) []slot {
	var live []slot
	for _, s := range h.slots {
		if h.entryAt(s).expiresMs > nowMs {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b slot) int {
		one, other := h.entryAt(a), h.entryAt(b)
		return cmp.Or(cmp.Compare(one.revision, other.revision), bytes.Compare(one.key[:], other.key[:]))
	})
	return live
}

// clone copies all that put, remove and sweep change.
func (h *keyStore) clone() keyStore {
	c := *h
	c.slots, c.releases = maps.Clone(h.slots), maps.Clone(h.releases)
	c.pages = make([]*[pageEntries]keyEntry, len(h.pages))
	for i, page := range h.pages {
		copied := *page
		c.pages[i] = &copied
	}
	c.buckets = make(map[int64]*bucket, len(h.buckets))
	for number, b := range h.buckets {
		c.buckets[number] = &bucket{first: b.first, answers: slices.Clone(b.answers)}
	}
	c.claimers = h.claimers.clone()
	return c
}
