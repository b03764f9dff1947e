package director

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the steady time, from the seam if there is one.
func (d *Director) now() time.Duration {
	if d.Clock != nil {
		return d.Clock()
	}
	return sinceBoot()
}

// sinceBoot returns a steady time that also counts while the VM is suspended, unlike Go's own.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic("director: no boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
