package hosted

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// Guards against streams that are taken for those of a version that an engine had before it started again, while
// its entry is late or is that of an earlier start.
func TestVersionBelongsToListedStart(t *testing.T) {
	now := time.Now()
	for name, first := range map[string]int64{"first start reported": 1000, "first start not reported": 0} {
		t.Run(name, func(t *testing.T) {
			table := newBackendTable(zap.NewNop())
			entry := registry.Backend{ID: "e", Service: testService, Version: "v1", Started: first, IsEngine: true}
			table.replace(now, []registry.Backend{entry})
			expect := func(v1, v11 bool) {
				t.Helper()
				testkit.Equal(t, "only others than v1 serve", table.servesOnlyOtherVersions(testService, "v1"), !v1)
				testkit.Equal(t, "only others than v1.1 serve", table.servesOnlyOtherVersions(testService, "v1.1"), !v11)
			}
			expect(true, false)
			table.recordStart(now, "e", 2000)
			expect(false, false)
			e, _ := table.get("e")
			unlisted := e.target().Version
			testkit.That(t, streamversion.IsUnlisted(unlisted), "version %q", unlisted)
			testkit.Equal(t, "version of streams that began meanwhile", table.resolveVersion(testService, unlisted), unlisted)
			table.replace(now, []registry.Backend{entry}) // as an older copy of the registry has it
			expect(false, false)
			entry.Version, entry.Started = "v1.1", 2000
			table.replace(now, []registry.Backend{entry})
			expect(false, true)
			testkit.Equal(t, "version of streams that began meanwhile", table.resolveVersion(testService, unlisted), "v1.1")
			testkit.Equal(t, "listed version", table.resolveVersion(testService, "v1"), "v1")
		})
	}
}

// Guards against a service whose streams are all taken for those of its only listed version although some began at a
// start that wasn't listed.
func TestUnlistedVersionIsOneOfSeveral(t *testing.T) {
	now, table := time.Now(), newBackendTable(zap.NewNop())
	table.replace(now, []registry.Backend{{ID: "e", Service: testService, Version: "v1"}})
	version := streamversion.UnlistedVersion("e", 2000)
	for _, at := range []time.Duration{0, streamversion.TTL / 2} {
		table.recordUnlistedVersion(now.Add(at), testService, version)
	}
	testkit.That(t, table.hasSeveralVersions(now.Add(streamversion.TTL), testService), "forgotten while its last stream may be taken up")
	testkit.That(t, !table.hasSeveralVersions(now.Add(2*streamversion.TTL), testService), "remembered for ever")
}
