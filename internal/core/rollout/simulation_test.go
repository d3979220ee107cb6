package rollout

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	testService = "s1"
	oldName     = "v1"
	newName     = "v2"
	tickEvery   = 100 * time.Millisecond
)

// load is what reaches a service, and how the target behaves.
type load struct {
	entries  int
	rate     float64
	duration time.Duration
	// ready is when the target's servers are listed.
	ready       time.Duration
	routes      []string
	drawEvery   time.Duration
	oldServers  int
	newServers  int
	baseFailure float64
	seed        uint64
	// behave returns whether a response of the target fails, and how many times slower it is.
	behave func(s *simulation, route string) (failed bool, slowness float64)
	// leaderLost is when the leader is lost for outage; zero is never.
	leaderLost, outage time.Duration
	// lateEntries learn of the roll-out that much later; cutOff is when entry 0 loses the leader.
	late   map[int]time.Duration
	cutOff time.Duration
	// lost is the share of the leader's answers that are lost.
	lost float64
	// firstDelay is the time to the first event that is predicted.
	firstDelay time.Duration
}

// simulation replays load on gates and a controller.
type simulation struct {
	load
	random  *rand.Rand
	now     time.Duration
	events  queue
	gates   []*Gate
	leader  *Controller
	loaded  bool
	listed  bool
	running int
	// requests counts all, toTarget those that a version got that was not complete; sentAfterBad those sent later than 5 s after
	// the 50th bad response.
	requests, toTarget, bad, sentAfterBad int
	badAt                                 time.Duration
	oldAfterComplete                      int
	cutOffSends                           int
	decision                              *Decision
	decidedAt                             time.Duration
	oldRunning                            int
	oldAtDecision                         int
}

type event struct {
	at time.Duration
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

func usualLoad() load {
	return load{
		entries: 71, rate: 160, duration: 12 * time.Second, ready: 3 * time.Second, routes: []string{"long", "short", "verdict"},
		drawEvery: 355 * time.Millisecond, oldServers: 28, newServers: 28, seed: 1, firstDelay: 200 * time.Millisecond,
		behave: func(*simulation, string) (bool, float64) { return false, 1 },
	}
}

// run replays a load until the deadline.
func run(l load) *simulation {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(l.seed, 7)), loaded: true}
	rollout := Rollout{Number: 1, Service: testService, Target: newName, Old: oldName, DeadlineMS: l.duration.Milliseconds(), State: StateActive}
	s.leader = New(0, rollout, true)
	for i := range l.entries {
		gate := NewGate(uint64(i + 1))
		gate.Listed(0, map[string][]string{testService: {oldName}}, true)
		s.gates = append(s.gates, gate)
		s.after(time.Duration(s.random.Float64()*float64(l.drawEvery))+l.late[i], func() { s.draw(i, true) })
	}
	s.after(0, s.arrive)
	s.after(tickEvery, s.tick)
	s.after(l.ready, func() { s.listed = true })
	if l.leaderLost > 0 {
		s.after(l.leaderLost, func() { s.loaded = false })
		s.after(l.leaderLost+l.outage, func() {
			s.loaded = true
			s.leader = New(s.now, rollout, false)
		})
	}
	for s.now < l.duration && len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	return s
}

func (s *simulation) tick() {
	s.after(tickEvery, s.tick)
	if !s.loaded || s.decision != nil {
		return
	}
	fleet := Fleet{Old: s.oldServers}
	if s.listed {
		fleet.Target = s.newServers
	}
	s.leader.SetFleet(fleet)
	if decision := s.leader.Tick(s.now); decision != nil {
		s.decision, s.decidedAt, s.oldAtDecision = decision, s.now, s.oldRunning
	}
}

func (s *simulation) draw(i int, regular bool) {
	if regular {
		s.after(s.drawEvery, func() { s.draw(i, true) })
	}
	if !s.loaded || s.cutOff > 0 && i == 0 && s.now >= s.cutOff {
		return
	}
	requested, listed := s.now, s.listed
	report := s.gates[i].Reports(s.now)[testService]
	s.after(2*time.Millisecond, func() {
		if !s.loaded {
			return
		}
		lease := Lease{Service: testService, Target: newName, Number: 1}
		if s.decision != nil {
			lease.State = s.decision.State
		} else {
			lease = s.leader.Draw(s.now, report)
		}
		if s.random.Float64() < s.lost {
			return
		}
		s.after(2*time.Millisecond, func() {
			s.gates[i].Answered(s.now, requested, []Lease{lease})
			if listed {
				s.gates[i].Listed(s.now, map[string][]string{testService: {oldName, newName}}, true)
			}
		})
	})
}

func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	i, route := s.random.IntN(s.entries), s.routes[s.random.IntN(len(s.routes))]
	gate := s.gates[i]
	gate.Arrived(s.now, testService)
	s.requests++
	s.attempt(i, route, s.version(i, false))
}

// versions returns the versions in the list.
func (s *simulation) versions() []string {
	if s.listed {
		return []string{oldName, newName}
	}
	return []string{oldName}
}

// version returns the version to which a request goes.
func (s *simulation) version(i int, tried bool) string {
	if plan := s.gates[i].Plan(s.now, testService, s.versions(), tried); plan.Prefer != "" && s.listed {
		return plan.Prefer
	}
	return oldName
}

func (s *simulation) attempt(i int, route, version string) {
	gate := s.gates[i]
	if _, ok := gate.Use(s.now, testService, version); !ok {
		panic("the gate planned a request without a lease")
	}
	slowness, failed := 1.0, s.random.Float64() < s.baseFailure
	if version == newName {
		s.countTarget(i)
		s.running++
		failed, slowness = s.behave(s, route)
	} else {
		s.oldRunning++
		if s.decision != nil && s.decision.State == StateComplete && s.now > s.decidedAt+s.drawEvery {
			s.oldAfterComplete++
		}
	}
	number := gate.Number(testService)
	gate.Began(testService, version)
	first := time.Duration(float64(s.firstDelay) * slowness * (0.6 + 0.8*s.random.Float64()))
	took := first + time.Duration(s.random.Float64()*float64(time.Second))
	ended := Attempt{Service: testService, Version: version, Route: route, Number: number, Counted: true, Failed: failed, Begun: !failed, First: first, Expected: s.firstDelay}
	if !failed {
		s.after(first, func() { gate.Started(ended) })
	}
	s.after(took, func() {
		if version == newName {
			s.running--
			s.countBad(failed || slowness > 2)
		} else {
			s.oldRunning--
		}
		if gate.Ended(ended) {
			s.draw(i, false)
		}
		if failed && version == newName {
			s.attempt(i, route, s.version(i, true))
		}
	})
}

func (s *simulation) countTarget(entry int) {
	if s.decision == nil || s.decision.State == StateReverted {
		s.toTarget++
	}
	if s.badAt > 0 && s.now > s.badAt+5*time.Second {
		s.sentAfterBad++
	}
	if entry == 0 && s.cutOff > 0 && s.now > s.cutOff+FinalLifetime {
		s.cutOffSends++
	}
}

func (s *simulation) countBad(bad bool) {
	if bad {
		s.bad++
	}
	if s.bad == 50 && s.badAt == 0 {
		s.badAt = s.now
	}
}
