package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleInterval is the least time between two samples of a server's factor. Disturbances last
	// some 100 ms, so that closer samples tell nothing new.
	sampleInterval = 200 * time.Millisecond
	// samplesKept is the number of samples kept for a server: 5 s or more.
	samplesKept = 25
	// ownSpeedQuantile is the part of the samples that are below the factor of the server's own speed. It is
	// below the median, because disturbances only add to the factor.
	ownSpeedQuantile = 0.4
	// speedPrior is the weight of the assumption that a server is as fast as the average one, in samples.
	speedPrior = 0.5
	// minSlowness and maxSlowness bound the factor of a server's own speed.
	minSlowness, maxSlowness = 0.25, 4.0
	// disturbanceLife is the age from which on a factor tells nothing of a disturbance. By recorded
	// responses an engine that is disturbed still is after 100, 300, 400 and 600 ms with a probability of 0.8,
	// 0.5, 0.3 and 0.12, the last of which is about that of any engine.
	disturbanceLife = 550 * time.Millisecond
	// paceQuantile is the part of the answers that are earlier than the pace that counts. It is below the median,
	// because queues that this entry doesn't know of only add to the time until answers begin.
	paceQuantile = 0.2
	// paceStep and firstPaceStep are the change of the logarithm of a pace by one answer, later and at first.
	paceStep, firstPaceStep = 0.05, 1.0
	// maxPace bounds the pace of one answer, as a ratio: most of a longer time is due to a queue.
	maxPace = 4.0
	// A server's reports are ignored if its answers begin ignoreRatio later, or earlier, than its reports
	// predict, relative to the other servers of its service and on the average of minPaces answers. They
	// count again below trustRatio.
	ignoreRatio, trustRatio = 2, 1.4
	minPaces                = 10.0
)

// Load pattern: servers of one service with speeds that differ by a factor of three, and disturbances of some
// 100 ms during which work takes 2.5 times as long. A report is older than a disturbance unless another
// entry has announced it a moment ago.

// speed estimates how long work takes at a server relative to an average one of its service.
type speed struct {
	// base is the factor of the server's own speed, without disturbances; 0 if not known.
	base float64
	// last is the latest factor.
	last   float64
	lastAt time.Duration
	// count is the number of samples kept; samples holds the latest factors that the server reported, the next of
	// which is put at next, and sampled is when the last one was.
	count   int
	next    int
	sampled time.Duration
	samples [samplesKept]float32
	// pace is a low quantile of the logarithm of the time until answers began relative to an average server,
	// and deviation that relative to the server's reports.
	pace, deviation quantile
	// ignored is true while the server's reports contradict its answers; noted is true once
	// this has been returned by TakeIgnored.
	ignored, noted bool
}

// observe adds a factor that the server reported at a time.
func (s *speed) observe(at time.Duration, factor float64) {
	if factor <= 0 {
		return
	}
	if s.count == 0 || at >= s.lastAt {
		s.last, s.lastAt = factor, at
	}
	if s.count > 0 && at < s.sampled+sampleInterval {
		return
	}
	s.samples[s.next] = float32(factor)
	s.next = (s.next + 1) % samplesKept
	s.count = min(s.count+1, samplesKept)
	s.sampled = at
	sorted := s.samples
	slices.Sort(sorted[:s.count])
	typical := float64(sorted[int(ownSpeedQuantile*float64(s.count-1))])
	confidence := float64(s.count) / (float64(s.count) + speedPrior)
	s.base = clampSlowness(math.Pow(typical, confidence))
}

func clampSlowness(factor float64) float64 {
	return math.Min(math.Max(factor, minSlowness), maxSlowness)
}

// slowness returns how long work takes at the server now, as a multiple of the time at an average server. It is 1 if
// the server has reported no factor.
func (s *speed) slowness(now time.Duration) float64 {
	if s.count == 0 {
		return 1
	}
	if s.ignored {
		return s.observed()
	}
	return s.reported(now)
}

// reported returns the slowness by the server's reports.
func (s *speed) reported(now time.Duration) float64 {
	left := 1 - float64(max(now-s.lastAt, 0))/float64(disturbanceLife)
	if left <= 0 {
		return s.base
	}
	return s.base + (math.Max(s.last, minSlowness)-s.base)*left
}

// typical returns the factor of the server's own speed.
func (s *speed) typical() float64 {
	switch {
	case s.count == 0:
		return 1
	case s.ignored:
		return s.observed()
	}
	return s.base
}

// observed returns the factor that the server's answers show, whatever it reports.
func (s *speed) observed() float64 { return clampSlowness(math.Exp(s.pace.value)) }

// disturbedPart is the part of their speed that servers which report a factor are expected to do. Prompts queue up
// during a disturbance, in which work takes 2.5 times as long, and have to be read before the next one.
const disturbedPart = 0.77

// usableSpeed returns the average speed of servers that is available for prompts, relative to one with the factor 1.
func usableSpeed(servers []*server) float64 {
	speed := meanSpeed(servers)
	if slices.ContainsFunc(servers, func(s *server) bool { return s.loads != nil && s.loads.speed.count > 0 }) {
		speed *= disturbedPart
	}
	return speed
}

// meanSpeed returns the average speed of servers relative to one with the factor 1.
func meanSpeed(servers []*server) float64 {
	sum := 0.0
	for _, s := range servers {
		if s.loads == nil {
			sum++
			continue
		}
		sum += 1 / s.loads.speed.typical()
	}
	return sum / float64(max(len(servers), 1))
}

// IgnoredReport is a server whose load reports are ignored, because its answers contradict them.
type IgnoredReport struct {
	Server string
	// Reported is the factor of its own speed that the server reports, and Observed the one that its
	// answers show.
	Reported, Observed float64
}

// TakeIgnored returns the servers whose reports began to be ignored since the last call, each once.
func (p *Placer) TakeIgnored() []IgnoredReport {
	ignored := p.ignored
	p.ignored = nil
	return ignored
}

// comparePace compares the time until an answer began, relative to the one predicted at an average server, with the
// server's reports. own is true if it is to be announced to the other entries.
func (p *Placer) comparePace(at time.Duration, s *server, ratio float64, own bool) {
	if s.loads == nil || s.loads.speed.count == 0 {
		return
	}
	if own {
		s.loads.ownPace = ratio
	}
	seen := math.Log(math.Min(math.Max(ratio, 1/maxPace), maxPace))
	speed := &s.loads.speed
	deviation := seen - math.Log(speed.reported(at))
	service := p.reportsOf(s.Service)
	service.deviation.add(deviation)
	speed.addPace(seen, deviation-service.deviation.value)
	if speed.ignored && !speed.noted {
		speed.noted = true
		p.ignored = append(p.ignored, IgnoredReport{Server: s.Name, Reported: speed.base, Observed: speed.observed()})
	}
}

// addPace adds the pace of an answer, and its deviation from what the server's reports predict.
func (s *speed) addPace(seen, deviation float64) {
	s.pace.add(seen)
	s.deviation.add(deviation)
	size := math.Abs(s.deviation.value)
	switch {
	case s.deviation.count < minPaces:
	case size > math.Log(ignoreRatio):
		s.ignored = true
	case size < math.Log(trustRatio):
		s.ignored = false
	}
}

// quantile tracks a low quantile of a sequence of values.
type quantile struct{ value, count float64 }

func (q *quantile) add(value float64) {
	step := math.Max(paceStep, firstPaceStep/(1+q.count))
	q.count++
	if value > q.value {
		q.value += step * paceQuantile
	} else {
		q.value -= step * (1 - paceQuantile)
	}
}
