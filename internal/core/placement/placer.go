package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// attentionTokens is the length of the preceding text at which attention to it
	// takes as long as the rest of the work on a token.
	attentionTokens = 50_000.0
	// overheadTokens is the work of a request besides its prompt, in tokens: one
	// engine step and the request's transfer.
	overheadTokens = 250.0
	// initialRate is the assumed speed of a model engine, in tokens of work per
	// millisecond, and initialCallTime the assumed duration of a call at an
	// application server, until they have been learned.
	initialRate     = 45.0
	initialCallTime = 20 * time.Millisecond
	// learnStep is the change of a learned value by one observation, as a ratio.
	learnStep = 0.03
	// minRate and maxRate bound the learned rate, in tokens per millisecond.
	minRate, maxRate = 5.0, 400.0
	// prefillWeight is the additional weight of a prompt's own reading time: while
	// the server reads it, other requests there wait.
	prefillWeight = 0.7
	// preemptionRatio is the used part of a server's memory above which the server
	// may preempt running requests.
	preemptionRatio = 0.85
	// overcommitPenalty is added to a server's score for memory in use above
	// preemptionRatio, per multiple of the server's memory, and for requests beyond
	// the slots of a model engine, per multiple of its slots. It is in
	// milliseconds.
	overcommitPenalty = 4000.0
	// runningWeight is added to the score for each running request, in
	// milliseconds: every running request lengthens each engine step a little.
	runningWeight = 0.4
	// slotPenalty is the wait for each request beyond the slots of an application
	// server, as a multiple of a call's duration divided by the slots.
	slotPenalty = 1.0
	// recomputeWeight is the additional weight of the time to read shared parts
	// that the server does not hold: another server has read them already and holds
	// them for the next prompts.
	recomputeWeight = 3.0
	// pauseWeight is added to the score of a long prompt at a server whose streams
	// all pause for too long, in milliseconds. It exceeds the cost of reading a
	// usual shared part again.
	pauseWeight = 1500.0
	// longPrefillMS is the reading time from which a prompt counts as long, in
	// milliseconds: it delays several events of the server's other streams.
	longPrefillMS = 200.0
	// An abandoned attempt counts as a failure of its server if the server was
	// silent for longer than minSilence and silenceFactor times the predicted wait.
	minSilence    = time.Second
	silenceFactor = 4.0
	// jobExpiry is the time after which an attempt no longer counts, in case the end
	// of another entry's attempt is never received.
	jobExpiry = 20 * time.Second
	// tieNoise is the maximum of the random addition to a score, in milliseconds,
	// so that entries spread over servers with equal scores.
	tieNoise = 1.0
)

// Placer picks servers for the attempts of one entry.
type Placer struct {
	random  *rand.Rand
	servers map[string]*server
	byName  map[string][]*server
	jobs    map[JobID]*job
	// versions is the number of versions of each service's servers.
	versions map[string]int
	// start holds what was learned of the beginning of model engines' answers, and callTime
	// the learned duration of a call at an application server, in milliseconds, both by service.
	start    map[string]*startModel
	callTime map[string]float64
	// ownWork holds the work that this entry placed lately, by service.
	ownWork map[string]*decayingSum
	// listed holds the instances in the platform's list, and leaving those that have
	// said that they leave.
	listed  map[string]bool
	leaving map[string]leavingServer
	// suspended holds the instances that have asked this entry, whose incarnation is
	// origin, for a pause.
	suspended map[string]*suspension
	origin    uint64
	// occupancy is the average time that an answered attempt holds a slot, by service.
	occupancy map[string]time.Duration
	unseen    unseen
	// reports holds what the load reports of each service's servers showed.
	reports map[string]*serviceReports
	// ignored lists the servers whose reports are ignored, until TakeIgnored.
	ignored []IgnoredReport
	// rankWork is the work that all entries placed lately, and slotTime for how long attempts held slots, both by
	// service, and looked the number of looks at
	// the contention.
	rankWork map[string]*rankWork
	slotTime map[string]*slotTime
	looked   int
}

// decayingSum is a sum of work that decays exponentially.
type decayingSum struct {
	sum float64
	at  time.Duration
}

// workWindow is the time constant of the decay. It spans several long prompts.
const workWindow = 5 * time.Second

func (a *decayingSum) decayed(now time.Duration) float64 {
	return a.sum * math.Exp(-float64(max(now-a.at, 0))/float64(workWindow))
}

// Work is the load of a service in prompt work.
type Work struct {
	// PerSecond is the work that this entry placed lately, in tokens per second.
	PerSecond float64
	// Rate is the speed of one server, in tokens per second.
	Rate float64
}

