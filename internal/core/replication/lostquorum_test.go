package replication

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Times of the simulated deployment, in the proportions to the election timeout that a real one has.
const (
	testReplaceAfter = 700 * time.Millisecond
	testCatchUp      = 2 * time.Second
)

func fiveVoterOptions() Options {
	opts := testOptions()
	opts.TargetVoters, opts.MinVoters, opts.LostDisks = 5, 5, 2
	opts.ReplaceAfter = testReplaceAfter
	// A learner often has the log before it answers a heartbeat.
	opts.HeartbeatInterval = opts.LeaseDuration / 2
	return opts
}

// settledFiveVoters returns a network of five voters, its leader and the other hosts.
func settledFiveVoters(t *testing.T, seed uint64) (*network, *host, []*host) {
	t.Helper()
	net, leader, others := newSettledNetworkWith(t, seed, 5, fiveVoterOptions())
	net.runUntil(t, 10*time.Second, func() bool { return len(leader.node.log.membership().Voters) == 5 })
	net.run(time.Second)
	return net, leader, others
}

// expectLeader checks that a leader is elected and makes progress once all hosts run.
func (net *network) expectLeader(t interface {
	Helper()
	Fatalf(string, ...any)
}) {
	t.Helper()
	net.heal()
	net.run(12 * time.Second)
	if net.leader() == nil {
		t.Fatalf("no leader: %s", net.describeVoters())
	}
	net.expectProgress(t)
	if len(net.violations) > 0 {
		t.Fatalf("%s", net.violations[0])
	}
}

// describeVoters names the voters in each log and marks those whose disk is lost.
func (net *network) describeVoters() (text string) {
	for _, h := range net.hosts {
		text += "\n" + h.self.ID.VM + ":"
		for _, voter := range h.node.log.membership().Voters {
			text += " " + voter.ID.VM
			if !net.exists(voter.ID) {
				text += "(lost)"
			}
		}
	}
	return text
}

// Two of five VMs lose their disks, and one of them again as soon as its new replica votes: no leader was elected any more.
func TestVoterLostAgainWhileItIsReplaced(t *testing.T) {
	for seed := range uint64(20) {
		net, leader, others := settledFiveVoters(t, seed)
		returning := others[0]
		net.wipe(others[1])
		net.wipe(returning)
		if seed%2 == 1 {
			// The lost voter no longer counts as live when its VM returns.
			net.run(time.Second)
		}
		net.start(returning)
		net.runUntil(t, 10*time.Second, func() bool { return leader.node.log.membership().IsVoter(returning.self.ID) })
		net.wipe(returning)
		net.expectLeader(t)
	}
}

// An earlier version counts a majority of all voters during a replacement, which is no quorum of the versions that know it.
func TestNoReplacementBesideEarlierVersion(t *testing.T) {
	net, leader, others := settledFiveVoters(t, 1)
	net.earlier = others[1]
	net.run(time.Second)
	net.wipe(others[0])
	net.start(others[0])
	added := false
	for range 200 {
		net.run(timeStep)
		m := leader.node.log.membership()
		if !m.Replacement.IsZero() {
			t.Fatalf("the leader began a replacement beside an earlier version: %v", m.Replacement)
		}
		added = added || len(m.Voters) == 6
	}
	if !added {
		t.Error("the leader did not add a voter by the earlier rule")
	}
	if m := leader.node.log.membership(); len(m.Voters) != 5 || !m.IsVoter(others[0].self.ID) {
		t.Errorf("the voter with a lost disk was not replaced: %s", net.describeVoters())
	}
	net.expectLeader(t)
}

// A replica that was only silent lost its vote to one that replaced a lost disk, whose vote stayed in the log.
func TestSilentVoterIsNotReplacedBeforeLostOne(t *testing.T) {
	for seed := range uint64(10) {
		net, leader, _ := settledFiveVoters(t, seed)
		voters := leader.node.log.membership().Voters
		silent, returning := net.host(voters[0].ID.VM), net.host(voters[4].ID.VM)
		if silent == leader {
			silent = net.host(voters[1].ID.VM)
		}
		if returning == leader {
			returning = net.host(voters[3].ID.VM)
		}
		silent.pausedUntil = net.now + time.Minute
		net.run(testReplaceAfter + 200*time.Millisecond)
		lost := returning.self.ID
		net.wipe(returning)
		net.start(returning)
		net.runUntil(t, 10*time.Second, func() bool {
			m := leader.node.log.membership()
			return m.IsVoter(returning.self.ID) && len(m.Voters) == 5
		})
		if m := leader.node.log.membership(); m.IsVoter(lost) || !m.IsVoter(silent.self.ID) {
			t.Fatalf("seed %d: the voter with a lost disk is kept in place of a silent one: %s", seed, net.describeVoters())
		}
	}
}

