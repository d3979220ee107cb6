package room

import (
	"math"
	"time"
)

const (
	// recentWindow and usualWindow are the time constants of a customer's recent and usual numbers of requests.
	// Surges last 6 to 11 s.
	recentWindow = 2 * time.Second
	usualWindow  = time.Minute
	// minHistory is the time after which the usual number is known, surgeRatio how far the recent rate
	// must exceed the usual one for a surge, and minSurge the recent requests that it takes.
	minHistory = 10 * time.Second
	surgeRatio = 2.5
	minSurge   = 4.0
	// surgeMemory is the time after a contention in which surges still leave room. Without it each second
	// without contention would let a surge fill the servers again.
	surgeMemory = 5 * time.Second
	// surgeDivisor is the part of the target that requests of a surge leave to others.
	surgeDivisor = 2
	// customerActive is the time since a customer's last request for which it counts as active.
	customerActive = 10 * time.Second
	// maxCustomers bounds the customers that are told apart.
	maxCustomers = 1024
)

// customer is what is known of one customer of a service at this entry.
type customer struct {
	// minimum is the customer's guaranteed minimum.
	minimum       kind
	recent, usual float64
	since, at     time.Duration
}

// note counts a request.
func (c *customer) note(now time.Duration) {
	elapsed := float64(now - c.at)
	c.recent = c.recent*math.Exp(-elapsed/float64(recentWindow)) + 1
	c.usual = c.usual*math.Exp(-elapsed/float64(usualWindow)) + 1
	c.at = now
}

// surges reports whether the customer lately sent much more than it usually does.
func (c *customer) surges(now time.Duration) bool {
	history := now - c.since
	if history < minHistory || c.recent < minSurge {
		return false
	}
	known := 1 - math.Exp(-float64(history)/float64(usualWindow))
	expected := c.usual / known * recentWindow.Seconds() / usualWindow.Seconds()
	return c.recent > surgeRatio*expected
}

// customer returns the state of a customer, or that of all customers beyond maxCustomers together.
func (s *service) customer(now time.Duration, name string) *customer {
	c := s.customers[name]
	if c == nil {
		if len(s.customers) >= maxCustomers {
			s.forgetCustomers(now)
		}
		if len(s.customers) >= maxCustomers {
			return s.customers[""]
		}
		c = &customer{minimum: kind{filledAt: now, wentAt: now}, since: now, at: now}
		s.customers[name] = c
	}
	return c
}

// forgetCustomers forgets those whose usual number is no longer worth keeping.
func (s *service) forgetCustomers(now time.Duration) {
	for name, c := range s.customers {
		if name != "" && now-c.at > usualWindow {
			delete(s.customers, name)
		}
	}
}

// active returns the number of active customers.
func (s *service) active(now time.Duration) int {
	n := 0
	for _, c := range s.customers {
		if now-c.at <= customerActive {
			n++
		}
	}
	return max(n, 1)
}
