package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// crash is the end of one server.
type crash struct {
	instance string
	release  Release
	at       time.Duration
	// explained is true if a part is barred under which the server ended.
	explained bool
}

// hit is a crash under an attempt with a part.
type hit struct {
	crash  *crash
	placed time.Duration
	// request and customer are hashes.
	request, customer uint64
	head, unsure      bool
}

// weight returns what the hit counts against a shared part, or one that is the request's own.
func (h *hit) weight(own bool) float64 {
	switch {
	case h.unsure:
		return unsureWeight
	case own || h.head:
		return 1
	default:
		return waitingWeight
	}
}

// suspect is the evidence against a part since an answer last began on it.
type suspect struct {
	// hits are ordered by the time of the crash.
	hits []hit
	// others is the number of answers begun at the release before the first hit.
	others uint64
	// own is true for a part that is the request's own.
	own bool
}

// add adds a hit and keeps the order. It drops the oldest of too many.
func (s *suspect) add(h hit) {
	s.hits = append(s.hits, h)
	slices.SortStableFunc(s.hits, func(a, b hit) int { return int(a.crash.at - b.crash.at) })
	if len(s.hits) > maxHits {
		s.hits = slices.Delete(s.hits, 0, len(s.hits)-maxHits)
	}
}

// drop removes the hits of crashes until a time.
func (s *suspect) drop(until time.Duration) {
	s.hits = slices.DeleteFunc(s.hits, func(h hit) bool { return h.crash.at <= until })
}

// weigh returns the weight of the crashes that came one after the other, and whether one
// of them is not explained by a barred part.
func (s *suspect) weigh() (weight float64, unexplained bool) {
	last := time.Duration(-1 << 62)
	for i := 0; i < len(s.hits); {
		c, heaviest := s.hits[i].crash, 0.0
		for ; i < len(s.hits) && s.hits[i].crash == c; i++ {
			if s.hits[i].placed >= last {
				heaviest = max(heaviest, s.hits[i].weight(s.own))
			}
		}
		if heaviest == 0 {
			continue
		}
		weight += heaviest
		last = c.at
		unexplained = unexplained || !c.explained
	}
	return weight, unexplained
}

// hitByAll reports whether it was hit by all crashes that hit another suspect.
func (s *suspect) hitByAll(other *suspect) bool {
	for _, h := range other.hits {
		if !slices.ContainsFunc(s.hits, func(own hit) bool { return own.crash == h.crash }) {
			return false
		}
	}
	return true
}

// distinct returns the numbers of requests and servers among the hits.
func (s *suspect) distinct() (requests, instances int) {
	byRequest, byInstance := make(map[uint64]bool), make(map[string]bool)
	for _, h := range s.hits {
		byRequest[h.request], byInstance[h.crash.instance] = true, true
	}
	return len(byRequest), len(byInstance)
}

// oneCustomer returns the customer of the hits, and false if they have several. Requests that
// were only waiting count if there are no others.
func (s *suspect) oneCustomer() (customer uint64, one bool) {
	hits := slices.DeleteFunc(slices.Clone(s.hits), func(h hit) bool { return !h.head })
	if len(hits) == 0 {
		hits = s.hits
	}
	customer = hits[0].customer
	return customer, !slices.ContainsFunc(hits, func(h hit) bool { return h.customer != customer })
}

// crashOf returns the crash of a server at a time, which may have been reported before.
func (g *Guard) crashOf(instance string, release Release, at time.Duration) *crash {
	for _, c := range g.crashes {
		if c.instance == instance && max(c.at-at, at-c.at) < sameCrash {
			c.at = min(c.at, at)
			return c
		}
	}
	if len(g.crashes) >= maxCrashes {
		g.crashes = slices.Delete(g.crashes, 0, 1)
	}
	c := &crash{instance: instance, release: release, at: at}
	g.crashes = append(g.crashes, c)
	return c
}

// suspectOf returns the evidence against a part, in which a new part has none.
func (g *Guard) suspectOf(now time.Duration, s spot, own bool) *suspect {
	if known := g.suspects[s]; known != nil {
		known.drop(now - evidenceKept)
		return known
	}
	if len(g.suspects) >= maxSuspects {
		g.forgetSuspects(now)
	}
	added := &suspect{others: g.begins[s.release], own: own}
	g.suspects[s] = added
	return added
}

// forgetSuspects forgets the parts whose evidence is old, and if there are still many, those
// with the fewest crashes, the oldest first. A server that ends under many requests leaves
// one crash for each of them.
func (g *Guard) forgetSuspects(now time.Duration) {
	var left []spot
	for s, known := range g.suspects {
		known.drop(now - evidenceKept)
		if len(known.hits) == 0 {
			delete(g.suspects, s)
			continue
		}
		left = append(left, s)
	}
	if len(left) <= keptSuspects {
		return
	}
	slices.SortFunc(left, func(a, b spot) int {
		x, y := g.suspects[a].hits, g.suspects[b].hits
		return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x[len(x)-1].crash.at, y[len(y)-1].crash.at))
	})
	for _, s := range left[:len(left)-keptSuspects] {
		delete(g.suspects, s)
	}
}
