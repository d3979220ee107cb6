// Package scaling decides how many backend servers of a service to order in each
// zone, and of which kind. Reclaimable ones are cheap and may be taken back, all
// of a zone at once; the others are kept as long as they are wanted.
//
// Load pattern: requests in flight that follow a wave and burst faster than a
// server starts, while zones lose their reclaimable servers on seconds of notice,
// one after the other, and replacements are refused for a while. The plan
// therefore holds enough reclaimable servers for recent load to fit after two
// zones are lost. It orders others only for what load needs at the moment and
// reclaimable ones can't give.
//
// The package does no I/O and is not safe for concurrent use.
package scaling

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// usedSlots is the part of a model engine's slots that may be in use before
	// another engine is wanted.
	usedSlots = 0.7
	// usedRate is the part of an engine's time that may go into reading prompts.
	// First tokens come late beyond it, as prompts come in clumps.
	usedRate = 0.8
	// holdTime is how long reclaimable servers are kept for a peak: about half
	// of a usual wave, so that they are not given up only to be started again.
	holdTime = 20 * time.Second
	// recentTime is how long the others, which are dear, are kept for one.
	recentTime = 5 * time.Second
	// lostZones is the number of zones that may lose their reclaimable servers
	// before replacements are to be had again.
	lostZones = 2
	// releaseInterval separates two servers given up after that.
	releaseInterval = 4 * time.Second
	// refusedFor is how long a zone is left alone after an order was refused.
	refusedFor = 3 * time.Second
	// repeatMargin is how long beyond its start a server may take to show in the
	// lagging list before the order is given again.
	repeatMargin = 4 * time.Second
)

// Spec is what the configuration says about a service.
type Spec struct {
	Service string
	// Zones lists the zones in which servers may be ordered, with the price of
	// a server there.
	Zones []Zone
	// Min and Max bound the servers of a zone, both kinds together.
	Min, Max int
	// Boot is the time from an order to a server that serves.
	Boot time.Duration
	// Slots is the number of requests that a server runs at a time.
	Slots int
}

// Zone is an availability zone with the price of a server.
type Zone struct {
	Name  string
	Price float64
}

// Server is one server of the platform's list.
type Server struct {
	Zone        string
	Reclaimable bool
	Leaving     bool
}

// Order asks for a number of servers of one kind in a zone.
type Order struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// Event is something that a Scaler acts on.
type Event interface{ isEvent() }

// Observed brings what is known of the service.
type Observed struct {
	Spec    Spec
	Servers []Server
	Load    Load
}

// Load is what all entries ask of a service.
type Load struct {
	// InFlight is the number of requests that run or wait.
	InFlight float64
	// Work is the prompt work in tokens a second, and Rate the work that one
	// server does in a second; zero if it is not known.
	Work float64
	Rate float64
}

// need returns the number of servers that a load asks for.
func (l Load) need(slots int) float64 {
	need := l.InFlight / (usedSlots * float64(max(slots, 1)))
	if l.Rate > 0 {
		need = math.Max(need, l.Work/(usedRate*l.Rate))
	}
	return math.Ceil(need)
}

// Answered says how an order ended.
type Answered struct {
	Order Order
	// Refused is true if the platform has no such servers there now; Failed if
	// it is not known whether the order was taken.
	Refused bool
	Failed  bool
}

func (Observed) isEvent() {}
func (Answered) isEvent() {}

// place is one kind of server in one zone.
type place struct {
	zone        string
	reclaimable bool
}

// standing is what was last ordered at a place.
type standing struct {
	count int
	at    time.Duration
	known bool
	// refusedUntil is when an order may be given again after a refusal.
	refusedUntil time.Duration
}

// Scaler plans one service.
type Scaler struct {
	orders map[place]*standing
	// held and recent are the numbers of servers that load needed within
	// holdTime and recentTime.
	held     float64
	heldAt   time.Duration
	recent   float64
	recentAt time.Duration
	started  bool
	load     Load
}

// New returns a scaler that has ordered nothing yet.
func New() *Scaler { return &Scaler{orders: make(map[place]*standing)} }

// Step takes an event in and returns the orders to give.
func (s *Scaler) Step(now time.Duration, ev Event) []Order {
	switch ev := ev.(type) {
	case Observed:
		return s.observed(now, ev)
	case Answered:
		s.answered(now, ev)
	}
	return nil
}

// Load returns the load that was observed last.
func (s *Scaler) Load() Load { return s.load }

// Held returns the number of servers that recent load needs, before losses.
func (s *Scaler) Held() float64 { return s.held }

func (s *Scaler) answered(now time.Duration, ev Answered) {
	at := s.at(place{ev.Order.Zone, ev.Order.Reclaimable})
	switch {
	case ev.Refused:
		at.refusedUntil = now + refusedFor
		at.known = false
	case ev.Failed:
		at.known = false
	default:
		at.count, at.at, at.known = ev.Order.Count, now, true
	}
}

func (s *Scaler) at(p place) *standing {
	at := s.orders[p]
	if at == nil {
		at = &standing{}
		s.orders[p] = at
	}
	return at
}

func (s *Scaler) observed(now time.Duration, ev Observed) []Order {
	if len(ev.Spec.Zones) == 0 || ev.Spec.Max <= 0 {
		return nil
	}
	ready := count(ev.Servers)
	s.follow(now, ev)
	plan := s.plan(now, ev.Spec, ready)
	return s.changes(now, ev.Spec, ready, plan)
}

