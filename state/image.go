package state

import (
	"maps"
	"slices"
)

// Image is a copy of a state that can only be encoded. Apply on the state does
// not change it, so it can be encoded without the lock that guards the state.
// Failure: encoded under the lock, a state of the size for two years had its VM
// answer nobody for a quarter of a second.
type Image struct{ encoded encoded }

// Image copies the state just after Applied. It leaves out what follows from the
// rest, and shares what Apply replaces and never changes in place: contracts.
func (s *State) Image() *Image {
	e := encoded{Applied: s.Applied, Skipped: s.SkippedRecords, Contracts: maps.Clone(s.Contracts)}
	e.Sessions = copyEntries(s.Sessions)
	e.Engines = copyEntries(s.Engines)
	e.Proposers = copyEntries(s.Proposers)
	for _, engine := range e.Engines {
		engine.unshare()
	}
	for _, proposer := range e.Proposers {
		// The capacity is cut off: Apply appends to the same array.
		proposer.RecentOutcomes = slices.Clip(proposer.RecentOutcomes)
	}
	return &Image{e}
}

// Snapshot encodes the copy in chunks for the log.
func (i *Image) Snapshot(writer string) ([]SnapshotChunk, error) { return i.encoded.snapshot(writer) }

// copyEntries copies a map and what its entries point at, those in one allocation.
func copyEntries[K comparable, V any](from map[K]*V) map[K]*V {
	to := make(map[K]*V, len(from))
	values := make([]V, 0, len(from))
	for key, value := range from {
		values = append(values, *value)
		to[key] = &values[len(values)-1]
	}
	return to
}

// unshare copies what Apply changes in place below an engine.
func (e *Engine) unshare() {
	e.FormerSessions = slices.Clone(e.FormerSessions)
	e.UnfencedSessions = slices.Clone(e.UnfencedSessions)
	e.Rights = copyEntries(e.Rights)
	for _, right := range e.Rights {
		right.UnsettledSessions = slices.Clone(right.UnsettledSessions)
	}
}
