package admission

import (
	"math"
	"time"
)

// demandTime is the time constant of a customer's learned demand.
const demandTime = 20 * time.Second

// minDemand is the demand below which nothing is kept for a customer.
const minDemand = 0.05

// floodRatio is how far a customer's demand must exceed its share before it
// leaves slots free for others.
const floodRatio = 1.1

// usage is what one customer uses of one service.
type usage struct {
	customer *customer
	inFlight int
	queued   int
	// demand is the moving average of inFlight up to demandAt.
	demand   float64
	demandAt time.Duration
}

// update brings the demand up to now; call it before inFlight changes.
func (u *usage) update(now time.Duration) {
	if now <= u.demandAt {
		return
	}
	weight := 1 - math.Exp(-float64(now-u.demandAt)/float64(demandTime))
	u.demand += weight * (float64(u.inFlight) - u.demand)
	u.demandAt = now
}

// add changes the number in flight.
func (u *usage) add(now time.Duration, change int) {
	u.update(now)
	u.inFlight += change
}

// active reports whether the customer counts in the shares.
func (u *usage) active() bool {
	return u.inFlight+u.queued > 0 || u.demand >= minDemand
}

// need returns how many more slots the customer is likely to need soon, within
// its share. A customer with a queue needs none: fair queueing serves it.
func (u *usage) need(share float64) float64 {
	if u.queued > 0 {
		return 0
	}
	likely := u.demand + math.Sqrt(u.demand)
	return max(0, min(share, likely)-float64(u.inFlight))
}

// usageOf returns the customer's usage of the service, in order to change it.
func (s *service) usageOf(c *customer) *usage {
	s.sharesStale = true
	u := s.usage[c]
	if u == nil {
		u = &usage{customer: c}
		s.usage[c] = u
		s.users = append(s.users, u)
	}
	return u
}

// shares sums up the usage of a service.
type shares struct {
	// perWeight is the number of slots for a weight of one.
	perWeight float64
	// need is the number of slots that customers are likely to need soon.
	need float64
}

// sharesNow returns the shares, worked out anew after a change.
func (s *service) sharesNow() shares {
	if !s.sharesStale {
		return s.shares
	}
	var weights float64
	for _, u := range s.users {
		if u.active() {
			weights += u.customer.weight()
		}
	}
	s.shares = shares{}
	if weights > 0 {
		s.shares.perWeight = float64(s.slots) / weights
	}
	for _, u := range s.users {
		if u.active() {
			s.shares.need += u.need(s.shares.perWeight * u.customer.weight())
		}
	}
	s.sharesStale = false
	return s.shares
}

// kept returns the number of free slots that a customer leaves to others: what
// they are likely to need if it goes on asking for more than its share by
// weight, else none. A customer above its share has no need of its own.
func (s *service) kept(c *customer) int {
	own := s.usage[c]
	if own == nil || own.inFlight == 0 {
		return 0
	}
	now := s.sharesNow()
	share := now.perWeight * c.weight()
	if float64(own.inFlight) < share || own.demand < floodRatio*share {
		return 0
	}
	return int(math.Round(now.need))
}

// tickUsage brings all demand up to now and forgets idle customers.
func (s *service) tickUsage(now time.Duration) {
	s.sharesStale = true
	active := s.users[:0]
	for _, u := range s.users {
		u.update(now)
		if u.active() {
			active = append(active, u)
			continue
		}
		delete(s.usage, u.customer)
	}
	clear(s.users[len(active):])
	s.users = active
}
