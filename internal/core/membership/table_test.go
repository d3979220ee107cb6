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

// TestMain fixes the seed and the number of property checks, unless the command line
// sets them.
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

func TestMergeIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		if Merge(a, b) != Merge(b, a) {
			t.Fatalf("not commutative: %+v, %+v", a, b)
		}
		if Merge(a, a) != a {
			t.Fatalf("not idempotent: %+v", a)
		}
		if Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) {
			t.Fatalf("not associative: %+v, %+v, %+v", a, b, c)
		}
	})
}

// Once an instance of a VM, or a process on it, is known to be leaving, no event
// makes it usable again.
func TestLeavingIsFinalWithinIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Options{Self: Record{VM: "self", Incarnation: 1}, ForgetAfter: 1000 * time.Hour})
		vm := &table.getOrAdd(KindBackend, "vm").instances
		leavingInstances, leavingProcesses := map[string]bool{}, map[string]bool{}
		// seen holds the processes that reported before the reclaim deadline.
		seen, deadline := map[string]bool{}, time.Duration(math.MaxInt64)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "incarnation")
			leaving := rapid.Bool().Draw(t, "leaving")
			instance := id
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				table.Step(now, PlatformList{VMs: []ListedVM{{VM: "vm", Incarnation: id, Leaving: leaving}}})
			case 1:
				leaving = true
				if id == "" {
					deadline = min(deadline, now+time.Second)
				}
				table.Step(now, Notice{VM: "vm", Incarnation: id, TimeLeft: time.Second})
			case 2:
				table.Step(now, GossipMessage{From: "b", Records: []Record{{Kind: KindBackend, VM: "vm", Instance: id, Leaving: leaving}}})
			case 3:
				table.Step(now, Report{VM: "vm", Incarnation: id, Leaving: leaving})
				leavingProcesses[id] = leavingProcesses[id] || leaving
				seen[id] = seen[id] || now <= deadline || len(seen) == 0 || id == ""
				leaving = false
			case 4:
				table.Step(now, CallResult{Kind: KindBackend, VM: "vm", OK: leaving})
				leaving = false
			case 5:
				table.Step(now, Tick{})
				leaving = false
			}
			if instance == "" {
				instance = vm.current
			}
			leavingInstances[instance] = leavingInstances[instance] || leaving
			if leavingInstances[""] && vm.current != "" {
				leavingInstances[vm.current], leavingInstances[""] = true, false
			}
			replaced := vm.current == "" && !seen[vm.lastProcess] && vm.lastProcess != ""
			mustLeave := (leavingInstances[vm.current] && !replaced) || leavingProcesses[vm.lastProcess]
			newlyLeaving := leaving && !replaced && (instance == vm.current || !slices.Contains(vm.listed, instance))
			if (newlyLeaving || mustLeave) && (!table.Leaving("vm") || table.Usable("vm")) {
				t.Fatalf("instance %q, process %q is usable or no longer leaving", vm.current, vm.lastProcess)
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
		{Notice{VM: "vm", TimeLeft: 20 * time.Second}, false},
		{list("vm-1"), false},
		{Report{VM: "vm", Incarnation: "c2"}, false}, // restarted on the leaving VM
		{list("vm-2"), true},
		{list("vm-1"), true}, // a lagging list
		{PlatformList{VMs: []ListedVM{{VM: "vm", Incarnation: "vm-1", Leaving: true}}}, true},
		{Report{VM: "vm", Incarnation: "c2", Leaving: true}, false},
		{Report{VM: "vm", Incarnation: "c2"}, false},
		{Report{VM: "vm", Incarnation: "d1"}, true},
	} {
		table.Step(time.Duration(i)*time.Second, step.event)
		if table.Usable("vm") != step.usable || table.Leaving("vm") == step.usable {
			t.Fatalf("step %d, %+v: usable is %v or leaving is not its opposite", i, step.event, !step.usable)
		}
	}
}

// If the platform's list does not show the VM, a process that first reports after
// the reclaim deadline is taken for one of a new VM.
func TestUnlistedVMIsUsableAfterReclaim(t *testing.T) {
	table := New(Options{Self: Record{VM: "self", Incarnation: 1}})
	table.Step(0, Report{VM: "vm", Incarnation: "a"})
	table.Step(time.Second, Notice{VM: "vm", TimeLeft: 20 * time.Second})
	table.Step(2*time.Second, Report{VM: "vm", Incarnation: "b"})
	if table.Usable("vm") {
		t.Fatal("a process restarted before the reclaim is usable")
	}
	table.Step(22*time.Second, Report{VM: "vm", Incarnation: "a"})
	if table.Usable("vm") {
		t.Fatal("a process from before the reclaim is usable")
	}
	table.Step(23*time.Second, Report{VM: "vm", Incarnation: "c"})
	if !table.Usable("vm") {
		t.Fatal("a new process after the reclaim is not usable")
	}
}