// AddWork adds the work of an attempt of this entry to its service.
func (p *Placer) AddWork(now time.Duration, service string, work float64) {
	a := p.ownWork[service]
	if a == nil {
		a = &decayingSum{}
		p.ownWork[service] = a
	}
	a.sum = a.decayed(now) + work
	a.at = now
}

// Work returns the prompt work by service, without services whose servers read no
// prompts.
func (p *Placer) Work(now time.Duration) map[string]Work {
	work := make(map[string]Work, len(p.ownWork))
	for service, a := range p.ownWork {
		servers := p.byName[service]
		if len(servers) > 0 && servers[0].CacheTokens > 0 {
			work[service] = Work{PerSecond: a.decayed(now) / workWindow.Seconds(), Rate: 1000 * p.startModelOf(service).rate * usableSpeed(servers)}
		}
	}
	return work
}

// server is the state of one server.
type server struct {
	Server
	// waiting holds the jobs whose answers have not begun, oldest first.
	waiting []*job
	// lastBegun is when an answer of the server last began.
	lastBegun time.Duration
	running   int
	memory    int
	cache     cache
	health    health
	pauses    pauses
	// loads is what the server has reported of its load; nil if nothing.
	loads *serverLoads
	// invalidPause is true once the server has asked for a pause in a way that can't be
	// read.
	invalidPause bool
	// invalidLoad is true once the server has reported a load that can't be read.
	invalidLoad bool
	// brittle is true while the server says that it falls over when it turns too many requests away.
	// One that has just turned a request away counts as full until fullUntil.
	brittle   bool
	fullUntil time.Duration
}

// job is an attempt that has not ended.
type job struct {
	Job
	server  *server
	placed  time.Duration
	started bool
	// paused is true once the attempt's stream has paused for too long.
	paused bool
	// ahead is the work queued at the server when the job was placed, in tokens.
	ahead float64
}

// New returns a Placer without servers. origin is the incarnation of this entry; it is
// also the seed of random choices.
func New(origin uint64) *Placer {
	return &Placer{
		random:    rand.New(rand.NewPCG(origin, origin^0x9e3779b97f4a7c15)),
		servers:   make(map[string]*server),
		byName:    make(map[string][]*server),
		jobs:      make(map[JobID]*job),
		start:     make(map[string]*startModel),
		callTime:  make(map[string]float64),
		ownWork:   make(map[string]*decayingSum),
		leaving:   make(map[string]leavingServer),
		suspended: make(map[string]*suspension),
		occupancy: make(map[string]time.Duration),
		reports:   make(map[string]*serviceReports),
		rankWork:  make(map[string]*rankWork),
		slotTime:  make(map[string]*slotTime),
		origin:    origin,
	}
}

// SetServers replaces the set of servers. It keeps the state of servers that stay
// and drops the jobs of those that are removed.
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
	p.countVersions()
	for id, j := range p.jobs {
		if p.servers[j.Server] == nil {
			delete(p.jobs, id)
		}
	}
}

// Pick returns the server with the lowest score, or false if no server is eligible. If a
// limiter keeps the request from the best one, it learns which that is.
func (p *Placer) Pick(now time.Duration, request *Request) (Decision, bool) {
	var best, wanted *server
	bestScore, wantedScore := math.Inf(1), math.Inf(1)
	var decision Decision
	lone := p.loneVersions(now, request)
	order, first := p.inOrder(now, request)
	failures := 0.0
	if len(order) > 0 && order[0].CacheTokens == 0 {
		failures = failureShare(now, order)
	}
	usable := func(s *server) bool {
		return !slices.Contains(lone, s.Version) && (request.Limiter == nil || request.Limiter.Takes(now, s.Name, request.Rank))
	}
	for _, s := range p.considered(now, request, order, first, usable) {
		score, d := p.evaluate(now, s, &request.Size, failures)
		if request.Contended {
			contended := p.startAt(now, s, request)
			score += milliseconds(contended - d.StartDelay)
			d.StartDelay = contended
		}
		if slices.Contains(lone, s.Version) {
			score += loneVersionPenalty
		}
		score += p.random.Float64() * tieNoise
		if wanted == nil || score < wantedScore {
			wanted, wantedScore = s, score
		}
		if request.Limiter != nil && !request.Limiter.Takes(now, s.Name, request.Rank) {
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore, decision = s, score, d
		}
	}
	if request.Limiter != nil && wanted != nil {
		request.Limiter.Want(now, wanted.Name, request.Rank)
	}
	return decision, best != nil
}

