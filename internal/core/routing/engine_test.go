package routing_test

import (
	"math"
	"slices"
	"time"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/routing"
)

// engine models continuous batching: prompts share the prefill rate, and the time
// between tokens grows with the batch size and while prompts are being read.
type engine struct {
	config   routing.Server
	prefillS float64 // tokens per second
	running  []*job
	waiting  []*job
	cache    []uint64
	seq      uint64
	busy     time.Duration
	work     float64 // engine seconds
	// reports holds load reports that the entries have not received yet.
	reports []routing.Report
}

const (
	cacheSize   = 8 // prefixes
	fullGap     = 0.040
	idleGap     = 0.020
	prefillRate = 5000.0
)

// advance simulates one step of an engine.
func (sim *simulation) advance(en *engine) {
	for len(en.running) < en.config.Slots && len(en.waiting) > 0 {
		sim.start(en, en.waiting[0])
		en.waiting = en.waiting[1:]
	}
	prefilling := 0
	for _, j := range en.running {
		if j.prefill > 0 {
			prefilling++
		}
	}
	if len(en.running) > 0 {
		en.busy += step
	}
	speed := en.config.TokensPerSecond * fullGap / 8
	gap := (idleGap + (fullGap-idleGap)*float64(len(en.running))/8) / speed
	if prefilling > 0 {
		gap *= 1.5
	}
	kept := en.running[:0]
	for _, j := range en.running {
		if j.prefill > 0 {
			j.prefill -= en.prefillS / float64(prefilling) * step.Seconds()
			if j.prefill <= 0 {
				sim.firstToken(j)
			}
		} else {
			j.output -= step.Seconds() / gap
		}
		if j.output > 0 {
			kept = append(kept, j)
			continue
		}
		sim.finish(j)
	}
	en.running = kept
}

func (sim *simulation) start(en *engine, j *job) {
	en.running = append(en.running, j)
	fresh := j.kind.own
	if at := slices.Index(en.cache, j.prefix); at >= 0 {
		en.cache = slices.Delete(en.cache, at, at+1)
	} else {
		fresh += j.kind.shared
		if sim.prefilled[j.prefix] && sim.now > warmup {
			sim.result.recomputed += j.kind.shared
		}
		sim.cacheEvent(en, routing.CacheStored, j.prefix)
	}
	sim.prefilled[j.prefix] = true
	en.cache = append(en.cache, j.prefix)
	if len(en.cache) > cacheSize {
		sim.cacheEvent(en, routing.CacheEvicted, en.cache[0])
		en.cache = en.cache[1:]
	}
	j.prefill = float64(fresh)
	en.work += float64(fresh)/en.prefillS + j.output*fullGap/8/(en.config.TokensPerSecond*fullGap/8)
}

// cacheEvent sends a cache event to the entries. One in five is lost.
func (sim *simulation) cacheEvent(en *engine, what routing.CacheEventKind, prefix uint64) {
	en.seq++
	for _, e := range sim.entries {
		if sim.random.IntN(5) > 0 {
			e.router.CacheEvent(en.config.Name, en.seq, what, prefix)
		}
	}
}

func (sim *simulation) firstToken(j *job) {
	j.first = sim.now
	e := sim.entries[j.entry]
	if sim.admit {
		sim.effects(e, e.admission.Step(sim.now, admission.FirstToken{ID: j.id}))
	}
}

func (sim *simulation) finish(j *job) {
	e := sim.entries[j.entry]
	delete(e.jobs, j.id)
	total := int(math.Round(float64(j.size.OutputTokens)))
	e.router.Finished(sim.now, j.engine.config.Name, routing.Outcome{
		Size: j.size, FirstToken: j.first - j.placed, Elapsed: sim.now - j.placed, OutputTokens: total, CachedTokens: -1,
	})
	sim.count(j)
	if sim.admit {
		sim.effects(e, e.admission.Step(sim.now, admission.Finished{ID: j.id, Tokens: admission.Work(j.kind.own, total)}))
	}
}
