package state_test

import (
	"fmt"
	"maps"
	"slices"

	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

const gb = int64(1) << 30

// record encodes proposals as a log record.
func record(t testkit.Fataler, proposals ...state.Proposal) []byte {
	t.Helper()
	return testkit.Value(state.Encode(state.Record{Proposals: proposals}))(t)
}

// grant returns a proposal to grant an engine the model m1 of the customer hire.
func grant(s *state.State, engine string) state.Proposal {
	return state.Proposal{Grant: &state.Grant{Engine: engine, Keeper: s.Engines[engine].Keeper, Customer: "hire", Unit: "m1"}}
}

func sortedSessions(s *state.State) []state.SessionID {
	return slices.Sorted(maps.Keys(s.Sessions))
}

// restore encodes a state as snapshot records and restores it from them, in reverse
// order.
func restore(t testkit.Fataler, s *state.State) *state.State {
	t.Helper()
	return restoreFrom(t, s.Snapshot)
}

func restoreFrom(t testkit.Fataler, snapshot func(writer string) ([]state.SnapshotChunk, error)) *state.State {
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

// sum returns the state's checksum.
func sum(t testkit.Fataler, s *state.State) uint64 {
	t.Helper()
	return testkit.Value(s.Sum())(t)
}

// invariants checks the invariants of State and its index and returns the first
// violation. It does not check limits, which may shrink below what is granted; the
// reference checks them at each grant.
func invariants(s *state.State) string {
	byCustomer := map[string]int64{}
	for name, e := range s.Engines {
		used := int64(0)
		for unit, right := range e.Rights {
			if e.FencingToken < max(e.Keeper, right.Granted, right.Withdrawn) {
				return fmt.Sprintf("%s: fencing token %d is below a revision of %s", name, e.FencingToken, unit)
			}
			used += right.Bytes
			byCustomer[right.Customer] += right.Bytes
			if base := e.Rights[right.Base]; right.Base != "" && (base == nil || base.Withdrawn != 0 && right.Withdrawn == 0) {
				return fmt.Sprintf("%s: %s has a right without its base", name, unit)
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
