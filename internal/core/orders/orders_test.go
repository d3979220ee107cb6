package orders

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
	"waxwingcart/internal/core/fleet"
)

// TestMain sets rapid's seed and number of checks unless flags give them, so that
// each run draws the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	testLease = 3 * time.Second
	testDrift = 0.1
)

// leader is a replica whose clock may run faster than real time by up to
// testDrift. While it is frozen it handles nothing but results of its calls.
type leader struct {
	d      *Dispatcher
	rate   float64
	frozen time.Duration
}

func (l *leader) clock(real time.Duration) time.Duration {
	return time.Duration(float64(real) * l.rate)
}

// inFlightCall is an order or read that has not been delivered. An order is
// dropped after its deadline unless the server checks fencing numbers.
type inFlightCall struct {
	leader *leader
	send   *Send
	read   *Read
}

// simulation runs leaders of increasing terms against one backend server.
type simulation struct {
	leaders []*leader
	fencing fleet.Fencing
	term    uint64
	current *leader
	calls   []inFlightCall
	random  *rand.Rand

	// highest is the highest fencing number that the server has seen, and
	// newest the highest term of an applied order.
	highest    uint64
	newest     uint64
	conditions map[Kind]string
	violation  string
}

func newSimulation(fencing fleet.Fencing, seed uint64, waitForLease bool) *simulation {
	s := &simulation{fencing: fencing, random: rand.New(rand.NewPCG(seed, 1)), conditions: map[Kind]string{}}
	for i := range 3 {
		l := &leader{d: New(Options{LeaseDuration: testLease, MaxClockDrift: testDrift}), rate: 1 + s.random.Float64()*testDrift}
		if !waitForLease {
			l.d.leaseWait = 0
		}
		l.d.Step(0, Desired{Server: "s", Fencing: fencing, Conditions: map[Kind]string{SetModel: fmt.Sprint("model-", i)}})
		s.leaders = append(s.leaders, l)
	}
	return s
}

func (s *simulation) step(l *leader, real time.Duration, event Event) {
	effects := l.d.Step(l.clock(real), event)
	for _, send := range effects.Sends {
		s.calls = append(s.calls, inFlightCall{leader: l, send: &send})
	}
	for _, read := range effects.Reads {
		s.calls = append(s.calls, inFlightCall{leader: l, read: &read})
	}
}

// advance simulates 100 ms with random elections, freezes and deliveries.
func (s *simulation) advance(real time.Duration) {
	if s.random.IntN(15) == 0 {
		s.term++
		s.current = s.leaders[s.random.IntN(len(s.leaders))]
		s.current.frozen = 0
		s.step(s.current, real, BecameLeader{Term: s.term})
	}
	if s.current != nil && real >= s.current.frozen {
		s.step(s.current, real, Leased{Term: s.term, Until: s.current.clock(real) + testLease})
	}
	for _, l := range s.leaders {
		if real < l.frozen {
			continue
		}
		if s.random.IntN(20) == 0 {
			l.frozen = real + time.Duration(s.random.IntN(8000))*time.Millisecond
			continue
		}
		if s.random.IntN(30) == 0 {
			value := fmt.Sprint("model-", s.random.IntN(9))
			s.step(l, real, Desired{Server: "s", Fencing: s.fencing, Conditions: map[Kind]string{SetModel: value}})
		}
		s.step(l, real, Tick{})
	}
	waiting := s.calls
	s.calls = nil
	for _, c := range waiting {
		if s.random.IntN(4) == 0 {
			s.deliver(c, real)
			continue
		}
		s.calls = append(s.calls, c)
	}
}

