package room

import (
	"testing"
	"time"
)

func inTime(k *kind) float64 { return share(k.inTime, k.calls) }

// Bursts of long summaries at 2.3 times their usual rate beside verdicts with 2.5 s, and the loss of a third of the engines: verdicts
// and short answers keep their time, and more of the long summaries are served in time than if all were sent at once. With as
// few slots as engines of 12 slots have, all kinds gain. Refusals come at once or within an eighth of the target.
func TestReplays(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		engines, slots int
		burst          float64
		lost           int
		// least is the least share in time, by kind.
		least [3]float64
	}{
		{"burst of long summaries", 42, 32, 2.3, 0, [3]float64{0.98, 0.93, 0.85}},
		{"a zone's engines lost", 42, 32, 0, 14, [3]float64{0.98, 0.92, 0.87}},
		{"burst with 12 slots", 75, 12, 2.3, 0, [3]float64{0.8, 0.65, 0.65}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var kinds [2][]*kind
			for i, on := range []bool{false, true} {
				kinds[i] = mixed(1, c.burst)
				play(load{entries: 71, engines: c.engines, slots: c.slots, lost: c.lost, length: 8 * time.Second, from: 3 * time.Second, until: 7 * time.Second, scale: 1, room: on, kinds: kinds[i]}, 1)
			}
			for i, k := range kinds[1] {
				t.Logf("before: %s", kinds[0][i])
				t.Logf("after: %s", k)
				if inTime(k) < c.least[i] || inTime(k) < inTime(kinds[0][i]) {
					t.Errorf("%s: %.3f in time, before %.3f, want %.3f", k.name, inTime(k), inTime(kinds[0][i]), c.least[i])
				}
				if k.longestRefusal > k.target/8 {
					t.Errorf("%s: refused after %s, want an eighth of the target at most", k.name, k.longestRefusal)
				}
			}
		})
	}
}

// With capacity nothing is held or refused, and each request is placed as before.
func TestReplayWithCapacity(t *testing.T) {
	t.Parallel()
	var kinds [2][]*kind
	for i, on := range []bool{false, true} {
		kinds[i] = mixed(1, 0)
		r := play(load{entries: 71, engines: 150, slots: 32, length: 4 * time.Second, scale: 1, room: on, kinds: kinds[i]}, 1)
		if r.offered != r.runs {
			t.Errorf("%d calls handed to engines, %d begun", r.offered, r.runs)
		}
	}
	for i, k := range kinds[1] {
		t.Logf("before: %s", kinds[0][i])
		t.Logf("after: %s", k)
		if *k != *kinds[0][i] {
			t.Errorf("%s differs with capacity", k.name)
		}
	}
}

// More engines never lead to more refusals, and what is refused is not offered to an engine.
func TestReplayWithMoreEngines(t *testing.T) {
	t.Parallel()
	last := -1
	for _, engines := range []int{24, 32, 40} {
		kinds := mixed(1, 2.3)
		r := play(load{entries: 71, engines: engines, slots: 32, length: 6 * time.Second, from: 2 * time.Second, until: 5 * time.Second, scale: 1, room: true, kinds: kinds}, 1)
		refused := 0
		for _, k := range kinds {
			t.Logf("%d engines: %s", engines, k)
			refused += k.refused
		}
		if last >= 0 && refused > last {
			t.Errorf("%d engines: %d refused, fewer engines %d", engines, refused, last)
		}
		last = refused
		if r.offered != r.runs {
			t.Errorf("%d calls handed to engines, %d begun", r.offered, r.runs)
		}
	}
}

// Engines that take half or twice the time that placement expects at first; means of four seeds.
func TestReplayWrongEstimates(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		scale   float64
		engines int
	}{{0.5, 21}, {2, 84}} {
		const seeds = 4
		var mean [3]float64
		for seed := range uint64(seeds) {
			kinds := mixed(1, 2.3)
			play(load{entries: 71, engines: c.engines, slots: 64, length: 8 * time.Second, from: 2 * time.Second, until: 6 * time.Second, scale: c.scale, room: true, kinds: kinds}, seed+1)
			for i, k := range kinds {
				mean[i] += inTime(k) / seeds
			}
		}
		t.Logf("times %.1f: %.3f in time", c.scale, mean)
		for i, least := range []float64{0.9, 0.85, 0.6} {
			if mean[i] < least {
				t.Errorf("times %.1f: kind %d: %.3f in time, want %.3f", c.scale, i, mean[i], least)
			}
		}
	}
}
