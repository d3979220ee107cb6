package replication

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// action is one fault or request, followed by some time.
type action struct {
	kind  string
	host  int
	count int
	after int
}

var actionKinds = []string{
	"propose", "propose", "propose", "read", "read", "compact", "run",
	"stop", "crash", "start", "start", "wipe", "freeze", "isolate", "mute", "deafen",
	"lossy", "slow", "slow disk", "power", "heal", "resign", "leave",
}

func drawAction(t *rapid.T) action {
	return action{
		kind:  rapid.SampledFrom(actionKinds).Draw(t, "kind"),
		host:  rapid.IntRange(0, 5).Draw(t, "host"),
		count: rapid.IntRange(1, 12).Draw(t, "count"),
		after: rapid.IntRange(0, 60).Draw(t, "after"),
	}
}

func (w *network) perform(a action) {
	h := w.hosts[a.host%len(w.hosts)]
	switch a.kind {
	case "propose":
		for range a.count {
			for _, h := range w.hosts {
				w.propose(h)
			}
		}
	case "read":
		for _, h := range w.hosts {
			w.read(h)
		}
	case "compact":
		w.compact(h)
	case "stop":
		w.stop(h)
	case "crash":
		h.crashIn = a.count
	case "start":
		if h.node == nil {
			w.start(h)
		}
	case "wipe":
		w.wipe(h)
		w.start(h)
	case "freeze":
		h.frozenUntil = w.now + time.Duration(a.count)*50*time.Millisecond
	case "isolate":
		w.isolate(h, true, true)
	case "mute":
		w.isolate(h, true, false)
	case "deafen":
		w.isolate(h, false, true)
	case "lossy":
		w.loss = float64(a.count) / 40
	case "slow":
		w.slow = float64(a.count) / 40
	case "slow disk":
		w.syncTime = time.Duration(a.count) * 8 * quantum
	case "power":
		for _, h := range w.hosts {
			w.stop(h)
		}
		for _, h := range w.hosts {
			w.start(h)
		}
	case "heal":
		w.heal()
	case "leave":
		for _, other := range w.hosts {
			w.step(other, Leave{ID: h.self.ID})
		}
	case "resign":
		w.step(h, Resign{})
	}
	w.run(time.Duration(a.after) * 2 * quantum)
}

// hasQuorum reports whether enough disks are left to go on: those of a quorum
// of every membership that may be in force.
func (w *network) hasQuorum() bool {
	for _, h := range w.hosts {
		for _, p := range h.node.log.memberships {
			alive := 0
			for _, voter := range p.membership.Voters {
				if w.host(voter.ID.VM).self.ID == voter.ID {
					alive++
				}
			}
			if alive < p.membership.Quorum() {
				return false
			}
		}
	}
	return true
}

// TestFaults runs random faults and requests against all invariants, and
// checks that progress returns where the disks allow it.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 6).Draw(t, "size")
		opts := testOptions()
		if size == 6 && rapid.Bool().Draw(t, "five voters") {
			opts.TargetVoters = 5
		}
		w := newNetwork(rapid.Uint64().Draw(t, "seed"), size, opts)
		w.run(5 * time.Second)
		for _, a := range rapid.SliceOfN(rapid.Custom(drawAction), 10, 80).Draw(t, "actions") {
			w.perform(a)
			if len(w.broken) > 0 {
				t.Fatal(w.broken[0])
			}
		}
		w.heal()
		w.run(15 * time.Second)
		w.checkProgress(t)
		if len(w.broken) > 0 {
			t.Fatal(w.broken[0])
		}
	})
}

// checkProgress proposes and reads once the network is healed.
func (w *network) checkProgress(t interface{ Fatalf(string, ...any) }) {
	if !w.hasQuorum() {
		return
	}
	leader := w.leader()
	if leader == nil {
		t.Fatalf("no leader after healing")
	}
	before, served := len(w.chain), w.served
	w.propose(leader)
	w.read(leader)
	w.run(2 * time.Second)
	if len(w.chain) == before || w.served == served {
		t.Fatalf("no progress after healing: %d commits, %d reads", len(w.chain)-before, w.served-served)
	}
	for _, h := range w.hosts {
		if h.applied+1 != uint64(len(w.chain)) {
			t.Fatalf("%v applied %d of %d after healing", h.self.ID, h.applied, len(w.chain)-1)
		}
	}
	zones := make(map[string]bool)
	voters := leader.node.log.membership().Voters
	for _, voter := range voters {
		zones[voter.Zone] = true
	}
	if len(voters) != w.opts.TargetVoters || len(zones) < min(len(voters), testZones) {
		t.Fatalf("%d voters in %d zones after healing", len(voters), len(zones))
	}
}
