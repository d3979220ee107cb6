package admission

import (
	"math"
	"time"
)

// arrivalMargin is the safety margin for new requests: a request is queued only if
// it is in time even with a wait that exceeds the prediction by this number of
// standard deviations. Releases of slots are assumed to be random and independent.
// A queued request is refused only when the prediction itself is late.
const arrivalMargin = 4.0

// perTokenOrDefault returns the time in seconds that a request takes per token.
func (c *class) perTokenOrDefault() float64 {
	if c.perToken.value > 0 {
		return c.perToken.value
	}
	return defaultPerToken
}

// serviceTime returns the expected time in seconds from the admission of a
// request to its end.
func (c *class) serviceTime(r *request) float64 {
	return r.cost * c.perTokenOrDefault()
}

// wait predicts the time in seconds until a request starts. ahead is the work
// that its own flow serves before it.
func (s *service) wait(r *request, ahead float64) float64 {
	kind := classLong
	if r.Short {
		kind = classShort
	}
	c := &s.classes[kind]
	limit := s.limit(kind)
	work := c.workAhead(r, ahead)
	free := limit - s.inFlight() - s.reservedForOthers(r.customer)
	if work == 0 && free > 0 && !r.customer.blocked() {
		return 0
	}
	perToken := c.perTokenOrDefault()
	slots := float64(max(1, limit)) * s.classFraction(c)
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

// nextRelease predicts the time in seconds until the next request in flight ends.
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
// request. ahead is the part of it that belongs to the request's own flow.
func (c *class) workAhead(r *request, ahead float64) float64 {
	work := ahead
	weight := r.customer.weight()
	for _, f := range c.active {
		if f == r.flow || f.customer.blocked() {
			continue
		}
		// The flow is served until its start tag passes that of the request.
		due := (r.flow.startTag + ahead/weight - f.startTag) * f.customer.weight()
		work += min(f.queuedWork, max(0, due))
	}
	return work
}

// classFraction returns the least fraction of the service that a class gets.
func (s *service) classFraction(c *class) float64 {
	total := c.weight
	for i := range s.classes {
		other := &s.classes[i]
		if other != c && len(other.active) > 0 {
			total += other.weight
		}
	}
	return c.weight / total
}

// predictMiss predicts whether a request misses its deadline or target if its
// wait exceeds the prediction by margin standard deviations. ahead is the work
// that its own flow serves before it. It returns the reason for a refusal, or
// zero, and by how many seconds the request is late.
//
// A service without requests in flight always accepts one, so that estimates
// that are too high are corrected by new samples.
func (s *service) predictMiss(now time.Duration, r *request, ahead, margin float64) (Reason, float64) {
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
	wait += margin * math.Sqrt(wait*s.nextRelease())
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
