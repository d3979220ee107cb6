package planner

import (
	"math/rand/v2"
	"time"
)

// poolKey names a pool over all services.
type poolKey struct{ zone, class string }

// backoff is the wait of one pool after refused starts. While it lasts, and
// until a start is granted after it, the pool is tried by one start at a time.
type backoff struct {
	failures int
	until    time.Duration
}

// refuse lengthens the wait: the base doubled with each refusal up to the
// maximum, of which a random half to whole is waited.
func (b *backoff) refuse(now time.Duration, options Options, random *rand.Rand) {
	b.failures++
	full := wait(b.failures, options)
	half := full / 2
	b.until = now + half + time.Duration(random.Int64N(int64(full-half)+1))
}

// wait returns the longest wait after a number of refusals.
func wait(failures int, options Options) time.Duration {
	full := options.BackoffBase
	for range failures - 1 {
		if full >= options.BackoffMax {
			break
		}
		full *= 2
	}
	return min(full, options.BackoffMax)
}
