package streamversions

import (
	"slices"

	"bergamotreel/registry"
)

// Weights are the versions of the weights of an engine's models, the newest that is known of each. The entry of an
// engine names them a while after a load; its answers do at once.
type Weights map[string]int64

// Update takes over what a new entry says otherwise than the one before it.
func (w Weights) Update(before, entry []registry.Held) {
	for _, m := range entry {
		if !slices.ContainsFunc(before, func(b registry.Held) bool { return b.Model == m.Model && b.Weights == m.Weights }) {
			w[m.Model] = m.Weights
		}
	}
}