// count counts the servers that are not leaving by place.
func count(servers []Server) map[place]int {
	ready := make(map[place]int)
	for _, server := range servers {
		if !server.Leaving {
			ready[place{server.Zone, server.Reclaimable}]++
		}
	}
	return ready
}

// follow keeps the number of servers that recent load needs. It begins in the
// middle of what the service's bounds allow.
func (s *Scaler) follow(now time.Duration, ev Observed) {
	s.load = ev.Load
	need := ev.Load.need(ev.Spec.Slots)
	if !s.started {
		s.started = true
		zones := len(ev.Spec.Zones)
		s.held = float64(ev.Spec.Min+ev.Spec.Max) / 2 * float64(zones) * remaining(zones)
		s.heldAt = now
	}
	switch {
	case need >= s.held:
		s.held, s.heldAt = need, now
	case now-s.heldAt >= holdTime:
		s.held--
		s.heldAt = now - holdTime + releaseInterval
	}
	if need >= s.recent || now-s.recentAt >= recentTime {
		s.recent, s.recentAt = need, now
	}
}

// remaining is the part of the servers that is left when zones are lost.
func remaining(zones int) float64 {
	lost := min(lostZones, zones-1)
	return float64(zones-lost) / float64(zones)
}

// plan returns the number of servers wanted at each place.
func (s *Scaler) plan(now time.Duration, spec Spec, ready map[place]int) map[place]int {
	plan := make(map[place]int, 2*len(spec.Zones))
	total := s.held / remaining(len(spec.Zones))
	var open []Zone
	serving, coming, largest := 0, 0, 0
	for _, zone := range spec.Zones {
		p := place{zone.Name, true}
		serving += ready[p]
		coming += s.coming(now, spec, p, ready[p])
		largest = max(largest, ready[p])
		if now >= s.at(p).refusedUntil {
			open = append(open, zone)
		}
		plan[p] = ready[p]
	}
	if len(open) < len(spec.Zones) {
		// No replacements are to be had: the next zone that is lost must not be
		// counted on.
		serving -= largest
		coming -= largest
	}
	for _, zone := range open {
		each := int(math.Ceil(total / float64(len(open))))
		plan[place{zone.Name, true}] = min(max(each, spec.Min), spec.Max)
	}
	s.planOthers(spec, ready, plan, s.missing(spec, ready, serving, coming))
	return plan
}

// coming is the number of servers at a place, those included that start.
func (s *Scaler) coming(now time.Duration, spec Spec, p place, ready int) int {
	at := s.at(p)
	if at.known && now-at.at < spec.Boot+repeatMargin {
		return max(ready, at.count)
	}
	return ready
}

// missing is the number of others wanted: those that reclaimable servers, with
// the ones that start, can't stand in for, and of those that run already the
// ones that no reclaimable server stands in for yet.
func (s *Scaler) missing(spec Spec, ready map[place]int, serving, coming int) int {
	need := int(math.Ceil(s.recent))
	running := 0
	for _, zone := range spec.Zones {
		running += ready[place{zone.Name, false}]
	}
	return max(need-coming, min(running, need-serving))
}

// planOthers spreads the servers that are missing over the zones, where such
// servers run already first and then the cheapest. A zone keeps its least number
// until reclaimable ones serve there.
func (s *Scaler) planOthers(spec Spec, ready, plan map[place]int, missing int) {
	zones := slices.Clone(spec.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		if d := ready[place{b.Name, false}] - ready[place{a.Name, false}]; d != 0 {
			return d
		}
		if a.Price != b.Price {
			return int(math.Copysign(1, a.Price-b.Price))
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, zone := range zones {
		least := max(spec.Min-ready[place{zone.Name, true}], 0)
		plan[place{zone.Name, false}] = least
		missing -= least
	}
	for missing > 0 {
		placed := false
		for _, zone := range zones {
			other := place{zone.Name, false}
			if missing > 0 && plan[other]+ready[place{zone.Name, true}] < spec.Max {
				plan[other]++
				missing--
				placed = true
			}
		}
		if !placed {
			return
		}
	}
}

// changes returns the orders for which the plan differs from what was ordered,
// or for which what was ordered has not come.
func (s *Scaler) changes(now time.Duration, spec Spec, ready, plan map[place]int) []Order {
	var orders []Order
	for _, zone := range spec.Zones {
		for _, reclaimable := range []bool{true, false} {
			p := place{zone.Name, reclaimable}
			at := s.at(p)
			if now < at.refusedUntil || !s.differs(now, spec, at, ready[p], plan[p]) {
				continue
			}
			count := plan[p]
			if !reclaimable {
				// Room for what starts in this zone already.
				count = min(count, spec.Max)
			}
			orders = append(orders, Order{Service: spec.Service, Zone: zone.Name, Reclaimable: reclaimable, Count: count})
		}
	}
	return orders
}

func (s *Scaler) differs(now time.Duration, spec Spec, at *standing, ready, planned int) bool {
	if !at.known {
		return planned != ready
	}
	if planned != at.count {
		return true
	}
	return ready != at.count && now-at.at >= spec.Boot+repeatMargin
}
