package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// An engine that takes a fixed time for the first token of any prompt must not be taken for a slow one: long prompts
// would then seem to need twice their time, and short ones half of it. Requests of very different lengths
// arrive at engines of one speed, some behind others; predictions must be right at the median for each length.
func TestFixedPartOfTheStartIsLearned(t *testing.T) {
	for _, engine := range []struct{ rate, fixed float64 }{{82, 41}, {62, 3.7}, {61, 60}} {
		t.Run(fmt.Sprintf("%v tokens/ms, %v ms", engine.rate, engine.fixed), func(t *testing.T) {
			const service = "models"
			p := New(1)
			var servers []Server
			for i := range 8 {
				servers = append(servers, Server{Name: fmt.Sprint(i), Service: service, Slots: 32, CacheTokens: 700_000})
			}
			p.SetServers(servers)
			random := rand.New(rand.NewPCG(1, 2))
			freeAt := make(map[string]time.Duration)
			ratios := make(map[int][]float64)
			type begin struct {
				at time.Duration
				id JobID
			}
			var pending []begin
			now := time.Duration(0)
			for i := range 300 {
				now += duration(random.ExpFloat64() * 15)
				for len(pending) > 0 && pending[0].at <= now {
					p.Started(pending[0].at, pending[0].id, true)
					p.Ended(pending[0].at, pending[0].id, ResultAnswered)
					pending = pending[1:]
				}
				prompt := []int{300, 600, 1800, 6000, 20_000}[random.IntN(5)]
				size := RequestSize{PromptTokens: prompt, OutputTokens: 30}
				d, ok := p.Pick(now, &Request{Service: service, Size: size})
				if !ok {
					t.Fatal("no server")
				}
				id := JobID{Origin: 1, Number: uint64(i + 1)}
				job := NewJob(id, d, size)
				p.Placed(now, job)
				freeAt[d.Server] = max(freeAt[d.Server], now) + duration(job.Work/engine.rate)
				begins := freeAt[d.Server] + duration(engine.fixed*(0.8+0.4*random.Float64()))
				pending = append(pending, begin{begins, id})
				slices.SortFunc(pending, func(a, b begin) int { return int(a.at - b.at) })
				if i >= 60 {
					ratios[prompt] = append(ratios[prompt], milliseconds(begins-now)/milliseconds(d.StartDelay))
				}
			}
			for prompt, seen := range ratios {
				slices.Sort(seen)
				if median := seen[len(seen)/2]; median < 0.75 || median > 1.33 {
					t.Errorf("prompts of %d tokens begin after %.2f of the predicted time at the median", prompt, median)
				}
			}
			if rate := p.startModelOf(service).rate; rate < 0.75*engine.rate || rate > 1.33*engine.rate {
				t.Errorf("learned %.1f tokens a millisecond, the engines read %.1f", rate, engine.rate)
			}
		})
	}
}
