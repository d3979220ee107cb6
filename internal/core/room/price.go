package room

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time that callers are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// spread and minSpread are the random part of that time, as a fraction of it and at least. Requests that
	// are refused together must not come back together.
	spread    = 0.25
	minSpread = 50 * time.Millisecond
	// honouredDivisor is the part of their remaining time for which callers wait before they come back.
	honouredDivisor = 3
	// dueStep is the resolution of the times at which callers come back, and dueSteps the number of
	// steps known ahead, which covers maxRetryAfter and its spread.
	dueStep  = 250 * time.Millisecond
	dueSteps = 32
	// minLacking is the decayed number of requests without room below which nothing is announced.
	minLacking = 0.1
	// maxAnnounced bounds the numbers of another entry.
	maxAnnounced = 1e9
)

// Price is what an entry tells the others of a service and rank, since it last did.
type Price struct {
	Service string
	Rank    int
	// Offered is the number of requests, Short that of those that found no room, and Late that of those that
	// began late at servers that seemed idle.
	Offered, Short, Late float64
	// Deferred is the work that was told to come back, in tokens, and Due the mean time from now.
	Deferred float64
	Due      time.Duration
}

// report collects a price until it is announced.
type report struct {
	offered, short, late, deferred float64
	// dueWork is the sum of deferred work multiplied by the time at which it is due, in tokens and seconds.
	dueWork float64
}

// due is the work that was told to come back, by rank and by when it is due.
type due struct {
	work [MaxRank + 1][dueSteps]float64
	// step is the number of the earliest step that is kept.
	step int64
}

// advance forgets the work that was due before the previous step.
func (d *due) advance(now time.Duration) {
	first := int64(now/dueStep) - 1
	if first-d.step >= dueSteps {
		d.work = [MaxRank + 1][dueSteps]float64{}
		d.step = first
	}
	for ; d.step < first; d.step++ {
		for rank := range d.work {
			d.work[rank][d.step%dueSteps] = 0
		}
	}
}

// add adds work that is due at a time.
func (d *due) add(now, at time.Duration, rank int, work float64) {
	d.advance(now)
	step := min(max(int64(at/dueStep), d.step), d.step+dueSteps-1)
	d.work[rank][step%dueSteps] += work
}

// sum returns the work of a rank and of more urgent ones that is due in a number of steps from the earliest one.
func (d *due) sum(now time.Duration, rank int, steps int64) float64 {
	d.advance(now)
	sum := 0.0
	for r := range rank + 1 {
		for step := d.step; step < d.step+steps; step++ {
			sum += d.work[r][step%dueSteps]
		}
	}
	return sum
}

// about returns the work that is due about now: in this step and its neighbours.
func (d *due) about(now time.Duration, rank int) float64 { return d.sum(now, rank, 3) }

// all returns all work that is due.
func (d *due) all(now time.Duration, rank int) float64 { return d.sum(now, rank, dueSteps) }

// offered counts a request that arrived, for the price.
func (s *service) offered(now time.Duration, rank int, short bool) {
	lacking := 0.0
	if short {
		lacking = 1
	}
	s.own.add(now, rank, 1, lacking, 0)
	s.reports[rank].offered++
	s.reports[rank].short += lacking
}

// deferred counts work that was told to come back.
func (s *service) deferred(now, at time.Duration, rank int, work float64) {
	s.due.add(now, at, rank, work)
	s.reports[rank].deferred += work
	s.reports[rank].dueWork += work * at.Seconds()
}

// told applies a price of another entry.
func (s *service) told(now time.Duration, p Price) {
	if !p.valid() {
		return
	}
	s.others.add(now, p.Rank, p.Offered, p.Short, p.Late)
	if p.Deferred > 0 {
		s.due.add(now, now+p.Due, p.Rank, p.Deferred)
	}
}

// valid reports whether the numbers of another entry are in range.
func (p *Price) valid() bool {
	inRange := func(x float64) bool { return x >= 0 && x <= maxAnnounced }
	return p.Rank >= 0 && p.Rank <= MaxRank && inRange(p.Offered) && inRange(p.Short) && inRange(p.Late) && inRange(p.Deferred) && p.Due >= 0
}

// lacks reports whether requests of a rank lately found no room or began late, at any entry.
func (s *service) lacks(now time.Duration, rank int) bool {
	s.own.decay(now)
	s.others.decay(now)
	return s.own.short[rank]+s.others.short[rank]+s.own.late[rank]+s.others.late[rank] >= minLacking
}

// Prices returns what is to be announced to the other entries. While no request lacks room that is nothing, and a
// missing price means that there is capacity.
func (r *Room) Prices(now time.Duration) []Price {
	var prices []Price
	for name, s := range r.services {
		for rank := range s.reports {
			collected := s.reports[rank]
			s.reports[rank] = report{}
			if collected.offered == 0 || !s.lacks(now, rank) {
				continue
			}
			p := Price{Service: name, Rank: rank, Offered: collected.offered, Short: collected.short, Late: collected.late, Deferred: collected.deferred}
			if collected.deferred > 0 {
				p.Due = max(time.Duration(collected.dueWork/collected.deferred*float64(time.Second))-now, 0)
			}
			prices = append(prices, p)
		}
	}
	return prices
}
