package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// appLoad plays calls at application servers of 6 slots, from entries of as many zones as there are servers. A
// call takes 30 ms on average. Results reach the other entries 100 ms late, as counts.
type appLoad struct {
	entries, servers int
	perSecond        float64
	// failures is the share of calls that fail, by server.
	failures func(server int) float64
}

// play returns the share of calls that end within 150 ms, and the calls of each server by second.
func (l *appLoad) play(length time.Duration) (inTime float64, calls [][]int) {
	const slots = 6
	random := rand.New(rand.NewPCG(5, 6))
	placers := make([]*Placer, l.entries)
	for i := range placers {
		placers[i] = New(uint64(i + 1))
		var servers []Server
		for k := range l.servers {
			server := Server{Name: fmt.Sprint(k), Service: "app", Slots: slots}
			if k != i%l.servers {
				server.Delay = 3 * time.Millisecond
			}
			servers = append(servers, server)
		}
		placers[i].SetServers(servers)
	}
	type event struct {
		at    time.Duration
		apply func()
	}
	var events []event
	schedule := func(at time.Duration, apply func()) {
		i, _ := slices.BinarySearchFunc(events, at, func(e event, at time.Duration) int { return int(e.at - at) })
		events = slices.Insert(events, i, event{at, apply})
	}
	free := make([][]time.Duration, l.servers)
	for k := range free {
		free[k] = make([]time.Duration, slots)
	}
	calls = make([][]int, int(length/time.Second)+1)
	for i := range calls {
		calls[i] = make([]int, l.servers)
	}
	ended, number := 0, uint64(0)
	for now := time.Duration(0); now < length; now += duration(random.ExpFloat64() * 1000 / l.perSecond) {
		for len(events) > 0 && events[0].at <= now {
			next := events[0]
			events = events[1:]
			next.apply()
		}
		entry := random.IntN(l.entries)
		p := placers[entry]
		decision, ok := p.Pick(now, &Request{Service: "app"})
		if !ok {
			continue
		}
		var k int
		_, _ = fmt.Sscan(decision.Server, &k)
		number++
		id := JobID{Origin: uint64(entry + 1), Number: number}
		p.Placed(now, NewJob(id, decision, RequestSize{}))
		calls[int(now/time.Second)][k]++
		slot := slices.Index(free[k], slices.Min(free[k]))
		begins := max(now, free[k][slot])
		ends := begins + duration(15+random.ExpFloat64()*15)
		free[k][slot] = ends
		if ends-now <= 150*time.Millisecond {
			ended++
		}
		result, counts := ResultAnswered, Counts{Answered: 1}
		if random.Float64() < l.failures(k) {
			result, counts = ResultFailed, Counts{Failed: 1}
		}
		schedule(ends, func() { p.Ended(ends, id, result) })
		schedule(ends+100*time.Millisecond, func() {
			for i, other := range placers {
				if i != entry {
					other.RecordCounts(ends+100*time.Millisecond, decision.Server, counts)
				}
			}
		})
	}
	return float64(ended) / float64(number), calls
}

// Calls that fail at any server alike say nothing of one server. A single one must not send the calls of all entries to the
// other servers at the same moment, where they queue.
func TestFailuresOfAllServersDontHerd(t *testing.T) {
	load := appLoad{entries: 71, servers: 4, perSecond: 250, failures: func(int) float64 { return 0.05 }}
	inTime, calls := load.play(20 * time.Second)
	if inTime < 0.95 {
		t.Errorf("%.3f of the calls ended in time", inTime)
	}
	for second, byServer := range calls[:20] {
		if busiest := slices.Max(byServer); busiest > 125 {
			t.Errorf("second %d: a server got %d of 250 calls: %v", second, busiest, byServer)
		}
	}
}

// A server that fails half of its calls gets few of them although calls fail at the others too.
func TestFailingApplicationServerIsAvoided(t *testing.T) {
	load := appLoad{entries: 71, servers: 4, perSecond: 250, failures: func(k int) float64 {
		if k == 2 {
			return 0.5
		}
		return 0.05
	}}
	_, calls := load.play(20 * time.Second)
	failing, total := 0, 0
	for _, byServer := range calls[2:] {
		failing += byServer[2]
		for _, n := range byServer {
			total += n
		}
	}
	if failing > total/15 || failing == 0 {
		t.Errorf("the failing server got %d of %d calls, expected some and at most 1 in 15", failing, total)
	}
}
