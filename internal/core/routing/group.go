package routing

import (
	"cmp"
	"slices"
)

// group is the set of servers of one service.
type group struct {
	servers []*server
	// tiers holds the same servers grouped by configuration, ordered by price and
	// then by network delay.
	tiers []*tier
	// next is the index of the next server for round robin.
	next int
	// othersSum and othersCount give the mean of the servers' numbers of requests
	// of other entries.
	othersSum   float64
	othersCount int
	// ownInFlightSum is the number of this entry's requests in flight.
	ownInFlightSum int
}

// tier is a set of servers whose configuration differs only in the name.
type tier struct {
	key tierKey
	// servers holds the usable servers first; usable is their number.
	servers []*server
	usable  int
}

// tierKey is the configuration that the servers of a tier have in common.
type tierKey struct {
	zone, class     string
	pricePerHour    float64
	tokensPerSecond float64
	delay           int64
	slots           int
}

// newGroups groups servers by service.
func newGroups(servers []*server) map[string]*group {
	groups := make(map[string]*group)
	for _, s := range servers {
		g := groups[s.Service]
		if g == nil {
			g = &group{}
			groups[s.Service] = g
		}
		g.servers = append(g.servers, s)
		s.group = g
		g.ownInFlightSum += s.ownInFlight
		if s.reported {
			g.othersSum += s.others
			g.othersCount++
		}
	}
	for _, g := range groups {
		slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
		g.buildTiers()
	}
	return groups
}

func (g *group) buildTiers() {
	byKey := make(map[tierKey]*tier)
	for _, s := range g.servers {
		key := tierKey{s.Zone, s.Class, s.PricePerHour, s.TokensPerSecond, int64(s.Delay), s.Slots}
		t := byKey[key]
		if t == nil {
			t = &tier{key: key}
			byKey[key] = t
			g.tiers = append(g.tiers, t)
		}
		s.tier = t
		s.position = len(t.servers)
		t.servers = append(t.servers, s)
		if s.usable {
			t.swap(s.position, t.usable)
			t.usable++
		}
	}
	slices.SortStableFunc(g.tiers, func(a, b *tier) int {
		if c := cmp.Compare(a.key.pricePerToken(), b.key.pricePerToken()); c != 0 {
			return c
		}
		return cmp.Compare(a.key.delay, b.key.delay)
	})
}

// pricePerToken returns the price by which tiers are ordered. For application
// servers it is the price per slot.
func (k *tierKey) pricePerToken() float64 {
	if k.tokensPerSecond > 0 {
		return k.pricePerHour / k.tokensPerSecond
	}
	return k.pricePerHour / float64(max(1, k.slots))
}

// setUsable moves a server between the usable and the unusable servers of its tier.
func (t *tier) setUsable(s *server, usable bool) {
	if s.usable == usable {
		return
	}
	s.usable = usable
	if usable {
		t.swap(s.position, t.usable)
		t.usable++
		return
	}
	t.usable--
	t.swap(s.position, t.usable)
}

func (t *tier) swap(i, j int) {
	t.servers[i], t.servers[j] = t.servers[j], t.servers[i]
	t.servers[i].position = i
	t.servers[j].position = j
}

// updateOthers updates the mean with a server's new number of requests of other
// entries.
func (g *group) updateOthers(s *server, others float64) {
	if s.reported {
		g.othersSum -= s.others
		g.othersCount--
	}
	g.othersSum += others
	g.othersCount++
}

// meanOthers returns the mean number per server of other entries' requests in
// flight.
func (g *group) meanOthers() float64 {
	if g.othersCount == 0 {
		return 0
	}
	return max(0, g.othersSum/float64(g.othersCount))
}

// othersPerOwn returns the ratio of other entries' requests in flight to those of
// this entry.
func (g *group) othersPerOwn() float64 {
	if g.ownInFlightSum == 0 {
		return 0
	}
	return min(maxOthersPerOwn, g.meanOthers()*float64(len(g.servers))/float64(g.ownInFlightSum))
}

// maxOthersPerOwn bounds othersPerOwn, which is unreliable while this entry has few
// requests in flight.
const maxOthersPerOwn = 16.0
