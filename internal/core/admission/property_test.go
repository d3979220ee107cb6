package admission

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcart/internal/core/fleet"
)

// TestMain fixes the seed so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// tracker records and checks the decisions of a Controller.
type tracker struct {
	*rapid.T
	c        *Controller
	now      time.Duration
	arrived  map[uint64]bool
	decided  map[uint64]bool
	running  []uint64
	capacity int
}

// step applies one event and checks its effects.
func (t *tracker) step(event Event) {
	effects := t.c.Step(t.now, event)
	for _, a := range effects.Admit {
		t.decide(a.ID)
		t.running = append(t.running, a.ID)
		if t.c.InFlight("model") > t.capacity {
			t.Fatalf("%d requests in flight with %d slots", t.c.InFlight("model"), t.capacity)
		}
	}
	for _, r := range effects.Refuse {
		t.decide(r.ID)
		if r.RetryAfter < 0 || r.RetryAfter > 2*maxRetryAfter {
			t.Fatalf("retry delay %v is out of range", r.RetryAfter)
		}
	}
}

func (t *tracker) decide(id uint64) {
	if !t.arrived[id] || t.decided[id] {
		t.Fatalf("decision on request %d: arrived %v, already decided %v", id, t.arrived[id], t.decided[id])
	}
	t.decided[id] = true
}

// end ends the running request with index i.
func (t *tracker) end(i int, event func(uint64) Event) {
	id := t.running[i]
	t.running = append(t.running[:i], t.running[i+1:]...)
	t.step(event(id))
}

func newTracker(t *rapid.T, options Options, customers ...fleet.Customer) *tracker {
	tr := &tracker{T: t, c: New(options), arrived: map[uint64]bool{}, decided: map[uint64]bool{}}
	tr.step(LiveEntries{Entries: 1, Confirmed: true})
	tr.step(Customers{Customers: customers})
	return tr
}

func (t *tracker) setCapacity(slots int) {
	t.capacity = slots
	t.step(Capacity{Service: "model", Slots: slots, TokensPerSecond: 100 * float64(slots)})
}

func (t *tracker) arrive(customer string, short bool, tokens int, target, deadline time.Duration) {
	id := uint64(len(t.arrived) + 1)
	t.arrived[id] = true
	a := Arrived{ID: id, Customer: customer, Service: "model", Short: short, EstimatedTokens: tokens}
	if target > 0 {
		a.FirstTokenBy = t.now + target
	}
	if deadline > 0 {
		a.Deadline = t.now + deadline
	}
	t.step(a)
}

