package state

import (
	"github.com/zeebo/errs"

	"bergamotreel/internal/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("state")

// NewestFormat is the newest version of the encoding that this code reads. A record is
// written in the oldest format that can hold it. A fleet is upgraded in two steps:
// first every VM gets code that reads the new format, then one of them may write
// it; a VM that skips a record that others fold would have another state.
//
// NewestFormat 2 has SessionsRenew. Only fleets that are cut into groups write it (more
// than digest.DefaultTopology.FlatBound VMs), so a smaller fleet is upgraded VM by
// VM, and must not grow beyond that before the last one has this code.
const NewestFormat = 2

// formatFirst holds all kinds of proposals but SessionsRenew.
const formatFirst = 1

// Encode encodes a record for the log.
func Encode(r Record) ([]byte, error) {
	if len(r.Proposals) > MaxProposals {
		return nil, Error.New("%d proposals in a record, at most %d", len(r.Proposals), MaxProposals)
	}
	r.Format = r.oldestFormat()
	data, err := wire.Marshal(r)
	return data, Error.Wrap(err)
}

// oldestFormat is the oldest format that can hold the record.
func (r Record) oldestFormat() int {
	for i := range r.Proposals {
		if r.Proposals[i].SessionsRenew != nil {
			return NewestFormat
		}
	}
	return formatFirst
}

// Decode decodes a record of the log. It fails on what is corrupt, truncated or
// of a newer format; every VM fails on the same records.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := wire.UnmarshalRecord(data, &r); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if r.Format < 1 || r.Format > NewestFormat {
		return Record{}, Error.New("format %d, this code reads up to %d", r.Format, NewestFormat)
	}
	if len(r.Proposals) > MaxProposals {
		return Record{}, Error.New("%d proposals, at most %d", len(r.Proposals), MaxProposals)
	}
	return r, nil
}
