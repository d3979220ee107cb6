package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures a check of a roll-out with 48 routes, each with some failures and slow responses, as
// the leader makes it ten times a second; BenchmarkDraw a draw with a report on all of them.
func BenchmarkTick(b *testing.B) {
	c, now := manyRoutes(), time.Duration(0)
	for b.Loop() {
		now += tickEvery
		c.decision = nil
		c.Tick(now % (5 * time.Second))
	}
}

func BenchmarkDraw(b *testing.B) {
	c := manyRoutes()
	report := c.entries[1].last
	for b.Loop() {
		report.Sequence++
		c.Draw(time.Second, report)
	}
}

func manyRoutes() *Controller {
	c := New(0, Rollout{Number: 1, DeadlineMS: 12_000, State: StateActive}, true)
	c.SetFleet(Fleet{Target: 28, Old: 28})
	report := Report{Number: 1, Incarnation: 1, Sequence: 1, Requests: 5_000, Evidence: make(Evidence)}
	for i := range maxRoutes {
		for _, target := range []bool{true, false} {
			report.Evidence[Key{target, fmt.Sprint(i)}] = Counts{Responses: 100, Failures: 2, Ratios: [buckets]uint64{10, 80, 4, 4, 2}}
		}
	}
	c.Draw(0, report)
	for range fullWindow {
		c.samples = append(c.samples, sample{evidence: c.evidence})
	}
	return c
}
