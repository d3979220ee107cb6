package room

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func drawRequest(t *rapid.T, id uint64, now time.Duration) Request {
	target := time.Duration(rapid.IntRange(100, 2000).Draw(t, "target")) * ms
	left := time.Duration(rapid.IntRange(100, 15000).Draw(t, "left")) * ms
	return Request{
		ID: id, Service: "s", Kind: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "kind")), Rank: rapid.IntRange(-1, 12).Draw(t, "rank"),
		Target: target, Latest: left * 4 / 5, Deadline: now + left,
		Work: float64(rapid.IntRange(100, 12000).Draw(t, "work")), Returned: rapid.Bool().Draw(t, "returned"),
	}
}

func drawCapacity(t *rapid.T) Capacity {
	start := time.Duration(rapid.IntRange(1, 3000).Draw(t, "start")) * ms
	rate := float64(rapid.IntRange(0, 1_000_000).Draw(t, "rate"))
	return Capacity{
		Servers: rapid.IntRange(0, 3).Draw(t, "servers"), Start: start,
		Urgent: time.Duration(float64(start) * rapid.Float64Range(0, 1).Draw(t, "urgent")),
		Soon:   time.Duration(float64(start) * rapid.Float64Range(0, 1).Draw(t, "soon")),
		Rate:   rate, Spare: rate * rapid.Float64Range(0, 1).Draw(t, "spare"),
	}
}

// Each request ends once: it goes, is refused, or leaves. None is held beyond an eighth of its target or its deadline,
// and a refusal names a time within the bounds, whatever other entries announce.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(1)
		now := time.Duration(0)
		type state struct {
			Request
			arrived time.Duration
		}
		open := make(map[uint64]state)
		ended := make(map[uint64]bool)
		check := func(e Effect) {
			s, known := open[e.ID]
			if !known || ended[e.ID] {
				t.Fatalf("a decision on request %d, which does not wait", e.ID)
			}
			if e.Action == Wait {
				if now-s.arrived+LookInterval > s.Target/holdDivisor || now+LookInterval >= s.Deadline {
					t.Fatalf("request %d is held %s after it arrived: %+v", e.ID, now-s.arrived, s)
				}
				return
			}
			ended[e.ID] = true
			delete(open, e.ID)
			if e.Action == Refuse && (e.RetryAfter < minRetryAfter || e.RetryAfter > maxRetryAfter*2) {
				t.Fatalf("refused with Retry-After %s", e.RetryAfter)
			}
		}
		for id := range uint64(rapid.IntRange(1, 30).Draw(t, "requests")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * ms
			request := drawRequest(t, id, now)
			open[id] = state{request, now}
			effect, decided := r.Step(now, Arrived{request, drawCapacity(t)})
			if !decided {
				t.Fatalf("no decision on request %d", id)
			}
			check(effect)
			price := Price{Service: "s", Rank: rapid.IntRange(-1, 11).Draw(t, "price rank"), Offered: rapid.Float64().Draw(t, "offered"),
				Short: rapid.Float64().Draw(t, "short"), Deferred: rapid.Float64().Draw(t, "deferred"), Due: time.Duration(rapid.Int64().Draw(t, "due"))}
			r.Step(now, Told{price})
			for _, waiting := range r.Waiting() {
				switch rapid.IntRange(0, 2).Draw(t, "then") {
				case 0:
					r.Step(now, Left{waiting})
					delete(open, waiting)
					ended[waiting] = true
				case 1:
					now += LookInterval
					if effect, decided := r.Step(now, Looked{waiting, drawCapacity(t)}); decided {
						check(effect)
					}
				}
			}
			r.Prices(now)
		}
		if len(r.Waiting()) != len(open) {
			t.Fatalf("%d requests wait, want %d", len(r.Waiting()), len(open))
		}
	})
}

// While all requests are expected to begin in time and no entry lacks room, each goes at once, with the rank it has, and nothing is
// announced.
func TestNothingWaitsWithCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(1)
		now := time.Duration(0)
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "requests")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * ms
			request, capacity := drawRequest(t, id, now), drawCapacity(t)
			capacity.Start = min(capacity.Start, request.Target)
			effect, _ := r.Step(now, Arrived{request, capacity})
			if effect.Action != Go || effect.Urgent || effect.Contended {
				t.Fatalf("got %+v for %+v", effect, request)
			}
			r.Step(now, Began{Service: "s", Rank: request.Rank, Left: request.Target, Took: capacity.Start})
			if prices := r.Prices(now); len(prices) > 0 {
				t.Fatalf("announced %+v", prices)
			}
		}
	})
}

