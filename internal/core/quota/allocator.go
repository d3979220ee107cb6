// Package quota enforces the customers' limits over all entries.
//
// The leader's Allocator holds a token bucket per customer and grants units from it
// to the entries. An entry's Limiter admits calls from the units that it drew in
// advance, and requests more if they do not suffice. Every admitted unit was taken
// from the bucket before, except at offline entries: those that reach no leader
// admit calls from a small fixed share of each limit. The leader reserves this
// share for the entries from which it gets no renewals.
//
// The package does no I/O and is not safe for concurrent use.
package quota

import (
	"maps"
	"time"
)

const (
	// silentAfter is the time without a renewal after which the leader reserves an
	// entry's offline share. It is shorter than LeaseDuration, after which the
	// entry uses that share.
	silentAfter = 2 * time.Second
	// LeaseDuration is the time without a grant after which an entry is offline. It
	// spans several renewals, so that some of them may be lost.
	LeaseDuration = 3 * time.Second
	// expireAfter is the time for which a silent entry still counts. It is long
	// because a zone may be cut off for long while its entries go on serving.
	expireAfter = 60 * time.Second
	// offlineShare is the part of each limit that offline entries share. It is
	// half, as customers use little more than half of their limits on average.
	offlineShare = 0.5
	// initialLevel is the part of its burst that a bucket holds at a new leader.
	// The previous leader may have granted the rest just before.
	initialLevel = 0.5
)

// Limit is a customer's limit over all entries: Rate in units per second and Burst
// in units.
type Limit struct {
	Rate  float64
	Burst float64
}

// Amounts holds units by customer.
type Amounts map[string]float64

// Renewal is an entry's request for units.
type Renewal struct {
	Entry string
	// Number is the number of the configuration that contains Limits.
	// It is 0, without Limits, if the leader is known to have those of the entry's configuration.
	Number uint64
	Limits map[string]Limit
	// Calls holds the costs of the calls that wait for units, by customer. Each
	// call is granted in full or not at all, in order.
	Calls map[string][]float64
	// Ahead holds the units that the entry requests in advance for future calls,
	// and Back those that it returns.
	Ahead Amounts
	Back  Amounts
	// Demand holds the demand of the customers at the entry, admitted or not. It is nil
	// if it is that of the renewal before.
	Demand map[string]Demand
}

// Grant answers a Renewal.
type Grant struct {
	Units Amounts
	// Wait holds, for each customer whose bucket is empty, the time until it has
	// units again.
	Wait map[string]time.Duration
	// Shares holds the shares of the customers that send more than their limits allow.
	Shares map[string]Shares
	// Entries is the number of entries that share the limits.
	Entries int
	// Number is the number of the configuration from which the leader has the limits.
	Number uint64
}

// Allocator holds the buckets. Only the leader uses one.
type Allocator struct {
	number      uint64
	buckets     map[string]*bucket
	lastRenewal map[string]time.Duration
	demands     demands
}

// bucket holds the units of one customer. Its level may become negative by the cost
// of one call, so that large calls are granted as readily as small ones.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Duration
}

// NewAllocator returns an Allocator without entries and limits.
func NewAllocator() *Allocator {
	return &Allocator{buckets: make(map[string]*bucket), lastRenewal: make(map[string]time.Duration), demands: newDemands()}
}

// Entries returns the number of entries that share the limits.
func (a *Allocator) Entries() int { return len(a.lastRenewal) }

// Renew applies a renewal and returns the units that it is granted.
func (a *Allocator) Renew(now time.Duration, renewal Renewal) Grant {
	maps.DeleteFunc(a.lastRenewal, func(_ string, at time.Duration) bool { return now-at > expireAfter })
	a.lastRenewal[renewal.Entry] = now
	a.configure(now, renewal)
	grant := Grant{Units: make(Amounts), Wait: make(map[string]time.Duration), Shares: make(map[string]Shares), Entries: len(a.lastRenewal), Number: a.number}
	share := a.onlineShare(now)
	if renewal.Demand != nil {
		a.demands.report(now, renewal.Entry, renewal.Demand)
	}
	for customer, b := range a.buckets {
		b.fill(now, share)
		b.level = min(b.level+max(renewal.Back[customer], 0), b.limit.Burst)
		if units := b.draw(renewal.Calls[customer], renewal.Ahead[customer]); units > 0 {
			grant.Units[customer] = units
		}
		if shares, limited := a.demands.shares(customer, b, share); limited {
			grant.Shares[customer] = shares
		}
		if b.level <= 0 && b.limit.Rate > 0 {
			grant.Wait[customer] = time.Duration(-b.level / b.limit.Rate * float64(time.Second))
		}
	}
	return grant
}

// configure applies the limits of a newer configuration. A lower burst takes effect
// immediately.
func (a *Allocator) configure(now time.Duration, renewal Renewal) {
	if renewal.Number <= a.number {
		return
	}
	a.number = renewal.Number
	known, share := a.buckets, a.onlineShare(now)
	a.buckets = make(map[string]*bucket, len(renewal.Limits))
	for customer, limit := range renewal.Limits {
		b := known[customer]
		if b == nil {
			b = &bucket{level: initialLevel * limit.Burst, refilledAt: now}
		}
		b.fill(now, share)
		b.limit = limit
		b.level = min(b.level, limit.Burst)
		a.buckets[customer] = b
	}
}

// onlineShare returns the part of each limit that is not reserved for silent
// entries.
func (a *Allocator) onlineShare(now time.Duration) float64 {
	silent := 0
	for _, at := range a.lastRenewal {
		if now-at > silentAfter {
			silent++
		}
	}
	return 1 - offlineShare*float64(silent)/float64(max(len(a.lastRenewal), 1))
}

func (b *bucket) fill(now time.Duration, onlineShare float64) {
	if elapsed := (now - b.refilledAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+onlineShare*b.limit.Rate*elapsed, b.limit.Burst)
		b.refilledAt = now
	}
}

// draw takes units for waiting calls and, from the rest, for future calls.
func (b *bucket) draw(calls []float64, ahead float64) float64 {
	units := 0.0
	for _, cost := range calls {
		if b.level <= 0 {
			break
		}
		units += cost
		b.level -= cost
	}
	if more := min(max(ahead, 0), b.level); more > 0 {
		units += more
		b.level -= more
	}
	return units
}
