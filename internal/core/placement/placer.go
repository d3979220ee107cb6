package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// attentionTokens is the length of a prompt at which attending to what was
	// read already takes as long as the rest of the work on a token.
	attentionTokens = 50_000.0
	// callWork is the work of a request beside its prompt, in tokens: a step of
	// the engine and the way of a request.
	callWork = 250.0
	// firstRate is the first guess of how many tokens of work a model engine
	// does in a millisecond, firstCallTime of how long a plain call takes.
	firstRate     = 45.0
	firstCallTime = 20 * time.Millisecond
	// rateStep is how far one observation moves the learned rate.
	rateStep = 0.03
	// minRate and maxRate bound the learned rate.
	minRate, maxRate = 5.0, 400.0
	// readWeight is how much reading a prompt counts beside its own time: it
	// takes the server's time from others.
	readWeight = 0.7
	// fullMemory is the part of a server's memory from which running requests
	// may be preempted.
	fullMemory = 0.85
	// memoryPenalty is added to a server's score per whole memory beyond that.
	memoryPenalty = 4000.0
	// runningWeight is what each running request adds to a score, in
	// milliseconds: it lengthens every step a little.
	runningWeight = 0.4
	// slotPenalty is added per request beyond a server's slots, in parts of the
	// time of a plain call.
	slotPenalty = 1.0
	// againWeight is how much reading shared parts counts beside that: another
	// server has read them already, and holds them for the next prompts.
	againWeight = 3.0
	// pauseWeight is added to the score of a long prompt at a server all of whose
	// streams pause too long, in milliseconds: more than reading a usual shared
	// part again.
	pauseWeight = 1500.0
	// pauseOwn is the time of reading a prompt, in milliseconds, from which it
	// counts as long: it lengthens several events of the streams beside it.
	pauseOwn = 200.0
	// leastMute and muteFactor say how long a server may be silent before an
	// attempt that is given up counts as its failure.
	leastMute  = time.Second
	muteFactor = 4.0
	// forgetJobs bounds how long an attempt of another entry counts whose end
	// was never heard of.
	forgetJobs = 20 * time.Second
	// tieNoise spreads equal choices of entries, in milliseconds.
	tieNoise = 1.0
)

// Placer places the attempts of one entry.
type Placer struct {
	random  *rand.Rand
	servers map[string]*server
	byName  map[string][]*server
	jobs    map[JobID]*job
	// rate is the learned work of a model engine in tokens a millisecond, and
	// callTime the learned time of a plain call in milliseconds, by service.
	rate     map[string]float64
	callTime map[string]float64
	// placed averages this entry's own work by service.
	placed map[string]*average
}

// average is a decaying sum of work.
type average struct {
	sum float64
	at  time.Duration
}

// workWindow is the time over which work is averaged: several long prompts.
const workWindow = 5 * time.Second

func (a *average) decayed(now time.Duration) float64 {
	return a.sum * math.Exp(-float64(max(now-a.at, 0))/float64(workWindow))
}

// Work is the prompt work of a service.
type Work struct {
	// PerSecond is what this entry placed lately, in tokens a second.
	PerSecond float64
	// Rate is what one server does, in tokens a second.
	Rate float64
}

// Count adds an attempt of this entry to the work of its service.
func (p *Placer) Count(now time.Duration, service string, work float64) {
	a := p.placed[service]
	if a == nil {
		a = &average{}
		p.placed[service] = a
	}
	a.sum = a.decayed(now) + work
	a.at = now
}

// Work returns the work of the services that read prompts.
func (p *Placer) Work(now time.Duration) map[string]Work {
	work := make(map[string]Work, len(p.placed))
	for service, a := range p.placed {
		servers := p.byName[service]
		if len(servers) > 0 && servers[0].CacheTokens > 0 {
			work[service] = Work{PerSecond: a.decayed(now) / workWindow.Seconds(), Rate: 1000 * p.rateOf(service)}
		}
	}
	return work
}

// server is what a Placer knows about one server.
type server struct {
	Server
	// waiting lists the jobs whose answers have not begun, oldest first.
	waiting []*job
	// begun is when an answer last began.
	begun   time.Duration
	running int
	memory  int
	cache   cache
	health  health
	pauses  pauses
}

// job is an attempt that has not ended.
type job struct {
	Job
	server  *server
	placed  time.Duration
	started bool
	// paused is true once its stream paused too long.
	paused bool
	// ahead is the work that waited at the server when it was placed.
	ahead float64
}

