// Package scaling decides how many backend servers of a service to order in each
// zone, and of which kind. Reclaimable servers are cheap, but the platform may
// take them back, all of a zone at once. Regular servers, those that are not
// reclaimable, run as long as they are ordered.
//
// Load pattern: requests in flight rise and fall in waves, and in bursts that grow
// faster than a server starts. Zones lose their reclaimable servers one after
// another on a few seconds' notice, and replacements are refused for a while. The
// plan therefore has enough reclaimable servers for the recent load even after
// the loss of two zones. It adds regular servers only for the part of the current
// load that reclaimable servers can't take.
//
// The package does no I/O. A Scaler is not safe for concurrent use.
package scaling

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// maxSlotUse is the fraction of an engine's slots that may be in use before
	// another engine is needed.
	maxSlotUse = 0.7
	// maxPromptUse is the fraction of an engine's time that may be spent on
	// processing prompts. Beyond it first tokens are late: prompts arrive in
	// bursts, their lengths differ by a factor of 100, and a short one that waits
	// behind a long one misses a target of half a second.
	maxPromptUse = 0.65
	// peakHoldTime is how long reclaimable servers are kept after a load peak:
	// about half of a usual load wave, so that servers are not stopped just
	// before they are needed again.
	peakHoldTime = 20 * time.Second
	// recentHoldTime is how long regular servers are kept after a load peak. It
	// is shorter because they are expensive.
	recentHoldTime = 5 * time.Second
	// maxLostZones is the number of zones that may lose their reclaimable
	// servers before replacements become available.
	maxLostZones = 2
	// releaseInterval is the time between the releases of two servers after
	// peakHoldTime.
	releaseInterval = 4 * time.Second
	// refusalDelay is how long a pool gets no order after the platform refused
	// one.
	refusalDelay = 3 * time.Second
	// repeatMargin is the time beyond Spec.Boot that a new server may take to
	// appear in the platform's list, which lags, before its order is repeated.
	repeatMargin = 4 * time.Second
)

// Spec is the configuration of a service.
type Spec struct {
	Service string
	// Zones lists the zones in which servers may be ordered.
	Zones []Zone
	// Min and Max limit the servers of a zone, both kinds together.
	Min, Max int
	// Boot is the time from an order until the server serves requests.
	Boot time.Duration
	// Slots is the number of requests that a server runs concurrently.
	Slots int
}

// Zone is an availability zone with the price of a server.
type Zone struct {
	Name  string
	Price float64
}

// Server is a server in the platform's list.
type Server struct {
	Zone        string
	Reclaimable bool
	Leaving     bool
}

// Order sets the number of servers of one kind in a zone.
type Order struct {
	Service     string
	Zone        string
	Reclaimable bool
	Count       int
}

// Event is an input of Scaler.Step.
type Event interface{ isEvent() }

// Observed reports the current state of the service.
type Observed struct {
	Spec    Spec
	Servers []Server
	Load    Load
}

// Load is the load of a service, summed over all entries.
type Load struct {
	// InFlight is the number of running and waiting requests.
	InFlight float64
	// Work is the prompt work in tokens per second. Rate is the prompt work
	// that one server can do, in tokens per second; zero if it is not known.
	Work float64
	Rate float64
}

// need returns the number of servers that the load needs.
func (l Load) need(slots int) float64 {
	need := l.InFlight / (maxSlotUse * float64(max(slots, 1)))
	if l.Rate > 0 {
		need = math.Max(need, l.Work/(maxPromptUse*l.Rate))
	}
	return math.Ceil(need)
}

// OrderResult reports the result of an order.
type OrderResult struct {
	Order Order
	// Refused is true if the platform has no such servers in the zone now.
	// Failed is true if it is not known whether the order was accepted.
	Refused bool
	Failed  bool
}

func (Observed) isEvent()    {}
func (OrderResult) isEvent() {}

// pool is the servers of one kind in one zone.
type pool struct {
	zone        string
	reclaimable bool
}

