//go:build !linux

package bootclock

import "time"

// Now returns the time since an arbitrary moment, which is the same for all calls in
// a process. It may not count the time in which the VM was suspended.
func Now() time.Duration { return sinceStart() }
