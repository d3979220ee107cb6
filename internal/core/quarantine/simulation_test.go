package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The times and sizes of the simulation.
const (
	simStep      = 5 * time.Millisecond
	simDown      = 2 * time.Second
	simProbe     = 10 * time.Millisecond
	simRun       = 300 * time.Millisecond
	simLength    = 20 * time.Second
	simStability = 3 * time.Second
	simLoss      = 0.02
	simSubjects  = 30
)

// simulation plays entries, each with a Guard of its own, and the servers of one release.
type simulation struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Duration
	entries []*Guard
	upAt    []time.Duration
	calls   []*simCall
	later   []simEvent
	number  uint64
	bad     Part
	// ends holds when servers ended under the crashing part; late counts the requests with it
	// that were sent to servers later than simStability after the end with the number known.
	ends  []time.Duration
	known int
	late  int
	// sound and begun count the sound requests of the last seconds, and those whose answer
	// began at the first attempt.
	sound, begun int
}

// simCall is an attempt at a server.
type simCall struct {
	entry, server         int
	request               uint64
	parts, own            []Part
	placed, begins        time.Duration
	attempts              int
	hasBegun, over, count bool
}

type simEvent struct {
	at time.Duration
	do func()
}

func newSimulation(t *rapid.T, seed uint64, entries, servers int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, upAt: make([]time.Duration, servers)}
	for i := range entries {
		s.entries = append(s.entries, New(seed+uint64(i)))
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.later = append(s.later, simEvent{s.now + d, do})
}

// tell delivers to the other entries, but for those whose datagram is lost.
func (s *simulation) tell(from int, apply func(g *Guard)) {
	for i, g := range s.entries {
		if i != from && s.random.Float64() >= simLoss {
			s.after(25*time.Millisecond+time.Duration(s.random.Int64N(int64(40*time.Millisecond))), func() { apply(g) })
		}
	}
}

func (s *simulation) tellBars(from int, bars []Bar) {
	for _, b := range bars {
		s.tell(from, func(g *Guard) { g.Adopt(s.now, b) })
	}
}

func (s *simulation) send(entry int, parts, own []Part, count bool) {
	s.number++
	s.attempt(&simCall{entry: entry, request: s.number, parts: parts, own: own, count: count})
}

func (c *simCall) asRequest() *Request {
	return &Request{Service: "models", Model: "m", Customer: heirs, Parts: c.parts, Own: c.own}
}

func (s *simulation) holdsBad(c *simCall) bool {
	return slices.Contains(c.parts, s.bad) || slices.Contains(c.own, s.bad)
}

