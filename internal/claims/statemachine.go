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
type stateMachine struct {
	table *idempotency.Table
	// result is told what each entry came to.
	onResult func(idempotency.Result)
	offsets  offsetHistory
}

func (f *stateMachine) Apply(r platformlog.Record) {
	results := f.table.Apply(uint64(r.Offset), r.Time, r.Data)
	f.offsets.add(time.Now(), f.table.Applied())
	for _, result := range results {
		f.onResult(result)
	}
}

func (f *stateMachine) Applied() platformlog.Offset { return platformlog.Offset(f.table.Applied()) }

func (f *stateMachine) Part(r platformlog.Record) *chunks.Chunk {
	record, err := idempotency.Decode(r.Data)
	if err != nil {
		return nil
	}
	return record.Snapshot
}

func (f *stateMachine) EncodePart(part chunks.Chunk) ([]byte, error) {
	data, err := idempotency.Encode(idempotency.Record{Snapshot: &part})
	return data, Error.Wrap(err)
}

func (f *stateMachine) Restore(parts []chunks.Chunk) error {
	restored, err := idempotency.Restore(parts)
	if err != nil {
		return Error.Wrap(err)
	}
	f.table = restored
	f.offsets.add(time.Now(), f.table.Applied())
	return nil
}

// Capture encodes at once, under the replica's lock.
func (f *stateMachine) Capture(writer string) replica.Encoder {
	parts, err := f.table.Snapshot(writer)
	return func() ([]chunks.Chunk, error) { return parts, Error.Wrap(err) }
}
