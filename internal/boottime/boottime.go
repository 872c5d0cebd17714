// Package boottime reads a clock that never goes back and goes on while the
// machine is suspended, unlike the monotonic part of time.Time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is a reading of time.Now for systems without the clock.
var start = time.Now()

// Now is the time since the machine's boot.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
