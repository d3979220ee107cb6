package admission

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// burstTime is how long a rate limit may be saved up.
const burstTime = 2 * time.Second

// bucket is a token bucket that may go into debt by one request.
type bucket struct {
	level  float64
	rate   float64
	burst  float64
	filled time.Duration
}

// configure sets the rate; what was saved up beyond the new burst is lost.
func (b *bucket) configure(now time.Duration, rate, minBurst float64) {
	b.fill(now)
	fresh := b.burst == 0
	b.rate = rate
	b.burst = 0
	if rate > 0 {
		b.burst = max(minBurst, rate*burstTime.Seconds())
	}
	if fresh {
		b.level = b.burst
	}
	b.level = min(b.level, b.burst)
}

func (b *bucket) fill(now time.Duration) {
	if now > b.filled {
		b.level = min(b.burst, b.level+b.rate*(now-b.filled).Seconds())
		b.filled = now
	}
}

// wait returns how long it takes until the amount may be taken.
func (b *bucket) wait(now time.Duration, amount float64) time.Duration {
	b.fill(now)
	missing := min(amount, b.burst) - b.level
	if b.burst > 0 && missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		// This entry has no share yet.
		return minRetryAfter
	}
	return min(maxRetryAfter, time.Duration(missing/b.rate*float64(time.Second))+1)
}

// customer holds a customer's limits at this entry.
type customer struct {
	config   fleet.Customer
	requests bucket
	tokens   bucket
	// maxInFlight is this entry's part; negative means no limit.
	maxInFlight int
	inFlight    int
	queued      int
	// removed marks a customer that is no longer configured.
	removed bool
}

func (c *customer) weight() float64 {
	if c.config.Weight > 0 {
		return c.config.Weight
	}
	return 1
}

// configure applies limits and this entry's share of them.
func (c *customer) configure(now time.Duration, config fleet.Customer, s *share) {
	c.config = config
	c.requests.configure(now, s.rate(config.RequestsPerSecond), 1)
	c.tokens.configure(now, s.rate(config.TokensPerSecond), 1)
	c.maxInFlight = -1
	if config.MaxInFlight > 0 {
		c.maxInFlight = s.count(config.MaxInFlight)
	}
}

// limited checks the limits for a new request, and charges them if it passes.
func (c *customer) limited(now time.Duration, tokens float64) (Reason, time.Duration) {
	if c.maxInFlight == 0 {
		return ReasonInFlightLimit, minRetryAfter
	}
	if c.config.RequestsPerSecond > 0 {
		if wait := c.requests.wait(now, 1); wait > 0 {
			return ReasonRequestLimit, wait
		}
	}
	if c.config.TokensPerSecond > 0 {
		if wait := c.tokens.wait(now, tokens); wait > 0 {
			return ReasonTokenLimit, wait
		}
	}
	c.requests.level--
	c.tokens.level -= tokens
	return 0, 0
}

// refund gives back what a request that did not run was charged.
func (c *customer) refund(now time.Duration, tokens float64) {
	c.requests.fill(now)
	c.requests.level = min(c.requests.burst, c.requests.level+1)
	c.correct(now, tokens)
}

// correct gives back tokens that were charged but not used.
func (c *customer) correct(now time.Duration, tokens float64) {
	c.tokens.fill(now)
	c.tokens.level = min(c.tokens.burst, c.tokens.level+tokens)
}

// blocked reports whether the customer has reached its limit in flight.
func (c *customer) blocked() bool {
	return c.maxInFlight >= 0 && c.inFlight >= c.maxInFlight
}
