package routing

import "time"

// roundRobin picks the next eligible server.
func (r *Router) roundRobin(now time.Duration, g *group, request *Request) (Decision, bool) {
	for range g.servers {
		s := g.servers[g.next%len(g.servers)]
		g.next = (g.next + 1) % len(g.servers)
		if r.eligible(s) {
			return s.decision(now, request, ReasonRoundRobin), true
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
	return best.decision(now, request, ReasonLeastInFlight), true
}

// expectedCompletion picks the server with the earliest expected completion.
func (r *Router) expectedCompletion(now time.Duration, g *group, request *Request) (Decision, bool) {
	var best *server
	var bestCompletion float64
	for _, s := range g.servers {
		if !r.eligible(s) {
			continue
		}
		_, completion := s.expect(now, request, 0)
		if best == nil || completion < bestCompletion {
			best, bestCompletion = s, completion
		}
	}
	if best == nil {
		return Decision{Reason: ReasonNoServer}, false
	}
	return best.decision(now, request, ReasonEarliest), true
}
