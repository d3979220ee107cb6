package room

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/room"
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

// kind is a kind of request of a replay, with what became of its callers.
type kind struct {
	name                   string
	rank                   int
	perSecond, burst       float64
	common, shared, own    int
	target, deadline, runs time.Duration
	stream                 bool
	gap                    time.Duration
	// calls counts callers; each ends in one of inTime, late, refused and timedOut. soon counts those of inTime that
	// began within the target from their first call.
	calls, inTime, soon, late, refused, timedOut int
	longestRefusal                               time.Duration
}

// load is a replayed load.
type load struct {
	entries, engines, slots int
	length, from, until     time.Duration
	// lost is the number of engines that leave at from and come back at until.
	lost int
	// scale is the ratio of engines' true times to what placement learned at first.
	scale float64
	room  bool
	kinds []*kind
}

// engine reads one prompt at a time, the most urgent first, and runs as many requests as it has slots.
type engine struct {
	name    string
	waiting []*call
	reading bool
	running int
	lost    bool
	holds   map[uint64]bool
}

// call is one call of a caller at one entry.
type call struct {
	kind                       *kind
	first, arrived             time.Duration
	entry                      int
	number                     uint64
	returned, ended, contended bool
	rank                       int
	size                       placement.RequestSize
	id                         placement.JobID
	work                       placement.Job
	engine                     *engine
	went, left                 time.Duration
	predicted                  time.Duration
}

type replay struct {
	load
	random  *rand.Rand
	events  *schedule
	placers []*placement.Placer
	rooms   []*room.Room
	engines map[string]*engine
	held    map[uint64]*call
	number  uint64
	list    []placement.Server
	// offered counts the calls that were handed to engines, and runs those that began there.
	offered, runs int
}

const (
	newsDelay     = 90 * time.Millisecond
	warmUp        = 2 * time.Second
	deferredDelay = 100 * time.Millisecond
	trueRate      = 70.0
	trueFixed     = 5.0
	lookInterval  = 20 * time.Millisecond
	priceInterval = 250 * time.Millisecond
)

func (r *replay) later(when time.Duration, do func(now time.Duration)) {
	heap.Push(r.events, at{when, do})
}

// tell applies a placement event at one entry, and at the others when they learn of it.
func (r *replay) tell(now time.Duration, from int, delay time.Duration, do func(now time.Duration, p *placement.Placer, own bool)) {
	do(now, r.placers[from], true)
	r.later(now+delay, func(now time.Duration) {
		for i, p := range r.placers {
			if i != from {
				do(now, p, false)
			}
		}
	})
}

func play(l load, seed uint64) *replay {
	r := &replay{load: l, random: rand.New(rand.NewPCG(seed, 2)), events: &schedule{}, engines: make(map[string]*engine), held: make(map[uint64]*call)}
	for i := range l.engines {
		name := fmt.Sprint("s", i)
		r.engines[name] = &engine{name: name, holds: make(map[uint64]bool)}
		r.list = append(r.list, placement.Server{Name: name, Service: "models", Slots: l.slots, CacheTokens: 696_268, Delay: time.Millisecond})
	}
	for i := range l.entries {
		p := placement.New(uint64(i + 1))
		p.SetServers(r.list)
		p.SetNewsDelay(newsDelay)
		r.placers = append(r.placers, p)
		core := room.New(uint64(i + 1))
		core.Step(0, room.Entries{Count: l.entries})
		r.rooms = append(r.rooms, core)
		r.later(time.Duration(i)*time.Millisecond, func(now time.Duration) { r.look(now, i) })
		r.later(time.Duration(i)*time.Millisecond, func(now time.Duration) { r.announce(now, i) })
	}
	for _, k := range l.kinds {
		r.later(0, func(now time.Duration) { r.arrivals(now, k) })
	}
	if l.lost > 0 {
		r.later(l.from, func(now time.Duration) { r.lose(now, true) })
		r.later(l.until, func(now time.Duration) { r.lose(now, false) })
	}
	for r.events.Len() > 0 {
		next := heap.Pop(r.events).(at)
		next.do(next.when)
	}
	return r
}

// lose makes the first engines leave: what waits there is placed again, and what runs ends there.
func (r *replay) lose(now time.Duration, lost bool) {
	var list []placement.Server
	for i, s := range r.list {
		if i < r.lost {
			s.Leaving = lost
			e := r.engines[s.Name]
			e.lost = lost
			waiting := e.waiting
			e.waiting = nil
			for _, c := range waiting {
				r.tell(now, c.entry, newsDelay, func(now time.Duration, p *placement.Placer, _ bool) {
					p.Ended(now, c.id, placement.ResultRefused)
				})
				r.offered--
				r.place(now, c)
			}
		}
		if !s.Leaving {
			list = append(list, s)
		}
	}
	for _, p := range r.placers {
		p.SetServers(list)
	}
}

