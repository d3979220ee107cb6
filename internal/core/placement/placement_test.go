package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// engineModel simulates model engines that read prompts in order of arrival, at a rate
// that the entries do not know.
type engineModel struct {
	now   time.Duration
	free  map[string]time.Duration
	rate  float64
	begun []answerBegin
}

type answerBegin struct {
	at    time.Duration
	id    JobID
	entry int
}

func fleet(n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{Name: fmt.Sprintf("e%02d", i), Service: "models", Slots: 64, CacheTokens: 590_000})
	}
	return servers
}

// replay sends a fixed sequence of prompts through several entries and returns the
// times until their answers began, in milliseconds, in ascending order. If shared
// is false, each entry knows only its own placements.
func replay(shared bool) []float64 {
	const entries, count = 7, 4000
	random := rand.New(rand.NewPCG(7, 7))
	e := &engineModel{free: make(map[string]time.Duration), rate: 55}
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
		// Most prompts are short; one in five is long, with a heavy-tailed length.
		tokens := int(400 + 600*random.ExpFloat64())
		if random.IntN(5) == 0 {
			tokens = min(int(3_000*random.ExpFloat64()*random.ExpFloat64())+2_000, 54_000)
		}
		entry := random.IntN(entries)
		size := RequestSize{PromptTokens: tokens, OutputTokens: 300}
		decision, _ := placers[entry].Pick(e.now, &Request{Service: "models", Size: size})
		id := JobID{uint64(entry), uint64(n)}
		job := NewJob(id, decision, size)
		for i, p := range placers {
			if shared || i == entry {
				p.Placed(e.now, job)
			}
		}
		at := max(e.free[decision.Server], e.now) + duration(job.Work/e.rate)
		e.free[decision.Server] = at
		e.begun = append(e.begun, answerBegin{at, id, entry})
		times = append(times, milliseconds(at-e.now))
	}
	slices.Sort(times)
	return times
}

