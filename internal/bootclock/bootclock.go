// Package bootclock reads a monotonic clock that also advances while the VM is
// suspended. The clock behind time.Since does not, on Linux: a lease that expired
// during a suspension would look valid afterwards.
package bootclock

import "time"

// start is the base of the clock that is used where the system has no other.
var start = time.Now()

// sinceStart stands still while the VM is suspended.
func sinceStart() time.Duration { return time.Since(start) }
