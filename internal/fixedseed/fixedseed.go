// Package fixedseed gives rapid a fixed seed, so that tests which draw their
// schedules have the same verdict on every run. Failure: rapid takes its seed
// from the clock, and a rare failure stops one CI run and not the next. Test
// packages import it beside rapid; archtest holds them to it. Flags given on the
// command line win.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags before they are set here
)

func init() {
	Set("rapid.seed", "20261202")
	Set("rapid.nofailfile", "true")
}

// Set gives a flag another default. Call it before the flags are parsed, so that
// the command line still wins; it panics for an unknown flag.
func Set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