func (r *replay) arrivals(now time.Duration, k *kind) {
	if now > r.length {
		return
	}
	rate := k.perSecond
	if now >= r.from && now < r.until && k.burst > 0 {
		rate *= k.burst
	}
	r.later(now+time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func(now time.Duration) {
		if now <= r.length {
			c := &call{kind: k, first: now}
			if now < warmUp {
				c.kind = &kind{}
				*c.kind = *k
			}
			c.kind.calls++
			r.arrive(now, c)
		}
		r.arrivals(now, k)
	})
}

func (r *replay) arrive(now time.Duration, c *call) {
	r.number++
	c.number, c.arrived, c.entry, c.rank = r.number, now, r.random.IntN(r.entries), c.kind.rank
	part := uint64(r.random.IntN(6*r.load.engines)+1)<<20 + uint64(c.kind.own)
	c.size = placement.RequestSize{PromptTokens: c.kind.shared + c.kind.own, OutputTokens: 200, Parts: []placement.Part{
		{Chain: uint64(c.kind.own), Tokens: c.kind.common}, {Chain: part, Tokens: c.kind.shared - c.kind.common},
	}}
	if !r.room {
		r.place(now, c)
		return
	}
	contention, _ := r.placers[c.entry].Contention(now, r.request(c), c.kind.target/enoughDivisor, r.entries)
	effect, _ := r.rooms[c.entry].Step(now, room.Arrived{Request: room.Request{
		ID: c.number, Service: "models", Kind: c.kind.name, Rank: c.rank, Target: c.kind.target,
		Latest: r.latest(now, c), Deadline: c.first + c.kind.deadline, Work: contention.Work, Returned: c.returned,
	}, Capacity: capacityOf(contention)})
	r.held[c.number] = c
	r.apply(now, effect)
}

func (r *replay) request(c *call) *placement.Request {
	return &placement.Request{Service: "models", Size: c.size, Rank: c.rank}
}

func (r *replay) latest(now time.Duration, c *call) time.Duration {
	return placement.MaxStartDelay(c.kind.stream, c.kind.target, c.kind.gap, c.first+c.kind.deadline-now)
}

func (r *replay) look(now time.Duration, entry int) {
	for _, id := range r.rooms[entry].Waiting() {
		c := r.held[id]
		contention, _ := r.placers[entry].Contention(now, r.request(c), c.kind.target/enoughDivisor, r.entries)
		effect, _ := r.rooms[entry].Step(now, room.Looked{ID: id, Capacity: capacityOf(contention)})
		r.apply(now, effect)
	}
	if now < r.length+20*time.Second {
		r.later(now+lookInterval, func(now time.Duration) { r.look(now, entry) })
	}
}

func (r *replay) announce(now time.Duration, entry int) {
	for _, price := range r.rooms[entry].Prices(now) {
		r.later(now+newsDelay, func(now time.Duration) {
			for i, other := range r.rooms {
				if i != entry {
					other.Step(now, room.Told{Price: price})
				}
			}
		})
	}
	if now < r.length+20*time.Second {
		r.later(now+priceInterval, func(now time.Duration) { r.announce(now, entry) })
	}
}

func (r *replay) apply(now time.Duration, effect room.Effect) {
	c := r.held[effect.ID]
	switch effect.Action {
	case room.Go:
		if effect.Urgent {
			c.rank = 0
		}
		c.contended = effect.Contended
		c.predicted, c.left = effect.Start, effect.Left
		r.place(now, c)
		delete(r.held, c.number)
	case room.Refuse:
		c.kind.longestRefusal = max(c.kind.longestRefusal, now-c.arrived)
		r.refuse(now, c, effect.RetryAfter)
		delete(r.held, c.number)
	}
}

// refuse makes the caller come back if it has the time.
func (r *replay) refuse(now time.Duration, c *call, after time.Duration) {
	if left := c.first + c.kind.deadline - now; after <= left/3 {
		r.later(now+after, func(now time.Duration) { r.arrive(now, &call{kind: c.kind, first: c.first, returned: true}) })
		return
	}
	c.kind.refused++
}