// New returns a Placer without servers.
func New(seed uint64) *Placer {
	return &Placer{
		random:   rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		servers:  make(map[string]*server),
		byName:   make(map[string][]*server),
		jobs:     make(map[JobID]*job),
		rate:     make(map[string]float64),
		callTime: make(map[string]float64),
		placed:   make(map[string]*average),
	}
}

// SetServers replaces the set of servers. What is known of those that stay is
// kept; the jobs of the others are forgotten.
func (p *Placer) SetServers(servers []Server) {
	old := p.servers
	p.servers = make(map[string]*server, len(servers))
	p.byName = make(map[string][]*server)
	for _, config := range servers {
		s := old[config.Name]
		if s == nil {
			s = &server{cache: newCache()}
		}
		s.Server = config
		p.servers[config.Name] = s
		p.byName[config.Service] = append(p.byName[config.Service], s)
	}
	for id, j := range p.jobs {
		if p.servers[j.Server] == nil {
			delete(p.jobs, id)
		}
	}
}

// Pick chooses a server, or returns false if there is none. Those that are left
// alone are used only if there is no other.
func (p *Placer) Pick(now time.Duration, request *Request) (Decision, bool) {
	if decision, ok := p.pick(now, request, false); ok {
		return decision, true
	}
	return p.pick(now, request, true)
}

func (p *Placer) pick(now time.Duration, request *Request, closed bool) (Decision, bool) {
	var best *server
	bestScore := math.Inf(1)
	var decision Decision
	for _, s := range p.byName[request.Service] {
		if s.Leaving || s.health.closed(now) != closed || slices.Contains(request.Exclude, s.Name) {
			continue
		}
		score, d := p.consider(now, s, &request.Load)
		if score += p.random.Float64() * tieNoise; best == nil || score < bestScore {
			best, bestScore, decision = s, score, d
		}
	}
	return decision, best != nil
}

// consider predicts an attempt at a server. The score is in milliseconds; lower
// is better.
func (p *Placer) consider(now time.Duration, s *server, load *Load) (float64, Decision) {
	network := milliseconds(2 * s.Delay)
	d := Decision{Server: s.Name, Running: s.running}
	if s.CacheTokens == 0 {
		// A plain call waits for a slot.
		inFlight := float64(s.running + len(s.waiting))
		call := p.callTimeOf(s.Service)
		wait := slotPenalty * call * math.Max(0, inFlight+1-float64(s.Slots)) / float64(max(s.Slots, 1))
		first := network + call + wait
		d.First = duration(first)
		return first + call*inFlight/float64(max(s.Slots, 1)) + s.health.penalty(now), d
	}
	cached := s.cache.longest(load.Parts, s.CacheTokens)
	d.Fresh = max(load.PromptTokens-cached, 0)
	d.Waiting = s.backlog(now, p.rateOf(s.Service))
	own := work(d.Fresh, load.PromptTokens) / p.rateOf(s.Service)
	first := network + d.Waiting/p.rateOf(s.Service) + own
	d.First = duration(first)
	again := float64(load.sharedTokens()-cached) / p.rateOf(s.Service)
	score := first + readWeight*own + againWeight*again + runningWeight*float64(s.running) + s.health.penalty(now)
	score += pauseWeight * s.pauses.decayed(now) * math.Min(own/pauseOwn, 1)
	used := float64(s.memory+load.PromptTokens+load.OutputTokens) / float64(s.CacheTokens)
	score += memoryPenalty * math.Max(0, used-fullMemory)
	if over := s.running + len(s.waiting) + 1 - s.Slots; over > 0 {
		score += memoryPenalty * float64(over) / float64(max(s.Slots, 1))
	}
	return score, d
}

// work is the work on a prompt of which some tokens are fresh, in tokens.
func work(fresh, prompt int) float64 {
	middle := float64(prompt) - float64(fresh)/2
	return callWork + float64(fresh)*(1+middle/attentionTokens)
}

// backlog is the work that waits at the server. The server is taken to work on
// its oldest job since an answer last began.
func (s *server) backlog(now time.Duration, rate float64) float64 {
	if len(s.waiting) == 0 {
		return 0
	}
	total := 0.0
	for _, j := range s.waiting {
		total += j.Work
	}
	head := s.waiting[0]
	done := milliseconds(now-max(head.placed, s.begun)) * rate
	return total - math.Min(math.Max(done, 0), head.Work)
}

