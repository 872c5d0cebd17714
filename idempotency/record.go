// Package idempotency implements the state machine over the streams of claims.
// A request that may not be repeated is claimed there by its idempotency key
// before it is dispatched; the first claim in offset order wins on every entry
// VM. The package does no I/O and reads no clock: keys expire by the log's own
// time.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"

	"bergamotreel/internal/chunks"
)

// Revision is the position of a claim in its stream, like state.Revision in the
// control stream. Each shard of keys has its own stream, so revisions of keys
// in different shards can't be compared.
type Revision uint64

// revisionIndexBits is the number of low bits of a Revision that hold the index
// in a record.
const revisionIndexBits = 12

// MaxEntries bounds the entries that group commit puts into one record.
const MaxEntries = 1 << revisionIndexBits

// MakeRevision returns the revision of the entry with the given index in the
// record at an offset.
func MakeRevision(offset uint64, index int) Revision {
	return Revision(offset<<revisionIndexBits | uint64(index))
}

// Offset returns the offset of the record.
func (r Revision) Offset() uint64 { return uint64(r) >> revisionIndexBits }

// index returns the entry's index in its record.
func (r Revision) index() uint64 { return uint64(r) & (MaxEntries - 1) }

// keyBytes is the length of a Key.
const keyBytes = 16

// Key identifies a request for the whole of its window. It is the first half of
// a SHA-256 of the customer and the caller's Idempotency-Key.
//
// If two requests had the same Key, the second would not run: it would be
// refused as a key conflict, or get the first one's answer if their digests are
// equal too. Among the 60 million keys of a day, the probability of this is
// 5e-24. No one can target another customer's key, because that takes 2^128
// tries.
type Key [keyBytes]byte

// MaxKeyBytes bounds a caller's Idempotency-Key.
const MaxKeyBytes = 255

// KeyOf returns the key of a customer's Idempotency-Key.
func KeyOf(customer, key string) Key {
	h := sha256.New()
	writeParts(h, []byte(customer), []byte(key))
	return Key(h.Sum(nil)[:keyBytes])
}

// ShardOf returns which of n streams, counted from 0, holds a key.
func ShardOf(key Key, n int) int {
	if n <= 1 {
		return 0
	}
	return int(binary.BigEndian.Uint64(key[:]) % uint64(n))
}

// Digest distinguishes different requests that use the same key. It is the
// first 8 bytes of a SHA-256. A customer who finds two requests with the same
// digest and sends both with one key gets the first one's answer for both;
// other customers are not affected.
type Digest uint64

// DigestOf hashes the parts of a call that must be the same in a repeat.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	writeParts(h, []byte(method), []byte(path), body)
	return Digest(binary.BigEndian.Uint64(h.Sum(nil)))
}

// writeParts hashes each part preceded by its length, so that no two lists of
// parts share an encoding.
func writeParts(h hash.Hash, parts ...[]byte) {
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
}

// Record is the content of one log record: several entries, or one part of a
// snapshot.
type Record struct {
	Entries  []Entry
	Snapshot *chunks.Chunk
}

// Entry is one change of a key. Exactly one of the pointers is set.
type Entry struct {
	Claim   *Claim
	Outcome *Outcome
	Release *Release
}

// ClaimID identifies a claim, so that a retry after a lost answer is recognized
// as the same claim.
type ClaimID struct {
	// Claimer is unique to one run of one process of an entry VM.
	Claimer string `cbor:"1,keyasint"`
	// Sequence is different for each claim of the claimer.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Claim takes a key for one dispatch. It is applied only if the key is free.
type Claim struct {
	ID     ClaimID
	Key    Key
	Digest Digest
	// WindowMs is how long the key is remembered after the claim, in
	// milliseconds of the log's time.
	WindowMs int64
	// FirstUnseen is the first offset that the claimer's VM had not applied
	// when the request arrived there. The claim is applied only if the key was
	// not released at or after this offset. It is 0 in records of older code,
	// which lack this condition.
	//
	// The condition prevents a call from running after its caller was told "not
	// run": an earlier attempt's append hangs, a later attempt of the same call
	// is refused with "not run" and releases the key, and the caller books
	// elsewhere. Without the condition, the first claim would then be applied
	// to the free key, and the call would run too.
	FirstUnseen uint64
}

// isValid reports whether the claim is well formed.
func (c *Claim) isValid() bool {
	return c.ID.Claimer != "" && c.WindowMs >= MinWindow.Milliseconds() && c.WindowMs <= MaxWindow.Milliseconds()
}

// The bounds of a claim's window. MaxWindow must be below the log's retention
// or the period that snapshots cover.
const (
	MinWindow = time.Second
	MaxWindow = 7 * 24 * time.Hour
)

// ReleaseTTL is how long a release is remembered, by the log's time. For that
// long it rejects claims that were made before it and are applied late. A
// claimer must not dispatch a call that arrived longer ago than this. An append
// is retried for a minute at most, so a late claim is far within this time.
const ReleaseTTL = 15 * time.Minute

// Outcome stores the answer of a claimed call. It is applied only if the claim
// at ClaimRevision holds the key and has no outcome yet.
type Outcome struct {
	Key           Key
	ClaimRevision Revision
	Answer        Answer
}

// Release frees a key: its claimer states that the call was not dispatched and
// never will be under this claim. It is applied only if the claim at
// ClaimRevision holds the key, has the given ID and has no outcome.
type Release struct {
	Key           Key
	ClaimRevision Revision
	ID            ClaimID
}
