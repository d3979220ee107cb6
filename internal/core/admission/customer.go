package admission

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// burstTime is how long unused rate accumulates in a bucket.
const burstTime = 2 * time.Second

// bucket is a token bucket whose level may become negative, since an amount larger
// than the burst can be taken from a full bucket.
type bucket struct {
	level    float64
	rate     float64
	burst    float64
	filledAt time.Duration
}

// configure sets the rate and cuts the level down to the new burst.
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
	if now > b.filledAt {
		b.level = min(b.burst, b.level+b.rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}

// wait returns the time until the amount may be taken.
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

// customer holds the limits and usage of a customer at this entry.
type customer struct {
	config   fleet.Customer
	requests bucket
	tokens   bucket
	// maxInFlight is this entry's share of the limit; negative means no limit.
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

// configure sets the limits to this entry's share of the configured ones.
func (c *customer) configure(now time.Duration, config fleet.Customer, s *share) {
	c.config = config
	c.requests.configure(now, s.rate(config.RequestsPerSecond), 1)
	c.tokens.configure(now, s.rate(config.TokensPerSecond), 1)
	c.maxInFlight = -1
	if config.MaxInFlight > 0 {
		c.maxInFlight = s.count(config.MaxInFlight)
	}
}

// tryCharge checks the limits for a new request and charges it to them if it
// passes. Otherwise it returns the limit that it exceeds and the retry delay.
func (c *customer) tryCharge(now time.Duration, tokens float64) (Reason, time.Duration) {
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

// refund returns the charge of a request that did not run.
func (c *customer) refund(now time.Duration, tokens float64) {
	c.requests.fill(now)
	c.requests.level = min(c.requests.burst, c.requests.level+1)
	c.adjustTokens(now, tokens)
}

// adjustTokens returns tokens that were charged but not used; a negative number
// charges tokens that were used beyond the estimate.
func (c *customer) adjustTokens(now time.Duration, tokens float64) {
	c.tokens.fill(now)
	c.tokens.level = min(c.tokens.burst, c.tokens.level+tokens)
}

// blocked reports whether the customer has reached its limit of requests in
// flight.
func (c *customer) blocked() bool {
	return c.maxInFlight >= 0 && c.inFlight >= c.maxInFlight
}