// attempt sends a request to a server that listens.
func (s *simulation) attempt(c *simCall) {
	rank := func(p Part) int { return (int(p) + c.entry) % len(s.entries) }
	v := s.entries[c.entry].Check(s.now, c.asRequest(), []string{"v1"}, rank)
	if !v.Allows("v1") {
		return
	}
	var up []int
	for i, at := range s.upAt {
		if s.now >= at {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	s.tellBars(c.entry, s.entries[c.entry].Tried(s.now, c.asRequest(), "v1", v))
	c.server, c.placed = up[s.random.IntN(len(up))], s.now
	c.begins = s.now + 20*time.Millisecond + time.Duration(s.random.Int64N(int64(150*time.Millisecond)))
	c.attempts++
	if s.holdsBad(c) && len(s.ends) >= s.known && s.now > s.ends[s.known-1]+simStability {
		s.late++
	}
	s.calls = append(s.calls, c)
}

// advance lets answers begin and end, and servers end, until now.
func (s *simulation) advance() {
	s.now += simStep
	for _, ev := range s.later {
		if ev.at <= s.now {
			ev.do()
		}
	}
	s.later = slices.DeleteFunc(s.later, func(ev simEvent) bool { return ev.at <= s.now })
	for i, g := range s.entries {
		s.tellBars(i, g.Due(s.now))
	}
	for _, c := range slices.Clone(s.calls) {
		switch {
		case c.over || s.now < c.begins:
		case c.hasBegun:
			c.over = s.now >= c.begins+simRun
		case s.holdsBad(c):
			s.ends = append(s.ends, s.now)
			s.end(c.server)
		default:
			s.begin(c)
		}
	}
	s.calls = slices.DeleteFunc(s.calls, func(c *simCall) bool { return c.over })
}

func (s *simulation) begin(c *simCall) {
	c.hasBegun = true
	if c.count && c.attempts == 1 {
		s.begun++
	}
	if tell, _ := s.entries[c.entry].Begun(s.now, v1, c.parts, c.own); !tell.None() {
		s.tell(c.entry, func(g *Guard) { g.Acquit(tell) })
	}
}

// end ends a server and all attempts there.
func (s *simulation) end(server int) {
	s.upAt[server] = s.now + simDown
	at := s.now
	for _, c := range s.calls {
		if c.server != server || c.over {
			continue
		}
		c.over = true
		if c.hasBegun {
			continue
		}
		head := s.now >= c.begins && !slices.Contains(c.own, s.bad)
		crash := Crash{
			Instance: fmt.Sprint("i-", server), Release: v1, At: at, Placed: c.placed, Request: c.request, Customer: heirs, Head: head, Parts: c.parts, Own: c.own,
		}
		s.after(simProbe, func() {
			s.tellBars(c.entry, s.entries[c.entry].Crashed(s.now, crash))
			s.tell(c.entry, func(g *Guard) { g.Crashed(s.now, crash) })
			if c.attempts < 2 {
				s.attempt(&simCall{entry: c.entry, request: c.request, parts: c.parts, own: c.own, attempts: c.attempts, count: c.count})
			}
		})
	}
}

// soundParts returns the parts of a sound prompt: one that all share, and a subject.
func (s *simulation) soundParts() []Part {
	return []Part{shared, Part(100 + s.random.IntN(simSubjects))}
}

// soundOwn returns what is a sound request's own, of few popular ones or of many.
func (s *simulation) soundOwn() []Part {
	if s.random.IntN(2) == 0 {
		return []Part{Part(200_000 + s.random.IntN(3))}
	}
	return []Part{Part(400_000 + s.number)}
}

func (s *simulation) badParts(place int) []Part {
	own := Part(100_000 + s.number)
	switch place {
	case 0:
		return []Part{s.bad, Part(100 + s.random.IntN(simSubjects))}
	case 1:
		return []Part{shared, s.bad, own}
	default:
		return []Part{shared, Part(100 + s.random.IntN(simSubjects)), s.bad}
	}
}

// Entries that share evidence over lossy datagrams keep the rule: at most three requests
// with the part reach servers later than the stability time after the fifth end. Sound
// requests are served as before.
func TestEntriesStopACrashingPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		entries, servers := rapid.IntRange(1, 12).Draw(rt, "entries"), rapid.IntRange(4, 16).Draw(rt, "servers")
		place, rate := rapid.IntRange(0, 2).Draw(rt, "place"), rapid.IntRange(1, 12).Draw(rt, "rate")
		s := newSimulation(rt, seed, entries, servers)
		s.bad, s.known = 50, 5
		from := s.now
		soundEvery, badEvery := time.Second/20, time.Second/time.Duration(rate)
		for s.now < from+simLength {
			at := s.now - from
			if at%soundEvery < simStep {
				last := at > simLength/2
				if last {
					s.sound++
				}
				s.send(s.random.IntN(entries), s.soundParts(), s.soundOwn(), last)
			}
			if at > time.Second && at%badEvery < simStep {
				s.send(s.random.IntN(entries), s.badParts(place), []Part{Part(300_000 + s.number)}, false)
			}
			s.advance()
		}
		if s.late > 3 {
			rt.Errorf("%d requests with the part were sent to servers later than %s after the fifth end (%d ends), want at most 3", s.late, simStability, len(s.ends))
		}
		if len(s.ends) >= 5 && 10*s.begun < 9*s.sound {
			rt.Errorf("the answers of %d of %d sound requests began at once in the second half, want nine tenths", s.begun, s.sound)
		}
	})
}

