package director

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the monotonic time, from Clock if it is set.
func (d *Director) now() time.Duration {
	if d.Clock != nil {
		return d.Clock()
	}
	return SinceBoot()
}

// SinceBoot returns the time since boot, which includes suspends of the VM, unlike Go's monotonic clock.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic("director: no boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
