package state

import (
	"github.com/zeebo/errs"

	"bergamotreel/internal/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("state")

// NewestFormat is the newest version of the encoding that this code reads. A record
// is written in the oldest format that can hold it. A fleet is upgraded in two
// steps: first every VM gets code that reads the new format, and only then may a VM
// write it. A VM that skipped a record that others apply would have a different
// state.
//
// Format 2 adds SessionsRenew. Only fleets that are divided into groups (more than
// digest.DefaultTopology.MaxFlatVMs VMs) write it. A smaller fleet is therefore
// upgraded VM by VM and must not exceed that size before its last VM has this code.
const NewestFormat = 2

// firstFormat can hold all kinds of proposals except SessionsRenew.
const firstFormat = 1

// Encode encodes a record for the log.
func Encode(r Record) ([]byte, error) {
	if len(r.Proposals) > MaxProposals {
		return nil, Error.New("record has %d proposals, at most %d allowed", len(r.Proposals), MaxProposals)
	}
	r.Format = r.oldestFormat()
	data, err := wire.Marshal(r)
	return data, Error.Wrap(err)
}

// oldestFormat returns the oldest format that can hold the record.
func (r Record) oldestFormat() int {
	for i := range r.Proposals {
		if r.Proposals[i].SessionsRenew != nil {
			return NewestFormat
		}
	}
	return firstFormat
}

// Decode decodes a record of the log. It fails on records that are corrupt,
// truncated or of a newer format. Every VM fails on the same records.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := wire.UnmarshalRecord(data, &r); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if r.Format < 1 || r.Format > NewestFormat {
		return Record{}, Error.New("format %d, this code reads up to %d", r.Format, NewestFormat)
	}
	if len(r.Proposals) > MaxProposals {
		return Record{}, Error.New("record has %d proposals, at most %d allowed", len(r.Proposals), MaxProposals)
	}
	return r, nil
}
