package replica

import "bergamotreel/platformlog"

// ringRecords bounds the newest records kept: for peers that lag, and to fold
// again what came after a bid; see rulingSpan.
const ringRecords = 4096

// ring keeps the newest records of the stream without a hole, whether they are
// folded or not.
type ring struct {
	records []platformlog.Record
	// next is where the oldest record is overwritten once the ring is full.
	next int
}

// add takes a record; one that does not follow the newest starts anew.
func (r *ring) add(record platformlog.Record) {
	if n := len(r.records); n > 0 && r.at(n-1).Offset+1 != record.Offset {
		*r = ring{}
	}
	if len(r.records) < ringRecords {
		r.records = append(r.records, record)
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % ringRecords
}

// from returns up to max records from the offset on, oldest first. It tells
// whether the ring reaches back that far.
func (r *ring) from(offset platformlog.Offset, max int) ([]platformlog.Record, bool) {
	if len(r.records) == 0 || r.at(0).Offset > offset {
		return nil, false
	}
	var out []platformlog.Record
	for i := int(offset - r.at(0).Offset); i < len(r.records) && len(out) < max; i++ {
		out = append(out, r.at(i))
	}
	return out, true
}

func (r *ring) at(i int) platformlog.Record {
	return r.records[(r.next+i)%len(r.records)]
}
