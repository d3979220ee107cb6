package routing_test

import (
	"math"
	"slices"
	"time"

	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/routing"
)

// engine batches continuously: prompts share its prefill rate, and the time
// between tokens grows with the batch and with prompts being worked through.
type engine struct {
	config   routing.Server
	prefillS float64 // tokens per second
	running  []*job
	waiting  []*job
	cache    []uint64
	seq      uint64
	busy     time.Duration
	work     float64 // engine seconds
	// reports holds the states that entries have not seen yet.
	reports []routing.Report
}

const (
	cacheSize   = 8 // prefixes
	fullGap     = 0.040
	idleGap     = 0.020
	prefillRate = 5000.0
)

// advance lets an engine work for one step.
func (w *world) advance(en *engine) {
	for len(en.running) < en.config.Slots && len(en.waiting) > 0 {
		w.start(en, en.waiting[0])
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
				w.firstToken(j)
			}
		} else {
			j.output -= step.Seconds() / gap
		}
		if j.output > 0 {
			kept = append(kept, j)
			continue
		}
		w.finish(j)
	}
	en.running = kept
}

func (w *world) start(en *engine, j *job) {
	en.running = append(en.running, j)
	fresh := j.kind.own
	if at := slices.Index(en.cache, j.prefix); at >= 0 {
		en.cache = slices.Delete(en.cache, at, at+1)
	} else {
		fresh += j.kind.shared
		if w.seen[j.prefix] && w.now > warmup {
			w.result.recomputed += j.kind.shared
		}
		w.cacheEvent(en, routing.CacheStored, j.prefix)
	}
	w.seen[j.prefix] = true
	en.cache = append(en.cache, j.prefix)
	if len(en.cache) > cacheSize {
		w.cacheEvent(en, routing.CacheEvicted, en.cache[0])
		en.cache = en.cache[1:]
	}
	j.prefill = float64(fresh)
	en.work += float64(fresh)/en.prefillS + j.output*fullGap/8/(en.config.TokensPerSecond*fullGap/8)
}

// cacheEvent tells the entries; one in five is lost.
func (w *world) cacheEvent(en *engine, what routing.CacheEventKind, prefix uint64) {
	en.seq++
	for _, e := range w.entries {
		if w.random.IntN(5) > 0 {
			e.router.CacheEvent(en.config.Name, en.seq, what, prefix)
		}
	}
}

func (w *world) firstToken(j *job) {
	j.first = w.now
	e := w.entries[j.entry]
	if w.admit {
		w.effects(e, e.admission.Step(w.now, admission.FirstToken{ID: j.id}))
	}
}

func (w *world) finish(j *job) {
	e := w.entries[j.entry]
	delete(e.jobs, j.id)
	total := int(math.Round(float64(j.load.OutputTokens)))
	e.router.Finished(w.now, j.engine.config.Name, routing.Outcome{
		Load: j.load, FirstToken: j.first - j.placed, Elapsed: w.now - j.placed, OutputTokens: total, CachedTokens: -1,
	})
	w.count(j)
	if w.admit {
		w.effects(e, e.admission.Step(w.now, admission.Finished{ID: j.id, Tokens: admission.Work(j.kind.own, total)}))
	}
}
