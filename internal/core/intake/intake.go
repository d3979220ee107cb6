// Package intake decides whose requests give way when callers make a process hold more
// memory than it may.
package intake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// StallTime is the time without a byte after which a body counts as stalled. Lost
	// packets are sent again within it.
	StallTime = time.Second
	// SlowTime is the time that a body may take at any rate, and MinRate the rate in bytes
	// per second at which it has to arrive after that.
	SlowTime = 2 * time.Second
	MinRate  = 4 << 10
	// smallPart is the part of the mean share below which a share gives way last: shedding
	// it would free little.
	smallPart = 4
)

// Kind is what a holder's bytes are for.
type Kind uint8

// The kinds. Requests that may have run are never among the holders.
const (
	// KindBody is a body that is being read. Nothing of its request has run.
	KindBody Kind = iota
	// KindAnswer is an answer that is being written to its caller. It gives way only if
	// its caller reads none of it.
	KindAnswer
)

// Holder is a request that can give way.
type Holder struct {
	ID   uint64
	Kind Kind
	// Group is the customer, or the address if no key has been read.
	Group string
	// Bytes is the memory held, Arrived the bytes that were read or written.
	Bytes, Arrived int64
	// Since is when it began, Last when the last byte was read or written.
	Since, Last time.Duration
}

// Cause is the reason for which a holder gives way.
type Cause string

// The causes.
const (
	// CauseStalled is a sender or reader that makes no progress.
	CauseStalled Cause = "stalled"
	// CauseSlow is a body that arrives slower than MinRate.
	CauseSlow Cause = "slow"
	// CauseShare is a request of the group that holds most.
	CauseShare Cause = "share"
)

// Victim is a holder that gives way.
type Victim struct {
	ID    uint64
	Cause Cause
	Bytes int64
}

// Victims returns the holders that give way so that at least need bytes become free, or
// all that can: first those that stall or are slow, those of the group that holds most
// first; then the newest bodies of the group that holds most.
func Victims(now time.Duration, holders []Holder, need int64) []Victim {
	groups := make(map[string]int64)
	total := int64(0)
	for i := range holders {
		groups[holders[i].Group] += holders[i].Bytes
		total += holders[i].Bytes
	}
	small := total / int64(max(len(holders), 1)) / smallPart
	var victims []Victim
	rest := slices.Clone(holders)
	shed := func(i int, cause Cause) {
		h := rest[i]
		victims = append(victims, Victim{ID: h.ID, Cause: cause, Bytes: h.Bytes})
		groups[h.Group] -= h.Bytes
		need -= h.Bytes
		rest = slices.Delete(rest, i, i+1)
	}
	sortIdle(now, rest, groups)
	for i := 0; i < len(rest) && need > 0; {
		cause := idleCause(now, &rest[i])
		if cause == "" || rest[i].Bytes < small {
			i++
			continue
		}
		shed(i, cause)
	}
	for need > 0 {
		i := newestOfLargest(rest, groups, small)
		if i < 0 {
			break
		}
		shed(i, CauseShare)
	}
	return victims
}

// idleCause returns why a holder gives way before others, or "".
func idleCause(now time.Duration, h *Holder) Cause {
	if now-h.Last >= StallTime {
		return CauseStalled
	}
	if age := now - h.Since; h.Kind == KindBody && age > SlowTime && float64(h.Arrived) < MinRate*age.Seconds() {
		return CauseSlow
	}
	return ""
}

// sortIdle sorts by the bytes of the group, the time of the last byte, and age.
func sortIdle(now time.Duration, holders []Holder, groups map[string]int64) {
	slices.SortFunc(holders, func(a, b Holder) int {
		return cmp.Or(
			cmp.Compare(groups[b.Group], groups[a.Group]),
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(now-b.Last, now-a.Last),
			cmp.Compare(b.Since, a.Since),
			cmp.Compare(b.ID, a.ID),
		)
	})
}

// newestOfLargest returns the index of the newest body of the group that holds most,
// without small ones unless there are no others, or -1.
func newestOfLargest(holders []Holder, groups map[string]int64, small int64) int {
	best := -1
	for i := range holders {
		h := &holders[i]
		if h.Kind != KindBody || h.Bytes == 0 {
			continue
		}
		if best < 0 || precedes(h, &holders[best], groups, small) {
			best = i
		}
	}
	return best
}

func precedes(a, b *Holder, groups map[string]int64, small int64) bool {
	if large := a.Bytes >= small; large != (b.Bytes >= small) {
		return large
	}
	return cmp.Or(
		cmp.Compare(groups[b.Group], groups[a.Group]),
		cmp.Compare(a.Group, b.Group),
		cmp.Compare(b.Since, a.Since),
		cmp.Compare(b.ID, a.ID),
	) < 0
}

// Connection is a connection without a request.
type Connection struct {
	ID      uint64
	Address string
	// Since is when its last request ended, or it was accepted.
	Since time.Duration
}

// Oldest returns the index of the connection to close when connections are scarce: the
// oldest one without a request, of the address that has most of them, or -1.
func Oldest(idle []Connection) int {
	counts := make(map[string]int)
	for i := range idle {
		counts[idle[i].Address]++
	}
	best := -1
	for i := range idle {
		if best < 0 || cmp.Or(
			cmp.Compare(counts[idle[best].Address], counts[idle[i].Address]),
			cmp.Compare(idle[i].Address, idle[best].Address),
			cmp.Compare(idle[i].Since, idle[best].Since),
			cmp.Compare(idle[i].ID, idle[best].ID),
		) < 0 {
			best = i
		}
	}
	return best
}
