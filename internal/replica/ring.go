package replica

import "bergamotreel/platformlog"

// ring keeps the newest folded records, without a hole, for peers that lag.
type ring struct {
	records []platformlog.Record
	// next is where the oldest record is overwritten once the ring is full.
	next int
}

func (r *ring) add(record platformlog.Record) {
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
	for i := range r.records {
		if record := r.at(i); record.Offset >= offset && len(out) < max {
			out = append(out, record)
		}
	}
	return out, true
}

func (r *ring) at(i int) platformlog.Record {
	return r.records[(r.next+i)%len(r.records)]
}
