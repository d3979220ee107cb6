// Package room decides at one entry which requests of a service go to its servers while the
// service's capacity is insufficient, which wait for a moment, and which are refused.
//
// A request that is predicted to begin within its latency target goes at once. The prediction counts
// only work that precedes the request by rank, so that less urgent requests find the servers full
// first. They also give way as far as more urgent requests of any entry lately found no room. What can't begin in time
// is refused with the time at which there will be room, after what was told to come back before.
// Every kind of request has a guaranteed minimum.
//
// Load pattern: bursts of long prompts beside short requests with near deadlines, and the loss of a
// zone's servers, with 71 to 1,100 entries that each see a few requests a second.
//
// The package does no I/O and is not safe for concurrent use.
package room

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// holdDivisor bounds the time that a request is held, as a fraction of its latency target.
	// A refusal that comes later leaves the caller too little time to come back.
	holdDivisor = 8
	// LookInterval is the interval of Looked events.
	LookInterval = 20 * time.Millisecond
	// reserveDivisor bounds the part of the target for which new requests give way to those that were told
	// to come back, as callers may not come. A quarter let fewer long prompts come back in vain, but more begin late
	// with engines that take twice the expected time.
	reserveDivisor = 2
	// aloneDivisor is the part of the target for which a request may wait for others if its own work takes about as long as
	// the target, or longer.
	aloneDivisor = 4
	// minimumShare is the part of a service's capacity that each kind of request is guaranteed.
	minimumShare = 0.05
	// minimumWindow is the time for which an unused minimum accumulates.
	minimumWindow = time.Second
	// starving is the time without a request of a kind that went after which its minimum is
	// used even if the answer will begin late.
	starving = 2 * time.Second
	// MaxRank is the least urgent rank that is told apart.
	MaxRank = 9
	// maxKinds bounds the kinds of requests of a service that have a minimum of their own.
	maxKinds = 1024
)

// Request is a request that asks for room.
type Request struct {
	ID      uint64
	Service string
	// Kind tells requests apart that have a guaranteed minimum each, and so does Customer.
	Kind, Customer string
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Target is the time from now within which the answer should begin, and Latest the time
	// from now after which the request isn't worth running.
	Target, Latest time.Duration
	// Deadline is the caller's.
	Deadline time.Duration
	// Work is what precedes the beginning of the answer, in tokens.
	Work float64
	// Returned is true if the caller was told to come back.
	Returned bool
}

// Capacity is what placement expects of a service's servers for a request.
type Capacity struct {
	// Servers is the number of servers that may take the request.
	Servers int
	// Start is the predicted time until the answer begins at the best server, Urgent the same
	// for the most urgent rank, and Soon the same if the request waits here until a slot
	// becomes free at any server.
	Start, Urgent, Soon time.Duration
	// Alone is the predicted time if nothing preceded the request at that server.
	Alone time.Duration
	// Rate is the work that all servers do, and Spare the part that more urgent requests leave, in tokens
	// per second.
	Rate, Spare float64
}

// Event is an input of Step.
type Event interface{ isEvent() }

// Arrived asks for room for a request.
type Arrived struct {
	Request
	Capacity Capacity
}

// Looked looks again at the capacity for a request that waits.
type Looked struct {
	ID       uint64
	Capacity Capacity
}

// Left reports that the caller of a request that waits has left, or that its request ended otherwise.
type Left struct{ ID uint64 }

// Began reports when the answer of a request that went began: Left is the time that it had for that, Start the
// predicted time, and Took the time that it took.
type Began struct {
	Service           string
	Rank              int
	Left, Start, Took time.Duration
}

// Entries says how many entries share the servers.
type Entries struct{ Count int }

// Told is a price of another entry.
type Told struct{ Price Price }

func (Arrived) isEvent() {}
func (Looked) isEvent()  {}
func (Left) isEvent()    {}
func (Began) isEvent()   {}
func (Entries) isEvent() {}
func (Told) isEvent()    {}

// Reason says what decided.
type Reason string

