package state_test

import "bergamotreel/internal/fixedseed"

// init sets the number of random schedules per run. For a long run use
//
//	go test ./state -run 'Reference|LateOrders' -rapid.checks=100000 -worlds=100000 -timeout=1h
func init() {
	fixedseed.Set("rapid.checks", "2000")
	fixedseed.Set("rapid.steps", "60")
}