// NewJob returns the job of an attempt at the server of a decision.
func NewJob(id JobID, decision Decision, size RequestSize) Job {
	return Job{
		ID: id, Server: decision.Server, Parts: size.Parts, UncachedTokens: decision.UncachedTokens,
		Work: attemptWork(decision.UncachedTokens, size.PromptTokens), Memory: size.PromptTokens + size.OutputTokens,
	}
}

// Placed records an attempt that this or another entry has sent.
func (p *Placer) Placed(now time.Duration, placed Job) {
	s := p.servers[placed.Server]
	if s == nil || p.jobs[placed.ID] != nil {
		return
	}
	j := &job{Job: placed, server: s, placed: now}
	if s.CacheTokens > 0 {
		j.ahead = s.backlog(now, p.startModelOf(s.Service), s.slowness(now))
		s.cache.record(placed.Parts, placed.UncachedTokens)
		p.noteRank(now, s.Service, placed.Rank, placed.Work)
	}
	if placed.ID.Origin != p.origin && s.CacheTokens > 0 {
		p.unseen.note(now, s.Service, placed.Work)
	}
	s.memory += placed.Memory
	s.waiting = append(s.waiting, j)
	p.jobs[placed.ID] = j
	p.placedAt(now, &placed)
}

// Started records that an attempt's answer began. own is true for attempts of this
// entry; only their timing is exact enough to learn from.
func (p *Placer) Started(now time.Duration, id JobID, own bool) {
	j := p.jobs[id]
	if j == nil || j.started {
		return
	}
	j.started = true
	s := j.server
	s.removeWaiting(j)
	s.running++
	s.lastBegun = now
	p.answered(j)
	if own {
		p.learn(now, j)
	}
}

// Paused records that the stream of an attempt paused for longer than it should.
func (p *Placer) Paused(now time.Duration, id JobID) {
	if j := p.jobs[id]; j != nil && !j.paused {
		j.paused = true
		j.server.pauses.record(now, true)
	}
}

// Ended records the end of an attempt.
func (p *Placer) Ended(now time.Duration, id JobID, result Result) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	delete(p.jobs, id)
	s := j.server
	if result == ResultAbandoned && p.unresponsive(now, j) {
		result = ResultFailed
	}
	if !j.started && result == ResultAnswered {
		p.answered(j)
	}
	switch result {
	case ResultAnswered:
		p.occupied(s.Service, now-j.placed)
	case ResultRefused:
		s.fullUntil = now + fullTime
	}
	s.memory = max(s.memory-j.Memory, 0)
	if j.started && !j.paused && result == ResultAnswered && j.Memory > 0 {
		s.pauses.record(now, false)
	}
	if j.started {
		s.running = max(s.running-1, 0)
	} else {
		s.removeWaiting(j)
	}
	if s.CacheTokens == 0 && result == ResultAnswered {
		p.learnCallTime(now, j)
	}
	s.health.record(now, result)
}

// Restarted records that a server has ended and comes back under its name: it has nothing in
// its cache then.
func (p *Placer) Restarted(server string) {
	if s := p.servers[server]; s != nil {
		s.cache, s.loads = newCache(), nil
	}
}

// RecordCounts records how attempts of another entry ended that it reports only as
// counts.
func (p *Placer) RecordCounts(now time.Duration, server string, counts Counts) {
	if s := p.servers[server]; s != nil {
		s.health.recordCounts(now, counts)
	}
}

// unresponsive reports whether an abandoned attempt had waited so much longer than
// predicted that its server seems not to answer at all.
func (p *Placer) unresponsive(now time.Duration, j *job) bool {
	if j.started {
		return false
	}
	expected := p.callTimeOf(j.server.Service)
	if j.server.CacheTokens > 0 {
		expected = p.startModelOf(j.server.Service).predict(j.ahead + j.Work)
	}
	expected *= max(j.server.slowness(now), 1)
	return now-j.placed > max(minSilence, duration(silenceFactor*expected))
}

// removeWaiting removes a job from the server's queued jobs.
func (s *server) removeWaiting(j *job) {
	if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// Forget ends the jobs of one incarnation of an entry, for use when that process
// has ended.
func (p *Placer) Forget(now time.Duration, origin uint64) {
	for id := range p.jobs {
		if id.Origin == origin {
			p.Ended(now, id, ResultAbandoned)
		}
	}
}

// Expire ends jobs that were placed more than jobExpiry ago, and forgets leaving
// instances that are no longer listed.
func (p *Placer) Expire(now time.Duration) {
	p.expireLeaving(now)
	p.expireSuspensions(now)
	for id, j := range p.jobs {
		if now-j.placed > jobExpiry {
			p.Ended(now, id, ResultAbandoned)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
