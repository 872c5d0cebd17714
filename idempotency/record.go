// Package idempotency is the pure fold over the streams of claims. A request
// that may not be repeated is claimed there by its idempotency key before it is
// dispatched; the first claim in offset order wins on every entry VM. The
// package does no I/O and reads no clock: keys expire by the log's own time.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"

	"bergamotreel/internal/chunks"
)

// Revision is the place of a claim in its stream, as state.Revision is in the
// control stream. A shard of a key has its own stream, so revisions of keys in
// different shards can't be compared.
type Revision uint64

// revisionIndexBits is how many low bits hold the index inside one record.
const revisionIndexBits = 12

// MaxEntries bounds the entries of one record (group commit).
const MaxEntries = 1 << revisionIndexBits

// MakeRevision joins a record's offset and the index of an entry in it.
func MakeRevision(offset uint64, index int) Revision {
	return Revision(offset<<revisionIndexBits | uint64(index))
}

// Offset is the offset of the record.
func (r Revision) Offset() uint64 { return uint64(r) >> revisionIndexBits }

// index is the entry's index in its record.
func (r Revision) index() uint64 { return uint64(r) & (MaxEntries - 1) }

// keyBytes is the length of a Key.
const keyBytes = 16

// Key names a request for all time of its window: the first half of a SHA-256 of
// the customer and the caller's Idempotency-Key.
//
// Two names with one Key would be taken for one: the second request would be
// told "key conflict, not run" (or the first one's answer, if it asks for the
// same), and never run twice. Among 60 million keys of a day that happens with a
// probability of 5e-24; nobody can aim at another customer's key, as that takes
// 2^128 tries.
type Key [keyBytes]byte

// MaxKeyBytes bounds a caller's idempotency key.
const MaxKeyBytes = 255

// KeyOf returns the key of a customer's Idempotency-Key.
func KeyOf(customer, key string) Key {
	h := sha256.New()
	writeParts(h, []byte(customer), []byte(key))
	return Key(h.Sum(nil)[:keyBytes])
}

// Shard tells which of n streams holds a key, from 0.
func ShardOf(key Key, n int) int {
	if n <= 1 {
		return 0
	}
	return int(binary.BigEndian.Uint64(key[:]) % uint64(n))
}

// Digest tells apart two requests that were sent with one key: the first 8
// bytes of a SHA-256. A customer who finds two requests with one digest gets, by
// sending both under one key, the first one's answer to both; nobody else is
// concerned.
type Digest uint64

// DigestOf hashes what makes a call the same call.
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

// ClaimID identifies a claim, so that a retry after a lost answer is known to be
// the same claim.
type ClaimID struct {
	// Claimer is unique to one start of one process of an entry VM.
	Claimer string `cbor:"1,keyasint"`
	// Sequence differs for each claim of the claimer.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Claim takes a key for one dispatch. It lands only if the key is free.
type Claim struct {
	ID     ClaimID
	Key    Key
	Digest Digest
	// WindowMs is how long the key is remembered, in milliseconds of the log's
	// time from the claim on.
	WindowMs int64
	// Since is the first offset that the claimer's VM had not folded when the
	// request arrived there. The claim lands only if the key was not released at
	// or after it. 0 in a record of older code: no such condition.
	//
	// Failure: an earlier arrival's append hangs; a later arrival of the same call
	// is told "not run" and releases the key, and the caller books elsewhere. Then
	// the first claim lands on the free key and books too.
	FirstUnseen uint64
}

// valid tells whether the claim is well formed.
func (c *Claim) isValid() bool {
	return c.ID.Claimer != "" && c.WindowMs >= MinWindow.Milliseconds() && c.WindowMs <= MaxWindow.Milliseconds()
}

// Window bounds of a claim. MaxWindow must be below the log's retention or the
// snapshots' reach.
const (
	MinWindow = time.Second
	MaxWindow = 7 * 24 * time.Hour
)

// ReleasedFor is how long a release is remembered, by the log's time: it turns
// away claims that were made before it and land late. A claimer must not
// dispatch a call that arrived longer ago than this; an append is repeated for
// a minute at most, so that none comes near it.
const ReleaseTTL = 15 * time.Minute

// Outcome stores the answer of a claimed call. It lands only if Claim holds the
// key and has no outcome yet.
type Outcome struct {
	Key           Key
	ClaimRevision Revision
	Answer        Answer
}

// Release frees a key: its claimer says that the call was not dispatched and
// never will be under this claim. It lands only if Claim holds the key, ID is
// that claim's own and it has no outcome.
type Release struct {
	Key           Key
	ClaimRevision Revision
	ID            ClaimID
}
