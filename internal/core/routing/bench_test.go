package routing

import (
	"fmt"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
)

var benchPolicy = fleet.Policy{FirstTokenTargetMS: 930, TokenGapTargetMS: 44, Routing: fleet.RouteExpectedCompletion, PrefixAffinity: true}

// benchServers returns n engines of two classes in 24 zones, or in 4 zones for
// small fleets.
func benchServers(n int) []Server {
	zones := 24
	if n <= 120 {
		zones = 4
	}
	servers := make([]Server, n)
	for i := range servers {
		zone := i % zones
		class := i / zones % 2
		servers[i] = Server{
			Name: fmt.Sprintf("engine-%05d", i), Service: "model",
			Zone: fmt.Sprintf("z%d", zone), Class: fmt.Sprintf("c%d", class),
			PricePerHour: 1 + 0.02*float64(zone) + float64(class), Slots: 8,
			TokensPerSecond: 200 + 100*float64(class), Delay: time.Duration(zone) * time.Millisecond,
		}
	}
	return servers
}

// busyTime is the time at which a busyRouter is used. By then the prompts of its
// requests in flight have been read.
const busyTime = time.Minute

// busyRouter returns a router that has requests in flight and current load reports.
func busyRouter(n int) *Router {
	r := New(Options{Zone: "z0", Seed: 1})
	servers := benchServers(n)
	r.SetServers(servers)
	for i, s := range servers {
		for range i % 5 {
			r.Started(0, s.Name, RequestSize{PromptTokens: 1000, OutputTokens: 200, Prefix: uint64(i%256 + 1)})
		}
		r.Report(busyTime, s.Name, Report{Running: i % 9, Slots: 8, Age: time.Second})
	}
	return r
}

func benchRequest(i int) Request {
	return Request{Service: "model", PromptTokens: 600, OutputTokens: 200, Prefix: uint64(i%256 + 1), Policy: &benchPolicy}
}

// BenchmarkDecision measures a decision together with the updates at the start and
// the end of its attempt.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{12, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) { benchmarkPick(b, n, scanLimit) })
	}
}

// BenchmarkFullScan is BenchmarkDecision with all servers evaluated.
func BenchmarkFullScan(b *testing.B) {
	for _, n := range []int{12, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) { benchmarkPick(b, n, n) })
	}
}

func benchmarkPick(b *testing.B, n, limit int) {
	r := busyRouter(n)
	r.scanLimit = limit
	size := RequestSize{PromptTokens: 600, OutputTokens: 200}
	outcome := Outcome{Size: size, FirstToken: 300 * time.Millisecond, Elapsed: 8 * time.Second, OutputTokens: 200, CachedTokens: -1}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := busyTime + time.Duration(i)*time.Microsecond
		d, _ := r.Pick(now, benchRequest(i))
		r.Started(now, d.Server, size)
		r.Finished(now, d.Server, outcome)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	for _, n := range []int{12, 1200} {
		r := busyRouter(n)
		i := 0
		allocs := testing.AllocsPerRun(1000, func() {
			r.Pick(busyTime, benchRequest(i))
			i++
		})
		if allocs != 0 {
			t.Errorf("%d engines: %v allocations per Pick, expected 0", n, allocs)
		}
	}
}