func (s *simulation) deliver(c inFlightCall, real time.Duration) {
	lost := s.random.IntN(4) == 0
	if c.read != nil {
		conditions := map[Kind]string{}
		for kind, value := range s.conditions {
			conditions[kind] = value
		}
		highest := uint64(0)
		if s.fencing == fleet.FencingChecked {
			highest = s.highest
		}
		s.step(c.leader, real, ReadResult{Server: "s", Sequence: c.read.Sequence, OK: !lost, Highest: highest, Conditions: conditions})
		return
	}
	result := SendResult{Server: "s", Sequence: c.send.Sequence, Result: ResultApplied}
	if s.fencing == fleet.FencingIgnored && c.leader.clock(real) > c.send.Deadline {
		return
	}
	if s.fencing == fleet.FencingChecked && c.send.Fencing < s.highest {
		result.Result, result.Highest = ResultRefused, s.highest
	} else {
		s.apply(c.send)
	}
	if lost {
		result.Result = ResultFailed
	}
	s.step(c.leader, real, result)
}

func (s *simulation) apply(send *Send) {
	if send.Fencing < s.newest {
		s.violation = fmt.Sprintf("an order of term %d was applied after one of term %d", send.Fencing, s.newest)
	}
	s.newest = max(s.newest, send.Fencing)
	s.highest = max(s.highest, send.Fencing)
	s.conditions[send.Kind] = send.Value
}

// run simulates 60 s.
func (s *simulation) run() {
	real := time.Duration(0)
	for ; real < time.Minute; real += 100 * time.Millisecond {
		s.advance(real)
	}
}

// Checks that no order of an old term is applied after one of a newer term, with
// frozen leaders, fast clocks, lost results and late deliveries.
func TestNoOrderOfOldTermAfterNewerTerm(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			applied := 0
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(fencing, rapid.Uint64().Draw(t, "seed"), true)
				s.run()
				if s.violation != "" {
					t.Fatal(s.violation)
				}
				if s.newest > 0 {
					applied++
				}
			})
			if applied == 0 {
				t.Fatal("no order was applied in any run")
			}
		})
	}
}

// Checks that the simulation is able to detect a violation: a leader that does
// not wait for the old lease to expire must cause one in some run.
func TestSimulationDetectsMissingLeaseWait(t *testing.T) {
	for seed := range uint64(400) {
		s := newSimulation(fleet.FencingIgnored, seed, false)
		s.run()
		if s.violation != "" {
			return
		}
	}
	t.Fatal("no violation in 400 runs without the lease wait, expected at least one")
}

// Checks that a leader waits for the old lease, reads before it sends, sends only
// the condition that differs, ignores stale results and steps down when a
// backend server reports a higher fencing number.
func TestLeaderConvergesAndStepsDown(t *testing.T) {
	d := New(Options{LeaseDuration: testLease})
	want := map[Kind]string{SetModel: "m", SetRole: "decode"}
	d.Step(0, Desired{Server: "s", Fencing: fleet.FencingIgnored, Conditions: want})
	d.Step(0, BecameLeader{Term: 4})
	if e := d.Step(time.Second, Leased{Term: 4, Until: 20 * time.Second}); len(e.Reads)+len(e.Sends) != 0 {
		t.Fatalf("made a call before the old lease expired: %+v", e)
	}
	e := d.Step(testLease+time.Millisecond, Tick{})
	if len(e.Reads) != 1 {
		t.Fatalf("want only a read, got %+v", e)
	}
	e = d.Step(3100*time.Millisecond, ReadResult{Server: "s", Sequence: e.Reads[0].Sequence, OK: true, Conditions: map[Kind]string{SetModel: "m"}})
	if len(e.Sends) != 1 || e.Sends[0].Kind != SetRole || e.Sends[0].Fencing != 4 {
		t.Fatalf("want only the missing condition, got %+v", e)
	}
	d.Step(3200*time.Millisecond, SendResult{Server: "s", Sequence: e.Sends[0].Sequence - 1, Result: ResultApplied})
	if state := d.State(0); state.StaleAnswers != 1 || state.Servers[0].Settled {
		t.Fatalf("a stale answer was not ignored: %+v", state)
	}
	e = d.Step(3300*time.Millisecond, SendResult{Server: "s", Sequence: e.Sends[0].Sequence, Result: ResultRefused, Highest: 9})
	if e.StepDown != 9 || len(d.Step(10*time.Second, Tick{}).Reads) != 0 {
		t.Fatalf("got %+v, expected StepDown 9 and no reads afterwards", e)
	}
}
