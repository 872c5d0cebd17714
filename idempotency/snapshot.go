package idempotency

import (
	"cmp"
	"container/heap"
	"slices"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/wire"
)

// Collector finds the newest complete snapshot among the records of a stream.
type Collector = chunks.Collector

// encoded is the canonical form of a table: equal tables encode to equal bytes.
type encoded struct {
	Applied uint64    `cbor:"1,keyasint"`
	Skipped uint64    `cbor:"2,keyasint"`
	NowMs   int64     `cbor:"3,keyasint"`
	Holders []*Holder `cbor:"4,keyasint"`
}

// Snapshot encodes the table just after Applied in chunks for the log.
func (t *Table) Snapshot(writer string) ([]chunks.Chunk, error) {
	data, err := t.encode()
	if err != nil {
		return nil, err
	}
	all, err := chunks.Split(data, writer, t.applied, chunks.Size)
	return all, Error.Wrap(err)
}

func (t *Table) encode() ([]byte, error) {
	e := encoded{Applied: t.applied, Skipped: t.skipped, NowMs: t.nowMs}
	for _, holder := range t.holders {
		e.Holders = append(e.Holders, holder)
	}
	slices.SortFunc(e.Holders, func(a, b *Holder) int { return cmp.Compare(a.Revision, b.Revision) })
	data, err := wire.Marshal(e)
	return data, Error.Wrap(err)
}

// Restore makes the table of a complete snapshot.
func Restore(all []chunks.Chunk) (*Table, error) {
	data, err := chunks.Join(all)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var e encoded
	if err := wire.UnmarshalSnapshot(data, &e); err != nil {
		return nil, Error.Wrap(err)
	}
	t := NewTable()
	t.applied, t.skipped, t.nowMs = e.Applied, e.Skipped, e.NowMs
	for _, holder := range e.Holders {
		if holder == nil {
			return nil, Error.New("snapshot with an empty entry")
		}
		t.holders[holder.Key] = holder
		heap.Push(&t.expiry, expiry{holder.ExpiresMs, holder.Key, holder.Revision})
	}
	return t, nil
}

// Clone returns a copy that shares nothing that Apply changes.
func (t *Table) Clone() *Table {
	c := NewTable()
	c.applied, c.skipped, c.nowMs = t.applied, t.skipped, t.nowMs
	for key, holder := range t.holders {
		c.holders[key] = holder
	}
	c.expiry = slices.Clone(t.expiry)
	return c
}
