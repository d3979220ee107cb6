package routing

import (
	"math/rand/v2"
	"time"
)

// A decision looks at the servers that hold the prefix and at firstTries random
// ones. If none of them meets the target at a load of goodLoad per slot or less,
// it compares all servers of a service with up to scanLimit, and else tierSample
// servers of each tier, from the cheapest tier on.
const (
	firstTries = 2
	goodLoad   = 0.75
	scanLimit  = 128
	tierSample = 2
	// minTiers and maxTiers bound the tiers that are looked at.
	minTiers = 4
	maxTiers = 24
)

// targetHeadroom is the part of the first token's target that a prediction may
// use up.
const targetHeadroom = 0.6

// The terms of a score; the lowest score wins. Each is relative to the request:
// a server that meets the target scores below missPenalty, one that was ejected
// above ejectedPenalty.
const (
	costWeight     = 1.0
	timeWeight     = 1.0
	missPenalty    = 100.0
	ejectedPenalty = 10000.0
)

// loadBound is the load per slot, in requests in flight, above which a server
// is not preferred for the prefix that it holds.
const loadBound = 1.0

// holderPreference is how much more than its own time a prompt that need not be
// worked through again is worth, as a multiple: it leaves the server's time and
// cache to others.
const holderPreference = 2.0

// roundRobin picks the next eligible server.
func (r *Router) roundRobin(now time.Duration, g *group, request *Request) (Decision, bool) {
	for range g.servers {
		s := g.servers[g.next%len(g.servers)]
		g.next = (g.next + 1) % len(g.servers)
		if r.eligible(s) {
			return s.decision(s.expect(now, request, 0), ReasonRoundRobin), true
		}
	}
	return Decision{Reason: ReasonNoServer}, false
}

// leastInFlight picks the server with the fewest of this entry's requests.
func (r *Router) leastInFlight(now time.Duration, g *group, request *Request) (Decision, bool) {
	var best *server
	offset := r.random.IntN(len(g.servers))
	for i := range g.servers {
		s := g.servers[(i+offset)%len(g.servers)]
		if r.eligible(s) && (best == nil || s.own < best.own) {
			best = s
		}
	}
	if best == nil {
		return Decision{Reason: ReasonNoServer}, false
	}
	return best.decision(best.expect(now, request, 0), ReasonLeastInFlight), true
}

// choice compares servers for one request.
type choice struct {
	router  *Router
	request *Request
	now     time.Duration
	// target and gapTarget are in seconds; zero means none.
	target, gapTarget float64
	// costScale and timeScale make the terms of a score relative.
	costScale, timeScale float64

	best         *server
	bestScore    float64
	bestEstimate estimate
}

// expectedCompletion picks the cheapest server that meets the target, or the
// earliest one if none does.
func (r *Router) expectedCompletion(now time.Duration, g *group, request *Request) (Decision, bool) {
	c := &r.choice
	*c = choice{router: r, request: request, now: now}
	c.target = request.Policy.FirstTokenTargetMS / 1000 * targetHeadroom
	c.gapTarget = request.Policy.TokenGapTargetMS / 1000
	c.scale(g)
	holders := 0
	if request.Policy.PrefixAffinity && request.Prefix != 0 {
		holders = r.markHolders(g, request)
	}
	switch {
	case c.tryFew(g.servers, r.marked[:holders], r.random):
	case len(g.servers) <= r.scanLimit:
		c.scan(g.servers, r.random)
	default:
		c.sample(g, r.random)
	}
	if c.best == nil || c.bestScore >= ejectedPenalty {
		c.scan(g.servers, r.random)
	}
	if c.best == nil {
		return Decision{Reason: ReasonNoServer}, false
	}
	return c.best.decision(c.bestEstimate, c.reason()), true
}

// scale sets what costs and times are compared with: an idle server of the
// group, taken as the first one.
func (c *choice) scale(g *group) {
	reference := g.servers[0]
	output := float64(c.request.OutputTokens)
	prompt := float64(c.request.PromptTokens)
	if reference.gap.guess == 0 {
		c.timeScale = reference.residence.guess
		c.costScale = reference.pricePerSecond * reference.residence.guess / reference.slots
	} else {
		prefill := prompt * reference.prefill.guess
		c.timeScale = prefill + output*reference.gap.guess
		c.costScale = reference.pricePerSecond * (prefill + output*reference.gap.guess/reference.slots)
	}
	c.timeScale = 1 / max(c.timeScale, 1e-6)
	if c.costScale > 0 {
		c.costScale = 1 / c.costScale
	}
}

