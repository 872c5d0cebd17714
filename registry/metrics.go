package registry

import "github.com/VictoriaMetrics/metrics"

// Counters of registry entries that can't be read, by topic. Each platform adapter increments
// them when it reads such an entry.
var (
	UnreadableConfigurations = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="configuration"}`)
	UnreadableBackends       = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="backends"}`)
	UnreadableOwners         = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="owners"}`)
	UnreadableEpochs         = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="epoch"}`)
	UnreadableVMs            = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="vms"}`)
	UnreadableStreams        = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="streams"}`)
	UnreadableVersions       = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="versions"}`)
	UnreadableQuarantine     = metrics.NewCounter(`bergamotreel_registry_entries_unreadable_total{topic="quarantine"}`)
)

// IncompleteAnswers counts the answers of the registry that began but did not arrive in full
// in time.
var IncompleteAnswers = metrics.NewCounter(`bergamotreel_registry_answers_broken_off_total`)
