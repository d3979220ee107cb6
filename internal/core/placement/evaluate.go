package placement

import (
	"math"
	"time"
)

// evaluate predicts an attempt at a server and returns its score, in milliseconds.
// The lowest score is best. failures is the share of failures at the servers of an application service.
func (p *Placer) evaluate(now time.Duration, s *server, size *RequestSize, failures float64) (float64, Decision) {
	network := milliseconds(2 * s.Delay)
	load := s.reported(now)
	d := Decision{Server: s.Name, Version: s.Version, Running: s.running}
	if s.CacheTokens == 0 {
		// Requests at application servers wait for a slot and read no prompt.
		inFlight := float64(s.running + len(s.waiting))
		call := load.time(p.callTimeOf(s.Service))
		wait := slotPenalty * call * math.Max(0, inFlight+1-float64(s.Slots)) / float64(max(s.Slots, 1))
		first := network + call + wait
		d.StartDelay = duration(first)
		return first + call*inFlight/float64(max(s.Slots, 1)) + s.health.excessPenalty(now, failures), d
	}
	cached := s.cache.cachedTokens(size.Parts, s.CacheTokens)
	d.UncachedTokens = max(size.PromptTokens-cached, 0)
	model := p.startModelOf(s.Service)
	d.Waiting = s.backlog(now, model, load.slow)
	if load.queued > 0 {
		d.Waiting += load.queued * p.meanWork(s.Service)
	}
	work := attemptWork(d.UncachedTokens, size.PromptTokens)
	prefill := load.time(work / model.rate)
	first := network + load.time(model.predict(d.Waiting+work))
	d.StartDelay = duration(first)
	recompute := float64(size.sharedTokens()-cached) / model.rate
	score := first + prefillWeight*prefill + recomputeWeight*recompute + runningWeight*(float64(s.running)+load.foreign) + s.health.penalty(now)
	score += pauseWeight * s.pauses.decayed(now) * math.Min(prefill/longPrefillMS, 1)
	used := float64(s.memory+size.PromptTokens+size.OutputTokens) / float64(s.CacheTokens)
	score += overcommitPenalty * math.Max(0, used-preemptionRatio)
	if over := float64(s.running+len(s.waiting)+1-s.Slots) + load.foreign; over > 0 {
		score += overcommitPenalty * over / float64(max(s.Slots, 1))
	}
	return score, d
}

// attemptWork returns the work before the answer begins, in tokens, for a prompt of
// which the last uncached tokens are not in the cache.
func attemptWork(uncached, prompt int) float64 {
	midpoint := float64(prompt) - float64(uncached)/2
	return overheadTokens + float64(uncached)*(1+midpoint/attentionTokens)
}

// backlog returns the work queued at the server, in tokens. It assumes that the
// server, which is as slow as given, has worked on its oldest queued job since that job was placed or since an
// answer last began, whichever is later. The work of an answer is done before its fixed part.
func (s *server) backlog(now time.Duration, model *startModel, slow float64) float64 {
	if len(s.waiting) == 0 {
		return 0
	}
	total := 0.0
	for _, j := range s.waiting {
		total += j.Work
	}
	head := s.waiting[0]
	done := milliseconds(now-max(head.placed, s.lastBegun-duration(model.fixed))) * model.rate / slow
	return total - math.Min(math.Max(done, 0), head.Work)
}

func (p *Placer) callTimeOf(service string) float64 {
	if t := p.callTime[service]; t > 0 {
		return t
	}
	return milliseconds(initialCallTime)
}
