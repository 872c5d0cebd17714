package contract

import (
	"fmt"
	"testing"

	"bergamotreel/internal/testkit"
)

// sectionsWithAdapters returns the sections of a contract with one model and the given
// number of adapters.
func sectionsWithAdapters(adapters int) map[string]string {
	sections := map[string]string{
		"customer":  "name = c\nmemory = 400GB\n",
		`model "m"`: "checkpoint = m:1\nmemory = 16GB\nmax_replicas = 20\n",
	}
	for i := range adapters {
		name := SectionName(SectionAdapter, fmt.Sprintf("shop-%d", i))
		sections[name] = fmt.Sprintf("base = m\ncheckpoint = shop-%d:1\nmemory = 200MB\n", i)
	}
	return sections
}

// BenchmarkParseSections measures parsing a complete contract, as at the start of a VM.
func BenchmarkParseSections(b *testing.B) {
	for _, adapters := range []int{100, 1000, 10_000, 39_000} {
		sections := sectionsWithAdapters(adapters)
		b.Run(fmt.Sprint(adapters), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseSections(sections); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkIsAtMostOnce(b *testing.B) {
	for b.Loop() {
		if !booking.IsAtMostOnce("POST", "/book/42?seat=1") {
			b.Fatal("not once")
		}
	}
}

// BenchmarkFindUnit measures the lookup that each request makes.
func BenchmarkFindUnit(b *testing.B) {
	for _, adapters := range []int{100, 39_000} {
		c, err := ParseSections(sectionsWithAdapters(adapters))
		testkit.OK(b, err)
		b.Run(fmt.Sprint(adapters), func(b *testing.B) {
			for b.Loop() {
				if _, ok := c.FindUnit("shop-7"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
