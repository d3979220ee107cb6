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

// leader is one replica with its own clock, which may run fast by the drift.
type leader struct {
	d      *Dispatcher
	rate   float64
	frozen time.Duration
}

func (l *leader) clock(real time.Duration) time.Duration {
	return time.Duration(float64(real) * l.rate)
}

// flight is an order or read on its way. It is dropped at its deadline unless
// the server checks fencing numbers.
type flight struct {
	leader *leader
	send   *Send
	read   *Read
}

// bench runs leaders of growing terms against one backend server.
type bench struct {
	leaders []*leader
	fencing fleet.Fencing
	term    uint64
	current *leader
	flights []flight
	random  *rand.Rand

	highest    uint64
	newest     uint64
	conditions map[Kind]string
	violation  string
}

func newBench(fencing fleet.Fencing, seed uint64, waitOut bool) *bench {
	b := &bench{fencing: fencing, random: rand.New(rand.NewPCG(seed, 1)), conditions: map[Kind]string{}}
	for i := range 3 {
		l := &leader{d: New(Options{LeaseDuration: testLease, MaxClockDrift: testDrift}), rate: 1 + b.random.Float64()*testDrift}
		if !waitOut {
			l.d.waitOut = 0
		}
		l.d.Step(0, Desired{Server: "s", Fencing: fencing, Conditions: map[Kind]string{SetModel: fmt.Sprint("model-", i)}})
		b.leaders = append(b.leaders, l)
	}
	return b
}

func (b *bench) step(l *leader, real time.Duration, event Event) {
	effects := l.d.Step(l.clock(real), event)
	for _, send := range effects.Sends {
		b.flights = append(b.flights, flight{leader: l, send: &send})
	}
	for _, read := range effects.Reads {
		b.flights = append(b.flights, flight{leader: l, read: &read})
	}
}

// move lets 100 ms pass with random elections, freezes and deliveries.
func (b *bench) move(real time.Duration) {
	if b.random.IntN(15) == 0 {
		b.term++
		b.current = b.leaders[b.random.IntN(len(b.leaders))]
		b.current.frozen = 0
		b.step(b.current, real, Led{Term: b.term})
	}
	if b.current != nil && real >= b.current.frozen {
		b.step(b.current, real, Leased{Term: b.term, Until: b.current.clock(real) + testLease})
	}
	for _, l := range b.leaders {
		if real < l.frozen {
			continue
		}
		if b.random.IntN(20) == 0 {
			l.frozen = real + time.Duration(b.random.IntN(8000))*time.Millisecond
			continue
		}
		if b.random.IntN(30) == 0 {
			value := fmt.Sprint("model-", b.random.IntN(9))
			b.step(l, real, Desired{Server: "s", Fencing: b.fencing, Conditions: map[Kind]string{SetModel: value}})
		}
		b.step(l, real, Tick{})
	}
	waiting := b.flights
	b.flights = nil
	for _, f := range waiting {
		if b.random.IntN(4) == 0 {
			b.deliver(f, real)
			continue
		}
		b.flights = append(b.flights, f)
	}
}

func (b *bench) deliver(f flight, real time.Duration) {
	lost := b.random.IntN(4) == 0
	if f.read != nil {
		conditions := map[Kind]string{}
		for kind, value := range b.conditions {
			conditions[kind] = value
		}
		highest := uint64(0)
		if b.fencing == fleet.FencingChecked {
			highest = b.highest
		}
		b.step(f.leader, real, Current{Server: "s", Sequence: f.read.Sequence, OK: !lost, Highest: highest, Conditions: conditions})
		return
	}
	answer := Answer{Server: "s", Sequence: f.send.Sequence, Result: ResultApplied}
	if b.fencing == fleet.FencingIgnored && f.leader.clock(real) > f.send.Deadline {
		return
	}
	if b.fencing == fleet.FencingChecked && f.send.Fencing < b.highest {
		answer.Result, answer.Highest = ResultRefused, b.highest
	} else {
		b.apply(f.send)
	}
	if lost {
		answer.Result = ResultFailed
	}
	b.step(f.leader, real, answer)
}

func (b *bench) apply(send *Send) {
	if send.Fencing < b.newest {
		b.violation = fmt.Sprintf("an order of term %d was applied after one of term %d", send.Fencing, b.newest)
	}
	b.newest = max(b.newest, send.Fencing)
	b.highest = max(b.highest, send.Fencing)
	b.conditions[send.Kind] = send.Value
}

// run plays 60 s and then lets the last leader settle.
func (b *bench) run() {
	real := time.Duration(0)
	for ; real < time.Minute; real += 100 * time.Millisecond {
		b.move(real)
	}
}

func TestNoOrderAfterANewerLeaders(t *testing.T) {
	for _, fencing := range []fleet.Fencing{fleet.FencingChecked, fleet.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			applied := 0
			rapid.Check(t, func(t *rapid.T) {
				b := newBench(fencing, rapid.Uint64().Draw(t, "seed"), true)
				b.run()
				if b.violation != "" {
					t.Fatal(b.violation)
				}
				if b.newest > 0 {
					applied++
				}
			})
			if applied == 0 {
				t.Fatal("no order was applied in any run")
			}
		})
	}
}

// The same check finds a leader that does not wait out the old lease.
func TestMissingWaitOutIsFound(t *testing.T) {
	for seed := range uint64(400) {
		b := newBench(fleet.FencingIgnored, seed, false)
		b.run()
		if b.violation != "" {
			return
		}
	}
	t.Fatal("not found in 400 runs")
}

func TestLeaderConvergesAndStepsBack(t *testing.T) {
	d := New(Options{LeaseDuration: testLease})
	want := map[Kind]string{SetModel: "m", SetRole: "decode"}
	d.Step(0, Desired{Server: "s", Fencing: fleet.FencingIgnored, Conditions: want})
	d.Step(0, Led{Term: 4})
	if e := d.Step(time.Second, Leased{Term: 4, Until: 20 * time.Second}); len(e.Reads)+len(e.Sends) != 0 {
		t.Fatalf("acted before the old lease was over: %+v", e)
	}
	e := d.Step(testLease+time.Millisecond, Tick{})
	if len(e.Reads) != 1 {
		t.Fatalf("want a read first, got %+v", e)
	}
	e = d.Step(3100*time.Millisecond, Current{Server: "s", Sequence: e.Reads[0].Sequence, OK: true, Conditions: map[Kind]string{SetModel: "m"}})
	if len(e.Sends) != 1 || e.Sends[0].Kind != SetRole || e.Sends[0].Fencing != 4 {
		t.Fatalf("want the missing condition alone, got %+v", e)
	}
	d.Step(3200*time.Millisecond, Answer{Server: "s", Sequence: e.Sends[0].Sequence - 1, Result: ResultApplied})
	if state := d.State(0); state.StaleAnswers != 1 || state.Servers[0].Settled {
		t.Fatalf("a stale answer counted: %+v", state)
	}
	e = d.Step(3300*time.Millisecond, Answer{Server: "s", Sequence: e.Sends[0].Sequence, Result: ResultRefused, Highest: 9})
	if e.StepDown != 9 || len(d.Step(10*time.Second, Tick{}).Reads) != 0 {
		t.Fatalf("did not step back: %+v", e)
	}
}
