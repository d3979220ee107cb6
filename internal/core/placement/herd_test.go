package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
)

// at is something that happens at a time.
type at struct {
	when time.Duration
	do   func(now time.Duration)
}

type schedule []at

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].when < s[j].when }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(at)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// promptKind is a kind of request of the simulated load.
type promptKind struct {
	perSecond float64
	// common is the part of the shared tokens that all prompts of the kind share, and things the number
	// of the shared parts behind it.
	common, shared, own, things int
	// target is the time until the answer should begin, and runs how long it goes on.
	target, runs            time.Duration
	begun, inTime, reusable int
}

// placeLoad plays a load on engines that read prompts one after the other. Entries learn of each
// other's placements newsDelay later.
func placeLoad(entries, servers int, newsDelay, length time.Duration, kinds []*promptKind) {
	const (
		tokensPerMS = 61.2
		overhead    = 4 * time.Millisecond
		warmUp      = 2 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	var list []placement.Server
	for i := range servers {
		list = append(list, placement.Server{Name: fmt.Sprint("s", i), Service: "models", Slots: 16, CacheTokens: 434_000, Delay: 3 * time.Millisecond})
	}
	placers := make([]*placement.Placer, entries)
	for i := range placers {
		placers[i] = placement.New(uint64(i + 1))
		placers[i].SetServers(list)
		placers[i].SetNewsDelay(newsDelay)
	}
	events := &schedule{}
	tell := func(now time.Duration, from int, do func(now time.Duration, p *placement.Placer, own bool)) {
		do(now, placers[from], true)
		heap.Push(events, at{now + newsDelay, func(now time.Duration) {
			for i, p := range placers {
				if i != from {
					do(now, p, false)
				}
			}
		}})
	}
	free := make(map[string]time.Duration)
	held := make(map[string]map[uint64]bool)
	number := uint64(0)
	for _, kind := range kinds {
		for when := time.Duration(0); when < length; {
			when += time.Duration(random.ExpFloat64() / kind.perSecond * float64(time.Second))
			heap.Push(events, at{when, func(now time.Duration) {
				number++
				entry := random.IntN(entries)
				chain := uint64(random.IntN(kind.things))*10 + uint64(kind.shared)<<20
				size := placement.RequestSize{
					PromptTokens: kind.shared + kind.own, OutputTokens: 300,
					Parts: []placement.Part{{Chain: uint64(kind.shared), Tokens: kind.common}, {Chain: chain, Tokens: kind.shared - kind.common}},
				}
				decision, ok := placers[entry].Pick(now, &placement.Request{Service: "models", Size: size})
				if !ok {
					return
				}
				id := placement.JobID{Origin: uint64(entry + 1), Number: number}
				job := placement.NewJob(id, decision, size)
				tell(now, entry, func(now time.Duration, p *placement.Placer, _ bool) { p.Placed(now, job) })
				server := decision.Server
				if held[server] == nil {
					held[server] = make(map[uint64]bool)
				}
				uncached := size.PromptTokens
				if held[server][uint64(kind.shared)] {
					uncached -= kind.common
				}
				if held[server][chain] {
					uncached -= kind.shared - kind.common
					kind.reusable++
				}
				held[server][uint64(kind.shared)], held[server][chain] = true, true
				reading := overhead + time.Duration(float64(uncached)/tokensPerMS*float64(time.Millisecond))
				free[server] = max(free[server], now) + reading
				begins := free[server]
				if now > warmUp && now < length-warmUp {
					kind.begun++
					if begins-now <= kind.target {
						kind.inTime++
					}
				}
				heap.Push(events, at{begins, func(now time.Duration) {
					tell(now, entry, func(now time.Duration, p *placement.Placer, own bool) { p.Started(now, id, own) })
				}})
				heap.Push(events, at{begins + kind.runs, func(now time.Duration) {
					tell(now, entry, func(now time.Duration, p *placement.Placer, _ bool) {
						p.Ended(now, id, placement.ResultAnswered)
					})
				}})
			}})
		}
	}
	for events.Len() > 0 {
		next := heap.Pop(events).(at)
		next.do(next.when)
	}
}

// largeLoad is the load of a large deployment for a number of engines: a third of what they can read.
func largeLoad(servers int) []*promptKind {
	share := float64(servers) / 204
	return []*promptKind{
		{perSecond: 231 * share, common: 512, shared: 5382, own: 6610, things: 6 * servers, target: time.Second, runs: 3 * time.Second},
		{perSecond: 329 * share, common: 119, shared: 198, own: 628, things: 6 * servers, target: 500 * time.Millisecond, runs: 2 * time.Second},
		{perSecond: 408 * share, common: 341, shared: 568, own: 1800, things: 6 * servers, target: 600 * time.Millisecond, runs: 100 * time.Millisecond},
	}
}

// Many entries that learn of each other's placements 150 ms late don't send their long prompts to the same
// few engines: at a third of what the engines can read, nearly all prompts are begun in time, and the
// shared parts are still read at engines that have them.
func TestManyEntriesDontHerd(t *testing.T) {
	const servers = 204
	kinds := largeLoad(servers)
	placeLoad(294, servers, 150*time.Millisecond, 8*time.Second, kinds)
	for i, kind := range kinds {
		t.Logf("kind %d: %d of %d begun in time, %d with their shared part", i, kind.inTime, kind.begun, kind.reusable)
		if 100*kind.inTime < 95*kind.begun {
			t.Errorf("kind %d: %d of %d begun in time, want 95 in 100", i, kind.inTime, kind.begun)
		}
	}
}

// A few entries that learn of each other's placements at once choose among all engines.
func TestFewEntriesChooseAmongAll(t *testing.T) {
	const servers = 12
	kinds := largeLoad(servers)
	placeLoad(6, servers, 30*time.Millisecond, 40*time.Second, kinds)
	for i, kind := range kinds {
		t.Logf("kind %d: %d of %d begun in time, %d with their shared part", i, kind.inTime, kind.begun, kind.reusable)
		if 100*kind.inTime < 95*kind.begun {
			t.Errorf("kind %d: %d of %d begun in time, want 95 in 100", i, kind.inTime, kind.begun)
		}
	}
}