// orderState is the state of the orders of a pool. count was last ordered at the
// time orderedAt; known is false if it is not known whether that is in effect.
type orderState struct {
	count     int
	orderedAt time.Duration
	known     bool
	// refusedUntil is the time from which a refused order may be repeated.
	refusedUntil time.Duration
}

// Scaler plans the servers of one service.
type Scaler struct {
	orders map[pool]*orderState
	// peakNeed is the latest peak of the number of servers needed. It is kept
	// for peakHoldTime and then reduced step by step. recentNeed is the latest
	// peak too, but it is kept for recentHoldTime and then dropped at once.
	peakNeed     float64
	peakNeedAt   time.Duration
	recentNeed   float64
	recentNeedAt time.Duration
	started      bool
	load         Load
}

// New returns a Scaler without orders.
func New() *Scaler { return &Scaler{orders: make(map[pool]*orderState)} }

// Step applies one event and returns the orders to place.
func (s *Scaler) Step(now time.Duration, ev Event) []Order {
	switch ev := ev.(type) {
	case Observed:
		return s.observed(now, ev)
	case OrderResult:
		s.orderResult(now, ev)
	}
	return nil
}

// Load returns the last observed load.
func (s *Scaler) Load() Load { return s.load }

// PeakNeed returns the number of servers that recent load peaks need, without the
// reserve for lost zones.
func (s *Scaler) PeakNeed() float64 { return s.peakNeed }

func (s *Scaler) orderResult(now time.Duration, ev OrderResult) {
	state := s.poolState(pool{ev.Order.Zone, ev.Order.Reclaimable})
	switch {
	case ev.Refused:
		state.refusedUntil = now + refusalDelay
		state.known = false
	case ev.Failed:
		state.known = false
	default:
		state.count, state.orderedAt, state.known = ev.Order.Count, now, true
	}
}

func (s *Scaler) poolState(p pool) *orderState {
	state := s.orders[p]
	if state == nil {
		state = &orderState{}
		s.orders[p] = state
	}
	return state
}

func (s *Scaler) observed(now time.Duration, ev Observed) []Order {
	if len(ev.Spec.Zones) == 0 || ev.Spec.Max <= 0 {
		return nil
	}
	ready := countReady(ev.Servers)
	s.updateNeed(now, ev)
	plan := s.plan(now, ev.Spec, ready)
	return s.newOrders(now, ev.Spec, ready, plan)
}

// countReady returns the number of servers that are not leaving in each pool.
func countReady(servers []Server) map[pool]int {
	ready := make(map[pool]int)
	for _, server := range servers {
		if !server.Leaving {
			ready[pool{server.Zone, server.Reclaimable}]++
		}
	}
	return ready
}

// updateNeed updates the number of servers needed from the observed load. Its
// initial value is in the middle of the service's limits.
func (s *Scaler) updateNeed(now time.Duration, ev Observed) {
	s.load = ev.Load
	need := ev.Load.need(ev.Spec.Slots)
	if !s.started {
		s.started = true
		zones := len(ev.Spec.Zones)
		s.peakNeed = float64(ev.Spec.Min+ev.Spec.Max) / 2 * float64(zones) * remainingFraction(zones)
		s.peakNeedAt = now
	}
	switch {
	case need >= s.peakNeed:
		s.peakNeed, s.peakNeedAt = need, now
	case now-s.peakNeedAt >= peakHoldTime:
		s.peakNeed--
		s.peakNeedAt = now - peakHoldTime + releaseInterval
	}
	if need >= s.recentNeed || now-s.recentNeedAt >= recentHoldTime {
		s.recentNeed, s.recentNeedAt = need, now
	}
}

// remainingFraction returns the fraction of the servers that remains after the
// loss of maxLostZones zones.
func remainingFraction(zones int) float64 {
	lost := min(maxLostZones, zones-1)
	return float64(zones-lost) / float64(zones)
}

