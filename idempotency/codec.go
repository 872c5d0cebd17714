package idempotency

import (
	"encoding/binary"

	"github.com/zeebo/errs"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("idempotency")

// NewestFormat is the version of the encoding that Encode writes, and the
// newest that Decode reads; see state.NewestFormat. It is the first byte of a
// record. Format 1 is CBOR, whose first byte never has this value; see
// legacy.go.
const NewestFormat = 2

// The kinds of a record's entries. Each entry is its kind followed by its
// fields:
//
//	claim:   key, digest, claimer's number, sequence, window in ms, first unseen offset
//	outcome: key, claim's offset and index, answer
//	release: key, claim's offset and index, claimer's number, sequence
//	part:    a chunks.Chunk in CBOR, up to the record's end
//
// The claimers' names precede the first entry, so that a record of many claims
// of one process contains its name once. Numbers are variable-length, keys 16
// bytes, digests 8 bytes.
const (
	kindClaim = iota + 1
	kindOutcome
	kindRelease
	kindPart
)

// Encode encodes a record for the log.
func Encode(r Record) ([]byte, error) {
	if len(r.Entries) > MaxEntries {
		return nil, Error.New("%d entries in a record, at most %d", len(r.Entries), MaxEntries)
	}
	var claimers nameList
	var entries []byte
	for i := range r.Entries {
		var err error
		if entries, err = appendEntry(entries, &r.Entries[i], &claimers); err != nil {
			return nil, err
		}
	}
	data := append(claimers.append([]byte{NewestFormat}), entries...)
	if r.Snapshot == nil {
		return data, nil
	}
	part, err := wire.Marshal(r.Snapshot)
	return append(append(data, kindPart), part...), Error.Wrap(err)
}

func appendEntry(data []byte, e *Entry, claimers *nameList) ([]byte, error) {
	switch {
	case e.Claim != nil && e.Outcome == nil && e.Release == nil:
		return appendClaim(append(data, kindClaim), e.Claim, claimers), nil
	case e.Outcome != nil && e.Claim == nil && e.Release == nil:
		data = append(append(data, kindOutcome), e.Outcome.Key[:]...)
		return appendAnswer(appendRevision(data, e.Outcome.ClaimRevision), e.Outcome.Answer), nil
	case e.Release != nil && e.Claim == nil && e.Outcome == nil:
		data = append(append(data, kindRelease), e.Release.Key[:]...)
		return appendID(appendRevision(data, e.Release.ClaimRevision), e.Release.ID, claimers), nil
	}
	return nil, Error.New("an entry must be one of claim, outcome and release")
}

func appendClaim(data []byte, c *Claim, claimers *nameList) []byte {
	data = append(data, c.Key[:]...)
	data = binary.BigEndian.AppendUint64(data, uint64(c.Digest))
	data = appendID(data, c.ID, claimers)
	return appendUint(appendInt(data, c.WindowMs), c.FirstUnseen)
}

func appendID(data []byte, id ClaimID, claimers *nameList) []byte {
	return appendUint(appendUint(data, claimers.number(id.Claimer)), id.Sequence)
}

// Decode decodes a record of the log. It fails if the record is corrupt,
// truncated or of a newer format; every VM fails on the same records.
func Decode(data []byte) (Record, error) {
	if len(data) == 0 || data[0] != NewestFormat {
		return decodeLegacy(data)
	}
	r := &reader{data: data[1:]}
	claimers := r.names()
	var record Record
	for !r.failed && len(r.data) > 0 {
		kind := r.byte()
		if kind == kindPart {
			record.Snapshot = new(chunks.Chunk)
			return record, Error.Wrap(wire.UnmarshalRecord(r.data, record.Snapshot))
		}
		record.Entries = append(record.Entries, r.entry(kind, claimers))
		if len(record.Entries) > MaxEntries {
			return Record{}, Error.New("more than %d entries", MaxEntries)
		}
	}
	if r.failed {
		return Record{}, Error.New("malformed record of %d bytes", len(data))
	}
	return record, nil
}

func (r *reader) entry(kind byte, claimers []string) Entry {
	switch kind {
	case kindClaim:
		return Entry{Claim: &Claim{
			Key: r.key(), Digest: r.digest(), ID: r.id(claimers), WindowMs: r.int(), FirstUnseen: r.uint(),
		}}
	case kindOutcome:
		return Entry{Outcome: &Outcome{Key: r.key(), ClaimRevision: r.revision(), Answer: r.answer()}}
	case kindRelease:
		return Entry{Release: &Release{Key: r.key(), ClaimRevision: r.revision(), ID: r.id(claimers)}}
	}
	r.failed = true
	return Entry{}
}