// A new leader took voters that had not answered its heartbeats yet for an earlier version, and added a sixth voter.
func TestNewLeaderDoesNotTakeVotersForEarlierVersion(t *testing.T) {
	for seed := range uint64(20) {
		net, leader, others := newSettledNetworkWith(t, seed, 6, fiveVoterOptions())
		net.runUntil(t, 10*time.Second, func() bool { return len(leader.node.log.membership().Learners) == 1 })
		net.run(time.Second)
		leaving := others[0]
		net.lossRate = 0.3
		net.step(leader, Resign{})
		net.runUntil(t, 10*time.Second, func() bool {
			for _, h := range net.hosts {
				net.step(h, Leave{ID: leaving.self.ID})
			}
			current := net.leader()
			if current == nil {
				return false
			}
			m := current.node.log.membership()
			if len(m.Voters) > 5 && m.Replacement.IsZero() {
				t.Fatalf("seed %d: %d voters without a replacement", seed, len(m.Voters))
			}
			return !m.IsVoter(leaving.self.ID)
		})
	}
}

// A node that votes by the logs of others, but not by its own, had the longest log: it refused its vote and never campaigned.
func TestLongestLogOfNonVoterDoesNotPreventElection(t *testing.T) {
	net := newNetwork(1, 6, fiveVoterOptions())
	net.packets = nil
	outgoing, begins, common, incoming := net.hosts[0], net.hosts[1], net.hosts[2], net.hosts[3]
	before := Membership{Learners: []Member{incoming.self}}
	for _, h := range net.hosts {
		if h != incoming {
			before.Voters = append(before.Voters, h.self)
		}
	}
	next := before.withReplacement(incoming.self, outgoing.self.ID)
	if err := before.checkChange(&next); err != nil {
		t.Fatal(err)
	}
	// The leader of term 1 appends a replacement of a live voter on its own disk alone. That of term 2, elected by the
	// other four, appends its first entry on its own disk and the learner's. Then it and a voter lose their disks.
	first := Entry{Index: 1, Term: 1, Kind: EntryNoop}
	restore := func(h *host, hard HardState, entries ...Entry) {
		h.disk = disk{hardState: hard, snapshot: &Snapshot{Membership: before}, entries: append([]Entry{first}, entries...)}
		net.start(h)
	}
	elected := HardState{Term: 2, Vote: net.hosts[4].self.ID, Commit: 1}
	restore(outgoing, elected)
	restore(common, elected)
	restore(begins, HardState{Term: 1, Vote: begins.self.ID, Commit: 1}, Entry{Index: 2, Term: 1, Kind: EntryMembership, Membership: &next})
	restore(incoming, HardState{Term: 2, Commit: 1}, Entry{Index: 2, Term: 2, Kind: EntryNoop})
	for _, lost := range net.hosts[4:] {
		net.wipe(lost)
		net.start(lost)
	}
	net.run(30 * time.Second)
	if net.leader() == nil {
		t.Fatalf("no leader: %s", net.describeVoters())
	}
	net.expectNoViolations(t)
}

// losses plays faults of hosts, and tells whose disks count as lost.
type losses struct {
	net *network
	// lost holds the hosts whose disks count as lost, with the time that they have run since, beside a majority of all hosts
	// that have kept theirs. After testCatchUp they don't count any more.
	lost map[*host]time.Duration
	// cutOff holds the hosts that no other reaches.
	cutOff map[*host]bool
	// returns holds what ends the faults, by the time at which it is due.
	returns []scheduledReturn
	// hasQuorum tells whether the hosts that run and have kept their disks are a quorum. By default, a majority of the target is.
	hasQuorum func(kept func(*host) bool) bool
}

type scheduledReturn struct {
	at    time.Duration
	apply func()
}

func (l *losses) after(d time.Duration, apply func()) {
	l.returns = append(l.returns, scheduledReturn{l.net.now + d, apply})
}

// wipe erases the disk of a host, which starts again later, unless the disks of limit other hosts count as lost.
func (l *losses) wipe(h *host, limit int, lasts time.Duration) {
	if _, lost := l.lost[h]; !lost && len(l.lost) >= limit {
		return
	}
	l.lost[h] = 0
	l.net.wipe(h)
	l.after(lasts, func() { l.start(h) })
}

func (l *losses) start(h *host) {
	if h.node == nil {
		l.net.start(h)
	}
}

func (l *losses) run(d time.Duration) {
	for end := l.net.now + d; l.net.now < end; {
		l.net.run(timeStep)
		var later []scheduledReturn
		for _, r := range l.returns {
			if r.at > l.net.now {
				later = append(later, r)
				continue
			}
			r.apply()
		}
		l.returns = later
		l.countCatchUp()
		l.checkVoters()
	}
}