// plan returns the number of servers wanted in each pool.
func (s *Scaler) plan(now time.Duration, spec Spec, ready map[pool]int) map[pool]int {
	plan := make(map[pool]int, 2*len(spec.Zones))
	total := s.peakNeed / remainingFraction(len(spec.Zones))
	var available []Zone
	serving, expected, largest := 0, 0, 0
	for _, zone := range spec.Zones {
		p := pool{zone.Name, true}
		serving += ready[p]
		expected += s.expected(now, spec, p, ready[p])
		largest = max(largest, ready[p])
		if now >= s.poolState(p).refusedUntil {
			available = append(available, zone)
		}
		plan[p] = ready[p]
	}
	if len(available) < len(spec.Zones) {
		// The platform refuses replacements, so the plan must not rely on the
		// zone with the most servers, which may be lost next.
		serving -= largest
		expected -= largest
	}
	for _, zone := range available {
		each := int(math.Ceil(total / float64(len(available))))
		plan[pool{zone.Name, true}] = min(max(each, spec.Min), spec.Max)
	}
	s.planRegular(spec, ready, plan, s.regularWanted(spec, ready, serving, expected))
	return plan
}

// expected returns the number of servers of a pool, including those that are
// starting.
func (s *Scaler) expected(now time.Duration, spec Spec, p pool, ready int) int {
	state := s.poolState(p)
	if state.known && now-state.orderedAt < spec.Boot+repeatMargin {
		return max(ready, state.count)
	}
	return ready
}

// regularWanted returns the number of regular servers wanted: as many as the load
// needs beyond the reclaimable servers that serve or start. Regular servers that
// run already are kept until reclaimable servers that serve have replaced them.
func (s *Scaler) regularWanted(spec Spec, ready map[pool]int, serving, expected int) int {
	need := int(math.Ceil(s.recentNeed))
	running := 0
	for _, zone := range spec.Zones {
		running += ready[pool{zone.Name, false}]
	}
	return max(need-expected, min(running, need-serving))
}

// planRegular distributes the missing regular servers over the zones: first the
// zones with the most running regular servers, then the cheapest. A zone gets
// regular servers up to its minimum until reclaimable ones serve there.
func (s *Scaler) planRegular(spec Spec, ready, plan map[pool]int, missing int) {
	zones := slices.Clone(spec.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		if d := ready[pool{b.Name, false}] - ready[pool{a.Name, false}]; d != 0 {
			return d
		}
		if a.Price != b.Price {
			return int(math.Copysign(1, a.Price-b.Price))
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, zone := range zones {
		least := max(spec.Min-ready[pool{zone.Name, true}], 0)
		plan[pool{zone.Name, false}] = least
		missing -= least
	}
	for missing > 0 {
		placed := false
		for _, zone := range zones {
			regular := pool{zone.Name, false}
			if missing > 0 && plan[regular]+ready[pool{zone.Name, true}] < spec.Max {
				plan[regular]++
				missing--
				placed = true
			}
		}
		if !placed {
			return
		}
	}
}

// newOrders returns an order for each pool whose plan differs from the last order,
// or whose ordered servers have not appeared in time.
func (s *Scaler) newOrders(now time.Duration, spec Spec, ready, plan map[pool]int) []Order {
	var orders []Order
	for _, zone := range spec.Zones {
		for _, reclaimable := range []bool{true, false} {
			p := pool{zone.Name, reclaimable}
			state := s.poolState(p)
			if now < state.refusedUntil || !s.needsOrder(now, spec, state, ready[p], plan[p]) {
				continue
			}
			count := plan[p]
			if !reclaimable {
				// The count includes servers that are starting and must
				// not exceed the zone's limit.
				count = min(count, spec.Max)
			}
			orders = append(orders, Order{Service: spec.Service, Zone: zone.Name, Reclaimable: reclaimable, Count: count})
		}
	}
	return orders
}

func (s *Scaler) needsOrder(now time.Duration, spec Spec, state *orderState, ready, planned int) bool {
	if !state.known {
		return planned != ready
	}
	if planned != state.count {
		return true
	}
	return ready != state.count && now-state.orderedAt >= spec.Boot+repeatMargin
}
