package placement

import (
	"math"
	"time"
)

const (
	// occupancyStep is the weight of one attempt in the average time that it holds a slot.
	occupancyStep = 0.1
	// initialOccupancy is that time until an attempt has ended.
	initialOccupancy = time.Second
	// rateStep is the ratio of two neighbouring rates that RoomRate returns, so that they
	// change seldom.
	rateStep = 1.1
	// fullTime is how long a brittle server that turned a request away gets no other one.
	fullTime = 250 * time.Millisecond
	// urgentSlots is the number of slots that a brittle server keeps for the most urgent requests, and
	// minShared the number of slots from which on it does.
	urgentSlots = 1
	minShared   = 4
)

// Load pattern: servers that let fewer requests wait than before, under more requests than fit, fall
// over when they turn too many away, and each fall moves its load to the others. The rate that
// entries share bounds how many requests arrive at once; the room that each entry knows bounds
// how many are there.

// SetBrittle records whether a server says that it falls over when it turns too many requests away.
// Such a server gets no more requests, of all entries, than run there at once.
func (p *Placer) SetBrittle(instance string, brittle bool) {
	if s := p.servers[instance]; s != nil {
		s.brittle = brittle
	}
}

// Brittle reports whether a server of a service is brittle.
func (p *Placer) Brittle(service string) bool {
	for _, s := range p.byName[service] {
		if s.brittle {
			return true
		}
	}
	return false
}

// RoomRate returns how many requests a second run at a server without waiting, from the time that
// attempts hold a slot. It is 0 if the server's slots are not known.
func (p *Placer) RoomRate(instance string) float64 {
	s := p.servers[instance]
	if s == nil || s.Slots == 0 {
		return 0
	}
	occupancy := p.occupancy[s.Service]
	if occupancy == 0 {
		occupancy = initialOccupancy
	}
	rate := float64(s.Slots) / occupancy.Seconds()
	return math.Pow(rateStep, math.Floor(math.Log(rate)/math.Log(rateStep)))
}

// occupied records how long an answered attempt held its slot.
func (p *Placer) occupied(service string, took time.Duration) {
	p.noteSlot(service, took)
	known := p.occupancy[service]
	if known == 0 {
		known = took
	}
	p.occupancy[service] = max(known+time.Duration(occupancyStep*float64(took-known)), time.Millisecond)
}

// full reports whether a brittle server has no room for a request of a rank: requests that are
// turned away make it fall over.
func (s *server) full(now time.Duration, rank int) bool {
	if !s.brittle || s.Slots == 0 {
		return false
	}
	room := s.Slots
	if rank > 0 && room >= minShared {
		room -= urgentSlots
	}
	return s.running+len(s.waiting) >= room || now < s.fullUntil
}
