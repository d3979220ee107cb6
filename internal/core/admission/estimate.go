package admission

import (
	"math"
	"time"
)

// arrivalDoubt is how many standard deviations the wait of a new request may
// exceed its prediction without making it late. Releases are taken as random
// and independent. A request that was let into the queue is given up only when
// the prediction itself is late.
const arrivalDoubt = 4.0

// perToken returns the time in seconds that one request needs per token.
func (c *class) perTokenOrDefault() float64 {
	if c.perToken.value > 0 {
		return c.perToken.value
	}
	return defaultPerToken
}

// serviceTime returns the expected time in seconds from admission to the end.
func (c *class) serviceTime(r *request) float64 {
	return r.cost * c.perTokenOrDefault()
}

// wait predicts the time in seconds until a request starts that has the given
// work of its own flow ahead of it.
func (s *service) wait(r *request, ahead float64) float64 {
	kind := classLong
	if r.Short {
		kind = classShort
	}
	c := &s.classes[kind]
	limit := s.limit(kind)
	work := c.workAhead(r, ahead)
	free := limit - s.inFlight() - s.kept(r.customer)
	if work == 0 && free > 0 && !r.customer.blocked() {
		return 0
	}
	perToken := c.perTokenOrDefault()
	slots := float64(max(1, limit)) * s.classPart(c)
	wait := work * perToken / slots
	if free <= 0 {
		wait += s.nextRelease()
	}
	if most := r.customer.maxInFlight; most > 0 && r.customer.inFlight+len(r.flow.queue) >= most {
		own := (ahead + r.cost) * perToken / float64(most)
		wait = max(wait, own)
	}
	return wait
}

// nextRelease predicts the time in seconds until a request in flight ends.
func (s *service) nextRelease() float64 {
	var rate float64
	for i := range s.classes {
		c := &s.classes[i]
		if c.residence.value > 0 {
			rate += float64(c.inFlight) / c.residence.value
		}
	}
	if rate == 0 {
		return 0
	}
	return 1 / rate
}

// workAhead returns the work in tokens that fair queueing serves before a
// request with the given work of its own flow ahead of it.
func (c *class) workAhead(r *request, ahead float64) float64 {
	work := ahead
	weight := r.customer.weight()
	for _, f := range c.active {
		if f == r.flow || f.customer.blocked() {
			continue
		}
		// The flow is served until its tag passes the request's start tag.
		due := (r.flow.tag + ahead/weight - f.tag) * f.customer.weight()
		work += min(f.queued, max(0, due))
	}
	return work
}

// classPart returns the part of the service that a class gets at least.
func (s *service) classPart(c *class) float64 {
	total := c.weight
	for i := range s.classes {
		other := &s.classes[i]
		if other != c && len(other.active) > 0 {
			total += other.weight
		}
	}
	return c.weight / total
}

// hopeless predicts whether a request with the given work of its own flow
// ahead of it misses its deadline or target, if its wait exceeds the prediction
// by the given number of standard deviations. It returns the reason and by how
// many seconds.
//
// A service without requests in flight always takes one, so that its estimates
// can recover.
func (s *service) hopeless(now time.Duration, r *request, ahead, doubt float64) (Reason, float64) {
	if s.slots <= 0 {
		return ReasonNoCapacity, 0
	}
	if r.Deadline != 0 && now >= r.Deadline {
		return ReasonDeadline, 0
	}
	if s.inFlight() == 0 && ahead == 0 {
		return 0, 0
	}
	wait := s.wait(r, ahead)
	wait += doubt * math.Sqrt(wait*s.nextRelease())
	finish := wait + s.class(r).serviceTime(r)
	if late := finish - (r.Deadline - now).Seconds(); r.Deadline != 0 && late > 0 {
		return ReasonDeadline, late
	}
	if wait == 0 {
		return 0, 0
	}
	first := wait + s.class(r).firstToken.value
	if late := first - (r.FirstTokenBy - now).Seconds(); r.FirstTokenBy != 0 && late > 0 {
		return ReasonTarget, late
	}
	return 0, 0
}
