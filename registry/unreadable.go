package registry

import "github.com/VictoriaMetrics/metrics"

// Entries of the registry that can't be read, by what they are of; each adapter of a
// platform counts them as it reads.
var (
	UnreadableConfigurations = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="configuration"}`)
	UnreadableBackends       = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="backends"}`)
	UnreadableOwners         = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="owners"}`)
	UnreadableEpochs         = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="epoch"}`)
	UnreadableQuarantine     = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="quarantine"}`)
)

// BrokenOffAnswers counts the answers of the registry that began and did not come whole in time.
var IncompleteAnswers = metrics.NewCounter(`bergamotreel_registry_answers_broken_off_total`)
