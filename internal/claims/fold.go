package claims

import (
	"time"

	"bergamotreel/idempotency"
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
)

// fold makes an idempotency.Table the fold of a replica. The replica calls it
// under its lock.
type fold struct {
	table *idempotency.Table
	// result is told what each entry came to.
	result func(idempotency.Result)
	marks  marks
}

func (f *fold) Apply(r platformlog.Record) {
	results := f.table.Apply(uint64(r.Offset), r.Time, r.Data)
	f.marks.folded(time.Now(), f.table.Applied())
	for _, result := range results {
		f.result(result)
	}
}

func (f *fold) Applied() platformlog.Offset { return platformlog.Offset(f.table.Applied()) }

func (f *fold) DecodePart(r platformlog.Record) *chunks.Chunk {
	record, err := idempotency.Decode(r.Data)
	if err != nil {
		return nil
	}
	return record.Snapshot
}

func (f *fold) EncodePart(part chunks.Chunk) ([]byte, error) {
	data, err := idempotency.Encode(idempotency.Record{Snapshot: &part})
	return data, Error.Wrap(err)
}

func (f *fold) Restore(parts []chunks.Chunk) error {
	restored, err := idempotency.Restore(parts)
	if err != nil {
		return Error.Wrap(err)
	}
	f.table = restored
	f.marks.folded(time.Now(), f.table.Applied())
	return nil
}

// Capture encodes at once, under the replica's lock.
func (f *fold) Capture(writer string) replica.Encoder {
	parts, err := f.table.Snapshot(writer)
	return func() ([]chunks.Chunk, error) { return parts, Error.Wrap(err) }
}
