package replication

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets the flags of property tests that the command line does not set: a
// fixed seed, the number of checks, and no files on failure.
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

// action is a fault or a request, followed by a period of simulated time.
type action struct {
	kind string
	host int
	// count is the number of proposals, or the strength or duration of a fault.
	count int
	// after is the period that follows, in units of two time steps.
	after int
}

var actionKinds = []string{
	"propose", "propose", "propose", "read", "read", "compact", "run",
	"stop", "crash", "start", "start", "wipe", "pause", "isolate", "block outgoing", "block incoming",
	"lose messages", "delay messages", "slow disk", "restart all", "heal", "resign", "leave",
}

func drawAction(t *rapid.T) action {
	return action{
		kind:  rapid.SampledFrom(actionKinds).Draw(t, "kind"),
		host:  rapid.IntRange(0, 5).Draw(t, "host"),
		count: rapid.IntRange(1, 12).Draw(t, "count"),
		after: rapid.IntRange(0, 60).Draw(t, "after"),
	}
}

func (net *network) runAction(a action) {
	h := net.hosts[a.host%len(net.hosts)]
	switch a.kind {
	case "propose":
		for range a.count {
			for _, h := range net.hosts {
				net.propose(h)
			}
		}
	case "read":
		for _, h := range net.hosts {
			net.read(h)
		}
	case "compact":
		net.compact(h)
	case "stop":
		net.stop(h)
	case "crash":
		h.effectsUntilCrash = a.count
	case "start":
		if h.node == nil {
			net.start(h)
		}
	case "wipe":
		net.wipe(h)
		net.start(h)
	case "pause":
		h.pausedUntil = net.now + time.Duration(a.count)*50*time.Millisecond
	case "isolate":
		net.isolate(h, true, true)
	case "block outgoing":
		net.isolate(h, true, false)
	case "block incoming":
		net.isolate(h, false, true)
	case "lose messages":
		net.lossRate = float64(a.count) / 40
	case "delay messages":
		net.delayRate = float64(a.count) / 40
	case "slow disk":
		net.maxSyncTime = time.Duration(a.count) * 8 * timeStep
	case "restart all":
		for _, h := range net.hosts {
			net.stop(h)
		}
		for _, h := range net.hosts {
			net.start(h)
		}
	case "heal":
		net.heal()
	case "leave":
		for _, other := range net.hosts {
			net.step(other, Leave{ID: h.self.ID})
		}
	case "resign":
		net.step(h, Resign{})
	}
	net.run(time.Duration(a.after) * 2 * timeStep)
}

// hasQuorum reports whether the remaining disks suffice for progress: those of a
// quorum of every membership that may be in force.
func (net *network) hasQuorum() bool {
	for _, h := range net.hosts {
		memberships := h.node.log.memberships
		for i, m := range memberships {
			replaced := i+1 < len(memberships) && memberships[i+1].index <= h.node.log.commit
			if !replaced && !m.membership.HasQuorum(net.exists) {
				return false
			}
		}
	}
	return true
}

// exists reports whether a host still has the disk of this incarnation.
func (net *network) exists(id NodeID) bool { return net.host(id.VM).self.ID == id }

// TestRandomFaults checks all invariants under random faults and requests, and
// that progress returns afterwards if enough disks are left.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 6).Draw(t, "size")
		opts := testOptions()
		if size == 6 && rapid.Bool().Draw(t, "five voters") {
			opts.TargetVoters = 5
		}
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), size, opts)
		net.run(5 * time.Second)
		for _, a := range rapid.SliceOfN(rapid.Custom(drawAction), 10, 80).Draw(t, "actions") {
			net.runAction(a)
			if len(net.violations) > 0 {
				t.Fatal(net.violations[0])
			}
		}
		net.heal()
		net.run(15 * time.Second)
		net.checkProgress(t)
		if len(net.violations) > 0 {
			t.Fatal(net.violations[0])
		}
	})
}

// checkProgress checks on a healed network that a proposal is committed, a read
// is answered, all hosts apply all entries, and the voters are complete and spread
// over zones.
func (net *network) checkProgress(t interface{ Fatalf(string, ...any) }) {
	if net.hasQuorum() {
		net.expectProgress(t)
	}
}

// expectProgress is checkProgress without regard to the remaining disks.
func (net *network) expectProgress(t interface{ Fatalf(string, ...any) }) {
	leader := net.leader()
	if leader == nil {
		t.Fatalf("no leader after healing")
	}
	before, readsServed := len(net.committedDigests), net.readsServed
	net.propose(leader)
	net.read(leader)
	net.run(2 * time.Second)
	if len(net.committedDigests) == before || net.readsServed == readsServed {
		t.Fatalf("no progress after healing: %d commits, %d reads", len(net.committedDigests)-before, net.readsServed-readsServed)
	}
	for _, h := range net.hosts {
		if h.applied+1 != uint64(len(net.committedDigests)) {
			t.Fatalf("%v applied %d of %d after healing", h.self.ID, h.applied, len(net.committedDigests)-1)
		}
	}
	zones := make(map[string]bool)
	voters := leader.node.log.membership().Voters
	for _, voter := range voters {
		zones[voter.Zone] = true
	}
	if len(voters) != net.opts.TargetVoters || len(zones) < min(len(voters), testZoneCount) {
		t.Fatalf("got %d voters in %d zones after healing, want the target number, spread over zones", len(voters), len(zones))
	}
}
