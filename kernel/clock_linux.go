package kernel

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since boot, which includes suspensions.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
