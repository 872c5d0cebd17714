package replica

import "bergamotreel/platformlog"

// maxRingRecords bounds the newest records kept, both for peers that are behind and
// to apply the records after a candidate again; see maxConfirmationSpan.
const maxRingRecords = 4096

// ring buffers the newest consecutive records of the stream, applied or not.
type ring struct {
	records []platformlog.Record
	// oldest is the index of the oldest record, which is overwritten next once the
	// ring is full.
	oldest int
}

// add appends a record. A record that does not follow the newest one clears the ring
// first.
func (r *ring) add(record platformlog.Record) {
	if n := len(r.records); n > 0 && r.at(n-1).Offset+1 != record.Offset {
		*r = ring{}
	}
	if len(r.records) < maxRingRecords {
		r.records = append(r.records, record)
		return
	}
	r.records[r.oldest] = record
	r.oldest = (r.oldest + 1) % maxRingRecords
}

// recordsFrom returns up to limit records from the offset on, oldest first. It reports
// whether the ring still holds the record at the offset.
func (r *ring) recordsFrom(offset platformlog.Offset, limit int) ([]platformlog.Record, bool) {
	if len(r.records) == 0 || r.at(0).Offset > offset {
		return nil, false
	}
	var records []platformlog.Record
	for i := int(offset - r.at(0).Offset); i < len(r.records) && len(records) < limit; i++ {
		records = append(records, r.at(i))
	}
	return records, true
}

func (r *ring) at(i int) platformlog.Record {
	return r.records[(r.oldest+i)%len(r.records)]
}