func (r *replay) place(now time.Duration, c *call) {
	p := r.placers[c.entry]
	request := r.request(c)
	request.Contended = c.contended
	decision, ok := p.Pick(now, request)
	if !ok {
		r.refuse(now, c, 2*time.Second)
		return
	}
	expected := decision.StartDelay
	if c.predicted > 0 {
		expected = min(expected, c.predicted)
	}
	if expected > r.latest(now, c) {
		wait := placement.RetryAfter(expected, c.kind.target)
		r.refuse(now, c, wait+time.Duration(r.random.Int64N(int64(wait/2+50*time.Millisecond))))
		return
	}
	r.number++
	c.id = placement.JobID{Origin: uint64(c.entry + 1), Number: r.number}
	c.work = placement.NewJob(c.id, decision, c.size)
	c.work.Rank = c.rank
	c.went = now
	job := c.work
	r.tell(now, c.entry, newsDelay, func(now time.Duration, p *placement.Placer, _ bool) { p.Placed(now, job) })
	c.engine = r.engines[decision.Server]
	r.offered++
	r.later(now+time.Millisecond, func(now time.Duration) {
		c.engine.waiting = append(c.engine.waiting, c)
		r.next(now, c.engine)
	})
	timeout := r.latest(now, c) * 5 / 4
	r.later(now+timeout, func(now time.Duration) { r.timeout(now, c) })
}

// timeout makes a caller leave whose answer has not begun.
func (r *replay) timeout(now time.Duration, c *call) {
	if c.ended {
		return
	}
	for i, w := range c.engine.waiting {
		if w == c {
			c.engine.waiting = append(c.engine.waiting[:i], c.engine.waiting[i+1:]...)
			c.ended = true
			c.kind.timedOut++
			r.offered--
			r.tell(now, c.entry, newsDelay+deferredDelay, func(now time.Duration, p *placement.Placer, _ bool) {
				p.Ended(now, c.id, placement.ResultAbandoned)
			})
			return
		}
	}
}

// next begins to read the most urgent prompt at an engine that has a slot.
func (r *replay) next(now time.Duration, e *engine) {
	if e.reading || e.running >= r.slots || len(e.waiting) == 0 {
		return
	}
	best := 0
	for i, c := range e.waiting {
		if c.rank < e.waiting[best].rank {
			best = i
		}
	}
	c := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	e.reading = true
	e.running++
	c.ended = true
	r.runs++
	uncached := c.size.PromptTokens
	for _, part := range c.size.Parts {
		if e.holds[part.Chain] {
			uncached -= part.Tokens
		}
		e.holds[part.Chain] = true
	}
	midpoint := float64(c.size.PromptTokens) - float64(uncached)/2
	took := r.scale * (trueFixed + (250+float64(uncached)*(1+midpoint/50_000))/trueRate)
	r.later(now+time.Duration(took*float64(time.Millisecond)), func(now time.Duration) {
		e.reading = false
		r.begin(now, c)
		r.next(now, e)
	})
}

func (r *replay) begin(now time.Duration, c *call) {
	k := c.kind
	switch {
	case now-c.arrived <= k.target:
		k.inTime++
		if now-c.first <= k.target {
			k.soon++
		}
	default:
		k.late++
	}
	if r.room {
		r.rooms[c.entry].Step(now, room.Began{Service: "models", Rank: c.rank, Left: c.left, Start: c.predicted, Took: now - c.went})
	}
	r.tell(now, c.entry, newsDelay+deferredDelay, func(now time.Duration, p *placement.Placer, own bool) { p.Started(now, c.id, own) })
	r.later(now+k.runs, func(now time.Duration) {
		c.engine.running--
		r.tell(now, c.entry, newsDelay+deferredDelay, func(now time.Duration, p *placement.Placer, _ bool) {
			p.Ended(now, c.id, placement.ResultAnswered)
		})
		r.next(now, c.engine)
	})
}

// mixed returns the kinds of requests of one service at a share of 650 requests a second; burst is that of long summaries.
func mixed(share, burst float64) []*kind {
	return []*kind{
		{name: "short", rank: 0, perSecond: 160 * share, common: 119, shared: 198, own: 628, target: 500 * time.Millisecond, deadline: 10 * time.Second, runs: 2 * time.Second, stream: true, gap: 600 * time.Millisecond},
		{name: "verdict", rank: 1, perSecond: 217 * share, common: 341, shared: 568, own: 1800, target: 500 * time.Millisecond, deadline: 2500 * time.Millisecond, runs: 100 * time.Millisecond},
		{name: "long", rank: 2, perSecond: 108 * share, burst: burst, common: 512, shared: 5382, own: 6610, target: time.Second, deadline: 12 * time.Second, runs: 3 * time.Second, stream: true, gap: 600 * time.Millisecond},
	}
}

func (k *kind) String() string {
	return fmt.Sprintf("%s: %d calls, %.3f in time, %.3f from the first call, %.3f late, %.3f refused, %.3f timed out, longest refusal %s", k.name, k.calls,
		share(k.inTime, k.calls), share(k.soon, k.calls), share(k.late, k.calls), share(k.refused, k.calls), share(k.timedOut, k.calls), k.longestRefusal)
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
