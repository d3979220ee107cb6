package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// engines simulates model engines that read prompts first come, first served, at
// a rate that the entries don't know.
type engines struct {
	now   time.Duration
	free  map[string]time.Duration
	rate  float64
	begin []beginning
}

type beginning struct {
	at time.Duration
	id JobID
	by int
}

func fleet(n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{Name: fmt.Sprintf("e%02d", i), Service: "models", Slots: 64, CacheTokens: 590_000})
	}
	return servers
}

// replay runs a pattern of prompts through entries and returns the times until
// answers begin, in milliseconds, in ascending order. Without sharing, each entry
// knows its own placements alone.
func replay(shared bool) []float64 {
	const entries, count = 7, 4000
	random := rand.New(rand.NewPCG(7, 7))
	e := &engines{free: make(map[string]time.Duration), rate: 55}
	var placers []*Placer
	for i := range entries {
		p := New(uint64(i))
		p.SetServers(fleet(12))
		placers = append(placers, p)
	}
	var times []float64
	for n := range count {
		e.now += time.Duration(random.ExpFloat64() * float64(11*time.Millisecond))
		e.settle(placers, shared)
		// Most prompts are short; one in five has a long tail.
		tokens := int(400 + 600*random.ExpFloat64())
		if random.IntN(5) == 0 {
			tokens = min(int(3_000*random.ExpFloat64()*random.ExpFloat64())+2_000, 54_000)
		}
		by := random.IntN(entries)
		load := Load{PromptTokens: tokens, OutputTokens: 300}
		decision, _ := placers[by].Pick(e.now, &Request{Service: "models", Load: load})
		id := JobID{uint64(by), uint64(n)}
		job := NewJob(id, decision, load)
		for i, p := range placers {
			if shared || i == by {
				p.Placed(e.now, job)
			}
		}
		at := max(e.free[decision.Server], e.now) + duration(job.Work/e.rate)
		e.free[decision.Server] = at
		e.begin = append(e.begin, beginning{at, id, by})
		times = append(times, milliseconds(at-e.now))
	}
	slices.Sort(times)
	return times
}

// settle tells the entries which answers have begun; each ends at once.
func (e *engines) settle(placers []*Placer, shared bool) {
	e.begin = slices.DeleteFunc(e.begin, func(b beginning) bool {
		if b.at > e.now {
			return false
		}
		for i, p := range placers {
			if shared || i == b.by {
				p.Started(b.at, b.id, i == b.by)
				p.Ended(b.at, b.id, ResultAnswered)
			}
		}
		return true
	})
}

func share(times []float64, below float64) float64 {
	n, _ := slices.BinarySearch(times, below)
	return float64(n) / float64(len(times))
}

// Load pattern: clumps of short and very long prompts from seven entries at
// twelve engines. Entries that tell each other what they placed keep short
// prompts from behind long ones.
func TestSharedKnowledgeBeatsOwn(t *testing.T) {
	own, shared := replay(false), replay(true)
	t.Logf("within 300 ms: own knowledge %.3f, shared %.3f", share(own, 300), share(shared, 300))
	if 1-share(shared, 300) > 0.6*(1-share(own, 300)) {
		t.Errorf("shared knowledge misses 300 ms for %.3f, own for %.3f", 1-share(shared, 300), 1-share(own, 300))
	}
}

// A prompt goes to the server that holds its parts, unless work waits there.
func TestCachedPartsAttract(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(8))
	load := Load{PromptTokens: 6_000, OutputTokens: 100, Parts: []Part{{Chain: 11, Tokens: 500}, {Chain: 12, Tokens: 4_500}}}
	request := &Request{Service: "models", Load: load}
	first, _ := p.Pick(0, request)
	p.Placed(0, NewJob(JobID{1, 1}, first, load))
	p.Started(100*time.Millisecond, JobID{1, 1}, true)
	second, _ := p.Pick(200*time.Millisecond, request)
	if second.Server != first.Server || second.Fresh != 1_000 {
		t.Errorf("got %+v after %+v", second, first)
	}
	p.Placed(200*time.Millisecond, Job{ID: JobID{1, 2}, Server: first.Server, Work: 60_000})
	third, _ := p.Pick(200*time.Millisecond, request)
	if third.Server == first.Server {
		t.Error("a cached prompt waits behind a long one")
	}
}

