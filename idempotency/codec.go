package idempotency

import (
	"github.com/zeebo/errs"

	"bergamotreel/internal/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("idempotency")

// Format is the version of the encoding that this code writes, and the newest
// that it reads; see state.Format.
const Format = 1

// Encode encodes a record for the log.
func Encode(r Record) ([]byte, error) {
	if len(r.Entries) > MaxEntries {
		return nil, Error.New("%d entries in a record, at most %d", len(r.Entries), MaxEntries)
	}
	r.Format = Format
	data, err := wire.Marshal(r)
	return data, Error.Wrap(err)
}

// Decode decodes a record of the log. It fails on what is corrupt, truncated or
// of a newer format; every VM fails on the same records.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := wire.UnmarshalRecord(data, &r); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if r.Format < 1 || r.Format > Format {
		return Record{}, Error.New("format %d, this code reads up to %d", r.Format, Format)
	}
	if len(r.Entries) > MaxEntries {
		return Record{}, Error.New("%d entries, at most %d", len(r.Entries), MaxEntries)
	}
	return r, nil
}
