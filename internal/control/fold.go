package control

import (
	"bergamotreel/internal/replica"
	"bergamotreel/platformlog"
	"bergamotreel/state"
)

// fold makes a state.State the fold of a replica. The replica calls it under
// its lock.
type fold struct {
	state     *state.State
	collector state.Collector
	// outcome is told what each proposal came to.
	outcome func(state.Outcome)
}

func (f *fold) Apply(r platformlog.Record) {
	for _, outcome := range f.state.Apply(uint64(r.Offset), r.Data) {
		f.outcome(outcome)
	}
}

func (f *fold) Applied() platformlog.Offset { return platformlog.Offset(f.state.Applied) }

func (f *fold) Collect(r platformlog.Record) (replica.Snapshot, bool) {
	record, err := state.Decode(r.Data)
	if err != nil || record.Snapshot == nil || !f.collector.Add(*record.Snapshot) {
		return replica.Snapshot{}, false
	}
	newest := f.collector.Newest()
	// The parts are needed once; holding them would double the state's memory.
	f.collector = state.Collector{}
	return replica.Snapshot{
		UpTo:    platformlog.Offset(newest[0].UpTo),
		Gap:     newest[0].Gap,
		Content: newest,
	}, true
}

func (f *fold) Restore(s replica.Snapshot) error {
	restored, err := state.Restore(s.Content.([]state.SnapshotChunk))
	if err != nil {
		return Error.Wrap(err)
	}
	f.state = restored
	return nil
}

func (f *fold) Snapshot(writer string, gap bool) ([][]byte, error) {
	parts, err := f.state.Snapshot(writer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	records := make([][]byte, len(parts))
	for i := range parts {
		parts[i].Gap = gap
		records[i], err = state.Encode(state.Record{Snapshot: &parts[i]})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return records, nil
}
