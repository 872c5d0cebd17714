package claims

import (
	"time"

	"bergamotreel/idempotency"
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
)

// stateMachine implements replica.StateMachine with an idempotency.Table. The
// replica calls it with its lock held.
type stateMachine struct {
	table *idempotency.Table
	// onResult is called with the result of each applied entry.
	onResult func(idempotency.Result)
	offsets  offsetHistory
}

func (m *stateMachine) Apply(r platformlog.Record) {
	results := m.table.Apply(uint64(r.Offset), r.Time, r.Data)
	m.offsets.add(time.Now(), m.table.Applied())
	for _, result := range results {
		m.onResult(result)
	}
}

func (m *stateMachine) Applied() platformlog.Offset { return platformlog.Offset(m.table.Applied()) }

func (m *stateMachine) DecodePart(r platformlog.Record) *chunks.Chunk {
	record, err := idempotency.Decode(r.Data)
	if err != nil {
		return nil
	}
	return record.Snapshot
}

func (m *stateMachine) EncodePart(part chunks.Chunk) ([]byte, error) {
	data, err := idempotency.Encode(idempotency.Record{Snapshot: &part})
	return data, Error.Wrap(err)
}

func (m *stateMachine) Restore(parts []chunks.Chunk) error {
	restored, err := idempotency.Restore(parts)
	if err != nil {
		return Error.Wrap(err)
	}
	m.table = restored
	m.offsets.add(time.Now(), m.table.Applied())
	return nil
}

// Capture encodes the table immediately, while the replica's lock is held.
func (m *stateMachine) Capture(writer string) replica.Encoder {
	parts, err := m.table.Snapshot(writer)
	return func() ([]chunks.Chunk, error) { return parts, Error.Wrap(err) }
}
