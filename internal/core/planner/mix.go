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
	// units is what one VM carries, in units of the service's demand.
	units float64
	price float64
	// limit is the number of VMs that can be had.
	limit int
}

// mix counts the VMs of each pool.
type mix []int

// unlimited is the limit of a pool from which no start was refused.
const unlimited = math.MaxInt32

// problem is one service's demand with the pools that may carry it.
type problem struct {
	pools []pool
	// demand must be carried after the loss of any one zone.
	demand float64
	// zones is the number of zones that the pools lie in, zoneOf the zone's
	// number of each pool.
	zones  int
	zoneOf []int
	// byPrice lists the pools by price a unit.
	byPrice []int
	// carried is working memory of worst, by zone.
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

// worst returns what a mix carries after the loss of its largest zone. With
// one zone in all there is nothing to fall back on: the loss is left out.
func (p problem) worst(m mix) float64 {
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

func (p problem) met(m mix) bool {
	return p.worst(m) >= p.demand*(1-tolerance)
}

// cheapest returns the cheapest mix found that meets the demand, or the one
// that carries most if none does. It starts from the current VMs and from an
// even spread over several numbers of the cheapest zones, and improves each.
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

// better tells whether a is to be preferred to b.
func (p problem) better(a, b mix) bool {
	if p.met(a) != p.met(b) {
		return p.met(a)
	}
	if !p.met(a) {
		return p.worst(a) > p.worst(b)
	}
	return p.cost(a) < p.cost(b)*(1-tolerance)
}

// spread covers an even share of the demand in each of the cheapest zones, so
// that it is met with one of them lost.
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

// cover takes VMs of one zone, by price a unit, until they carry the need.
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

// improve makes a mix meet the demand, drops what it does not need and swaps
// VMs for cheaper ones.
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

// repair adds the VM with the lowest price for what it adds, until the demand
// is met or nothing helps.
func (p problem) repair(m mix) {
	for !p.met(m) {
		before := p.worst(m)
		best, bestPrice := -1, math.Inf(1)
		for i, pool := range p.pools {
			if m[i] >= pool.limit {
				continue
			}
			m[i]++
			gain := min(p.worst(m), p.demand) - before
			m[i]--
			if price := pool.price / gain; gain > p.demand*tolerance && price < bestPrice {
				best, bestPrice = i, price
			}
		}
		if best < 0 {
			best = p.firstOfEmpty(m)
		}
		if best < 0 {
			return
		}
		m[best]++
	}
}

// firstOfEmpty returns the cheapest pool with room while the mix is empty: the
// first VM adds nothing by itself, as its zone may be the one that is lost.
func (p problem) firstOfEmpty(m mix) int {
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

// trim drops VMs that are not needed, the dearest first.
func (p problem) trim(m mix) {
	if !p.met(m) {
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
			if !p.met(m) {
				m[i]++
				break
			}
		}
	}
}

// swap exchanges one VM, or two alike, for one cheaper VM wherever that meets
// the demand. It tells whether it changed anything.
func (p problem) swap(m mix) bool {
	if !p.met(m) {
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

// swapOne replaces some VMs of one pool by the first cheaper VM that does.
func (p problem) swapOne(m mix, out, drop int) bool {
	m[out] -= drop
	saved := p.pools[out].price * float64(drop)
	for in, pool := range p.pools {
		if in == out || m[in] >= pool.limit || pool.price >= saved*(1-tolerance) {
			continue
		}
		m[in]++
		if p.met(m) {
			return true
		}
		m[in]--
	}
	m[out] += drop
	return false
}