// Reasons of effects.
const (
	// ReasonInTime means that the answer is expected to begin within the target.
	ReasonInTime Reason = "in-time"
	// ReasonNoServer means that no server takes the request, which placement handles.
	ReasonNoServer Reason = "no-server"
	// ReasonMinimum means that the request uses the guaranteed minimum of its kind.
	ReasonMinimum Reason = "minimum"
	// ReasonSlot means that the request waits for a slot.
	ReasonSlot Reason = "slot"
	// ReasonLate means that the answer would begin after its target.
	ReasonLate Reason = "late"
	// ReasonReserved means that the room is left to callers that were told to come back, or to other customers
	// while one sends much more than usually.
	ReasonReserved Reason = "reserved"
	// ReasonGivesWay means that more urgent requests lack room.
	ReasonGivesWay Reason = "gives-way"
	// ReasonDeadline means that the answer would begin after the caller has left.
	ReasonDeadline Reason = "deadline"
)

// Action is what happens to a request.
type Action uint8

// The actions.
const (
	// Go sends the request to a server now.
	Go Action = iota
	// Wait holds the request; Looked events are expected until it ends.
	Wait
	// Refuse refuses the request as not run.
	Refuse
)

// Effect is a decision on one request, with what it was based on.
type Effect struct {
	ID     uint64
	Action Action
	Reason Reason
	// Urgent is true if the request goes with the most urgent rank, and Contended if requests of its service
	// lately lacked room.
	Urgent, Contended bool
	// Surge is true if the customer lately sent much more than it usually does.
	Surge bool
	// RetryAfter is the time after which a refused request is expected to find room. Returns is true
	// if the caller has enough time to come back.
	RetryAfter time.Duration
	Returns    bool
	// Waited is the time for which the request was held, Start the predicted time until its answer begins, Left the
	// time that it has for that, Price the share of more urgent requests that lack room, and Ahead
	// the work that was told to come back about now.
	Waited, Start, Left time.Duration
	Price, Ahead        float64
}

// Room decides for one entry.
type Room struct {
	// draws decides which requests give way at a price, and spreads when callers come back. They are separate, so
	// that one refusal doesn't change which other requests give way.
	draws, spreads *rand.Rand
	entries        int
	services       map[string]*service
	waiting        map[uint64]*held
}

// held is a request that waits. draw decides whether it gives way at a price.
type held struct {
	Request
	arrived time.Duration
	draw    float64
}

// New returns a Room. The seed is that of random choices.
func New(seed uint64) *Room {
	return &Room{
		draws:    rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		spreads:  rand.New(rand.NewPCG(seed, seed^0xbf58476d1ce4e5b9)),
		entries:  1,
		services: make(map[string]*service),
		waiting:  make(map[uint64]*held),
	}
}

// Waiting returns the IDs of the requests that wait, in the order of IDs.
func (r *Room) Waiting() []uint64 { return slices.Sorted(maps.Keys(r.waiting)) }

// Step applies an event and returns the decision on a request, if the event led to one.
func (r *Room) Step(now time.Duration, event Event) (Effect, bool) {
	switch e := event.(type) {
	case Arrived:
		w := &held{Request: e.Request, arrived: now, draw: r.draws.Float64()}
		w.Rank = min(max(w.Rank, 0), MaxRank)
		return r.apply(w, r.decide(now, w, e.Capacity)), true
	case Looked:
		if w := r.waiting[e.ID]; w != nil {
			return r.apply(w, r.decide(now, w, e.Capacity)), true
		}
	case Left:
		delete(r.waiting, e.ID)
	case Began:
		r.service(e.Service).learn(now, e)
	case Entries:
		r.entries = max(e.Count, 1)
	case Told:
		r.service(e.Price.Service).told(now, e.Price)
	}
	return Effect{}, false
}

func (r *Room) apply(w *held, effect Effect) Effect {
	if effect.Action == Wait {
		r.waiting[w.ID] = w
	} else {
		delete(r.waiting, w.ID)
	}
	return effect
}

