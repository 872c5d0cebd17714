// Package boottime reads a monotonic clock that, unlike the monotonic part of time.Time,
// also advances while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reference of Now on systems without CLOCK_BOOTTIME.
var start = time.Now()

// Now returns the time since the machine's boot, or since the start of the process on
// systems without CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
