// Package steady gives a time that neither jumps with the time of day nor
// stands still while the machine is suspended.
//
// # Usage
//
//	began := steady.Now()
//	held := steady.Now().Sub(began)
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time that can only be
// compared with others of the same machine.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Now()
	}
	return time.Unix(spec.Unix())
}
