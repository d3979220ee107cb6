package membership

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

func drawRecord(t *rapid.T, label string) Record {
	return Record{
		Kind: KindEntry, VM: "a",
		Zone:        rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, label+"zone"),
		Incarnation: rapid.Uint64Range(0, 2).Draw(t, label+"incarnation"),
		Leaving:     rapid.Bool().Draw(t, label+"leaving"),
		DeadlineMS:  rapid.Int64Range(0, 3).Draw(t, label+"deadline"),
		Version:     rapid.Uint64Range(0, 2).Draw(t, label+"version"),
		Health:      Health(rapid.IntRange(0, 2).Draw(t, label+"health")),
	}
}

func TestJoinIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if Join(a, b) != Join(b, a) {
			t.Fatalf("not commutative: %+v, %+v", a, b)
		}
		if Join(a, a) != a {
			t.Fatalf("not idempotent: %+v", a)
		}
		if Join(Join(a, b), c) != Join(a, Join(b, c)) {
			t.Fatalf("not associative: %+v, %+v, %+v", a, b, c)
		}
	})
}

// Once an instance of a VM, or a process, is known to be leaving, no event
// makes it usable again.
func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Options{Self: Record{VM: "self", Incarnation: 1}, ForgetAfter: 1000 * time.Hour})
		vm := &table.member(KindBackend, "vm").instances
		left, leftProcesses := map[string]bool{}, map[string]bool{}
		// met holds the processes that reported before the reclaim.
		met, deadline := map[string]bool{}, time.Duration(math.MaxInt64)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			text := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "incarnation")
			leaving := rapid.Bool().Draw(t, "leaving")
			instance := text
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				table.Step(now, PlatformList{VMs: []ListedVM{{VM: "vm", Incarnation: text, Leaving: leaving}}})
			case 1:
				leaving = true
				if text == "" {
					deadline = min(deadline, now+time.Second)
				}
				table.Step(now, Notice{VM: "vm", Incarnation: text, Left: time.Second})
			case 2:
				table.Step(now, News{From: "b", Records: []Record{{Kind: KindBackend, VM: "vm", Instance: text, Leaving: leaving}}})
			case 3:
				table.Step(now, Report{VM: "vm", Incarnation: text, Leaving: leaving})
				leftProcesses[text] = leftProcesses[text] || leaving
				met[text] = met[text] || now <= deadline || len(met) == 0 || text == ""
				leaving = false
			case 4:
				table.Step(now, Contact{Kind: KindBackend, VM: "vm", OK: leaving})
				leaving = false
			case 5:
				table.Step(now, Tick{})
				leaving = false
			}
			if instance == "" {
				instance = vm.current
			}
			left[instance] = left[instance] || leaving
			if left[""] && vm.current != "" {
				left[vm.current], left[""] = true, false
			}
			replaced := vm.current == "" && !met[vm.process] && vm.process != ""
			gone := (left[vm.current] && !replaced) || leftProcesses[vm.process]
			fresh := leaving && !replaced && (instance == vm.current || !slices.Contains(vm.shown, instance))
			if (fresh || gone) && (!table.Leaving("vm") || table.Usable("vm")) {
				t.Fatalf("instance %q, process %q came back", vm.current, vm.process)
			}
		}
	})
}

func TestNewIncarnationResetsLeaving(t *testing.T) {
	table := New(Options{Self: Record{VM: "self", Incarnation: 1}})
	list := func(instance string) PlatformList {
		return PlatformList{VMs: []ListedVM{{VM: "vm", Incarnation: instance}}}
	}
	for i, step := range []struct {
		event  Event
		usable bool
	}{
		{list("vm-1"), true},
		{Report{VM: "vm", Incarnation: "x7"}, true},
		{Notice{VM: "vm", Left: 20 * time.Second}, false},
		{list("vm-1"), false},
		{Report{VM: "vm", Incarnation: "c2"}, false}, // restarted on the leaving VM
		{list("vm-2"), true},
		{list("vm-1"), true}, // a list that lags behind the last one
		{PlatformList{VMs: []ListedVM{{VM: "vm", Incarnation: "vm-1", Leaving: true}}}, true},
		{Report{VM: "vm", Incarnation: "c2", Leaving: true}, false},
		{Report{VM: "vm", Incarnation: "c2"}, false},
		{Report{VM: "vm", Incarnation: "d1"}, true},
	} {
		table.Step(time.Duration(i)*time.Second, step.event)
		if table.Usable("vm") != step.usable || table.Leaving("vm") == step.usable {
			t.Fatalf("step %d, %+v: usable is %v", i, step.event, !step.usable)
		}
	}
}

