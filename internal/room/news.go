package room

import (
	"time"

	"waxwingcart/internal/core/room"
	"waxwingcart/internal/wire"
)

const (
	// maxReturning bounds the hashes in one price, and maxTold those that are kept.
	maxReturning = 32
	maxTold      = 8192
	// toldLife is how long a hash is kept at least. It exceeds the longest Retry-After and the time that a caller
	// takes to come back.
	toldLife = 10 * time.Second
	// maxPrices bounds the prices that are read of one update.
	maxPrices = 64
)

// told holds the hashes of the calls that were told to come back, in two generations.
type told struct {
	young, old map[uint64]struct{}
	since      time.Duration
}

func (t *told) any() bool { return len(t.young)+len(t.old) > 0 }

func (t *told) turn(now time.Duration) {
	if t.young == nil || now-t.since > toldLife || len(t.young) >= maxTold {
		t.old, t.young, t.since = t.young, make(map[uint64]struct{}), now
	}
}

func (t *told) add(now time.Duration, hash uint64) {
	t.turn(now)
	t.young[hash] = struct{}{}
}

func (t *told) contains(now time.Duration, hash uint64) bool {
	t.turn(now)
	_, young := t.young[hash]
	_, old := t.old[hash]
	return young || old
}

// announce tells the other entries the prices since the last time, if there are any, and the core their number.
func (r *Room) announce(entries int) {
	r.mu.Lock()
	now := r.opts.Now()
	r.core.Step(now, room.Entries{Count: entries})
	var prices []*wire.CapacityPrice
	for _, p := range r.core.Prices(now) {
		prices = append(prices, &wire.CapacityPrice{
			Service: p.Service, Rank: uint32(p.Rank), Offered: p.Offered, Short: p.Short, Late: p.Late, Deferred: p.Deferred, DueMs: uint32(p.Due.Milliseconds()),
			Returning: r.returningOf(p.Service, p.Rank),
		})
	}
	r.returning = nil
	r.mu.Unlock()
	if len(prices) > 0 {
		r.opts.Send(prices)
	}
}

// returningOf returns the hashes of the calls of a service and rank that were told to come back. The caller holds mu.
func (r *Room) returningOf(service string, rank int) []uint64 {
	var hashes []uint64
	for _, c := range r.returning {
		if c.service == service && c.rank == rank && len(hashes) < maxReturning {
			hashes = append(hashes, c.hash)
		}
	}
	return hashes
}

// Told applies the prices of another entry.
func (r *Room) Told(prices []*wire.CapacityPrice) {
	if len(prices) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	for _, p := range prices[:min(len(prices), maxPrices)] {
		r.core.Step(now, room.Told{Price: room.Price{
			Service: p.Service, Rank: int(p.Rank), Offered: p.Offered, Short: p.Short, Late: p.Late, Deferred: p.Deferred, Due: time.Duration(p.DueMs) * time.Millisecond,
		}})
		for _, hash := range p.Returning[:min(len(p.Returning), maxReturning)] {
			r.told.add(now, hash)
		}
	}
}