func (p *Placer) rateOf(service string) float64 {
	if rate := p.rate[service]; rate > 0 {
		return rate
	}
	return firstRate
}

func (p *Placer) callTimeOf(service string) float64 {
	if t := p.callTime[service]; t > 0 {
		return t
	}
	return milliseconds(firstCallTime)
}

// NewJob returns the job of an attempt that follows a decision.
func NewJob(id JobID, decision Decision, load Load) Job {
	return Job{
		ID: id, Server: decision.Server, Parts: load.Parts, Fresh: decision.Fresh,
		Work: work(decision.Fresh, load.PromptTokens), Memory: load.PromptTokens + load.OutputTokens,
	}
}

// Placed notes an attempt of this or another entry.
func (p *Placer) Placed(now time.Duration, placed Job) {
	s := p.servers[placed.Server]
	if s == nil || p.jobs[placed.ID] != nil {
		return
	}
	j := &job{Job: placed, server: s, placed: now}
	if s.CacheTokens > 0 {
		j.ahead = s.backlog(now, p.rateOf(s.Service))
		s.cache.read(placed.Parts, placed.Fresh)
	}
	s.memory += placed.Memory
	s.waiting = append(s.waiting, j)
	p.jobs[placed.ID] = j
}

// Started notes that an attempt's answer began. Own is true for one of this
// entry, whose time is known exactly.
func (p *Placer) Started(now time.Duration, id JobID, own bool) {
	j := p.jobs[id]
	if j == nil || j.started {
		return
	}
	j.started = true
	s := j.server
	s.drop(j)
	s.running++
	s.begun = now
	if own {
		p.learn(now, j)
	}
}

// Paused notes that the stream of an attempt paused for longer than it should.
func (p *Placer) Paused(now time.Duration, id JobID) {
	if j := p.jobs[id]; j != nil && !j.paused {
		j.paused = true
		j.server.pauses.note(now, true)
	}
}

// learn moves the learned rate towards what an answer's beginning shows.
func (p *Placer) learn(now time.Duration, j *job) {
	s := j.server
	took := milliseconds(now - j.placed - 2*s.Delay)
	if s.CacheTokens == 0 || took <= 0 {
		return
	}
	rate := p.rateOf(s.Service)
	step := 1 + rateStep
	if (j.ahead+j.Work)/rate > took {
		rate *= step
	} else {
		rate /= step
	}
	p.rate[s.Service] = math.Min(math.Max(rate, minRate), maxRate)
}

// Ended notes the end of an attempt.
func (p *Placer) Ended(now time.Duration, id JobID, result Result) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	delete(p.jobs, id)
	s := j.server
	if result == ResultLeft && p.mute(now, j) {
		result = ResultFailed
	}
	s.memory = max(s.memory-j.Memory, 0)
	if j.started && !j.paused && result == ResultAnswered && j.Memory > 0 {
		s.pauses.note(now, false)
	}
	if j.started {
		s.running = max(s.running-1, 0)
	} else {
		s.drop(j)
	}
	if s.CacheTokens == 0 && result == ResultAnswered {
		call := p.callTimeOf(s.Service)
		p.callTime[s.Service] = call + rateStep*(milliseconds(now-j.placed-2*s.Delay)-call)
	}
	s.health.note(now, result)
}

// Results takes in how attempts of another entry ended that it does not tell one
// by one.
func (p *Placer) Results(now time.Duration, server string, counts Counts) {
	if s := p.servers[server]; s != nil {
		s.health.noteAll(now, counts)
	}
}

// mute reports whether an attempt that was given up had waited so long that its
// server seems to answer nothing.
func (p *Placer) mute(now time.Duration, j *job) bool {
	if j.started {
		return false
	}
	expected := p.callTimeOf(j.server.Service)
	if j.server.CacheTokens > 0 {
		expected = (j.ahead + j.Work) / p.rateOf(j.server.Service)
	}
	return now-j.placed > max(leastMute, duration(muteFactor*expected))
}

// drop removes a job from those that wait.
func (s *server) drop(j *job) {
	if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// Forget drops the jobs of one entry's run, as when it has ended.
func (p *Placer) Forget(now time.Duration, origin uint64) {
	for id := range p.jobs {
		if id.Origin == origin {
			p.Ended(now, id, ResultLeft)
		}
	}
}

// Expire drops jobs whose end was not heard of.
func (p *Placer) Expire(now time.Duration) {
	for id, j := range p.jobs {
		if now-j.placed > forgetJobs {
			p.Ended(now, id, ResultLeft)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
