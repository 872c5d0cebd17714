package state_test

import (
	"fmt"
	"maps"
	"slices"

	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

const gb = int64(1) << 30

// record is proposals as the log holds them.
func record(t testkit.Fataler, proposals ...state.Proposal) []byte {
	t.Helper()
	return testkit.Value(state.Encode(state.Record{Proposals: proposals}))(t)
}

// grant asks for the model m1 of the customer hire on an engine.
func grant(s *state.State, engine string) state.Proposal {
	return state.Proposal{Grant: &state.Grant{Engine: engine, Keeper: s.Engines[engine].Keeper, Customer: "hire", Unit: "m1"}}
}

func sortedSessions(s *state.State) []state.SessionID {
	return slices.Sorted(maps.Keys(s.Sessions))
}

// restored sends a state through a snapshot in the log.
func restored(t testkit.Fataler, s *state.State) *state.State {
	t.Helper()
	return restoredFrom(t, s.Snapshot)
}

func restoredFrom(t testkit.Fataler, snapshot func(writer string) ([]state.SnapshotChunk, error)) *state.State {
	t.Helper()
	parts := testkit.Value(snapshot("w"))(t)
	var collector state.Collector
	for _, part := range slices.Backward(parts) {
		data := testkit.Value(state.Encode(state.Record{Snapshot: &part}))(t)
		record := testkit.Value(state.Decode(data))(t)
		collector.Add(*record.Snapshot)
	}
	return testkit.Value(state.Restore(collector.Newest()))(t)
}

// sum is the same for equal states only.
func sum(t testkit.Fataler, s *state.State) uint64 {
	t.Helper()
	return testkit.Value(s.Sum())(t)
}

// invariants recomputes what State promises and returns the first breach.
// Limits may shrink below what is granted, so they are checked by the reference
// at each grant and here only where nothing shrank.
func invariants(s *state.State) string {
	byCustomer := map[string]int64{}
	for name, e := range s.Engines {
		used := int64(0)
		for unit, right := range e.Rights {
			if e.FencingToken < max(e.Keeper, right.Granted, right.Withdrawn) {
				return fmt.Sprintf("%s: order token %d is below that of %s", name, e.FencingToken, unit)
			}
			used += right.Bytes
			byCustomer[right.Customer] += right.Bytes
			if base := e.Rights[right.Base]; right.Base != "" && (base == nil || base.Withdrawn != 0 && right.Withdrawn == 0) {
				return fmt.Sprintf("%s: %s stands without its base", name, unit)
			}
		}
		if used != e.UsedBytes() {
			return fmt.Sprintf("%s: %d bytes used, index says %d", name, used, e.UsedBytes())
		}
		if session := s.Sessions[e.KeeperSession]; e.KeeperSession != 0 && (session == nil || session.Ended) {
			return fmt.Sprintf("%s: kept by an ended session", name)
		}
	}
	for customer, used := range byCustomer {
		if used != s.CustomerBytes(customer) {
			return fmt.Sprintf("%s: %d bytes, index says %d", customer, used, s.CustomerBytes(customer))
		}
	}
	return ""
}
