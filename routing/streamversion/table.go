// Package streamversion remembers at which software version streams began. What backend servers of
// two versions write doesn't fit together, so a stream that its caller takes up has to go on at the
// version that began it. The package does no I/O; the caller passes the time in.
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
// workspaces or services never share a name.
type Stream struct{ Workspace, Service, Request string }

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

// Record is the version at which a stream began.
type Record struct {
	Service, Version string
	BegunAt          time.Time
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

// Add adds the record of a stream unless there is one: the first event decides. It returns false if it
// doesn't, also because the table is full.
func (t *Table) Add(now time.Time, key Key, record Record) bool {
	t.expire(now)
	if _, known := t.records[key]; known || len(t.records) >= maxStreams || record.IsExpired(now) {
		return false
	}
	t.records[key] = record
	return true
}

// Version returns the version at which a stream began, false if it isn't known.
func (t *Table) Version(now time.Time, key Key) (string, bool) {
	record, known := t.records[key]
	return record.Version, known && !record.IsExpired(now)
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
