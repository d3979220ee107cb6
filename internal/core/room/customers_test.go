package room

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// While one customer sends seven times its usual rate, and the requests take one and a half times the capacity, at least three
// quarters of the others' requests are served in time, although no caller comes back to the room that is kept for it. The one gets
// what they leave. If customers aren't told apart, the others get the same share as the one.
func TestSurgeOfOneCustomer(t *testing.T) {
	var others, one, apart float64
	for seed := range uint64(8) {
		o, s := playSurge(seed, true)
		others, one = others+o/8, one+s/8
		o, _ = playSurge(seed, false)
		apart += o / 8
	}
	t.Logf("in time: others %.3f, the one %.3f; if not told apart, others %.3f", others, one, apart)
	if others < 0.75 || others < apart+0.1 || one < 0.1 {
		t.Errorf("in time: others %.3f, the one %.3f; if not told apart, others %.3f", others, one, apart)
	}
}

// playSurge returns the shares in time of the other customers and of the one that surges.
func playSurge(seed uint64, apart bool) (others, one float64) {
	r, server := New(1), &serial{rate: 70_000}
	random := rand.New(rand.NewPCG(seed, 4))
	var calls, inTime [2]int
	id := uint64(0)
	for now := time.Duration(0); now < 40*time.Second; {
		rates := [5]float64{0.7, 0.7, 0.7, 0.7, 0.7}
		if now > 25*time.Second && now < 34*time.Second {
			rates[0] *= 7
		}
		now += time.Duration(random.ExpFloat64() / (2.8 + rates[0]) * float64(time.Second))
		customer := 0
		if random.Float64()*(2.8+rates[0]) > rates[0] {
			customer = 1 + random.IntN(4)
		}
		name, side := "", min(customer, 1)
		if apart {
			name = fmt.Sprint(customer)
		}
		server.run(now)
		id++
		request := Request{ID: id, Service: "s", Kind: "long", Customer: name, Target: time.Second, Latest: 4 * time.Second, Deadline: now + 12*time.Second, Work: 14_000}
		start := server.start(now, 0, request.Work)
		counts := now > 27*time.Second && now < 34*time.Second
		if counts {
			calls[side]++
		}
		e, _ := r.Step(now, Arrived{request, Capacity{Servers: 1, Start: start, Urgent: start, Soon: start, Rate: 70_000, Spare: 70_000}})
		if e.Action != Go {
			continue
		}
		server.waiting = append(server.waiting, &job{work: request.Work, arrived: now, begun: func(begun time.Duration) {
			if counts && begun-now <= request.Target {
				inTime[side]++
			}
		}})
	}
	server.run(math.MaxInt64)
	return share(inTime[1], calls[1]), share(inTime[0], calls[0])
}
