package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/replica"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/platformlog"
	"bergamotreel/state"
)

const (
	// recordCount records are in the log at a start, with a snapshot after each
	// snapshotEvery records.
	recordCount, snapshotEvery = 60_000, 5_000
	sessionCount               = 340
)

// BenchmarkStart measures the start of a new VM from the log alone: from the oldest
// complete snapshot kept, and from the newest.
func BenchmarkStart(b *testing.B) {
	log := newFilledLog(b)
	for name, span := range map[string]int{"oldest": 2 * recordCount, "newest": 0} {
		b.Run(name, func(b *testing.B) {
			records := 0
			for b.Loop() {
				counted := &countingLog{Log: log}
				followToEnd(b, counted, span)
				records = counted.records
			}
			b.ReportMetric(float64(records), "records/start")
		})
	}
}

// followToEnd follows the log until its end is applied.
func followToEnd(b *testing.B, log platformlog.Log, span int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	machine := &stateMachine{state: state.New(), onOutcome: func(state.Outcome) {}}
	done := make(chan struct{})
	var r *replica.Replica
	r = replica.New(replica.Config{
		Log: log, Stream: Stream, StateMachine: machine, Logger: zap.NewNop(), Writer: "w", InitialSearchSpan: span,
		WritesSnapshots: func() bool { return false },
		OnChange: func() {
			if applied, end, _ := r.Position(); applied == end {
				close(done)
			}
		},
	})
	go r.Run(ctx)
	<-done
}

func newFilledLog(b *testing.B) *logserver.Store {
	log := logserver.New(logserver.Config{MaxRecords: recordCount})
	s := state.New()
	write := func(record state.Record) state.Revision {
		data := testkit.Value(state.Encode(record))(b)
		offset := testkit.Value(log.Append(b.Context(), Stream, data))(b)
		s.Apply(uint64(offset), data)
		return state.MakeRevision(uint64(offset), 0)
	}
	propose := func(by int, p state.Proposal) state.Revision {
		p.ID = state.ProposalID{Proposer: fmt.Sprint("vm-", by), Sequence: s.Applied + 1}
		return write(state.Record{Proposals: []state.Proposal{p}})
	}
	var sessions []state.SessionID
	for i := range sessionCount {
		sessions = append(sessions, propose(i, openSession(fmt.Sprint("vm-", i))))
	}
	for i := range recordCount + 2*snapshotEvery {
		propose(i%sessionCount, state.Proposal{SessionRenew: &state.SessionRenew{Session: sessions[i%sessionCount]}})
		if i%snapshotEvery == 0 {
			parts := testkit.Value(s.Snapshot("w"))(b)
			for _, part := range parts {
				write(state.Record{Snapshot: &part})
			}
		}
	}
	return log
}

// countingLog counts the records read.
type countingLog struct {
	platformlog.Log
	records int
}

func (l *countingLog) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, max, wait)
	l.records += len(batch.Records)
	return batch, err
}