// TestEveryRequestIsDecidedOnce applies random interleavings of events and then
// lets time pass: every request must be decided exactly once.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const queueLimit = 3
		limits := []fleet.Customer{{Name: "a", Weight: 1, MaxInFlight: 3}, {Name: "b", Weight: 4, RequestsPerSecond: 5}, {Name: "c", TokensPerSecond: 500}}
		tr := newTracker(rt, Options{Seed: 1, QueueLimit: queueLimit, GrowAfter: time.Second}, limits...)
		tr.setCapacity(1)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				ms := rapid.SampledFrom([]time.Duration{0, 50, 1000, 20000})
				for range rapid.IntRange(1, 5).Draw(t, "arrivals") {
					tr.arrive(rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(t, "customer"), rapid.Bool().Draw(t, "short"),
						rapid.IntRange(0, 500).Draw(t, "tokens"), ms.Draw(t, "target")*time.Millisecond, ms.Draw(t, "deadline")*time.Millisecond)
				}
			},
			"end": func(t *rapid.T) {
				if len(tr.running) > 0 {
					tr.end(rapid.IntRange(0, len(tr.running)-1).Draw(t, "request"), func(id uint64) Event {
						return rapid.SampledFrom([]Event{Cancelled{id}, Finished{id, 70}, Finished{id, 0}}).Draw(t, "how")
					})
				}
			},
			"cancel": func(t *rapid.T) {
				id := uint64(rapid.IntRange(0, len(tr.arrived)+1).Draw(t, "id"))
				if tr.arrived[id] && !tr.decided[id] {
					tr.decided[id] = true
				}
				for i, running := range tr.running {
					if running == id {
						tr.running = append(tr.running[:i], tr.running[i+1:]...)
						break
					}
				}
				tr.step(Cancelled{id})
			},
			"firstToken": func(t *rapid.T) { tr.step(FirstToken{uint64(rapid.IntRange(0, 40).Draw(t, "id"))}) },
			"capacity":   func(t *rapid.T) { tr.setCapacity(rapid.IntRange(0, 6).Draw(t, "slots")) },
			"live": func(t *rapid.T) {
				tr.step(LiveEntries{rapid.IntRange(0, 5).Draw(t, "entries"), rapid.IntRange(-1, 5).Draw(t, "rank"), rapid.Bool().Draw(t, "confirmed")})
			},
			"customers": func(t *rapid.T) { tr.step(Customers{limits[:rapid.IntRange(1, 3).Draw(t, "n")]}) },
			"tick": func(t *rapid.T) {
				tr.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
				tr.step(Tick{})
			},
			"": func(t *rapid.T) {
				if tr.c.Queued() > queueLimit || len(tr.c.requests) != tr.c.Queued()+len(tr.running) {
					t.Fatalf("%d queued, expected at most 3; %d in the request table, expected those and %d running", tr.c.Queued(), len(tr.c.requests), len(tr.running))
				}
			},
		})
		for range 1000 {
			if tr.c.Queued() == 0 {
				break
			}
			for len(tr.running) > 0 {
				tr.end(0, func(id uint64) Event { return Finished{id, 50} })
			}
			tr.now += time.Second
			tr.step(Tick{})
		}
		if len(tr.decided) != len(tr.arrived) {
			rt.Fatalf("%d of %d requests decided, expected all", len(tr.decided), len(tr.arrived))
		}
	})
}

// TestFairness keeps several customers and both classes queued. Start-time fair
// queueing bounds the difference of the tokens admitted per weight to one request
// of each customer or class, so that none starves.
func TestFairness(t *testing.T) {
	const most, queue, rounds = 100, 100, 90
	rapid.Check(t, func(rt *rapid.T) {
		var customers []fleet.Customer
		for i := range rapid.IntRange(2, 4).Draw(rt, "customers") {
			customers = append(customers, fleet.Customer{Name: fmt.Sprint(i), Weight: float64(rapid.IntRange(1, 5).Draw(rt, "weight"))})
		}
		tr := newTracker(rt, Options{Seed: 1, QueueLimit: 2 * queue * len(customers), GrowAfter: -1}, customers...)
		tr.setCapacity(rapid.IntRange(1, 8).Draw(rt, "slots"))
		both := rapid.Bool().Draw(rt, "both classes")
		tokens := rapid.IntRange(1, most)
		for range queue {
			for _, c := range customers {
				tr.arrive(c.Name, false, tokens.Draw(rt, "tokens"), 0, 0)
				if both {
					tr.arrive(c.Name, true, tokens.Draw(rt, "tokens"), 0, 0)
				}
			}
		}
		served := map[*flow]float64{}
		var byClass [classes]float64
		s := tr.c.services["model"]
		for range rounds {
			tr.end(rapid.IntRange(0, len(tr.running)-1).Draw(rt, "ends"), func(id uint64) Event {
				return Finished{id, int(tr.c.requests[id].cost)}
			})
			r := tr.c.requests[tr.running[len(tr.running)-1]]
			served[r.flow] += r.cost / r.customer.weight()
			byClass[classLong] += r.cost / longWeight
			if r.Short {
				byClass[classLong] -= r.cost / longWeight
				byClass[classShort] += r.cost / shortWeight
			}
			for kind := range s.classes {
				for _, f := range s.classes[kind].active {
					for _, g := range s.classes[kind].active {
						bound := most/f.customer.weight() + most/g.customer.weight()
						if apart := served[f] - served[g]; apart > bound+1e-6 {
							rt.Fatalf("tokens per weight of customers %v and %v differ by %v, bound %v", f.customer.config, g.customer.config, apart, bound)
						}
					}
				}
			}
			// Short requests get the slots reserved for them in any case.
			kept := math.Ceil(maxReserveRatio*float64(s.slots)) * most / shortWeight
			long := byClass[classLong] - byClass[classShort]
			if bound := most/longWeight + most/shortWeight; both && (long > bound || -long > bound+kept) {
				rt.Fatalf("tokens per weight of the classes differ by %v, bound %v", long, bound)
			}
		}
	})
}