// simulation connects tables through a network with loss, delay and cut links.
type simulation struct {
	tables map[string]*Table
	random *rand.Rand
	loss   float64
	// cut reports whether the link between two entries is cut. It may be nil.
	cut   func(from, to string) bool
	queue []message
	// bytes is the size of all messages as JSON, if countBytes is true.
	bytes      int
	countBytes bool
}

type message struct {
	at       time.Duration
	from, to string
	records  []Record
	request  bool
	// failed means that the message informs its receiver of a failed call.
	failed bool
}

func newSimulation(n, zones int, loss float64, seed uint64) (*simulation, []string) {
	sim := &simulation{tables: map[string]*Table{}, random: rand.New(rand.NewPCG(seed, 2)), loss: loss}
	peers := make([]Record, n)
	names := make([]string, n)
	for i := range n {
		names[i] = fmt.Sprintf("entry-%04d", i)
		peers[i] = Record{VM: names[i], Zone: fmt.Sprintf("zone-%02d", i%zones), Address: "127.0.0.1:7000", Incarnation: 1}
	}
	for i, name := range names {
		sim.tables[name] = New(Options{Self: peers[i], Peers: peers, Seed: seed + uint64(i)})
	}
	return sim, names
}

// step applies an event at an entry and sends the resulting messages.
func (sim *simulation) step(name string, now time.Duration, event Event) {
	effects := sim.tables[name].Step(now, event)
	for _, send := range effects.Send {
		sim.enqueue(now, message{from: name, to: send.Peer, records: send.Records, request: true})
	}
	if gossip, ok := event.(GossipMessage); ok && gossip.Request {
		sim.enqueue(now, message{from: name, to: gossip.From, records: effects.Reply})
	}
}

// enqueue queues a message. A lost request becomes a failed call at its sender after
// a timeout; a lost response is dropped.
func (sim *simulation) enqueue(now time.Duration, m message) {
	if sim.countBytes {
		text, _ := json.Marshal(m.records)
		sim.bytes += len(text)
	}
	lost := sim.random.Float64() < sim.loss || (sim.cut != nil && sim.cut(m.from, m.to))
	m.at = now + time.Duration(1+sim.random.IntN(20))*time.Millisecond
	if lost && !m.request {
		return
	}
	if lost {
		m = message{at: m.at + 300*time.Millisecond, from: m.to, to: m.from, failed: true}
	}
	sim.queue = append(sim.queue, m)
}

// run advances the time in steps of 10 ms, with a Tick every 100 ms.
func (sim *simulation) run(names []string, from, to time.Duration) {
	for now := from; now < to; now += 10 * time.Millisecond {
		pending := sim.queue
		sim.queue = nil
		for _, m := range pending {
			switch {
			case m.at > now:
				sim.queue = append(sim.queue, m)
			case m.failed:
				sim.step(m.to, now, CallResult{Kind: KindEntry, VM: m.from})
			default:
				sim.step(m.to, now, GossipMessage{From: m.from, Records: m.records, Request: m.request})
			}
		}
		if now%(100*time.Millisecond) == 0 {
			for _, name := range names {
				sim.step(name, now, Tick{})
			}
		}
	}
}

func TestNoticeReachesAllEntriesWithinASecond(t *testing.T) {
	for _, c := range []struct {
		n, zones int
		loss     float64
	}{{7, 4, 0.2}, {46, 4, 0.1}, {120, 6, 0.1}, {200, 8, 0.05}, {1100, 24, 0.02}} {
		sim, names := newSimulation(c.n, c.zones, c.loss, 1)
		sim.run(names, 0, 3*time.Second)
		notices := 5
		if c.n > 500 {
			notices = 1
		}
		for i := range notices {
			vm := fmt.Sprintf("engine-%d", i)
			at := time.Duration(3+2*i) * time.Second
			sim.step(names[i], at, Notice{VM: vm, TimeLeft: 25 * time.Second})
			sim.run(names, at, at+time.Second)
			for _, name := range names {
				if !sim.tables[name].Leaving(vm) {
					t.Errorf("%d entries, loss %v: %s does not know that %s is leaving", c.n, c.loss, name, vm)
				}
			}
			sim.run(names, at+time.Second, at+2*time.Second)
		}
	}
}

// With links cut at random, a notice reaches every entry to which a path over other
// entries exists.
func TestNoticeReachesAllDespiteCutLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "entries")
		sim, names := newSimulation(n, 3, 0.05, rapid.Uint64Range(0, 1<<20).Draw(t, "seed"))
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
		sim.cut = func(a, b string) bool { return !links[index[a]*n+index[b]] }
		sim.run(names, 0, 12*time.Second)
		sim.step(names[0], 12*time.Second, Notice{VM: "vm", TimeLeft: 25 * time.Second})
		sim.run(names, 12*time.Second, 13*time.Second)
		reachable, frontier := map[int]bool{0: true}, []int{0}
		for len(frontier) > 0 {
			i := frontier[0]
			frontier = frontier[1:]
			for j := range n {
				if links[i*n+j] && !reachable[j] {
					reachable[j] = true
					frontier = append(frontier, j)
				}
			}
		}
		for j := range n {
			if reachable[j] && !sim.tables[names[j]].Leaving("vm") {
				t.Fatalf("%s is reachable but does not know of the notice", names[j])
			}
		}
	})
}

