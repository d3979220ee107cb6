package entry

import (
	"testing"
	"time"

	"waxwingcart/internal/directory"
)

// Calls for the configuration wait longer in a large deployment, so that the leader answers a bounded
// number of them a second; the wait stays below the time in which a change must be in force.
func TestPollsOfLargeDeployments(t *testing.T) {
	for entries, expected := range map[int]time.Duration{0: 0, 6: 0, 72: 0, 140: 0, 200: 300 * time.Millisecond, 294: maxExtraWait, 1000: maxExtraWait} {
		if got := extraWait(entries); got != expected {
			t.Errorf("%d entries: got %s more, want %s", entries, got, expected)
		}
	}
}

// An entry draws so often that neither its list of backend servers nor the leader's knowledge of it gets too
// old, however many entries there are.
func TestDrawInterval(t *testing.T) {
	// silentAfter is when the leader reserves a part of the limits for an entry.
	const silentAfter = 2 * time.Second
	for entries, expected := range map[int]time.Duration{6: minDrawInterval, 72: 360 * time.Millisecond, 200: time.Second, 294: maxDrawInterval, 1000: maxDrawInterval} {
		if got := drawInterval(entries); got != expected {
			t.Errorf("%d entries: got %s, want %s", entries, got, expected)
		}
	}
	// leaderListAge is the age of the leader's own list, which it reads every second, at most.
	const leaderListAge = 1200 * time.Millisecond
	if maxDrawInterval+leaderListAge >= maxListAge || maxDrawInterval >= silentAfter {
		t.Errorf("an interval of %s lets the list get older than %s, or the entry count as silent", maxDrawInterval, maxListAge)
	}
}

// An entry whose leader confirms the list no more reads the platform's once the list is too old, and not
// up to an interval later.
func TestStaleListIsReadInTime(t *testing.T) {
	d := directory.New(maxListAge)
	if left := d.FreshFor(time.Second); left > 0 {
		t.Errorf("without a list: fresh for %s", left)
	}
	d.Replace(nil, 1, time.Second)
	for now, expected := range map[time.Duration]time.Duration{time.Second: maxListAge, 3 * time.Second: maxListAge - 2*time.Second, time.Second + maxListAge: 0} {
		if got := d.FreshFor(now); got != expected {
			t.Errorf("at %s: fresh for %s, want %s", now, got, expected)
		}
	}
}