// settle records the answers that have begun at the entries; each ends when it
// begins.
func (e *engineModel) settle(placers []*Placer, shared bool) {
	e.begun = slices.DeleteFunc(e.begun, func(b answerBegin) bool {
		if b.at > e.now {
			return false
		}
		for i, p := range placers {
			if shared || i == b.entry {
				p.Started(b.at, b.id, i == b.entry)
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

// Bursts of short and very long prompts from seven entries at twelve engines:
// without the other entries' placements, short prompts are queued behind long ones.
func TestSharedPlacementsBeatOwnPlacements(t *testing.T) {
	own, shared := replay(false), replay(true)
	t.Logf("answers begun within 300 ms: %.3f with own placements only, %.3f with shared placements", share(own, 300), share(shared, 300))
	if 1-share(shared, 300) > 0.6*(1-share(own, 300)) {
		t.Errorf("answers not begun within 300 ms: %.3f with shared placements, %.3f with own placements only", 1-share(shared, 300), 1-share(own, 300))
	}
}

// A prompt goes to the server that holds its parts, unless much work is queued
// there.
func TestPromptGoesToServerThatHoldsItsParts(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(8))
	size := RequestSize{PromptTokens: 6_000, OutputTokens: 100, Parts: []Part{{Chain: 11, Tokens: 500}, {Chain: 12, Tokens: 4_500}}}
	request := &Request{Service: "models", Size: size}
	first, _ := p.Pick(0, request)
	p.Placed(0, NewJob(JobID{1, 1}, first, size))
	p.Started(100*time.Millisecond, JobID{1, 1}, true)
	second, _ := p.Pick(200*time.Millisecond, request)
	if second.Server != first.Server || second.UncachedTokens != 1_000 {
		t.Errorf("second decision %+v after %+v, expected the same server and 1000 uncached tokens", second, first)
	}
	p.Placed(200*time.Millisecond, Job{ID: JobID{1, 2}, Server: first.Server, Work: 60_000})
	third, _ := p.Pick(200*time.Millisecond, request)
	if third.Server == first.Server {
		t.Error("a prompt was placed behind a long one because its parts are cached there")
	}
}

// Parts that no longer fit into a server's memory must not count as cached.
func TestCacheDropsEvictedParts(t *testing.T) {
	c := newCache()
	parts := []Part{{Chain: 1, Tokens: 500}}
	c.record(parts, 500)
	if got := c.cachedTokens(parts, 10_000); got != 500 {
		t.Fatalf("%d tokens cached, expected 500", got)
	}
	c.record(nil, 9_000)
	if got := c.cachedTokens(parts, 10_000); got != 0 {
		t.Errorf("%d tokens cached after the memory was filled with other prompts, expected 0", got)
	}
}

// A server that fails half of its requests is avoided while others do better, and
// is tried again later in case it has recovered.
func TestFailingServerIsAvoided(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(6))
	random := rand.New(rand.NewPCG(3, 3))
	counts := map[bool]int{}
	now := time.Duration(0)
	for n := range 3_000 {
		now += 10 * time.Millisecond
		size := RequestSize{PromptTokens: 600, OutputTokens: 100}
		decision, _ := p.Pick(now, &Request{Service: "models", Size: size})
		id := JobID{1, uint64(n)}
		p.Placed(now, NewJob(id, decision, size))
		p.Started(now, id, false)
		result := ResultAnswered
		if decision.Server == "e03" && random.IntN(2) == 0 {
			result = ResultFailed
		}
		counts[decision.Server == "e03"]++
		p.Ended(now, id, result)
	}
	if counts[true] > counts[false]/20 || counts[true] < 5 {
		t.Errorf("the failing server got %d of %d requests, expected at most 1 in 21 and at least 5", counts[true], counts[true]+counts[false])
	}
}

// Jobs of an ended entry process, and jobs whose end is never received, must not
// count as load of their server forever.
func TestForgottenAndExpiredJobsEnd(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(1))
	p.Placed(0, Job{ID: JobID{2, 1}, Server: "e00", Work: 10_000, Memory: 10})
	p.Placed(0, Job{ID: JobID{3, 1}, Server: "e00", Work: 10_000, Memory: 10})
	p.Forget(time.Second, 2)
	p.Expire(time.Minute)
	s := p.servers["e00"]
	if len(s.waiting) != 0 || s.running != 0 || s.memory != 0 || len(p.jobs) != 0 {
		t.Errorf("the server still has jobs: %+v", s)
	}
}

// A server that accepts requests and never answers is detected by the attempts that
// are abandoned, although none of them is reported as failed.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(6))
	unanswered := 0
	for n := range 600 {
		now := time.Duration(n) * 50 * time.Millisecond
		size := RequestSize{PromptTokens: 600, OutputTokens: 100}
		decision, _ := p.Pick(now, &Request{Service: "models", Size: size})
		id := JobID{1, uint64(n)}
		p.Placed(now, NewJob(id, decision, size))
		if decision.Server == "e03" {
			unanswered++
			p.Ended(now+3*time.Second, id, ResultAbandoned)
			continue
		}
		p.Started(now+15*time.Millisecond, id, false)
		p.Ended(now+20*time.Millisecond, id, ResultAnswered)
	}
	if unanswered > 60 {
		t.Errorf("the unresponsive server got %d of 600 requests, expected at most 60", unanswered)
	}
}

// Long prompts that share a part go to the server that holds it, and the streams
// there pause while it reads them. Long prompts must then go elsewhere; short ones
// may stay.
func TestLongPromptsAvoidPausingServers(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(4))
	long := &Request{Service: "models", Size: RequestSize{PromptTokens: 20_000, OutputTokens: 300, Parts: []Part{{Chain: 7, Tokens: 6_000}}}}
	first, _ := p.Pick(0, long)
	now := time.Duration(0)
	pausedShare := func(server string) float64 { return p.servers[server].pauses.decayed(now) }
	moved := 0
	for n := range 60 {
		now += time.Second
		decision, _ := p.Pick(now, long)
		id := JobID{1, uint64(n)}
		p.Placed(now, NewJob(id, decision, long.Size))
		p.Started(now, id, false)
		if decision.Server == first.Server {
			p.Paused(now, id)
		} else {
			moved++
		}
		p.Ended(now, id, ResultAnswered)
	}
	if moved < 40 {
		t.Errorf("%d of 60 long prompts went to other servers, expected at least 40 (share of paused streams %.2f)", moved, pausedShare(first.Server))
	}
	short := &Request{Service: "models", Size: RequestSize{PromptTokens: 300, OutputTokens: 300, Parts: []Part{{Chain: 7, Tokens: 200}}}}
	p.servers[first.Server].pauses.record(now, true)
	if got, _ := p.Pick(now, short); got.StartDelay > 100*time.Millisecond {
		t.Errorf("a short prompt got %+v, expected an answer within 100 ms", got)
	}
}

// Prompts with a common shared part arrive faster than the server that holds it
// reads them. They wait for that server only as long as this costs less than
// reading the part again elsewhere.
func TestSharedPartIsReadByFewServers(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(8))
	size := RequestSize{PromptTokens: 8_000, OutputTokens: 300, Parts: []Part{{Chain: 1, Tokens: 500}, {Chain: 2, Tokens: 5_000}}}
	readers := map[string]int{}
	for n := range 12 {
		decision, _ := p.Pick(0, &Request{Service: "models", Size: size})
		p.Placed(0, NewJob(JobID{1, uint64(n)}, decision, size))
		if decision.UncachedTokens > 3_000 {
			readers[decision.Server]++
		}
	}
	if len(readers) != 2 {
		t.Errorf("%d servers read the shared part for twelve simultaneous prompts, expected 2: %v", len(readers), readers)
	}
}
