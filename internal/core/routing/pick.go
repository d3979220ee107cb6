package routing

import (
	"math/rand/v2"
	"time"
)

// A decision first evaluates the servers that hold the prefix and randomTries
// random servers. If none of them meets the target with at most goodLoad requests
// in flight per slot, it evaluates all servers of a service that has up to
// scanLimit servers. For larger services it evaluates tierSample servers of each
// tier, beginning with the cheapest tier.
const (
	randomTries = 2
	goodLoad    = 0.75
	scanLimit   = 128
	tierSample  = 2
	// minTiers and maxTiers bound the number of tiers that are sampled.
	minTiers = 4
	maxTiers = 24
)

// targetRatio is the part of the first-token target that a prediction must not
// exceed.
const targetRatio = 0.6

// The terms of a score; the server with the lowest score is picked. Terms are
// relative to the cost and time of the request at an idle server: a server that
// meets the target scores below missPenalty, an ejected server above
// ejectedPenalty.
const (
	costWeight     = 1.0
	timeWeight     = 1.0
	missPenalty    = 100.0
	ejectedPenalty = 10000.0
)

// holderMaxLoad is the number of requests in flight per slot from which a server is
// no longer preferred for the prefix that it holds.
const holderMaxLoad = 1.0

// cachedWeight is the additional weight of the time saved by not reading cached
// prompt tokens: a cache hit leaves the server's time and cache space to other
// requests.
const cachedWeight = 2.0

// roundRobin picks the next eligible server in order of names.
func (r *Router) roundRobin(now time.Duration, g *group, request *Request) (Decision, bool) {
	for range g.servers {
		s := g.servers[g.next%len(g.servers)]
		g.next = (g.next + 1) % len(g.servers)
		if r.eligible(s) {
			return s.decision(s.predict(now, request, 0), ReasonRoundRobin), true
		}
	}
	return Decision{Reason: ReasonNoServer}, false
}

// leastInFlight picks the server with the fewest of this entry's requests in
// flight.
func (r *Router) leastInFlight(now time.Duration, g *group, request *Request) (Decision, bool) {
	var best *server
	offset := r.random.IntN(len(g.servers))
	for i := range g.servers {
		s := g.servers[(i+offset)%len(g.servers)]
		if r.eligible(s) && (best == nil || s.ownInFlight < best.ownInFlight) {
			best = s
		}
	}
	if best == nil {
		return Decision{Reason: ReasonNoServer}, false
	}
	return best.decision(best.predict(now, request, 0), ReasonLeastInFlight), true
}

// choice evaluates servers for one request and holds the best so far.
type choice struct {
	router  *Router
	request *Request
	now     time.Duration
	// target and gapTarget are in seconds; zero means no target.
	target, gapTarget float64
	// costScale and timeScale normalize the terms of a score.
	costScale, timeScale float64

	best         *server
	bestScore    float64
	bestEstimate estimate
}

// expectedCompletion picks the cheapest server that meets the target, or the one
// with the earliest completion if none does.
func (r *Router) expectedCompletion(now time.Duration, g *group, request *Request) (Decision, bool) {
	c := &r.choice
	*c = choice{router: r, request: request, now: now}
	c.target = request.Policy.FirstTokenTargetMS / 1000 * targetRatio
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

// scale sets costScale and timeScale so that the request has a cost and a time of 1
// at an idle server of the group. The first server is the reference.
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

// markHolders finds the eligible servers that may hold the request's prefix and
// sets how many tokens each is expected to have cached. It stores these servers in
// r.marked and returns their number.
func (r *Router) markHolders(g *group, request *Request) int {
	e := r.prefixes.find(request.Prefix)
	if e == nil {
		return 0
	}
	shared := e.sharedTokens(float64(request.PromptTokens), request.PrefixTokens)
	count := 0
	for i := range e.holders {
		h := &e.holders[i]
		currentConfidence := h.currentConfidence()
		if currentConfidence < minConfidence || h.server.group != g || !r.eligible(h.server) {
			continue
		}
		h.server.marked = r.pickNumber
		h.server.cached = currentConfidence * shared
		r.marked[count] = h.server
		count++
	}
	return count
}

// consider evaluates one server and keeps it if it is the best so far.
func (c *choice) consider(s *server) {
	if !c.router.eligible(s) {
		return
	}
	var cached float64
	if s.marked == c.router.pickNumber {
		cached = s.cached
	}
	e := s.predict(c.now, c.request, cached)
	if cached > 0 && e.load >= holderMaxLoad {
		cached = 0
		e = s.predict(c.now, c.request, 0)
	}
	score := c.score(s, &e)
	if c.target == 0 || e.first <= c.target {
		score -= cachedWeight * cached * s.prefill.value * c.timeScale
	}
	if c.best == nil || score < c.bestScore {
		c.best, c.bestScore, c.bestEstimate = s, score, e
	}
}

// score returns the weighted sum of cost and time with the penalties. The lowest
// score is best.
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

// scan considers all servers, starting at a random one.
func (c *choice) scan(servers []*server, random *rand.Rand) {
	offset := random.IntN(len(servers))
	for _, s := range servers[offset:] {
		c.consider(s)
	}
	for _, s := range servers[:offset] {
		c.consider(s)
	}
}

// tryFew considers the holders of the prefix and a few random servers. It reports
// whether one of them is good enough.
func (c *choice) tryFew(servers, holders []*server, random *rand.Rand) bool {
	for _, s := range holders {
		c.consider(s)
	}
	for range randomTries {
		c.consider(servers[random.IntN(len(servers))])
	}
	return c.goodEnough()
}

// goodEnough reports whether the best server so far makes it unnecessary to
// consider more.
func (c *choice) goodEnough() bool {
	return c.best != nil && c.bestScore < missPenalty && c.bestEstimate.load <= goodLoad
}

// sample considers a few random usable servers of each tier, in order of price. It
// stops after minTiers tiers if a server is good enough, and after maxTiers tiers
// if a server meets the target.
func (c *choice) sample(g *group, random *rand.Rand) {
	tiers := 0
	for _, t := range g.tiers {
		if t.usable == 0 {
			continue
		}
		if tiers >= minTiers && c.goodEnough() {
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

// reason returns the reason for the choice.
func (c *choice) reason() Reason {
	s := c.best
	switch {
	case s.ejection.failures >= ejectAfter:
		return ReasonProbe
	case s.marked == c.router.pickNumber && c.bestEstimate.load < holderMaxLoad:
		return ReasonPrefix
	case c.target > 0 && c.bestEstimate.first > c.target:
		return ReasonEarliest
	}
	return ReasonCheapest
}

// decision returns the Decision to pick s.
func (s *server) decision(e estimate, reason Reason) Decision {
	return Decision{
		Server:             s.Name,
		ExpectedFirstToken: seconds(e.first),
		ExpectedCompletion: seconds(e.completion),
		Reason:             reason,
	}
}

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