// After any history, a request that goes with some capacity also goes with more, and one that is refused with more capacity is told
// no later time. Replays with more servers are in internal/room.
func TestMoreCapacityFewerRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		few, more := New(1), New(1)
		now := time.Duration(0)
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "requests")) {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "step")) * ms
			request, capacity := drawRequest(t, id, now), drawCapacity(t)
			few.Step(now, Arrived{request, capacity})
			more.Step(now, Arrived{request, capacity})
		}
		request, capacity := drawRequest(t, 100, now), drawCapacity(t)
		capacity.Servers = 1
		factor := rapid.Float64Range(1, 3).Draw(t, "factor")
		larger := Capacity{
			Servers: 1, Start: stretch(capacity.Start, 1/factor), Urgent: stretch(capacity.Urgent, 1/factor), Soon: stretch(capacity.Soon, 1/factor),
			Rate: capacity.Rate * factor, Spare: capacity.Spare * factor,
		}
		with, _ := few.Step(now, Arrived{request, capacity})
		withMore, _ := more.Step(now, Arrived{request, larger})
		if withMore.Action > with.Action {
			t.Fatalf("%+v; with %.2f times the capacity %+v", with, factor, withMore)
		}
		if withMore.Action == Refuse && withMore.RetryAfter > with.RetryAfter {
			t.Fatalf("told %s; with %.2f times the capacity %s", with.RetryAfter, factor, withMore.RetryAfter)
		}
	})
}

// A less urgent kind gets its guaranteed minimum while more urgent requests need three times the capacity.
func TestNoKindStarves(t *testing.T) {
	const rate, work = 100_000.0, 8000.0
	r := New(1)
	random := rand.New(rand.NewPCG(1, 1))
	gone := 0.0
	id := uint64(0)
	for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
		id++
		r.Step(now, Arrived{Request{ID: id, Service: "s", Kind: "urgent", Target: 500 * ms, Latest: time.Second, Deadline: now + time.Second, Work: 3000},
			Capacity{Servers: 1, Start: time.Duration(random.IntN(1500)) * ms, Urgent: time.Second, Soon: time.Second, Rate: rate, Spare: rate}})
		id++
		e, _ := r.Step(now, Arrived{Request{ID: id, Service: "s", Kind: "long", Rank: 2, Target: time.Second, Latest: 4 * time.Second, Deadline: now + 12*time.Second, Work: work},
			Capacity{Servers: 1, Start: time.Minute, Urgent: 700 * ms, Soon: time.Minute, Rate: rate, Spare: rate / 20}})
		if e.Action == Go {
			gone += work
		}
	}
	if want := 0.9 * minimumShare * rate * 20; gone < want {
		t.Errorf("the less urgent kind got %.0f tokens, want at least %.0f", gone, want)
	}
}

// serial is a server that does the work of one request at a time, the most urgent first.
type serial struct {
	rate    float64
	waiting []*job
	free    time.Duration
}

type job struct {
	rank    int
	work    float64
	arrived time.Duration
	begun   func(now time.Duration)
}

// run does the work until a time.
func (s *serial) run(until time.Duration) {
	for len(s.waiting) > 0 && s.free < until {
		best := 0
		for i, j := range s.waiting {
			if j.rank < s.waiting[best].rank {
				best = i
			}
		}
		j := s.waiting[best]
		s.waiting = slices.Delete(s.waiting, best, best+1)
		s.free = max(s.free, j.arrived) + s.takes(j.work)
		j.begun(s.free)
	}
}

func (s *serial) takes(work float64) time.Duration {
	return time.Duration(work / s.rate * float64(time.Second))
}

func (s *serial) start(now time.Duration, rank int, work float64) time.Duration {
	ahead := max(s.free-now, 0)
	for _, j := range s.waiting {
		if j.rank <= rank {
			ahead += s.takes(j.work)
		}
	}
	return ahead + s.takes(work)
}

// The value of what is served in time on small cases is near that of an exhaustive search that knows all arrivals. If no request
// takes more than three fifths of the shortest target, it is at least a third in each case; a request that takes up to one and a half
// targets and is not interrupted may cost all that come after it, and only the cases together are near.
func TestNearOptimumOnSmallCases(t *testing.T) {
	nearOptimum(t, 60, 100, 1.0/3, 0.9)
	nearOptimum(t, 300, 200, 0, 0.75)
}

