package admission

import "time"

// share is this entry's share of the limits that apply to all live entries
// together.
//
// The sum of the shares never exceeds a limit: a share shrinks as the number of
// entries or the entry's rank rises, both rise as soon as this entry sees a
// change, and both fall only after every entry has seen the change. A new entry
// has no share until then.
type share struct {
	growAfter time.Duration
	// entries and rank are in effect; entries is zero while there is no share.
	entries, rank int
	// nextEntries and nextRank take effect at growAt if growing is set.
	nextEntries, nextRank int
	growing               bool
	growAt                time.Duration
}

// update applies a new view of the live entries.
func (s *share) update(now time.Duration, e LiveEntries) {
	entries := max(1, e.Entries)
	rank := min(max(0, e.Rank), entries-1)
	if s.entries > 0 {
		s.entries = max(s.entries, entries)
		s.rank = max(s.rank, rank)
	}
	if !e.Confirmed {
		s.nextEntries = max(s.nextEntries, entries)
		s.nextRank = max(s.nextRank, rank)
		return
	}
	if s.growing && s.nextEntries == entries && s.nextRank == rank {
		return
	}
	if !s.growing || s.entries > 0 {
		s.growAt = now + s.growAfter
	}
	s.nextEntries, s.nextRank = entries, rank
	s.growing = s.entries != entries || s.rank != rank
}

// tick applies a pending growth once it is due, and reports whether it did.
func (s *share) tick(now time.Duration) bool {
	if !s.growing || now < s.growAt {
		return false
	}
	s.entries, s.rank = s.nextEntries, s.nextRank
	s.growing = false
	return true
}

// rate returns this entry's share of a rate limit.
func (s *share) rate(limit float64) float64 {
	if s.entries == 0 {
		return 0
	}
	return limit / float64(s.entries)
}

// count returns this entry's share of a limit on a count. The shares of n entries
// with ranks 0 to n-1 add up to the limit.
func (s *share) count(limit int) int {
	if s.entries == 0 {
		return 0
	}
	return max(0, (limit-s.rank+s.entries-1)/s.entries)
}
