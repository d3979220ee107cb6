package admission

import (
	"math"
	"time"
)

// The classes of a service.
const (
	classShort = iota
	classLong
	classes
)

// The weights of the two classes of a service while both have queued requests.
const (
	shortWeight = 3.0
	longWeight  = 1.0
)

// maxReserveRatio limits the fraction of slots that is reserved for short
// requests.
const maxReserveRatio = 0.25

// reserveHalfLife is the half-life of the number of slots reserved for short
// requests when fewer are needed.
const reserveHalfLife = 20 * time.Second

// defaultPerToken is the time per token in seconds that is assumed before the
// first sample.
const defaultPerToken = 0.02

// average is an exponentially weighted moving average.
type average struct {
	value float64
	known bool
}

// averageWeight is the weight of a new sample.
const averageWeight = 0.05

func (a *average) add(sample float64) {
	if !a.known {
		a.value, a.known = sample, true
		return
	}
	a.value += averageWeight * (sample - a.value)
}

// quantile estimates a quantile of its samples. Each sample moves the estimate by
// a step proportional to the current estimate.
type quantile struct{ value float64 }

// The estimated quantile and the relative size of a step.
const (
	trackedQuantile = 0.75
	quantileStep    = 0.05
)

func (q *quantile) add(sample float64) {
	if q.value == 0 {
		q.value = sample
		return
	}
	step := quantileStep * max(q.value, 0.001)
	if sample > q.value {
		q.value += step * trackedQuantile
		return
	}
	q.value -= step * (1 - trackedQuantile)
}

// service holds the queues of one service.
type service struct {
	name    string
	slots   int
	classes [classes]class
	// usage holds the usage of each customer; users lists the same values.
	usage map[*customer]*usage
	users []*usage
	// shares summarizes usage; it is recomputed if sharesStale is set.
	shares      shares
	sharesStale bool
	// reviewAt is the time of the next review of the queues.
	reviewAt time.Duration
	// virtualTime is the start tag of the class served last.
	virtualTime float64
	// shortPeak is the decaying peak of short requests in flight or queued.
	shortPeak   float64
	shortPeakAt time.Duration
}

func newService(name string) *service {
	s := &service{name: name, usage: make(map[*customer]*usage)}
	s.classes[classShort] = newClass(shortWeight)
	s.classes[classLong] = newClass(longWeight)
	return s
}

// configure sets the capacity.
func (s *service) configure(e Capacity) {
	s.slots = max(0, e.Slots)
	s.sharesStale = true
	if e.TokensPerSecond <= 0 || s.slots == 0 {
		return
	}
	for i := range s.classes {
		if !s.classes[i].perToken.known {
			s.classes[i].perToken.value = float64(s.slots) / e.TokensPerSecond
		}
	}
}

func (s *service) inFlight() int {
	return s.classes[classShort].inFlight + s.classes[classLong].inFlight
}

// raiseShortPeak raises shortPeak to the current number of short requests.
func (s *service) raiseShortPeak(now time.Duration) {
	s.decayShortPeak(now)
	short := &s.classes[classShort]
	count := short.inFlight
	for _, f := range short.active {
		count += len(f.queue)
	}
	s.shortPeak = max(s.shortPeak, float64(count))
}

func (s *service) decayShortPeak(now time.Duration) {
	if now > s.shortPeakAt {
		s.shortPeak *= math.Exp2(-float64(now-s.shortPeakAt) / float64(reserveHalfLife))
		s.shortPeakAt = now
	}
	if s.shortPeak < 0.1 {
		s.shortPeak = 0
	}
}

// limit returns the number of requests that may be in flight before a request
// of the class has to wait. Long requests leave reserved slots to short ones.
func (s *service) limit(kind int) int {
	if kind == classShort || s.shortPeak == 0 {
		return s.slots
	}
	reserve := min(int(math.Ceil(s.shortPeak)), int(maxReserveRatio*float64(s.slots)))
	free := max(0, reserve-s.classes[classShort].inFlight)
	return s.slots - free
}

// next returns the class and flow to serve next, or nil if no request may start.
func (s *service) next() (*class, *flow) {
	var bestClass *class
	var bestFlow *flow
	for kind := range s.classes {
		c := &s.classes[kind]
		free := s.limit(kind) - s.inFlight()
		if free <= 0 {
			continue
		}
		f := s.nextFlow(c, free)
		if f == nil {
			continue
		}
		if bestClass == nil || c.startTag < bestClass.startTag {
			bestClass, bestFlow = c, f
		}
	}
	return bestClass, bestFlow
}

// nextFlow returns the flow of a class to serve next with the given number of
// free slots, or nil if no request may start.
func (s *service) nextFlow(c *class, free int) *flow {
	var best *flow
	for _, f := range c.active {
		if best != nil && f.startTag >= best.startTag {
			continue
		}
		if f.customer.blocked() || s.reservedForOthers(f.customer) >= free {
			continue
		}
		best = f
	}
	return best
}

// start charges an admitted request to its class and flow.
func (s *service) start(c *class, r *request) {
	s.virtualTime = max(s.virtualTime, c.startTag)
	c.startTag += r.cost / c.weight
	c.start(r)
}

// push queues a request.
func (s *service) push(r *request) {
	c := s.class(r)
	if len(c.active) == 0 {
		c.startTag = max(c.startTag, s.virtualTime)
	}
	c.push(r)
}

func (s *service) class(r *request) *class {
	if r.Short {
		return &s.classes[classShort]
	}
	return &s.classes[classLong]
}