// markHolders notes at the servers that may hold the request's prefix how much
// they save. It fills r.marked and returns the number of servers in it.
func (r *Router) markHolders(g *group, request *Request) int {
	e := r.prefixes.find(request.Prefix)
	if e == nil {
		return 0
	}
	shared := e.sharedTokens(float64(request.PromptTokens), request.PrefixTokens)
	count := 0
	for i := range e.holders {
		h := &e.holders[i]
		certainty := h.certainty()
		if certainty < minConfidence || h.server.group != g || !r.eligible(h.server) {
			continue
		}
		h.server.marked = r.pick
		h.server.cached = certainty * shared
		r.marked[count] = h.server
		count++
	}
	return count
}

// consider compares one server with the best so far.
func (c *choice) consider(s *server) {
	if !c.router.eligible(s) {
		return
	}
	var cached float64
	if s.marked == c.router.pick {
		cached = s.cached
	}
	e := s.expect(c.now, c.request, cached)
	if cached > 0 && e.load >= loadBound {
		cached = 0
		e = s.expect(c.now, c.request, 0)
	}
	score := c.score(s, &e)
	if c.target == 0 || e.first <= c.target {
		score -= holderPreference * cached * s.prefill.value * c.timeScale
	}
	if c.best == nil || score < c.bestScore {
		c.best, c.bestScore, c.bestEstimate = s, score, e
	}
}

// score weighs price against time; lower is better.
func (c *choice) score(s *server, e *estimate) float64 {
	score := costWeight*e.cost*c.costScale + timeWeight*e.completion*c.timeScale
	if c.target > 0 && e.first > c.target {
		score += missPenalty + e.first/c.target
	}
	if c.gapTarget > 0 && e.gap > c.gapTarget {
		score += e.gap / c.gapTarget
	}
	if s.ejection.avoided(c.now) {
		score += ejectedPenalty
	}
	return score
}

// scan considers all servers, from a random one on.
func (c *choice) scan(servers []*server, random *rand.Rand) {
	offset := random.IntN(len(servers))
	for _, s := range servers[offset:] {
		c.consider(s)
	}
	for _, s := range servers[:offset] {
		c.consider(s)
	}
}

// tryFew considers the holders of the prefix and a few random servers. It
// returns whether one of them will do.
func (c *choice) tryFew(servers, holders []*server, random *rand.Rand) bool {
	for _, s := range holders {
		c.consider(s)
	}
	for range firstTries {
		c.consider(servers[random.IntN(len(servers))])
	}
	return c.good()
}

// good reports whether the best so far will do without looking further.
func (c *choice) good() bool {
	return c.best != nil && c.bestScore < missPenalty && c.bestEstimate.load <= goodLoad
}

// sample considers a few usable servers of each tier, cheapest tiers first. It
// ends after minTiers with a good server and after maxTiers with any server that
// meets the target.
func (c *choice) sample(g *group, random *rand.Rand) {
	tiers := 0
	for _, t := range g.tiers {
		if t.usable == 0 {
			continue
		}
		if tiers >= minTiers && c.good() {
			return
		}
		if tiers >= maxTiers && c.best != nil && c.bestScore < missPenalty {
			return
		}
		tiers++
		for range tierSample {
			c.consider(t.servers[random.IntN(t.usable)])
		}
	}
}

// reason explains the choice.
func (c *choice) reason() Reason {
	s := c.best
	switch {
	case s.ejection.failures >= ejectAfter:
		return ReasonProbe
	case s.marked == c.router.pick && c.bestEstimate.load < loadBound:
		return ReasonPrefix
	case c.target > 0 && c.bestEstimate.first > c.target:
		return ReasonEarliest
	}
	return ReasonCheapest
}

// decision builds the Decision that picks s.
func (s *server) decision(e estimate, reason Reason) Decision {
	return Decision{
		Server:             s.Name,
		ExpectedFirstToken: seconds(e.first),
		ExpectedCompletion: seconds(e.completion),
		Reason:             reason,
	}
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