// checkVoters checks that no leader has more voters than the target without a replacement in progress.
func (l *losses) checkVoters() {
	for _, h := range l.net.hosts {
		if h.node == nil || h.node.leaderState == nil {
			continue
		}
		if m := h.node.log.membership(); len(m.Voters) > l.net.opts.TargetVoters && m.Replacement.IsZero() {
			l.net.reportViolation("%v leads with %d voters and no replacement", h.self.ID, len(m.Voters))
		}
	}
}

func (l *losses) countCatchUp() {
	runs := func(h *host) bool { return h.node != nil && l.net.now >= h.pausedUntil && !l.cutOff[h] }
	isKept := func(h *host) bool { _, lost := l.lost[h]; return !lost && runs(h) }
	kept := 0
	for _, h := range l.net.hosts {
		if isKept(h) {
			kept++
		}
	}
	if kept <= l.net.opts.TargetVoters/2 || l.hasQuorum != nil && !l.hasQuorum(isKept) {
		return
	}
	for h := range l.lost {
		if runs(h) {
			l.lost[h] += timeStep
		}
		if l.lost[h] >= testCatchUp {
			delete(l.lost, h)
		}
	}
}

// playDrawn plays a drawn fault. Any host may be silent at any time, and the disks of limit of them lost.
func (l *losses) playDrawn(t *rapid.T, limit int) {
	net := l.net
	h := net.hosts[rapid.IntRange(0, len(net.hosts)-1).Draw(t, "host")]
	lasts := time.Duration(rapid.IntRange(0, 300).Draw(t, "lasts")) * timeStep
	kinds := []string{"wipe", "wipe", "wipe", "wipe new voter", "stop", "pause", "cut off", "power off", "propose"}
	switch rapid.SampledFrom(kinds).Draw(t, "kind") {
	case "propose":
		if leader := net.leader(); leader != nil {
			net.propose(leader)
		}
	case "wipe":
		l.wipe(h, limit, lasts)
	case "wipe new voter":
		l.wipeNewVoter(limit, lasts)
	case "power off":
		net.powerOff(nil)
	case "stop":
		net.stop(h)
		l.after(lasts, func() { l.start(h) })
	case "pause":
		h.pausedUntil = net.now + lasts
	case "cut off":
		l.cutOff[h] = true
		net.isolate(h, true, true)
		l.after(lasts, func() {
			delete(l.cutOff, h)
			net.isolate(h, false, false)
			for other := range l.cutOff {
				net.isolate(other, true, true)
			}
		})
	}
}

// wipeNewVoter waits up to a second for a host with a lost disk to become a voter and erases its disk again at that moment.
func (l *losses) wipeNewVoter(limit int, lasts time.Duration) {
	net := l.net
	for end := net.now + time.Second; net.now < end; l.run(timeStep) {
		leader := net.leader()
		if leader == nil {
			continue
		}
		voters := leader.node.log.membership().Voters
		newest := net.host(voters[len(voters)-1].ID.VM)
		if _, lost := l.lost[newest]; lost && len(voters) > net.opts.TargetVoters && newest != leader {
			l.wipe(newest, limit, lasts)
			return
		}
	}
}

// No leader could be elected although never more disks were lost at a time than a majority of the voters bears.
func TestQuorumIsLeftAfterToleratedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := fiveVoterOptions()
		if rapid.Bool().Draw(t, "three voters") {
			opts.TargetVoters, opts.MinVoters, opts.LostDisks = 3, 3, 1
		}
		size := opts.TargetVoters + rapid.IntRange(0, 1).Draw(t, "spare hosts")
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), size, opts)
		net.run(5 * time.Second)
		net.expectProgress(t)
		l := &losses{net: net, lost: make(map[*host]time.Duration), cutOff: make(map[*host]bool)}
		for range rapid.IntRange(3, 25).Draw(t, "faults") {
			l.playDrawn(t, (opts.TargetVoters-1)/2)
			l.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "after")) * timeStep)
		}
		net.expectLeader(t)
	})
}

// A new log grows from one voter to the target. Its second voter loses its disk while there are two: nothing is ever committed again.
func TestSecondVoterLostWhileTheLogGrows(t *testing.T) {
	net := newNetwork(1, 5, fiveVoterOptions())
	net.runUntil(t, 10*time.Second, func() bool {
		leader := net.leader()
		return leader != nil && len(leader.node.log.membership().Voters) == 2
	})
	second := net.host(net.leader().node.log.membership().Voters[1].ID.VM)
	net.wipe(second)
	net.start(second)
	net.expectLeader(t)
}
