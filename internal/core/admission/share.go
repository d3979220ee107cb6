package admission

import "time"

// share is this entry's part of the limits that all live entries share.
//
// The sum over entries never exceeds a limit: an entry's part only shrinks as
// the number of entries or its rank grows, both rise as soon as a change is
// seen, and both fall only after every entry has seen the change. An entry that
// starts has no part until then.
type share struct {
	growAfter time.Duration
	// entries and rank are in force; entries is zero before the first growth.
	entries, rank int
	// nextEntries and nextRank come into force at growAt, if growing.
	nextEntries, nextRank int
	growing               bool
	growAt                time.Duration
}

// update takes over a view of the live entries.
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

// tick brings a growth into force once it is due.
func (s *share) tick(now time.Duration) bool {
	if !s.growing || now < s.growAt {
		return false
	}
	s.entries, s.rank = s.nextEntries, s.nextRank
	s.growing = false
	return true
}

// rate returns this entry's part of a rate.
func (s *share) rate(limit float64) float64 {
	if s.entries == 0 {
		return 0
	}
	return limit / float64(s.entries)
}

// count returns this entry's part of a whole number. The parts of entries with
// ranks 0 to n-1 add up to the limit.
func (s *share) count(limit int) int {
	if s.entries == 0 {
		return 0
	}
	return max(0, (limit-s.rank+s.entries-1)/s.entries)
}
