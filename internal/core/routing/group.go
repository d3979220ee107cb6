package routing

import (
	"cmp"
	"slices"
)

// group is the set of servers of one service.
type group struct {
	servers []*server
	// tiers holds the same servers by what they cost and how far they are.
	tiers []*tier
	// next is the position of round robin.
	next int
	// othersSum and othersCount give the mean of the reported load of the
	// other entries.
	othersSum   float64
	othersCount int
	// ownSum counts this entry's requests in flight.
	ownSum int
}

// tier is a set of servers that differ only in load.
type tier struct {
	key tierKey
	// servers holds the usable servers first.
	servers []*server
	usable  int
}

// tierKey is what the servers of a tier have in common.
type tierKey struct {
	zone, class     string
	pricePerHour    float64
	tokensPerSecond float64
	delay           int64
	slots           int
}

// newGroups sorts servers into groups by service.
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
		g.ownSum += s.own
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

// pricePerToken orders tiers; application servers go by price per slot.
func (k *tierKey) pricePerToken() float64 {
	if k.tokensPerSecond > 0 {
		return k.pricePerHour / k.tokensPerSecond
	}
	return k.pricePerHour / float64(max(1, k.slots))
}

// setUsable moves a server between the usable and the other part of its tier.
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

// noteOthers keeps the mean of the reported load up to date.
func (g *group) noteOthers(s *server, others float64) {
	if s.reported {
		g.othersSum -= s.others
		g.othersCount--
	}
	g.othersSum += others
	g.othersCount++
}

// meanOthers returns the mean load per server that other entries cause.
func (g *group) meanOthers() float64 {
	if g.othersCount == 0 {
		return 0
	}
	return max(0, g.othersSum/float64(g.othersCount))
}

// othersPerOwn returns how many requests other entries have in flight for one
// of this entry's.
func (g *group) othersPerOwn() float64 {
	if g.ownSum == 0 {
		return 0
	}
	return min(maxOthersPerOwn, g.meanOthers()*float64(len(g.servers))/float64(g.ownSum))
}

// maxOthersPerOwn bounds othersPerOwn while this entry has little in flight.
const maxOthersPerOwn = 16.0
