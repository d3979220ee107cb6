package quota

import (
	"math"
	"time"
)

// Load pattern: a customer that sends several times what its limit allows, in calls whose costs differ by a factor of
// 50. Granted in order of arrival, the units go to the calls that ask for most, and urgent calls are
// refused for long ones.

// Class orders the calls of one customer while it sends more than its limit allows: calls of lower classes
// are admitted first.
type Class int

const (
	// ClassPlain holds calls that cost a fixed small number of units. Refusing them would
	// make room for hardly any other call.
	ClassPlain Class = iota
	// classRanked is the class of the most urgent rank.
	classRanked
	// Classes is the number of classes.
	Classes = 4
)

// RankClass returns the class of calls of a rank, of which 0 is the most urgent.
func RankClass(rank int) Class {
	return min(classRanked+Class(max(rank, 0)), Classes-1)
}

const (
	// minShare is the part of its calls that each class keeps, so that no kind of call is starved,
	// as long as these take at most maxReserved of what is available.
	minShare    = 0.1
	maxReserved = 0.15
	// sharesLifetime is the time without a grant after which shares no longer count.
	sharesLifetime = 3 * time.Second
	// demandLifetime is how long the leader counts an entry's demand without a renewal.
	demandLifetime = 3 * time.Second
	// shareWait is divided by a class's share for the wait of its refused calls: the fewer are
	// admitted, the longer until a call that comes back would be.
	shareWait = 500 * time.Millisecond
)

// Demand is the demand of a customer in units per second, by class.
type Demand [Classes]float64

func (d *Demand) add(other Demand, sign float64) {
	for class := range d {
		d[class] = math.Max(d[class]+sign*other[class], 0)
	}
}

// Shares are the parts of a customer's calls that are admitted, by class.
type Shares [Classes]float64

// shares returns the parts of a demand that fit into a number of units per second, or false if
// all of it does.
func (d Demand) shares(available float64) (Shares, bool) {
	total := 0.0
	for _, units := range d {
		total += units
	}
	if total <= available {
		return Shares{}, false
	}
	var shares Shares
	least := math.Min(minShare, maxReserved*available/total)
	left := available - least*total
	for class, units := range d {
		more := math.Min(left, (1-least)*units)
		left -= more
		shares[class] = 1
		if units > 0 {
			shares[class] = least + more/units
		}
	}
	return shares, true
}

// reported is what an entry last told of the demand of its customers.
type reported struct {
	demand map[string]Demand
	at     time.Duration
}

// demands adds up the demand of each customer over the entries.
type demands struct {
	entries map[string]reported
	total   map[string]Demand
}

func newDemands() demands {
	return demands{entries: make(map[string]reported), total: make(map[string]Demand)}
}

// report replaces the demand of an entry, and drops that of silent ones.
func (d *demands) report(now time.Duration, entry string, demand map[string]Demand) {
	d.drop(entry)
	d.entries[entry] = reported{demand, now}
	d.count(demand, 1)
	for other, known := range d.entries {
		if now-known.at > demandLifetime {
			d.drop(other)
		}
	}
}

func (d *demands) drop(entry string) {
	if known, ok := d.entries[entry]; ok {
		delete(d.entries, entry)
		d.count(known.demand, -1)
	}
}

func (d *demands) count(demand map[string]Demand, sign float64) {
	for customer, units := range demand {
		total := d.total[customer]
		total.add(units, sign)
		d.total[customer] = total
	}
}

// shares returns the shares of a customer by its limit and the level of its bucket. What a
// bucket holds may be used within a second.
func (d *demands) shares(customer string, b *bucket, onlineShare float64) (Shares, bool) {
	if b.limit.Rate <= 0 {
		return Shares{}, false
	}
	return d.total[customer].shares(onlineShare*b.limit.Rate + math.Max(b.level, 0))
}

// classDemand is the decaying demand of a customer at one entry, by class.
type classDemand struct {
	sums [Classes]float64
	at   time.Duration
}

func (c *classDemand) add(now time.Duration, class Class, cost float64) {
	decay := c.decay(now)
	for i := range c.sums {
		c.sums[i] *= decay
	}
	c.at = max(c.at, now)
	c.sums[class] += cost
}

func (c *classDemand) decay(now time.Duration) float64 {
	return math.Exp(-max(0, (now-c.at).Seconds()) / demandWindow.Seconds())
}

// perSecond returns the demand in units per second.
func (c *classDemand) perSecond(now time.Duration) Demand {
	var demand Demand
	decay := c.decay(now)
	for class, sum := range c.sums {
		demand[class] = sum * decay / demandWindow.Seconds()
	}
	return demand
}

// Offer records the demand of a call, and reports whether it may be charged. While the customer sends more than
// its limit allows, each class is admitted by its share; draw is a random number, uniformly
// distributed in [0, 1). A call that may not be charged is refused at once, with the time until it should come back.
func (l *Limiter) Offer(now time.Duration, customer string, class Class, cost, draw float64) (time.Duration, bool) {
	a := l.accounts[customer]
	if a == nil {
		return 0, true
	}
	a.classes.add(now, class, cost)
	if share, limited := a.share(now, class); limited && draw >= share {
		return min(max(time.Duration(float64(shareWait)/share), minWait), maxWait), false
	}
	l.addDemand(now, a, cost)
	return 0, true
}

// share returns the part of the calls of a class that is admitted, and false if all are.
func (a *account) share(now time.Duration, class Class) (float64, bool) {
	if !a.limited || now-a.sharedAt >= sharesLifetime {
		return 1, false
	}
	return a.shares[class], true
}
