// Package idempotency is the pure fold over the streams of claims. A request
// that may not be repeated is claimed there by its idempotency key before it is
// dispatched; the first claim in offset order wins on every entry VM. The
// package does no I/O and reads no clock: keys expire by the log's own time.
package idempotency

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

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

// Key names a request for all time of its window: the customer keeps the keys
// of different customers apart.
type Key struct {
	Customer string `json:"c" cbor:"1,keyasint"`
	// Key is the caller's Idempotency-Key.
	Key string `json:"k" cbor:"2,keyasint"`
}

// MaxKeyBytes bounds a caller's idempotency key.
const MaxKeyBytes = 255

// Shard tells which of n streams holds a key, from 0.
func Shard(key Key, n int) int {
	if n <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(key.Customer+"\x00"+key.Key) % uint64(n))
}

// Digest tells apart two requests that were sent with one key: a SHA-256 in
// base64, a third shorter than in hex.
type Digest string

// DigestOf hashes what makes a call the same call. Each part is preceded by its
// length, so that no two calls share an encoding.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Digest(base64.RawURLEncoding.EncodeToString(h.Sum(nil)))
}

// Record is the content of one log record: several entries, or one part of a
// snapshot.
type Record struct {
	// Format is the version of the encoding; a newer one is skipped and counted.
	Format   int           `json:"f" cbor:"1,keyasint"`
	Entries  []Entry       `json:"es,omitempty" cbor:"2,keyasint,omitempty"`
	Snapshot *chunks.Chunk `json:"sn,omitempty" cbor:"3,keyasint,omitempty"`
}

// Entry is one change of a key. Exactly one of the pointers is set.
type Entry struct {
	Claim   *Claim   `json:"claim,omitempty" cbor:"1,keyasint,omitempty"`
	Outcome *Outcome `json:"out,omitempty" cbor:"2,keyasint,omitempty"`
	Release *Release `json:"rel,omitempty" cbor:"3,keyasint,omitempty"`
}

// ClaimID identifies a claim, so that a retry after a lost answer is known to be
// the same claim.
type ClaimID struct {
	// Claimer is unique to one start of one process of an entry VM.
	Claimer string `json:"p" cbor:"1,keyasint"`
	// Sequence differs for each claim of the claimer.
	Sequence uint64 `json:"s" cbor:"2,keyasint"`
}

// Claim takes a key for one dispatch. It lands only if the key is free.
type Claim struct {
	ID     ClaimID `json:"id" cbor:"1,keyasint"`
	Key    Key     `json:"key" cbor:"2,keyasint"`
	Digest Digest  `json:"d" cbor:"3,keyasint"`
	// VM is the claimer's VM, for the operators.
	VM string `json:"vm,omitempty" cbor:"4,keyasint,omitempty"`
	// WindowMs is how long the key is remembered, in milliseconds of the log's
	// time from the claim on.
	WindowMs int64 `json:"w" cbor:"5,keyasint"`
	// Since is the first offset that the claimer's VM had not folded when the
	// request arrived there. The claim lands only if the key was not released at
	// or after it. 0 in a record of older code: no such condition.
	//
	// Failure: an earlier arrival's append hangs; a later arrival of the same call
	// is told "not run" and releases the key, and the caller books elsewhere. Then
	// the first claim lands on the free key and books too.
	Since uint64 `json:"s,omitempty" cbor:"6,keyasint,omitempty"`
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
const ReleasedFor = 15 * time.Minute

// Outcome stores the answer of a claimed call. It lands only if Claim holds the
// key and has no outcome yet.
type Outcome struct {
	Key    Key      `json:"key" cbor:"1,keyasint"`
	Claim  Revision `json:"claim" cbor:"2,keyasint"`
	Answer Answer   `json:"a" cbor:"3,keyasint"`
}

// Answer is the stored answer of a call.
type Answer struct {
	// Status is the HTTP status, 0 when the call may have run and its answer was
	// lost.
	Status int `json:"st,omitempty" cbor:"1,keyasint,omitempty"`
	// Header holds the few headers that a repeated answer needs, by name.
	Header map[string]string `json:"h,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte            `json:"b,omitempty" cbor:"3,keyasint,omitempty"`
	// BodySHA256 stands for a body above MaxBodyBytes, in hex.
	BodySHA256 string `json:"bh,omitempty" cbor:"4,keyasint,omitempty"`
}

// MaxBodyBytes bounds a stored body: an answer above it is known only by its
// hash, and a repeat is told that the call ran.
const MaxBodyBytes = 64 << 10

// Unknown tells whether the answer was lost after the call was sent.
func (a Answer) Unknown() bool { return a.Status == 0 }

// MakeAnswer makes the stored form of an answer.
func MakeAnswer(status int, header map[string]string, body []byte) Answer {
	a := Answer{Status: status, Header: header, Body: body}
	if len(body) > MaxBodyBytes {
		sum := sha256.Sum256(body)
		a.Body, a.BodySHA256 = nil, hex.EncodeToString(sum[:])
	}
	return a
}

// Release frees a key: its claimer says that the call was not dispatched and
// never will be under this claim. It lands only if Claim holds the key, ID is
// that claim's own and it has no outcome.
type Release struct {
	Key   Key      `json:"key" cbor:"1,keyasint"`
	Claim Revision `json:"claim" cbor:"2,keyasint"`
	ID    ClaimID  `json:"id" cbor:"3,keyasint"`
}
