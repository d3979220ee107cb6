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
	opts.TargetVoters, opts.MinVoters = 5, 5
	opts.ReplaceAfter = testReplaceAfter
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
	for seed := range uint64(10) {
		net, leader, others := settledFiveVoters(t, seed)
		returning := others[0]
		net.wipe(others[1])
		net.wipe(returning)
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
	for range 200 {
		net.run(timeStep)
		if m := leader.node.log.membership(); !m.Replacement.IsZero() {
			t.Fatalf("the leader began a replacement beside an earlier version: %v", m.Replacement)
		}
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

// losses counts the hosts that are lost: those that are down, paused or cut off, and those that were within testCatchUp.
type losses struct {
	net   *network
	until map[*host]time.Duration
	// diskUntil is until for lost disks alone.
	diskUntil map[*host]time.Duration
	// returns holds what ends the faults, by the time at which it is due.
	returns []scheduledReturn
}

type scheduledReturn struct {
	at    time.Duration
	apply func()
}

// tolerates reports whether the host may be lost now: fewer than limit are, or it is lost already and its disk need not be lost anew.
func (l *losses) tolerates(h *host, limit int, disk bool) bool {
	count := 0
	for _, until := range l.until {
		if l.net.now < until {
			count++
		}
	}
	already := l.until[h]
	if disk {
		already = l.diskUntil[h]
	}
	return l.net.now < already || count < limit
}

func (l *losses) lose(h *host, lasts time.Duration, back func()) {
	end := l.net.now + lasts
	l.until[h] = max(l.until[h], end+testCatchUp)
	l.returns = append(l.returns, scheduledReturn{end, back})
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
	}
}

// loseDrawn plays a drawn fault unless more than limit hosts would be lost by it. All hosts may lose power at any time.
func (l *losses) loseDrawn(t *rapid.T, limit int) {
	net := l.net
	h := net.hosts[rapid.IntRange(0, len(net.hosts)-1).Draw(t, "host")]
	lasts := time.Duration(rapid.IntRange(0, 300).Draw(t, "lasts")) * timeStep
	start := func() {
		if h.node == nil {
			net.start(h)
		}
	}
	kind := rapid.SampledFrom([]string{"wipe", "wipe", "wipe", "wipe new voter", "stop", "pause", "isolate", "power off", "propose"}).Draw(t, "kind")
	switch {
	case kind == "propose":
		if leader := net.leader(); leader != nil {
			net.propose(leader)
		}
	case kind == "wipe new voter":
		l.wipeNewVoter(lasts)
	case kind == "power off":
		net.powerOff(nil)
		for _, h := range net.hosts {
			l.lose(h, 0, func() {})
		}
	case !l.tolerates(h, limit, kind == "wipe"):
	case kind == "wipe":
		l.diskUntil[h] = net.now + lasts + testCatchUp
		net.wipe(h)
		l.lose(h, lasts, start)
	case kind == "stop":
		net.stop(h)
		l.lose(h, lasts, start)
	case kind == "pause" && h.node != nil:
		h.pausedUntil = net.now + lasts
		l.lose(h, lasts, func() {})
	case kind == "isolate" && h.node != nil:
		net.isolate(h, true, true)
		l.lose(h, lasts, func() { net.isolate(h, false, false) })
	}
}

// wipeNewVoter waits up to a second for a host with a lost disk to become a voter and erases its disk again at that moment.
func (l *losses) wipeNewVoter(lasts time.Duration) {
	net := l.net
	for end := net.now + time.Second; net.now < end; l.run(timeStep) {
		leader := net.leader()
		if leader == nil {
			continue
		}
		voters := leader.node.log.membership().Voters
		newest := net.host(voters[len(voters)-1].ID.VM)
		if len(voters) > 5 && newest != leader && net.now < l.diskUntil[newest] {
			net.wipe(newest)
			l.diskUntil[newest] = net.now + lasts + testCatchUp
			l.lose(newest, lasts, func() {
				if newest.node == nil {
					net.start(newest)
				}
			})
			return
		}
	}
}

// No leader could be elected although never more hosts were lost at a time than a majority of five bears.
func TestQuorumIsLeftAfterToleratedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), 5, fiveVoterOptions())
		net.run(5 * time.Second)
		net.expectProgress(t)
		l := &losses{net: net, until: make(map[*host]time.Duration), diskUntil: make(map[*host]time.Duration)}
		for range rapid.IntRange(3, 25).Draw(t, "faults") {
			l.loseDrawn(t, 2)
			l.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "after")) * timeStep)
		}
		net.expectLeader(t)
	})
}
