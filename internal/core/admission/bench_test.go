package admission

import (
	"fmt"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
)

// BenchmarkQueue measures one arrival, one finished request and one tick with a
// full queue.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{5, 500} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			var customers []fleet.Customer
			for i := range n {
				customers = append(customers, fleet.Customer{Name: fmt.Sprint(i)})
			}
			c := newController(64, customers...)
			var running []uint64
			id := 0
			step := func(now time.Duration, e Event) {
				for _, a := range c.Step(now, e).Admit {
					running = append(running, a.ID)
				}
			}
			arrive := func(now time.Duration) {
				step(now, Arrived{ID: uint64(id), Customer: customers[id%n].Name, Service: "model", EstimatedTokens: 100, Deadline: now + time.Hour})
				id++
			}
			for range DefaultQueueLimit + 64 {
				arrive(0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				arrive(now)
				step(now, Finished{ID: running[0], Tokens: 100})
				running = running[1:]
				step(now, Tick{})
			}
		})
	}
}