// Where the list does not name the VM, a process that starts after the reclaim
// is another VM's.
func TestUnlistedVMComesBackAfterItsReclaim(t *testing.T) {
	table := New(Options{Self: Record{VM: "self", Incarnation: 1}})
	table.Step(0, Report{VM: "vm", Incarnation: "a"})
	table.Step(time.Second, Notice{VM: "vm", Left: 20 * time.Second})
	table.Step(2*time.Second, Report{VM: "vm", Incarnation: "b"})
	if table.Usable("vm") {
		t.Fatal("a process restarted before the reclaim is usable")
	}
	table.Step(22*time.Second, Report{VM: "vm", Incarnation: "a"})
	if table.Usable("vm") {
		t.Fatal("the process that the notice met is usable")
	}
	table.Step(23*time.Second, Report{VM: "vm", Incarnation: "c"})
	if !table.Usable("vm") {
		t.Fatal("a new process after the reclaim is not usable")
	}
}

// exchange runs tables against each other with loss, delay and cut links.
type exchange struct {
	tables  map[string]*Table
	random  *rand.Rand
	loss    float64
	cut     func(from, to string) bool
	queue   []message
	bytes   int
	encoded bool
}

type message struct {
	at       time.Duration
	from, to string
	records  []Record
	request  bool
	failed   bool
}

func newExchange(n, zones int, loss float64, seed uint64) (*exchange, []string) {
	x := &exchange{tables: map[string]*Table{}, random: rand.New(rand.NewPCG(seed, 2)), loss: loss}
	peers := make([]Record, n)
	names := make([]string, n)
	for i := range n {
		names[i] = fmt.Sprintf("entry-%04d", i)
		peers[i] = Record{VM: names[i], Zone: fmt.Sprintf("zone-%02d", i%zones), Address: "127.0.0.1:7000", Incarnation: 1}
	}
	for i, name := range names {
		x.tables[name] = New(Options{Self: peers[i], Peers: peers, Seed: seed + uint64(i)})
	}
	return x, names
}

func (x *exchange) do(name string, now time.Duration, event Event) {
	effects := x.tables[name].Step(now, event)
	for _, send := range effects.Send {
		x.post(now, message{from: name, to: send.Peer, records: send.Records, request: true})
	}
	if n, ok := event.(News); ok && n.Request {
		x.post(now, message{from: name, to: n.From, records: effects.Reply})
	}
}

func (x *exchange) post(now time.Duration, m message) {
	if x.encoded {
		text, _ := json.Marshal(m.records)
		x.bytes += len(text)
	}
	lost := x.random.Float64() < x.loss || (x.cut != nil && x.cut(m.from, m.to))
	m.at = now + time.Duration(1+x.random.IntN(20))*time.Millisecond
	if lost && !m.request {
		return
	}
	if lost {
		m = message{at: m.at + 300*time.Millisecond, from: m.to, to: m.from, failed: true}
	}
	x.queue = append(x.queue, m)
}

// run moves time on in steps of 10 ms.
func (x *exchange) run(names []string, from, to time.Duration) {
	for now := from; now < to; now += 10 * time.Millisecond {
		due := x.queue
		x.queue = nil
		for _, m := range due {
			switch {
			case m.at > now:
				x.queue = append(x.queue, m)
			case m.failed:
				x.do(m.to, now, Contact{Kind: KindEntry, VM: m.from})
			default:
				x.do(m.to, now, News{From: m.from, Records: m.records, Request: m.request})
			}
		}
		if now%(100*time.Millisecond) == 0 {
			for _, name := range names {
				x.do(name, now, Tick{})
			}
		}
	}
}

func TestNoticeReachesAllEntriesWithinASecond(t *testing.T) {
	for _, c := range []struct {
		n, zones int
		loss     float64
	}{{7, 4, 0.2}, {46, 4, 0.1}, {120, 6, 0.1}, {200, 8, 0.05}, {1100, 24, 0.02}} {
		x, names := newExchange(c.n, c.zones, c.loss, 1)
		x.run(names, 0, 3*time.Second)
		notices := 5
		if c.n > 500 {
			notices = 1
		}
		for i := range notices {
			vm := fmt.Sprintf("engine-%d", i)
			at := time.Duration(3+2*i) * time.Second
			x.do(names[i], at, Notice{VM: vm, Left: 25 * time.Second})
			x.run(names, at, at+time.Second)
			for _, name := range names {
				if !x.tables[name].Leaving(vm) {
					t.Errorf("%d entries, loss %v: %s does not know of %s", c.n, c.loss, name, vm)
				}
			}
			x.run(names, at+time.Second, at+2*time.Second)
		}
	}
}

// With links cut at random, a notice reaches every entry that is still reachable
// over others.
func TestNoticeReachesAllOverCutLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "entries")
		x, names := newExchange(n, 3, 0.05, rapid.Uint64Range(0, 1<<20).Draw(t, "seed"))
		index := map[string]int{}
		for i, name := range names {
			index[name] = i
		}
		links := make([]bool, n*n)
		for i := range n {
			for j := range i {
				links[i*n+j] = rapid.IntRange(0, 9).Draw(t, "link") >= 3
				links[j*n+i] = links[i*n+j]
			}
		}
		x.cut = func(a, b string) bool { return !links[index[a]*n+index[b]] }
		x.run(names, 0, 12*time.Second)
		x.do(names[0], 12*time.Second, Notice{VM: "vm", Left: 25 * time.Second})
		x.run(names, 12*time.Second, 13*time.Second)
		reached, front := map[int]bool{0: true}, []int{0}
		for len(front) > 0 {
			i := front[0]
			front = front[1:]
			for j := range n {
				if links[i*n+j] && !reached[j] {
					reached[j] = true
					front = append(front, j)
				}
			}
		}
		for j := range n {
			if reached[j] && !x.tables[names[j]].Leaving("vm") {
				t.Fatalf("%s is reachable and does not know", names[j])
			}
		}
	})
}

