package claims

import (
	"bergamotreel/idempotency"
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
)

// fold makes an idempotency.Table the fold of a replica. The replica calls it
// under its lock.
type fold struct {
	table     *idempotency.Table
	collector idempotency.Collector
	// result is told what each entry came to.
	result func(idempotency.Result)
}

func (f *fold) Apply(r platformlog.Record) {
	for _, result := range f.table.Apply(uint64(r.Offset), r.Time, r.Data) {
		f.result(result)
	}
}

func (f *fold) Applied() platformlog.Offset { return platformlog.Offset(f.table.Applied()) }

func (f *fold) Collect(r platformlog.Record) (replica.Snapshot, bool) {
	record, err := idempotency.Decode(r.Data)
	if err != nil || record.Snapshot == nil || !f.collector.Add(*record.Snapshot) {
		return replica.Snapshot{}, false
	}
	newest := f.collector.Newest()
	f.collector = idempotency.Collector{}
	return replica.Snapshot{
		UpTo: platformlog.Offset(newest[0].UpTo), Gap: newest[0].Gap, Content: newest,
	}, true
}

func (f *fold) Restore(s replica.Snapshot) error {
	restored, err := restore(s.Content)
	if err != nil {
		return Error.Wrap(err)
	}
	f.table = restored
	return nil
}

func (f *fold) Snapshot(writer string, gap bool) ([][]byte, error) {
	parts, err := f.table.Snapshot(writer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	records := make([][]byte, len(parts))
	for i := range parts {
		parts[i].Gap = gap
		records[i], err = idempotency.Encode(idempotency.Record{Snapshot: &parts[i]})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return records, nil
}
