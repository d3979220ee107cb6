package answers

import (
	"testing"
	"time"
)

// feed counts bytes at an interval and returns when the pace failed, or 0.
func feed(bytes int, interval, total time.Duration) time.Duration {
	var p Pace
	start := time.Unix(0, 0)
	for at := time.Duration(0); at <= total; at += interval {
		if err := p.Read(start.Add(at), bytes); err != nil {
			return at
		}
	}
	return 0
}

// A part fails if it arrives too slowly for long; a few pauses don't count.
func TestPace(t *testing.T) {
	for name, test := range map[string]struct {
		bytes           int
		interval, total time.Duration
		fails           time.Duration
	}{
		"a byte a second":          {1, time.Second, time.Hour, 6 * time.Second},
		"a byte a millisecond":     {1, time.Millisecond, time.Hour, SlowTime + time.Millisecond},
		"a byte a minute":          {1, time.Minute, time.Hour, 3 * time.Minute},
		"the lowest rate":          {MinRate, time.Second, time.Hour, 0},
		"two reads, long pause":    {1, time.Hour, time.Hour, 0},
		"three reads, long pauses": {1, time.Hour, 2 * time.Hour, 0},
	} {
		if got := feed(test.bytes, test.interval, test.total); got != test.fails {
			t.Errorf("%s: failed after %s, want %s", name, got, test.fails)
		}
	}
}