func TestCutOffZoneIsDeadAndComesBack(t *testing.T) {
	x, names := newExchange(8, 4, 0, 1)
	x.run(names, 0, 3*time.Second)
	first := x.tables[names[0]]
	zone := first.Self().Zone
	x.cut = func(a, b string) bool {
		return (x.tables[a].Self().Zone == zone) != (x.tables[b].Self().Zone == zone)
	}
	x.run(names, 3*time.Second, 20*time.Second)
	if inside, all := len(first.Entries(zone)), len(first.Entries("")); inside != 2 || all != 2 {
		t.Fatalf("cut off: %d entries in the zone, %d in all, want 2 and 2", inside, all)
	}
	// The others may be serving: they keep their shares until their VMs end.
	var vms []ListedVM
	for _, name := range names {
		vms = append(vms, ListedVM{VM: name})
	}
	first.Step(20*time.Second, PlatformList{VMs: vms})
	if n := len(first.Sharing()); n != 8 {
		t.Fatalf("cut off: %d entries share the limits, want 8", n)
	}
	first.Step(20*time.Second, PlatformList{VMs: vms[:7]})
	if n := len(first.Sharing()); n != 7 {
		t.Fatalf("with one VM gone %d entries share the limits, want 7", n)
	}
	x.cut = nil
	x.run(names, 20*time.Second, 60*time.Second)
	for _, name := range names {
		if n := len(x.tables[name].Entries("")); n != 8 {
			t.Errorf("%s counts %d live entries after healing, want 8", name, n)
		}
	}
}

// A link cut between two entries makes neither of them dead for good.
func TestWrongSuspicionIsRefuted(t *testing.T) {
	x, names := newExchange(6, 2, 0, 3)
	x.cut = func(a, b string) bool {
		return (a == names[0] && b == names[1]) || (a == names[1] && b == names[0])
	}
	x.run(names, 0, 12*time.Second)
	if x.tables[names[1]].Self().Version == 0 {
		t.Fatal("the suspicion was not refuted")
	}
	x.cut = nil
	x.run(names, 12*time.Second, 30*time.Second)
	for _, name := range names {
		if n := len(x.tables[name].Entries("")); n != 6 {
			t.Errorf("%s counts %d live entries, want 6", name, n)
		}
	}
}

// An entry that is reclaimed says so itself, also if it learns it from others,
// and no longer counts for shared limits; its next start counts again.
func TestReclaimedEntryNoLongerCounts(t *testing.T) {
	x, names := newExchange(5, 2, 0, 1)
	x.run(names, 0, time.Second)
	x.do(names[1], time.Second, Notice{VM: names[0], Left: 20 * time.Second})
	x.run(names, time.Second, 2*time.Second)
	for _, name := range names {
		if n := len(x.tables[name].Entries("")); n != 4 || !x.tables[name].Leaving(names[0]) {
			t.Errorf("%s counts %d entries, want 4", name, n)
		}
	}
	again := x.tables[names[0]].Self()
	again.Incarnation, again.Leaving = again.Incarnation+1, false
	x.tables[names[0]] = New(Options{Self: again, Peers: []Record{x.tables[names[1]].Self()}, Seed: 9})
	x.run(names, 2*time.Second, 12*time.Second)
	for _, name := range names {
		if n := len(x.tables[name].Entries("")); n != 5 {
			t.Errorf("%s counts %d entries after the restart, want 5", name, n)
		}
	}
}

func TestWrongNewsIsIgnored(t *testing.T) {
	table := New(Options{Self: Record{VM: "self", Incarnation: 1}})
	table.Step(0, News{From: "x", Request: true, Records: []Record{
		{}, {VM: "a"}, {Kind: "other", VM: "a"}, {Kind: KindEntry, VM: "a", Incarnation: 1, Health: 7}, {Kind: KindBackend, VM: "b", Health: 9, Leaving: true},
	}})
	if n := len(table.Members()); n != 1 {
		t.Fatalf("%d members, want this entry alone", n)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{7, 50, 200, 1100} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			x, names := newExchange(n, max(4, n/46), 0, 1)
			x.encoded = true
			x.run(names, 0, time.Second)
			x.bytes = 0
			now := time.Second
			b.ResetTimer()
			for b.Loop() {
				x.run(names, now, now+time.Second)
				now += time.Second
			}
			nodeSeconds := float64(b.N * n)
			b.ReportMetric(float64(x.bytes)/nodeSeconds, "bytes/node-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/nodeSeconds, "µs/node-s")
		})
	}
}
