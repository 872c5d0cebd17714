package control

import (
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
	"bergamotreel/state"
)

// stateMachine implements replica.StateMachine with a state.State. The replica calls it
// under its lock.
type stateMachine struct {
	state *state.State
	// onOutcome is called with the outcome of each proposal.
	onOutcome func(state.Outcome)
}

func (m *stateMachine) Apply(r platformlog.Record) {
	for _, outcome := range m.state.Apply(uint64(r.Offset), r.Data) {
		m.onOutcome(outcome)
	}
}

func (m *stateMachine) Applied() platformlog.Offset { return platformlog.Offset(m.state.Applied) }

func (m *stateMachine) DecodePart(r platformlog.Record) *chunks.Chunk {
	record, err := state.Decode(r.Data)
	if err != nil {
		return nil
	}
	return record.Snapshot
}

func (m *stateMachine) EncodePart(part chunks.Chunk) ([]byte, error) {
	data, err := state.Encode(state.Record{Snapshot: &part})
	return data, Error.Wrap(err)
}

func (m *stateMachine) Restore(parts []chunks.Chunk) error {
	restored, err := state.Restore(parts)
	if err != nil {
		return Error.Wrap(err)
	}
	m.state = restored
	return nil
}

func (m *stateMachine) Capture(writer string) replica.Encoder {
	image := m.state.Image()
	return func() ([]chunks.Chunk, error) {
		parts, err := image.Snapshot(writer)
		return parts, Error.Wrap(err)
	}
}