// The same for one request that is sent again and again, at an even pace or in bursts: at most
// three of them reach servers later than the stability time after the third end.
func TestEntriesStopACrashingRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		entries, servers := rapid.IntRange(1, 12).Draw(rt, "entries"), rapid.IntRange(4, 16).Draw(rt, "servers")
		rate, sound := rapid.IntRange(1, 12).Draw(rt, "rate"), rapid.IntRange(0, 20).Draw(rt, "sound")
		withParts, burst := rapid.Bool().Draw(rt, "parts"), rapid.IntRange(1, 3).Draw(rt, "burst")
		s := newSimulation(rt, seed, entries, servers)
		s.bad, s.known = 50, 3
		from := s.now
		badEvery := time.Second / time.Duration(rate)
		for s.now < from+simLength {
			at := s.now - from
			if sound > 0 && at%(time.Second/time.Duration(sound)) < simStep {
				last := at > simLength/2
				if last {
					s.sound++
				}
				s.send(s.random.IntN(entries), s.soundParts(), s.soundOwn(), last)
			}
			if at > time.Second && at%badEvery < simStep {
				var parts []Part
				if withParts {
					parts = s.soundParts()
				}
				for range burst {
					s.send(s.random.IntN(entries), parts, []Part{s.bad}, false)
				}
			}
			s.advance()
		}
		if s.late > 3 {
			rt.Errorf("the request was sent to servers %d times later than %s after the third end (%d ends), want at most 3", s.late, simStability, len(s.ends))
		}
		if s.sound > 20 && 10*s.begun < 9*s.sound {
			rt.Errorf("the answers of %d of %d sound requests began at once in the second half, want nine tenths", s.begun, s.sound)
		}
	})
}

// Servers that end for a reason of their own bar no part, however many do.
func TestEndsForAnotherReasonBarNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		entries, servers := rapid.IntRange(1, 12).Draw(rt, "entries"), rapid.IntRange(4, 16).Draw(rt, "servers")
		every := time.Duration(rapid.IntRange(300, 3000).Draw(rt, "every ms")) * time.Millisecond
		together := rapid.IntRange(1, servers-1).Draw(rt, "together")
		s := newSimulation(rt, seed, entries, servers)
		from := s.now
		for s.now < from+simLength {
			at := s.now - from
			if at%(time.Second/40) < simStep {
				s.send(s.random.IntN(entries), s.soundParts(), nil, true)
			}
			if at%every < simStep {
				for range together {
					s.end(s.random.IntN(servers))
				}
			}
			s.advance()
			for i, g := range s.entries {
				if g.Bars() > 0 {
					rt.Fatalf("after %s entry %d bars %+v", at, i, g.bars)
				}
			}
		}
	})
}

// Nor do they bar a request that callers repeat, as long as half of the servers are left.
func TestEndsForAnotherReasonBarNoRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		entries, servers := rapid.IntRange(1, 12).Draw(rt, "entries"), rapid.IntRange(4, 16).Draw(rt, "servers")
		together := rapid.IntRange(1, servers/2).Draw(rt, "together")
		shortest := 2 * int(simDown.Milliseconds()) * together / servers
		every := time.Duration(rapid.IntRange(shortest, 3*shortest).Draw(rt, "every ms")) * time.Millisecond
		s := newSimulation(rt, seed, entries, servers)
		from := s.now
		for s.now < from+simLength {
			at := s.now - from
			if at%(time.Second/40) < simStep {
				s.send(s.random.IntN(entries), nil, s.soundOwn(), true)
			}
			if at > time.Second && at%every < simStep {
				for range together {
					s.end(s.random.IntN(servers))
				}
			}
			s.advance()
			for i, g := range s.entries {
				if g.Bars() > 0 {
					rt.Fatalf("after %s entry %d bars %+v", at, i, g.bars)
				}
			}
		}
	})
}
