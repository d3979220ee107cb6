package placement_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
)

func reportLoads(p *placement.Placer, servers int, now time.Duration) {
	for i := range servers {
		for age := 3 * time.Second; age > 0; age -= 200 * time.Millisecond {
			p.ObserveLoad(now-age, fmt.Sprint("s", i), placement.Load{Running: 4, Waiting: 1, Factor: threeSpeeds[i%3]})
		}
	}
}

// BenchmarkObserveLoad measures what one response's report costs, which is done under the policy's lock.
func BenchmarkObserveLoad(b *testing.B) {
	p, now := busyPlacer(60), time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += 210 * time.Millisecond
		p.ObserveLoad(now, "s7", placement.Load{Running: 4, Factor: 1 + float64(now%7)/10})
	}
}