// Parts that the memory can't hold any more don't attract.
func TestCacheForgetsWhatYields(t *testing.T) {
	c := newCache()
	parts := []Part{{Chain: 1, Tokens: 500}}
	c.read(parts, 500)
	if got := c.longest(parts, 10_000); got != 500 {
		t.Fatalf("got %d", got)
	}
	c.read(nil, 9_000)
	if got := c.longest(parts, 10_000); got != 0 {
		t.Errorf("got %d after the memory was filled anew", got)
	}
}

// A server that fails half of what it gets is left alone while others do better,
// and gets work again once it may have recovered.
func TestGreyServerIsFoundOut(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(6))
	random := rand.New(rand.NewPCG(3, 3))
	counts := map[bool]int{}
	now := time.Duration(0)
	for n := range 3_000 {
		now += 10 * time.Millisecond
		load := Load{PromptTokens: 600, OutputTokens: 100}
		decision, _ := p.Pick(now, &Request{Service: "models", Load: load})
		id := JobID{1, uint64(n)}
		p.Placed(now, NewJob(id, decision, load))
		p.Started(now, id, false)
		result := ResultAnswered
		if decision.Server == "e03" && random.IntN(2) == 0 {
			result = ResultFailed
		}
		counts[decision.Server == "e03"]++
		p.Ended(now, id, result)
	}
	if counts[true] > counts[false]/20 || counts[true] < 5 {
		t.Errorf("the failing server got %d of %d", counts[true], counts[true]+counts[false])
	}
}

// What an entry placed is forgotten when it has ended or was not heard of.
func TestJobsEnd(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(1))
	p.Placed(0, Job{ID: JobID{2, 1}, Server: "e00", Work: 10_000, Memory: 10})
	p.Placed(0, Job{ID: JobID{3, 1}, Server: "e00", Work: 10_000, Memory: 10})
	p.Forget(time.Second, 2)
	p.Expire(time.Minute)
	s := p.servers["e00"]
	if len(s.waiting) != 0 || s.running != 0 || s.memory != 0 || len(p.jobs) != 0 {
		t.Errorf("left: %+v", s)
	}
}

// A server that takes requests and never answers is found out by those that are
// given up, though nothing says that they failed.
func TestMuteServerIsFoundOut(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(6))
	muted := 0
	for n := range 600 {
		now := time.Duration(n) * 50 * time.Millisecond
		load := Load{PromptTokens: 600, OutputTokens: 100}
		decision, _ := p.Pick(now, &Request{Service: "models", Load: load})
		id := JobID{1, uint64(n)}
		p.Placed(now, NewJob(id, decision, load))
		if decision.Server == "e03" {
			muted++
			p.Ended(now+3*time.Second, id, ResultLeft)
			continue
		}
		p.Started(now+15*time.Millisecond, id, false)
		p.Ended(now+20*time.Millisecond, id, ResultAnswered)
	}
	if muted > 60 {
		t.Errorf("the mute server got %d of 600", muted)
	}
}

// Load pattern: long prompts that share a part. The server that holds it reads
// slowly, and the streams beside them pause. The prompts go elsewhere; short ones
// may stay.
func TestLongPromptsAvoidPausingServers(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(4))
	long := &Request{Service: "models", Load: Load{PromptTokens: 20_000, OutputTokens: 300, Parts: []Part{{Chain: 7, Tokens: 6_000}}}}
	first, _ := p.Pick(0, long)
	now := time.Duration(0)
	at := func(server string) float64 { return p.servers[server].pauses.decayed(now) }
	moved := 0
	for n := range 60 {
		now += time.Second
		decision, _ := p.Pick(now, long)
		id := JobID{1, uint64(n)}
		p.Placed(now, NewJob(id, decision, long.Load))
		p.Started(now, id, false)
		if decision.Server == first.Server {
			p.Paused(now, id)
		} else {
			moved++
		}
		p.Ended(now, id, ResultAnswered)
	}
	if moved < 40 {
		t.Errorf("%d of 60 long prompts left the server whose streams pause (share %.2f)", moved, at(first.Server))
	}
	short := &Request{Service: "models", Load: Load{PromptTokens: 300, OutputTokens: 300, Parts: []Part{{Chain: 7, Tokens: 200}}}}
	p.servers[first.Server].pauses.note(now, true)
	if got, _ := p.Pick(now, short); got.First > 100*time.Millisecond {
		t.Errorf("a short prompt got %+v", got)
	}
}

