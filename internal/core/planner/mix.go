package planner

import (
	"cmp"
	"math"
	"slices"
)

// pool is one kind of VM that a service can use: a class in a zone.
type pool struct {
	zone  string
	class string
	// units is the demand that one VM carries, in the unit of the service's
	// demand.
	units float64
	price float64
	// limit is the highest number of VMs that the plan may use.
	limit int
}

// mix is the number of VMs of each pool.
type mix []int

// unlimited is the limit of a pool without a backoff.
const unlimited = math.MaxInt32

// problem is the demand of one service with the pools that can carry it.
type problem struct {
	pools []pool
	// demand must be carried even after the loss of any one zone.
	demand float64
	// zones is the number of zones that the pools are in, zoneOf the index of
	// each pool's zone.
	zones  int
	zoneOf []int
	// byPrice lists the indexes of the pools in order of price per unit.
	byPrice []int
	// carried is a buffer of carriedAfterLoss for the sum of each zone.
	carried []float64
}

func newProblem(pools []pool, demand float64) problem {
	p := problem{pools: pools, demand: demand, zoneOf: make([]int, len(pools))}
	names := p.zoneNames()
	for i := range pools {
		p.zoneOf[i] = slices.Index(names, pools[i].zone)
	}
	p.zones = len(names)
	p.carried = make([]float64, len(names))
	p.byPrice = make([]int, len(pools))
	for i := range pools {
		p.byPrice[i] = i
	}
	slices.SortStableFunc(p.byPrice, func(a, b int) int {
		return cmp.Compare(pools[a].price/pools[a].units, pools[b].price/pools[b].units)
	})
	return p
}

func (p problem) cost(m mix) float64 {
	cost := 0.0
	for i, n := range m {
		cost += float64(n) * p.pools[i].price
	}
	return cost
}

// carriedAfterLoss returns the demand that a mix carries after the loss of its
// largest zone. If the pools are all in one zone, no mix could carry any demand
// after its loss, so the loss is ignored.
func (p problem) carriedAfterLoss(m mix) float64 {
	total, largest := 0.0, 0.0
	clear(p.carried)
	for i, n := range m {
		units := float64(n) * p.pools[i].units
		total += units
		p.carried[p.zoneOf[i]] += units
	}
	for _, units := range p.carried {
		largest = max(largest, units)
	}
	if p.zones == 1 {
		return total
	}
	return total - largest
}

// tolerance absorbs rounding in sums of units.
const tolerance = 1e-9

func (p problem) meets(m mix) bool {
	return p.carriedAfterLoss(m) >= p.demand*(1-tolerance)
}

// cheapest returns the cheapest mix found that meets the demand, or the one that
// carries most of it if none does. It is a local search that starts from the
// current VMs and from even spreads over different numbers of the cheapest zones.
func (p problem) cheapest(current mix) mix {
	best := p.improve(current)
	for zones := 1; zones <= p.zones; zones += 1 + zones/6 {
		candidate := p.improve(p.spread(zones))
		if p.better(candidate, best) {
			best = candidate
		}
	}
	return best
}

// better reports whether a is preferable to b.
func (p problem) better(a, b mix) bool {
	if p.meets(a) != p.meets(b) {
		return p.meets(a)
	}
	if !p.meets(a) {
		return p.carriedAfterLoss(a) > p.carriedAfterLoss(b)
	}
	return p.cost(a) < p.cost(b)*(1-tolerance)
}

// spread covers an equal share of the demand in each of the cheapest zones, so
// that the demand is met after the loss of one of them.
func (p problem) spread(zones int) mix {
	m := make(mix, len(p.pools))
	share := p.demand / float64(max(1, zones-1))
	covers := make([]mix, 0, p.zones)
	for _, zone := range p.zoneNames() {
		covers = append(covers, p.cover(zone, share))
	}
	slices.SortStableFunc(covers, func(a, b mix) int {
		return cmp.Compare(p.cost(a), p.cost(b))
	})
	for _, cover := range covers[:zones] {
		for i, n := range cover {
			m[i] += n
		}
	}
	return m
}

func (p problem) zoneNames() []string {
	var names []string
	for _, pool := range p.pools {
		if !slices.Contains(names, pool.zone) {
			names = append(names, pool.zone)
		}
	}
	return names
}

// cover adds VMs of one zone, in order of price per unit, until they carry
// need.
func (p problem) cover(zone string, need float64) mix {
	m := make(mix, len(p.pools))
	for _, i := range p.byPrice {
		pool := p.pools[i]
		if pool.zone != zone || need <= 0 {
			continue
		}
		n := int(math.Ceil(need/pool.units - tolerance))
		m[i] = min(n, pool.limit)
		need -= float64(m[i]) * pool.units
	}
	return m
}

// improve makes a mix meet the demand, removes VMs that are not needed and
// replaces VMs by cheaper ones.
func (p problem) improve(start mix) mix {
	m := slices.Clone(start)
	for i := range m {
		m[i] = min(m[i], p.pools[i].limit)
	}
	p.repair(m)
	p.trim(m)
	for p.swap(m) {
		p.trim(m)
	}
	return m
}

// repair adds the VM with the lowest price per unit gained, until the demand is
// met or no VM gains anything. The gain is the increase of carriedAfterLoss.
func (p problem) repair(m mix) {
	for !p.meets(m) {
		before := p.carriedAfterLoss(m)
		best, bestPrice := -1, math.Inf(1)
		for i, pool := range p.pools {
			if m[i] >= pool.limit {
				continue
			}
			m[i]++
			gain := min(p.carriedAfterLoss(m), p.demand) - before
			m[i]--
			if price := pool.price / gain; gain > p.demand*tolerance && price < bestPrice {
				best, bestPrice = i, price
			}
		}
		if best < 0 {
			best = p.firstForEmpty(m)
		}
		if best < 0 {
			return
		}
		m[best]++
	}
}

// firstForEmpty returns the cheapest pool that is not at its limit if the mix is
// empty, otherwise -1. The first VM of a mix does not add to the demand that it
// carries, because its zone is the largest one.
func (p problem) firstForEmpty(m mix) int {
	for _, n := range m {
		if n > 0 {
			return -1
		}
	}
	for _, i := range p.byPrice {
		if p.pools[i].limit > 0 {
			return i
		}
	}
	return -1
}

// trim removes VMs that are not needed, the most expensive first.
func (p problem) trim(m mix) {
	if !p.meets(m) {
		return
	}
	order := make([]int, len(m))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.pools[b].price, p.pools[a].price)
	})
	for _, i := range order {
		for m[i] > 0 {
			m[i]--
			if !p.meets(m) {
				m[i]++
				break
			}
		}
	}
}

// swap replaces one VM, or two of the same pool, by one VM that costs less,
// wherever the demand is still met. It reports whether it changed the mix.
func (p problem) swap(m mix) bool {
	if !p.meets(m) {
		return false
	}
	changed := false
	for out := range m {
		for drop := 1; drop <= 2; drop++ {
			for m[out] >= drop && p.swapOne(m, out, drop) {
				changed = true
			}
		}
	}
	return changed
}

// swapOne replaces drop VMs of the pool out by the first cheaper VM with which
// the demand is still met. It reports whether there is one.
func (p problem) swapOne(m mix, out, drop int) bool {
	m[out] -= drop
	saved := p.pools[out].price * float64(drop)
	for in, pool := range p.pools {
		if in == out || m[in] >= pool.limit || pool.price >= saved*(1-tolerance) {
			continue
		}
		m[in]++
		if p.meets(m) {
			return true
		}
		m[in]--
	}
	m[out] += drop
	return false
}
