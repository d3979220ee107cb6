package room

import (
	"math"
	"time"
)

const (
	// priceWindow is the time constant with which the counts behind a price decay. It spans some
	// announcements of all entries, and is short against the 3 s of the shortest bursts.
	priceWindow = time.Second
	// lateStep and inTimeStep change the ratio by which predictions are lengthened, after an answer that
	// began late or in time. They balance at one late answer in six.
	lateStep, inTimeStep = 1.05, 0.99
	// maxRatio bounds that ratio.
	maxRatio = 3.0
	// priceGain is the share of less urgent requests that give way, per share of more urgent ones without
	// room: of a service's work the less urgent requests are often the larger part.
	priceGain = 4
	// busyDivisor is the part of the time to begin from which on a prediction says that servers are busy.
	busyDivisor = 4
	// minPrice is the share of requests without room from which on servers are chosen by rank and less urgent
	// requests give way. Some answers are late while there is capacity.
	minPrice = 0.05
)

// service is what is known of one service.
type service struct {
	// own counts the requests of this entry, and others those that other entries announced.
	own, others counts
	due         due
	// reports holds what has not been announced yet, by rank.
	reports [MaxRank + 1]report
	// ratio lengthens predictions, by rank.
	ratio [MaxRank + 1]float64
	kinds map[string]*kind
	// contendedUntil is when the last contention no longer counts for surges.
	contendedUntil time.Duration
	// customers always holds one without a name.
	customers map[string]*customer
}

func (r *Room) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{kinds: make(map[string]*kind), customers: map[string]*customer{"": {}}}
		for rank := range s.ratio {
			s.ratio[rank] = 1
		}
		r.services[name] = s
	}
	return s
}

// counts holds decaying numbers of requests by rank, of those that found no room, and of those that began late at
// servers that seemed idle.
type counts struct {
	offered, short, late [MaxRank + 1]float64
	at                   time.Duration
}

func (c *counts) decay(now time.Duration) {
	if now <= c.at {
		return
	}
	kept := math.Exp(-float64(now-c.at) / float64(priceWindow))
	for rank := range c.offered {
		c.offered[rank] *= kept
		c.short[rank] *= kept
		c.late[rank] *= kept
	}
	c.at = now
}

func (c *counts) add(now time.Duration, rank int, offered, short, late float64) {
	c.decay(now)
	c.offered[rank] += offered
	c.short[rank] += short
	c.late[rank] += late
}

// price returns the share of the requests that are more urgent than a rank and found no room lately, for the
// rank with the largest share.
func (s *service) price(now time.Duration, rank, entries int) float64 {
	return s.share(now, rank, entries, func(c *counts, r int) float64 { return c.short[r] })
}

// contended reports whether requests of any rank lately found no room or began late.
func (s *service) contended(now time.Duration, entries int) bool {
	return s.share(now, MaxRank+1, entries, func(c *counts, r int) float64 { return c.short[r] + c.late[r] }) > minPrice
}

// share returns the largest share that a number of requests has of those of a rank more urgent than this one.
func (s *service) share(now time.Duration, rank, entries int, number func(*counts, int) float64) float64 {
	s.own.decay(now)
	s.others.decay(now)
	share := 0.0
	for r := range rank {
		// Entries announce nothing until they learn that requests lack room. Until then this entry's requests
		// stand for theirs. One request more keeps the price of a few requests low.
		offered := max(s.own.offered[r]+s.others.offered[r], s.own.offered[r]*float64(entries)) + 1
		share = max(share, (number(&s.own, r)+number(&s.others, r))/offered)
	}
	return min(share, 1)
}

// learn adjusts the ratio of predictions. An answer that began late although it was predicted in time counts as a request
// without room, unless the servers seemed idle. Then it may be late for another reason, and only the choice of servers changes.
func (s *service) learn(now time.Duration, b Began) {
	rank := min(max(b.Rank, 0), MaxRank)
	ratio := &s.ratio[rank]
	if b.Took > b.Left {
		*ratio *= lateStep
		if b.Start >= b.Left/busyDivisor {
			s.own.add(now, rank, 0, 1, 0)
			s.reports[rank].short++
		} else {
			s.own.add(now, rank, 0, 0, 1)
			s.reports[rank].late++
		}
	} else {
		*ratio *= inTimeStep
	}
	*ratio = min(max(*ratio, 1), maxRatio)
}

// kind is the guaranteed minimum of one kind of request.
type kind struct {
	// tokens is the work that may go, and filledAt when it was last added to.
	tokens   float64
	filledAt time.Duration
	// wentAt is when a request last went.
	wentAt time.Duration
}

func (s *service) kind(now time.Duration, name string) *kind {
	k := s.kinds[name]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			name = ""
			if k = s.kinds[name]; k != nil {
				return k
			}
		}
		k = &kind{filledAt: now, wentAt: now}
		s.kinds[name] = k
	}
	return k
}

// fill adds to the minimum of a kind. It is done on each decision, so that a larger rate never leads to less.
func (k *kind) fill(now time.Duration, rate, work float64) {
	limit := max(rate*minimumWindow.Seconds(), work)
	k.tokens = min(k.tokens+rate*(now-k.filledAt).Seconds(), limit)
	k.filledAt = now
}

// went takes the work of a request that goes without the minimum from it as well: what is served anyway needs no guarantee.
// Otherwise all entries would have a request's work in store when a burst begins.
func (k *kind) went(now time.Duration, work float64) {
	k.tokens = max(k.tokens-work, 0)
	k.wentAt = now
}

// useMinimum takes a request's work from the minimum of its kind, if there is enough and the answer would begin
// in time, or late if the kind is starving.
func (k *kind) useMinimum(now time.Duration, w *held, capacity Capacity, left time.Duration) bool {
	if now-k.wentAt > starving {
		left = w.Latest - (w.Target - left)
	}
	if k.tokens < w.Work || capacity.Urgent > left {
		return false
	}
	k.tokens -= w.Work
	k.wentAt = now
	return true
}