// TestLongRequestStarts checks that a long request is decided in bounded time while
// short requests keep arriving.
func TestLongRequestStarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := newTracker(rt, Options{Seed: 1, GrowAfter: -1}, fleet.Customer{Name: "a"})
		tr.setCapacity(rapid.IntRange(1, 8).Draw(rt, "slots"))
		cost := rapid.IntRange(1, 100).Draw(rt, "short tokens")
		short := func() { tr.arrive("a", true, cost, 0, 0) }
		for range 20 {
			short()
		}
		tr.arrive("a", false, 1000, 0, 0)
		long := uint64(len(tr.arrived))
		most := tr.capacity + 2 + shortWeight/longWeight*1000/cost
		for range most {
			tr.end(rapid.IntRange(0, len(tr.running)-1).Draw(rt, "ends"), func(id uint64) Event { return Finished{id, cost} })
			short()
		}
		if !tr.decided[long] {
			rt.Fatalf("long request still waits after %d short ones", most)
		}
	})
}

// TestSharesNeverExceedLimits lets entries join and leave. Each entry sees a
// change after a delay of its own, which is below the time after which shares
// grow. The shares of all live entries must never add up to more than the limit.
func TestSharesNeverExceedLimits(t *testing.T) {
	const entries, grow = 5, 1000
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(rt, "limit")
		// The times at which entries join and leave, and at which others see it.
		var joins, leaves [entries]int
		var seesJoin, seesLeave [entries][entries]int
		for j := range entries {
			joins[j] = rapid.IntRange(0, 4*grow).Draw(rt, "joins")
			leaves[j] = joins[j] + rapid.IntRange(1, 6*grow).Draw(rt, "stays")
			for i := range entries {
				seesJoin[i][j] = joins[j] + rapid.IntRange(0, grow-100).Draw(rt, "sees join")
				seesLeave[i][j] = leaves[j] + rapid.IntRange(0, grow-100).Draw(rt, "sees leave")
			}
		}
		shares := [entries]*share{}
		for now := 0; now < 11*grow; now += 100 {
			sum, rate := 0, 0.0
			at := time.Duration(now) * time.Millisecond
			for i := range entries {
				if now < joins[i] || now >= leaves[i] {
					continue
				}
				if shares[i] == nil {
					shares[i] = &share{growAfter: grow * time.Millisecond}
				}
				view := LiveEntries{Confirmed: true}
				for j := range entries {
					if j != i && (now < seesJoin[i][j] || now >= seesLeave[i][j]) {
						continue
					}
					view.Entries++
					if j < i {
						view.Rank++
					}
				}
				shares[i].update(at, view)
				shares[i].tick(at)
				sum += shares[i].count(limit)
				rate += shares[i].rate(float64(limit))
			}
			if sum > limit || rate > float64(limit)+1e-9 {
				rt.Fatalf("at %d ms: counts add up to %d, rates to %v, limit %d", now, sum, rate, limit)
			}
		}
	})
}

// TestShareGrowsOnlyIfConfirmed cuts an entry off from the others. Its share must
// not grow until the others are confirmed to have stopped.
func TestShareGrowsOnlyIfConfirmed(t *testing.T) {
	s := &share{growAfter: time.Second}
	s.update(0, LiveEntries{Entries: 4, Rank: 3, Confirmed: true})
	s.tick(time.Second)
	s.update(2*time.Second, LiveEntries{Entries: 1})
	s.tick(time.Hour)
	if got := s.rate(100); got != 25 {
		t.Fatalf("rate %v with one of four entries visible, expected 25", got)
	}
	s.update(time.Hour, LiveEntries{Entries: 1, Confirmed: true})
	s.tick(time.Hour + time.Second)
	if got := s.rate(100); got != 100 {
		t.Fatalf("rate %v after the others are confirmed to have stopped, expected 100", got)
	}
}
