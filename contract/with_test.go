package contract

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotreel/internal/testkit"
)

// sectionTexts holds valid and invalid texts for each section, and "" for a removal.
var sectionTexts = map[string][]string{
	"customer":    {"name = c\nmemory = 20GB\n", "name = c\nmemory = 5GB\nweight = 3\n", "name = c\n", ""},
	`model "m"`:   {"checkpoint = m:1\nmemory = 4GB\n", "checkpoint = m:1\nmemory = 9GB\nmin_replicas = 1\n", "memory = 1\n", ""},
	`model "m-2"`: {"checkpoint = m:1\nmemory = 4GB\nmax_replicas = 3\nmin_replicas = 2\n", ""},
	`adapter "a"`: {"base = m\ncheckpoint = a:1\nmemory = 1GB\n", "base = m-2\ncheckpoint = a:1\nmemory = 1GB\n", ""},
	`adapter "m"`: {"base = m\ncheckpoint = a:1\nmemory = 1GB\n", ""},
	`service "s"`: {emptySection, "once = POST /b\n", "once = POST b\n", ""},
	`service "r"`: {emptySection, ""},
	`key "k"`:     {"sha256 = " + HashKey("k") + "\n", "sha256 = " + HashKey("l") + "\n", ""},
	`key "l"`:     {"sha256 = " + HashKey("l") + "\n", ""},
	`model "m`:    {"checkpoint = m:1\nmemory = 4GB\n", ""},
	"other":       {"x = y\n", ""},
}

// With must give the same result as ParseSections. A running VM applies each publish
// with With, and a VM that starts from a snapshot parses all sections at once. If the
// results differed, the VMs would permanently serve different contracts.
func TestWithEqualsParseSections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Start without a contract or from an existing one.
		sections := map[string]string{}
		var c *Contract
		if rapid.Bool().Draw(t, "start from one") {
			sections = map[string]string{"customer": sectionTexts["customer"][0], `model "m"`: sectionTexts[`model "m"`][0]}
			c, _ = ParseSections(sections)
		}
		names := rapid.SampledFrom(sortedSections(sectionNames()))
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			changed := map[string]string{}
			for _, name := range rapid.SliceOfN(names, 1, 3).Draw(t, "names") {
				changed[name] = rapid.SampledFrom(sectionTexts[name]).Draw(t, name)
			}
			merged := maps.Clone(sections)
			maps.Copy(merged, changed)
			maps.DeleteFunc(merged, func(_, text string) bool { return text == "" })

			want, wantErr := ParseSections(merged)
			got, err := c.With(changed)
			testkit.Need(t, fmt.Sprint(err) == fmt.Sprint(wantErr), "With: %v\nParseSections: %v", err, wantErr)
			diff := cmp.Diff(want, got)
			testkit.Need(t, diff == "", "%v", diff)
			if err == nil {
				sections, c = merged, got
			}
		}
	})
}

func sectionNames() map[string]string {
	names := map[string]string{}
	for name := range sectionTexts {
		names[name] = ""
	}
	return names
}

// BenchmarkWith measures applying a published change of one adapter.
func BenchmarkWith(b *testing.B) {
	changed := map[string]string{`adapter "shop-7"`: "base = m\ncheckpoint = shop-7:2\nmemory = 200MB\n"}
	for _, adapters := range []int{100, 1000, 10_000, 39_000} {
		c, err := ParseSections(sectionsWithAdapters(adapters))
		testkit.OK(b, err)
		b.Run(fmt.Sprint(adapters), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.With(changed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
