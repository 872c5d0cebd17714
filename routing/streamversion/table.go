// Package streamversion remembers at which software version, and with which weights of their model, streams
// began. What backend servers of two versions write doesn't fit together, so a stream that its caller takes up
// has to go on at the version that began it. The package does no I/O; the caller passes the time in.
package streamversion

import (
	"crypto/sha256"
	"maps"
	"time"
)

const (
	// TTL is how long a stream is remembered: longer than a caller may take for a request with all
	// of its attempts.
	TTL = time.Minute
	// maxStreams bounds the streams of a Table, about 100 bytes each.
	maxStreams = 1 << 16
)

// Stream identifies a stream by the request that brought its first event. Streams of different
// workspaces or services never share a name. Model, empty for a plain service's, adds nothing to its identity.
type Stream struct{ Workspace, Service, Model, Request string }

// Key is a hash of a Stream.
type Key [8]byte

// Key returns the stream's key.
func (s Stream) Key() Key {
	hash := sha256.New()
	for _, part := range []string{s.Workspace, s.Service} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write([]byte(s.Request))
	return Key(hash.Sum(nil)[:len(Key{})])
}

// Record is where a stream began.
type Record struct {
	Service, Version string
	// Model is known where the stream began only.
	Model string
	// Weights is the version of the model's weights, 0 if unknown.
	Weights int64
	BegunAt time.Time
}

// IsExpired reports whether the stream can't be taken up any more.
func (r *Record) IsExpired(now time.Time) bool { return now.Sub(r.BegunAt) >= TTL }

// Table holds the records of streams for TTL. It is not safe for concurrent use.
type Table struct {
	records   map[Key]Record
	expiredAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Key]Record)} }

// Add adds the record of a stream unless there is one: the first event decides. A version of the weights is replaced
// by a higher one, as an engine may load newer ones while it writes the stream. Add returns false if it changes
// nothing, also because the table is full.
func (t *Table) Add(now time.Time, key Key, record Record) bool {
	t.expire(now)
	if before, known := t.records[key]; known {
		if before.Version != record.Version || before.Weights >= record.Weights {
			return false
		}
		before.Weights = record.Weights
		t.records[key] = before
		return true
	}
	if len(t.records) >= maxStreams || record.IsExpired(now) {
		return false
	}
	t.records[key] = record
	return true
}

// Origin returns where a stream began, false if it isn't known.
func (t *Table) Origin(now time.Time, key Key) (Origin, bool) {
	record, known := t.records[key]
	return Origin{Version: record.Version, Weights: record.Weights}, known && !record.IsExpired(now)
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// ExpireInterval is the time between two searches for expired records.
const ExpireInterval = TTL / 8

func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < ExpireInterval {
		return
	}
	t.expiredAt = now
	maps.DeleteFunc(t.records, func(_ Key, r Record) bool { return r.IsExpired(now) })
}