// decide decides on a request that arrives or waits.
func (r *Room) decide(now time.Duration, w *held, capacity Capacity) Effect {
	s := r.service(w.Service)
	first := now == w.arrived
	effect := Effect{ID: w.ID, Waited: now - w.arrived}
	// A request that misses its target even at an idle server is not short of capacity.
	effect.Left = max(w.Target, capacity.Alone+w.Target/aloneDivisor) - effect.Waited
	if capacity.Servers == 0 {
		effect.Reason = ReasonNoServer
		return effect
	}
	k, c := s.kind(now, w.Kind), s.customer(now, w.Customer)
	k.fill(now, minimumShare*capacity.Rate/float64(r.entries), w.Work)
	if first {
		c.note(now)
	}
	ratio := s.ratio[w.Rank]
	effect.Start = capacity.lengthened(capacity.Start, ratio)
	inTime := effect.Start <= effect.Left
	if first {
		s.offered(now, w.Rank, !inTime)
	}
	needed := effect.Start
	effect.Contended = s.contended(now, r.entries)
	if effect.Contended {
		s.contendedUntil = now + surgeMemory
	}
	effect.Surge = now < s.contendedUntil && c.surges(now)
	if effect.Surge {
		needed += w.Target / surgeDivisor
	}
	if !w.Returned {
		effect.Ahead = s.due.about(now, w.Rank)
		needed += min(workTime(effect.Ahead, capacity.Spare), w.Target/reserveDivisor)
	}
	effect.Price = s.price(now, w.Rank, r.entries)
	givesWay := w.draw < priceGain*(effect.Price-minPrice)
	if needed <= effect.Left && !givesWay {
		k.went(now, w.Work)
		c.minimum.went(now, w.Work)
		effect.Reason = ReasonInTime
		return effect
	}
	if effect.Contended {
		c.minimum.fill(now, minimumShare*capacity.Rate/float64(r.entries*s.active(now)), w.Work)
	}
	if k.useMinimum(now, w, capacity, effect.Left) || c.minimum.useMinimum(now, w, capacity, effect.Left) {
		effect.Reason, effect.Urgent, effect.Start = ReasonMinimum, true, capacity.Urgent
		return effect
	}
	if !givesWay && !effect.Surge && effect.Waited+LookInterval <= w.Target/holdDivisor && now+LookInterval < w.Deadline && capacity.lengthened(capacity.Soon, ratio) <= effect.Left {
		effect.Action, effect.Reason = Wait, ReasonSlot
		if inTime {
			effect.Reason = ReasonReserved
		}
		return effect
	}
	switch {
	case inTime && givesWay:
		effect.Reason = ReasonGivesWay
	case inTime:
		effect.Reason = ReasonReserved
	case effect.Start > w.Latest-effect.Waited:
		effect.Reason = ReasonDeadline
	default:
		effect.Reason = ReasonLate
	}
	return r.refuse(now, w, capacity, effect)
}

// refuse refuses a request with the time at which there will be room for it.
func (r *Room) refuse(now time.Duration, w *held, capacity Capacity, effect Effect) Effect {
	s := r.service(w.Service)
	effect.Action = Refuse
	drained := max(effect.Start-w.Target, 0)
	wait := max(drained+workTime(s.due.all(now, w.Rank), capacity.Spare), minRetryAfter)
	wait += time.Duration(r.spreads.Float64() * (spread*float64(wait) + float64(minSpread)))
	effect.RetryAfter = min(wait, maxRetryAfter)
	effect.Returns = effect.RetryAfter <= (w.Deadline-now)/honouredDivisor
	if effect.Returns && !effect.Surge {
		s.deferred(now, now+effect.RetryAfter, w.Rank, w.Work)
	}
	return effect
}

// lengthened multiplies the part of a prediction by a ratio for which the request waits for others. With idle servers
// nothing changes, however late answers are.
func (c *Capacity) lengthened(d time.Duration, ratio float64) time.Duration {
	return min(c.Alone, d) + stretch(max(d-c.Alone, 0), ratio)
}

func stretch(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}

// workTime returns the time that an amount of work takes at a rate in tokens per second.
func workTime(work, rate float64) time.Duration {
	if work <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(min(work/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