func nearOptimum(t *testing.T, largest, target int, each, together float64) {
	got, best, worst := 0.0, 0.0, 1.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "requests")
		requests := make([]Request, n)
		arrivals := make([]time.Duration, n)
		now := time.Duration(0)
		for i := range requests {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "step")) * ms
			arrivals[i] = now
			requests[i] = Request{ID: uint64(i), Service: "s", Kind: "k", Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Work: float64(rapid.IntRange(10, largest).Draw(t, "work")),
				Target: time.Duration(rapid.IntRange(target, 3*target).Draw(t, "target")) * ms}
			requests[i].Latest, requests[i].Deadline = requests[i].Target, now+requests[i].Target
		}
		online := serve(requests, arrivals)
		optimum := exhaustive(requests, arrivals, make([]bool, n), 0)
		got, best = got+online, best+optimum
		if optimum > 0 {
			worst = min(worst, online/optimum)
		}
		if online < each*optimum {
			t.Fatalf("got %.2f of %.2f", online, optimum)
		}
	})
	t.Logf("work up to %d: value %.3f of the optimum, %.3f in the worst case", largest, got/best, worst)
	if got < together*best {
		t.Errorf("value %.3f of the optimum, want %.3f", got/best, together)
	}
}

func valueOf(rank int) float64 { return math.Pow(2, -float64(rank)) }

func serve(requests []Request, arrivals []time.Duration) (value float64) {
	r, server := New(1), &serial{rate: 1000}
	for i, request := range requests {
		now := arrivals[i]
		server.run(now)
		start := server.start(now, request.Rank, request.Work)
		e, _ := r.Step(now, Arrived{request, Capacity{Servers: 1, Start: start, Urgent: start, Soon: start, Rate: 1000, Spare: 1000}})
		if e.Action != Go {
			continue
		}
		server.waiting = append(server.waiting, &job{rank: request.Rank, work: request.Work, arrived: now, begun: func(now time.Duration) {
			if now <= arrivals[i]+request.Target {
				value += valueOf(request.Rank)
			}
		}})
	}
	server.run(math.MaxInt64)
	return value
}

func exhaustive(requests []Request, arrivals []time.Duration, used []bool, free time.Duration) (best float64) {
	for i, request := range requests {
		if used[i] {
			continue
		}
		ends := max(free, arrivals[i]) + time.Duration(request.Work)*ms
		if ends > arrivals[i]+request.Target {
			continue
		}
		used[i] = true
		best = max(best, valueOf(request.Rank)+exhaustive(requests, arrivals, used, ends))
		used[i] = false
	}
	return best
}

