package admission

import (
	"math"
	"time"
)

// demandTime is the time constant of the moving average of a customer's demand.
const demandTime = 20 * time.Second

// minDemand is the demand below which an idle customer no longer counts, so that
// no slots are reserved for it.
const minDemand = 0.05

// overuseRatio is the ratio of demand to share from which a customer leaves slots
// free for others.
const overuseRatio = 1.1

// usage is the usage of one service by one customer.
type usage struct {
	customer *customer
	inFlight int
	queued   int
	// demand is the moving average of inFlight up to the time demandAt.
	demand   float64
	demandAt time.Duration
}

// update advances the demand to now. It must be called before inFlight changes.
func (u *usage) update(now time.Duration) {
	if now <= u.demandAt {
		return
	}
	weight := 1 - math.Exp(-float64(now-u.demandAt)/float64(demandTime))
	u.demand += weight * (float64(u.inFlight) - u.demand)
	u.demandAt = now
}

// add changes the number of requests in flight.
func (u *usage) add(now time.Duration, change int) {
	u.update(now)
	u.inFlight += change
}

// active reports whether the customer counts for the shares.
func (u *usage) active() bool {
	return u.inFlight+u.queued > 0 || u.demand >= minDemand
}

// need returns how many more slots the customer is likely to need soon, within
// its share. It is zero for a customer with queued requests, which fair queueing
// serves anyway.
func (u *usage) need(share float64) float64 {
	if u.queued > 0 {
		return 0
	}
	likely := u.demand + math.Sqrt(u.demand)
	return max(0, min(share, likely)-float64(u.inFlight))
}

// usageOf returns the customer's usage of the service. It marks the shares stale,
// since the caller changes the usage.
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

// shares summarizes the usage of a service.
type shares struct {
	// perWeight is the share of a customer with weight one, in slots.
	perWeight float64
	// need is the number of further slots that customers are likely to need
	// soon.
	need float64
}

// currentShares returns the shares, recomputed if they are stale.
func (s *service) currentShares() shares {
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

// reservedForOthers returns the number of free slots that a customer must leave
// to others: the slots that they are likely to need if its demand exceeds its
// share by overuseRatio, otherwise none. A customer above its share adds nothing
// to that need itself.
func (s *service) reservedForOthers(c *customer) int {
	own := s.usage[c]
	if own == nil || own.inFlight == 0 {
		return 0
	}
	now := s.currentShares()
	share := now.perWeight * c.weight()
	if float64(own.inFlight) < share || own.demand < overuseRatio*share {
		return 0
	}
	return int(math.Round(now.need))
}

// refreshUsage advances all demand to now and drops idle customers.
func (s *service) refreshUsage(now time.Duration) {
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
