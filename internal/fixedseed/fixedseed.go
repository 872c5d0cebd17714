// Package fixedseed gives rapid a fixed seed, so that tests with random schedules have
// the same result in every run. By default rapid takes its seed from the clock, and a rare
// failure stops one CI run and not the next. Test packages that import rapid must import
// this package too, which archtest checks. Flags on the command line take precedence.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags before they are set here
)

func init() {
	Set("rapid.seed", "20261202")
	Set("rapid.nofailfile", "true")
}

// Set changes the default of a flag. It must be called before the flags are parsed, so that
// the command line takes precedence. It panics for an unknown flag.
func Set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