// Load pattern: prompts on the same rulebook, faster than one server reads them
// from the start. They wait for the server that holds the rulebook while that costs
// less than reading it again elsewhere, and no longer.
func TestSharedPartsAreReadOnce(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(8))
	load := Load{PromptTokens: 8_000, OutputTokens: 300, Parts: []Part{{Chain: 1, Tokens: 500}, {Chain: 2, Tokens: 5_000}}}
	readers := map[string]int{}
	for n := range 12 {
		decision, _ := p.Pick(0, &Request{Service: "models", Load: load})
		p.Placed(0, NewJob(JobID{1, uint64(n)}, decision, load))
		if decision.Fresh > 3_000 {
			readers[decision.Server]++
		}
	}
	if len(readers) != 2 {
		t.Errorf("%d servers read the rulebook for twelve prompts at once: %v", len(readers), readers)
	}
}

// use places requests one after the other and returns how many met a server that
// matches and did not answer.
func use(p *Placer, now *time.Duration, count int, every time.Duration, broken func(string) Result) int {
	met := 0
	for n := range count {
		*now += every
		load := Load{PromptTokens: 600, OutputTokens: 100}
		decision, _ := p.Pick(*now, &Request{Service: "models", Load: load})
		id := JobID{3, uint64(*now) + uint64(n)}
		p.Placed(*now, NewJob(id, decision, load))
		result := broken(decision.Server)
		if result != ResultAnswered {
			met++
		} else {
			p.Started(*now, id, false)
		}
		p.Ended(*now, id, result)
	}
	return met
}

// Load pattern: a third of the servers crash while work waits at all others, and
// the list names them for four seconds. A few calls find out.
func TestCrashedServersAreLeftAlone(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(6))
	for i := range 6 {
		// A second and more of work waits at each server that is left.
		if i >= 2 {
			p.Placed(0, Job{ID: JobID{9, uint64(i)}, Server: fmt.Sprintf("e%02d", i), Work: 400_000})
		}
	}
	var now time.Duration
	crashed := func(server string) Result {
		if server < "e02" {
			return ResultUnreachable
		}
		return ResultAnswered
	}
	if met := use(p, &now, 400, 10*time.Millisecond, crashed); met > 16 {
		t.Errorf("%d of 400 calls met a crashed server", met)
	}
	back := func(string) Result { return ResultAnswered }
	now += maxDown
	use(p, &now, 200, 10*time.Millisecond, back)
	if p.servers["e00"].health.closed(now) {
		t.Error("a server that is back is left alone")
	}
}

// Load pattern: servers come back at their addresses under other names, and the
// list goes on with the old ones. One answer is enough.
func TestReplacedServersAreLeftAlone(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(3))
	var now time.Duration
	replaced := func(server string) Result {
		if server == "e01" {
			return ResultReplaced
		}
		return ResultAnswered
	}
	if met := use(p, &now, 300, 10*time.Millisecond, replaced); met != 1 {
		t.Errorf("%d calls met the replaced server", met)
	}
}

// A server that is full gets no more work for a moment, and all servers are used if
// each of them is.
func TestFullServersAreLeftAlone(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(2))
	var now time.Duration
	full := func(server string) Result {
		if server == "e00" {
			return ResultRefused
		}
		return ResultAnswered
	}
	if met := use(p, &now, 30, 10*time.Millisecond, full); met > 3 {
		t.Errorf("%d of 30 calls met the full server in 0.3 s", met)
	}
	p.Results(now, "e00", Counts{Refused: 1})
	p.Results(now, "e01", Counts{Refused: 1})
	if _, ok := p.Pick(now, &Request{Service: "models"}); !ok {
		t.Error("no server is used while all are full")
	}
}
