package routing

import (
	"cmp"
	"slices"
	"sort"
)

// group is the set of servers of one service.
type group struct {
	servers []*server
	// tiers holds the same servers by what they cost and how far they are.
	tiers []*tier
	ring  []ringPoint
	// next is the position of round robin.
	next int
	// othersSum and othersCount give the mean of the reported load of the
	// other entries.
	othersSum   float64
	othersCount int
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

// ringPoint is a point of the consistent hashing ring.
type ringPoint struct {
	hash   uint64
	server *server
}

// The points per server, for rings up to and beyond smallRing servers.
const (
	smallRing       = 128
	smallRingPoints = 8
)

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
		if s.reported {
			g.othersSum += s.others
			g.othersCount++
		}
	}
	for _, g := range groups {
		slices.SortFunc(g.servers, func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
		g.buildTiers()
		g.buildRing()
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

func (g *group) buildRing() {
	points := 1
	if len(g.servers) <= smallRing {
		points = smallRingPoints
	}
	g.ring = make([]ringPoint, 0, points*len(g.servers))
	for _, s := range g.servers {
		for i := range points {
			g.ring = append(g.ring, ringPoint{mix(s.hash + uint64(i)), s})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// ringStart returns the index of the ring's first point for a prefix.
func (g *group) ringStart(prefix uint64) int {
	hash := mix(prefix)
	return sort.Search(len(g.ring), func(i int) bool { return g.ring[i].hash >= hash })
}

// maxHomeTries bounds the points of the ring that are looked at.
const maxHomeTries = 16

// mix spreads a hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
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
