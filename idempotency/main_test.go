package idempotency_test

import "bergamotreel/internal/fixedseed"

// init sets the number of schedules of a run. The long run is
//
//	go test ./idempotency -run 'Reference|Bookings' -rapid.checks=100000 -worlds=100000 -timeout=1h
func init() {
	fixedseed.Set("rapid.checks", "2000")
	fixedseed.Set("rapid.steps", "60")
}
