package placement_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
)

// BenchmarkPick measures the choice among servers with prompts in progress, which is made under the policy's lock.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{120, 1200} {
		for _, reports := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/reports=%v", servers, reports), func(b *testing.B) {
				p, now := busyPlacer(servers), 20*time.Second
				if reports {
					reportLoads(p, servers, now)
				}
				request := &placement.Request{Service: "models", Size: placement.RequestSize{PromptTokens: 2400, OutputTokens: 100, Parts: []placement.Part{{Chain: 7, Tokens: 568}}}}
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := p.Pick(now, request); !ok {
						b.Fatal("no server")
					}
				}
			})
		}
	}
}

// busyPlacer returns a Placer with two prompts in progress at each server.
func busyPlacer(servers int) *placement.Placer {
	p := placement.New(1)
	var list []placement.Server
	for i := range servers {
		list = append(list, placement.Server{Name: fmt.Sprint("s", i), Service: "models", Slots: 32, CacheTokens: 696_000, Delay: time.Millisecond})
	}
	p.SetServers(list)
	for i := range 2 * servers {
		job := placement.Job{ID: placement.JobID{Origin: 1, Number: uint64(i)}, Server: list[i%servers].Name, Work: 9000, Memory: 2000, UncachedTokens: 2000}
		p.Placed(19*time.Second, job)
		if i >= servers {
			p.Started(19*time.Second+time.Duration(i), job.ID, false)
		}
	}
	return p
}
