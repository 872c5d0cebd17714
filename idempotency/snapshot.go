package idempotency

import (
	"encoding/binary"

	"bergamotreel/internal/chunks"
)

// Collector finds the newest complete snapshot among the records of a stream.
type Collector = chunks.Collector

// Snapshot encodes the table as of Applied in chunks for the log.
func (t *Table) Snapshot(writer string) ([]chunks.Chunk, error) {
	parts, err := chunks.Split(t.encode(), writer, t.applied, chunks.MaxChunkBytes)
	return parts, Error.Wrap(err)
}

// The flags of a row in a snapshot.
const (
	hasAnswer = 1 << iota
	hasRelease
	isFreed
)

// encode returns the canonical form of the table: equal tables encode to equal
// bytes. The format is followed by the counters, the claimers' names in the
// order of their first claim, and the rows in the order of their claims.
// Revisions and expiry times are encoded as the difference to the previous row.
func (t *Table) encode() []byte {
	var claimers nameList
	var rows []byte
	var previous Holder
	live := t.keys.liveSlots(t.nowMs)
	for _, s := range live {
		stored := t.keys.row(s)
		rows = appendRow(rows, stored, previous, &claimers)
		previous = stored.Holder
	}
	data := appendUint(appendUint([]byte{NewestFormat}, t.applied), t.skipped)
	data = claimers.append(appendInt(data, t.nowMs))
	return append(appendUint(data, uint64(len(live))), rows...)
}

func appendRow(data []byte, r row, previous Holder, claimers *nameList) []byte {
	flags := byte(0)
	if r.Answer != nil {
		flags |= hasAnswer
	}
	if r.release != nil {
		flags |= hasRelease
		if r.release.free {
			flags |= isFreed
		}
	}
	data = append(append(data, flags), r.Key[:]...)
	data = binary.BigEndian.AppendUint64(data, uint64(r.Digest))
	data = appendUint(data, uint64(r.Revision-previous.Revision))
	data = appendInt(data, r.ExpiresMs-previous.ExpiresMs)
	data = appendID(data, r.ID, claimers)
	if r.Answer != nil {
		data = appendAnswer(data, *r.Answer)
	}
	if r.release != nil {
		data = appendUint(appendUint(data, r.release.offset), uint64(len(r.release.ids)))
		for _, id := range r.release.ids {
			data = appendID(data, id, claimers)
		}
	}
	return data
}

func (r *reader) row(previous Holder, claimers []string) (decoded row) {
	flags := r.byte()
	decoded.Key, decoded.Digest = r.key(), r.digest()
	decoded.Revision = previous.Revision + Revision(r.uint())
	decoded.ExpiresMs = previous.ExpiresMs + r.int()
	decoded.ID = r.id(claimers)
	if flags&hasAnswer != 0 {
		a := r.answer()
		decoded.Answer = &a
	}
	if flags&hasRelease != 0 {
		decoded.release = &releaseState{free: flags&isFreed != 0, offset: r.uint()}
		for n := r.uint(); n > 0 && !r.failed; n-- {
			decoded.release.ids = append(decoded.release.ids, r.id(claimers))
		}
	}
	return decoded
}

// Restore returns the table of a complete snapshot.
func Restore(parts []chunks.Chunk) (*Table, error) {
	data, err := chunks.Join(parts)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) == 0 || data[0] != NewestFormat {
		return restoreLegacy(data)
	}
	r := &reader{data: data[1:]}
	t := NewTable()
	t.applied, t.skipped, t.nowMs = r.uint(), r.uint(), r.int()
	claimers := r.names()
	var previous Holder
	for rows := r.uint(); rows > 0 && !r.failed; rows-- {
		restored := r.row(previous, claimers)
		t.keys.put(restored)
		previous = restored.Holder
	}
	if r.failed || len(r.data) > 0 {
		return nil, Error.New("malformed snapshot of %d bytes", len(data))
	}
	return t, nil
}

// Clone returns a copy that shares nothing that Apply changes.
func (t *Table) Clone() *Table {
	c := *t
	c.keys = t.keys.clone()
	return &c
}
