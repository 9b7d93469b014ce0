package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since the machine was started, as a time after the start of 1970.
// Unlike the monotonic clock of package time, it also runs while the machine is suspended.
func BootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only an invalid clock or address fails, and neither depends on the machine's state.
		panic(err)
	}
	return time.Unix(ts.Unix())
}