// The entries of a partitioned zone and the others consider each other dead and
// recover when the partition heals. In between they still share the limits.
func TestPartitionedZoneRecovers(t *testing.T) {
	sim, names := newSimulation(8, 4, 0, 1)
	sim.run(names, 0, 3*time.Second)
	first := sim.tables[names[0]]
	zone := first.Self().Zone
	sim.cut = func(a, b string) bool {
		return (sim.tables[a].Self().Zone == zone) != (sim.tables[b].Self().Zone == zone)
	}
	sim.run(names, 3*time.Second, 20*time.Second)
	if inside, all := len(first.Entries(zone)), len(first.Entries("")); inside != 2 || all != 2 {
		t.Fatalf("partitioned: %d live entries in the zone, %d in total, want 2 and 2", inside, all)
	}
	// The other entries may still admit requests, so they keep their shares of the
	// limits until their VMs disappear from the list.
	var vms []ListedVM
	for _, name := range names {
		vms = append(vms, ListedVM{VM: name})
	}
	first.Step(20*time.Second, PlatformList{VMs: vms})
	if n := len(first.SharingEntries()); n != 8 {
		t.Fatalf("partitioned: %d entries share the limits, want 8", n)
	}
	first.Step(20*time.Second, PlatformList{VMs: vms[:7]})
	if n := len(first.SharingEntries()); n != 7 {
		t.Fatalf("with one VM no longer listed %d entries share the limits, want 7", n)
	}
	sim.cut = nil
	sim.run(names, 20*time.Second, 60*time.Second)
	for _, name := range names {
		if n := len(sim.tables[name].Entries("")); n != 8 {
			t.Errorf("%s counts %d live entries after healing, want 8", name, n)
		}
	}
}

// A cut link between two entries makes neither of them dead permanently.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	sim, names := newSimulation(6, 2, 0, 3)
	sim.cut = func(a, b string) bool {
		return (a == names[0] && b == names[1]) || (a == names[1] && b == names[0])
	}
	sim.run(names, 0, 12*time.Second)
	if sim.tables[names[1]].Self().Version == 0 {
		t.Fatal("the suspicion was not refuted")
	}
	sim.cut = nil
	sim.run(names, 12*time.Second, 30*time.Second)
	for _, name := range names {
		if n := len(sim.tables[name].Entries("")); n != 6 {
			t.Errorf("%s counts %d live entries, want 6", name, n)
		}
	}
}

// An entry that is reclaimed is leaving in all tables, also if another entry received
// the notice, and no longer counts as live. After a restart it counts again.
func TestReclaimedEntryIsNotLive(t *testing.T) {
	sim, names := newSimulation(5, 2, 0, 1)
	sim.run(names, 0, time.Second)
	sim.step(names[1], time.Second, Notice{VM: names[0], TimeLeft: 20 * time.Second})
	sim.run(names, time.Second, 2*time.Second)
	for _, name := range names {
		if n := len(sim.tables[name].Entries("")); n != 4 || !sim.tables[name].Leaving(names[0]) {
			t.Errorf("%s counts %d live entries, want 4 and the reclaimed entry leaving", name, n)
		}
	}
	restarted := sim.tables[names[0]].Self()
	restarted.Incarnation, restarted.Leaving = restarted.Incarnation+1, false
	sim.tables[names[0]] = New(Options{Self: restarted, Peers: []Record{sim.tables[names[1]].Self()}, Seed: 9})
	sim.run(names, 2*time.Second, 12*time.Second)
	for _, name := range names {
		if n := len(sim.tables[name].Entries("")); n != 5 {
			t.Errorf("%s counts %d live entries after the restart, want 5", name, n)
		}
	}
}

// Records without a VM, or with an unknown kind or health, add no members.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	table := New(Options{Self: Record{VM: "self", Incarnation: 1}})
	table.Step(0, GossipMessage{From: "x", Request: true, Records: []Record{
		{}, {VM: "a"}, {Kind: "other", VM: "a"}, {Kind: KindEntry, VM: "a", Incarnation: 1, Health: 7}, {Kind: KindBackend, VM: "b", Health: 9, Leaving: true},
	}})
	if n := len(table.Members()); n != 1 {
		t.Fatalf("%d members, want only this entry", n)
	}
}

// BenchmarkHeartbeat measures the traffic and the processor time of a deployment
// without events, per entry and second.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{7, 50, 200, 1100} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			sim, names := newSimulation(n, max(4, n/46), 0, 1)
			sim.countBytes = true
			sim.run(names, 0, time.Second)
			sim.bytes = 0
			now := time.Second
			b.ResetTimer()
			for b.Loop() {
				sim.run(names, now, now+time.Second)
				now += time.Second
			}
			entrySeconds := float64(b.N * n)
			b.ReportMetric(float64(sim.bytes)/entrySeconds, "bytes/node-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/entrySeconds, "µs/node-s")
		})
	}
}
