package bootclock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Where the system offers it, the clock is the one that counts suspensions.
func TestNowCountsSuspensions(t *testing.T) {
	boottime := func() time.Duration {
		var now unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
			return 0
		}
		return time.Duration(now.Nano())
	}
	before := boottime()
	now := Now()
	after := boottime()
	if after != 0 && (now < before || now > after) {
		t.Fatalf("Now returned %v between two readings of CLOCK_BOOTTIME of %v and %v", now, before, after)
	}
}
