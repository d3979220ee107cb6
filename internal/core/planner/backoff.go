package planner

import (
	"math/rand/v2"
	"time"
)

// poolKey identifies a pool across all services.
type poolKey struct{ zone, class string }

// backoff is the delay of a pool after refused rent requests. After the delay and
// until a request is granted, the pool gets one request at a time.
type backoff struct {
	failures int
	until    time.Duration
}

// increase starts the delay after another refusal. The full delay is the base
// delay, doubled with each further refusal up to the maximum; the actual delay is
// a random one between half the full delay and the full delay.
func (b *backoff) increase(now time.Duration, options Options, random *rand.Rand) {
	b.failures++
	full := wait(b.failures, options)
	half := full / 2
	b.until = now + half + time.Duration(random.Int64N(int64(full-half)+1))
}

// wait returns the delay after a number of refusals, without jitter.
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
