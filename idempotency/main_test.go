package idempotency_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed and number of schedules, unless the command line
// gives them, so that every run has the same verdict. The long run is
//
//	go test ./idempotency -run 'Reference|Bookings' -rapid.checks=100000 -worlds=100000 -timeout=1h
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "2000", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
