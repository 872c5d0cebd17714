package streamversions

import (
	"slices"
	"time"

	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// CountListed counts a listed backend server's software and the weights that its entry names.
func CountListed(history *streamversion.History, b *registry.Backend) {
	history.Add(b.Service, b.Version)
	for _, m := range b.Models {
		if m.Weights != 0 {
			history.Add(streamversion.ModelScope(b.Service, m.Model), streamversion.FormatWeights(m.Weights))
		}
	}
}

// UncountListed reverts CountListed.
func UncountListed(now time.Time, history *streamversion.History, b *registry.Backend) {
	history.Remove(now, b.Service, b.Version)
	for _, m := range b.Models {
		if m.Weights != 0 {
			history.Remove(now, streamversion.ModelScope(b.Service, m.Model), streamversion.FormatWeights(m.Weights))
		}
	}
}

// Weights are the versions of the weights of an engine's models, the newest that is known of each. The entry of an
// engine names them a while after a load; its answers do at once.
type Weights map[string]int64

// ListedWeights returns what an engine's entry says.
func ListedWeights(entry *registry.Backend) Weights {
	w := make(Weights)
	w.Update(&registry.Backend{}, entry)
	return w
}

// Update takes over what a new entry says otherwise than the one before it, or all of it if the engine has started again.
func (w Weights) Update(before, entry *registry.Backend) {
	for _, m := range entry.Models {
		isSame := func(b registry.Held) bool { return b.Model == m.Model && b.Weights == m.Weights }
		if entry.Started != before.Started || !slices.ContainsFunc(before.Models, isSame) {
			w[m.Model] = m.Weights
		}
	}
}
