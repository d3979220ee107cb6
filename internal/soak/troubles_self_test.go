package soak

import (
	"slices"
	"testing"
	"time"
)

// TestTroubleCheckDetects checks that each broken promise of servers in trouble is found, and
// that the same behaviour is none where the promise does not hold.
func TestTroubleCheckDetects(t *testing.T) {
	const at = 30 * time.Second
	var crashes []Crash
	for i := range crashesKnown {
		crashes = append(crashes, Crash{Bad: "bad", At: at + time.Duration(i)*time.Second})
	}
	fifth := crashes[crashesKnown-1].At
	var whole []Crash
	for _, crash := range crashes[:wholeKnown] {
		whole = append(whole, Crash{Bad: wholePrefix, At: crash.At})
	}
	wholeThird := whole[wholeKnown-1].At
	reaches := func(n int, from, step time.Duration, bad string) []Reach {
		var list []Reach
		for i := range n {
			list = append(list, Reach{Engine: "i-1", Entry: "e1", Bad: bad, At: from + time.Duration(i)*step})
		}
		return list
	}
	drafts := func(n, begun int) []Draft {
		var list []Draft
		for i := range n {
			list = append(list, Draft{Entry: "e1", From: fifth + 2*stability + time.Duration(i+1)*10*time.Millisecond, Begun: i < begun})
		}
		return list
	}
	naming := []Naming{{Engine: "i-1", PerSecond: 1, From: at, Told: map[string]time.Duration{"e1": at}}}
	killed := []Disturbance{{Target: "e1", What: string(KindKill), Effect: EffectAway, From: fifth, To: fifth + 30*time.Second}}
	late := fifth + stability
	for _, test := range []struct {
		name    string
		history *History
		want    []string
	}{
		{name: "three trials", history: &History{Crashes: crashes, Reached: reaches(3, late+time.Second, time.Second, "bad")}},
		{name: "four requests", history: &History{Crashes: crashes, Reached: reaches(4, late+time.Second, time.Second, "bad")}, want: []string{promiseCrash}},
		{name: "a whole request, four times after the third crash", history: &History{Crashes: whole, Reached: reaches(4, wholeThird+stability+time.Second, time.Second, whole[0].Bad)}, want: []string{promiseCrashWhole}},
		{name: "a whole request, three times", history: &History{Crashes: whole, Reached: reaches(3, wholeThird+stability+time.Second, time.Second, whole[0].Bad)}},
		{name: "many before the bound", history: &History{Crashes: crashes, Reached: reaches(20, fifth, 100*time.Millisecond, "bad")}},
		{name: "four crashes only", history: &History{Crashes: crashes[:4], Reached: reaches(20, late+time.Second, time.Second, "bad")}},
		{name: "an entry out of touch", history: &History{Crashes: crashes, Reached: reaches(20, late+time.Second, time.Second, "bad"), Disturbances: killed}},
		{name: "sound ones refused", history: &History{Crashes: crashes, Drafts: drafts(40, 10), Reached: reaches(1, fifth+20*time.Second, 0, "bad")}, want: []string{promiseSound}},
		{name: "sound ones begun", history: &History{Crashes: crashes, Drafts: drafts(40, 30), Reached: reaches(1, fifth+20*time.Second, 0, "bad")}},
		{name: "over the limit", history: &History{Namings: naming, Reached: reaches(12, at+stability, 300*time.Millisecond, "")}, want: []string{promiseLimit}},
		{name: "at the limit", history: &History{Namings: naming, Reached: reaches(40, at+stability, time.Second, "")}},
		{name: "over it, not told", history: &History{Namings: []Naming{{Engine: "i-1", PerSecond: 1, From: at}}, Reached: reaches(40, at+stability, 100*time.Millisecond, "")}},
	} {
		h := test.history
		h.Entries, h.Replicas, h.End = []string{"e1"}, []string{"r1", "r2", "r3"}, 90*time.Second
		c := newChecker(h)
		c.checkTroubles()
		var got []string
		for _, v := range c.violations {
			got = append(got, v.Promise)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
