// Package clock reads a monotonic clock that runs on while the machine is
// suspended, unlike the one of package time.
//
// # Usage
//
//	began := clock.Now()
//	elapsed := clock.Now().Sub(began)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time.Time that is only
// comparable with others from the same machine and start. If the clock can't be
// read, it returns the time of day.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Now()
	}
	return time.Unix(spec.Unix())
}