// With predictions that are half or twice the true times, a service at 1.4 times its capacity serves
// at least three quarters of what it serves with true ones in time, and the most urgent kind nearly always.
func TestWrongEstimates(t *testing.T) {
	served := make(map[float64]float64)
	for _, wrong := range []float64{0.5, 1, 2} {
		r, server := New(1), &serial{rate: 70_000}
		random := rand.New(rand.NewPCG(3, 3))
		urgent, urgentInTime, inTime := 0, 0, 0.0
		id := uint64(0)
		for now := time.Duration(0); now < 60*time.Second; {
			now += time.Duration(random.ExpFloat64() / 14 * float64(time.Second))
			server.run(now)
			request := Request{Service: "s", Kind: "long", Rank: 2, Target: time.Second, Latest: 4 * time.Second, Deadline: now + 12*time.Second, Work: 10_000}
			if random.IntN(2) == 0 {
				request = Request{Service: "s", Kind: "short", Rank: 0, Target: 500 * ms, Latest: 2 * time.Second, Deadline: now + 10*time.Second, Work: 2000}
				urgent++
			}
			id++
			request.ID = id
			predicted := func(rank int) time.Duration { return stretch(server.start(now, rank, request.Work), wrong) }
			e, _ := r.Step(now, Arrived{request, Capacity{Servers: 1, Start: predicted(request.Rank), Urgent: predicted(0), Soon: predicted(request.Rank), Rate: 70_000, Spare: 56_000}})
			if e.Action != Go {
				continue
			}
			server.waiting = append(server.waiting, &job{rank: request.Rank, work: request.Work, arrived: now, begun: func(begun time.Duration) {
				r.Step(begun, Began{Service: "s", Rank: request.Rank, Left: e.Left, Start: e.Start, Took: begun - now})
				if begun-now <= request.Target {
					inTime += request.Work
					if request.Rank == 0 {
						urgentInTime++
					}
				}
			}})
		}
		served[wrong] = inTime / 60 / 70_000
		t.Logf("predictions times %.1f: %.3f of the capacity served in time, %.3f of the most urgent", wrong, served[wrong], share(urgentInTime, urgent))
		if share(urgentInTime, urgent) < 0.95 {
			t.Errorf("predictions times %.1f: %.3f of the most urgent in time, want 0.95", wrong, share(urgentInTime, urgent))
		}
	}
	for wrong, share := range served {
		if share < 0.75*served[1] {
			t.Errorf("predictions times %.1f: %.3f of the capacity served in time, %.3f with true ones", wrong, share, served[1])
		}
	}
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// Prices expire: some seconds after the last request without room, nothing gives way any more.
func TestPriceExpires(t *testing.T) {
	r := New(1)
	r.Step(0, Told{Price{Service: "s", Offered: 100, Short: 100, Deferred: 1e6, Due: time.Second}})
	arrive := func(now time.Duration, id uint64) Effect {
		e, _ := r.Step(now, Arrived{Request{ID: id, Service: "s", Kind: "long", Rank: 2, Target: time.Second, Latest: 4 * time.Second, Deadline: now + 12*time.Second, Work: 8000},
			Capacity{Servers: 1, Start: 300 * ms, Urgent: 300 * ms, Soon: 300 * ms, Rate: 1e5, Spare: 1e5}})
		return e
	}
	if e := arrive(10*ms, 1); e.Action != Refuse || e.Reason != ReasonGivesWay {
		t.Errorf("at a price of 1 got %+v, want a refusal", e)
	}
	if e := arrive(9*time.Second, 2); e.Action != Go || e.Reason != ReasonInTime {
		t.Errorf("9 s later got %+v, want it to go", e)
	}
}

// Answers that begin late at servers that seemed idle, for example because a server fails, don't make other requests give way.
func TestLateAnswersOfIdleServers(t *testing.T) {
	r := New(1)
	for id := range uint64(50) {
		now := time.Duration(id) * 10 * ms
		e, _ := r.Step(now, Arrived{Request{ID: id, Service: "s", Kind: "short", Target: 500 * ms, Latest: 2 * time.Second, Deadline: now + 5*time.Second, Work: 800},
			Capacity{Servers: 1, Start: 20 * ms, Urgent: 20 * ms, Soon: 20 * ms, Rate: 1e5, Spare: 1e5}})
		r.Step(now, Began{Service: "s", Left: e.Left, Start: e.Start, Took: time.Second})
		e, _ = r.Step(now, Arrived{Request{ID: 100 + id, Service: "s", Kind: "long", Rank: 2, Target: time.Second, Latest: 4 * time.Second, Deadline: now + 12*time.Second, Work: 8000},
			Capacity{Servers: 1, Start: 200 * ms, Urgent: 200 * ms, Soon: 200 * ms, Rate: 1e5, Spare: 1e5}})
		if e.Action != Go || e.Price > 0 {
			t.Fatalf("request %d: got %+v", id, e)
		}
	}
}

// A request whose own work takes longer than its target goes to an idle server, however late earlier answers were.
func TestLongWorkGoesToIdleServers(t *testing.T) {
	r := New(1)
	for id := range uint64(100) {
		now := time.Duration(id) * 10 * ms
		e, _ := r.Step(now, Arrived{Request{ID: id, Service: "s", Kind: "long", Rank: 1, Target: 500 * ms, Latest: 2 * time.Second, Deadline: now + 3*time.Second, Work: 60_000},
			Capacity{Servers: 1, Start: 900 * ms, Urgent: 900 * ms, Soon: 900 * ms, Alone: 900 * ms, Rate: 1e5, Spare: 1e5}})
		if e.Action != Go || e.Reason != ReasonInTime {
			t.Fatalf("request %d: got %+v", id, e)
		}
		r.Step(now, Began{Service: "s", Rank: 1, Left: e.Left, Start: e.Start, Took: 3 * time.Second})
	}
}

// A caller that was told to come back goes where a new request gives way to those that are due.
func TestReturnedGoFirst(t *testing.T) {
	r := New(1)
	r.Step(0, Told{Price{Service: "s", Rank: 2, Deferred: 1e6, Due: 0}})
	request := Request{ID: 1, Service: "s", Kind: "long", Rank: 2, Target: time.Second, Latest: 4 * time.Second, Deadline: 12 * time.Second, Work: 8000}
	capacity := Capacity{Servers: 1, Start: 800 * ms, Urgent: 800 * ms, Soon: 800 * ms, Rate: 1e5, Spare: 1e5}
	fresh, _ := r.Step(0, Arrived{request, capacity})
	request.ID, request.Returned = 2, true
	returned, _ := r.Step(0, Arrived{request, capacity})
	if fresh.Action == Go || returned.Action != Go {
		t.Errorf("the new request: %+v; the returned one: %+v", fresh, returned)
	}
}
