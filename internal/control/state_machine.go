package control

import (
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
	"bergamotreel/state"
)

// fold makes a state.State the fold of a replica. The replica calls it under
// its lock.
type fold struct {
	state *state.State
	// outcome is told what each proposal came to.
	outcome func(state.Outcome)
}

func (f *fold) Apply(r platformlog.Record) {
	for _, outcome := range f.state.Apply(uint64(r.Offset), r.Data) {
		f.outcome(outcome)
	}
}

func (f *fold) Applied() platformlog.Offset { return platformlog.Offset(f.state.Applied) }

func (f *fold) Part(r platformlog.Record) *chunks.Chunk {
	record, err := state.Decode(r.Data)
	if err != nil {
		return nil
	}
	return record.Snapshot
}

func (f *fold) EncodePart(part chunks.Chunk) ([]byte, error) {
	data, err := state.Encode(state.Record{Snapshot: &part})
	return data, Error.Wrap(err)
}

func (f *fold) Restore(parts []chunks.Chunk) error {
	restored, err := state.Restore(parts)
	if err != nil {
		return Error.Wrap(err)
	}
	f.state = restored
	return nil
}

func (f *fold) Capture(writer string) replica.Encoder {
	image := f.state.Image()
	return func() ([]chunks.Chunk, error) {
		parts, err := image.Snapshot(writer)
		return parts, Error.Wrap(err)
	}
}
