package replication

import (
	"testing"
	"time"
)

// cutOffLearners runs until each of the hosts is a learner by its own log, and cuts
// each off at that moment, before the leader has its acknowledgement.
func (net *network) cutOffLearners(t *testing.T, hosts []*host) {
	t.Helper()
	cutOff := make(map[*host]bool)
	net.runUntil(t, 10*time.Second, func() bool {
		for _, h := range hosts {
			if !cutOff[h] && h.node.log.membership().IsLearner(h.self.ID) {
				net.isolate(h, true, true)
				cutOff[h] = true
			}
		}
		return len(cutOff) == len(hosts)
	})
}

// expectVoters checks that the leader's membership holds this many voters and no
// learner, and that commands are committed.
func (net *network) expectVoters(t *testing.T, seed uint64, want int) {
	t.Helper()
	leader := net.leader()
	if leader == nil {
		t.Fatalf("seed %d: no leader", seed)
	}
	if m := leader.node.log.membership(); len(m.Voters) != want || len(m.Learners) != 0 {
		t.Fatalf("seed %d: %d voters and %d learners, want %d voters and no learner", seed, len(m.Voters), len(m.Learners), want)
	}
	net.checkProgress(t)
	net.expectNoViolations(t)
}

// The hosts of a new log start at the same moment. All but the first are cut off once
// they have the log in which they are learners, and the leader removes them. They
// become voters when the links are back.
func TestLearnersCutOffAfterStart(t *testing.T) {
	for seed := range uint64(10) {
		opts := testOptions()
		opts.MinVoters = 3
		net := newNetwork(seed, 3, opts)
		first := net.hosts[0]
		net.cutOffLearners(t, net.hosts[1:])
		net.runUntil(t, 10*time.Second, func() bool {
			m := first.node.log.membership()
			return len(m.Voters) == 1 && len(m.Learners) == 0
		})
		net.heal()
		net.run(10 * time.Second)
		net.expectVoters(t, seed, 3)
	}
}

// The hosts of a new log start at the same moment. The writes of all but the first take
// up to three times as long as the leader waits for a silent learner.
func TestStartOnSlowDisks(t *testing.T) {
	for seed := range uint64(40) {
		opts := testOptions()
		opts.MinVoters = 3
		net := newNetwork(seed, 3, opts)
		for _, h := range net.hosts[1:] {
			h.extraSyncTime = 3 * opts.ReplaceAfter
		}
		net.run(20 * time.Second)
		net.heal()
		net.run(10 * time.Second)
		net.expectVoters(t, seed, 3)
	}
}

// The first host of a new log pauses, as on a starved VM, while the others are learners.
// When it goes on, it finds them silent and removes them. They become voters all the same.
func TestLeaderPausedAfterStart(t *testing.T) {
	for seed := range uint64(10) {
		opts := testOptions()
		opts.MinVoters = 3
		net := newNetwork(seed, 3, opts)
		net.runUntil(t, 10*time.Second, func() bool {
			m := net.hosts[1].node.log.membership()
			return m.IsLearner(net.hosts[1].self.ID)
		})
		net.hosts[0].pausedUntil = net.now + 2*opts.ReplaceAfter
		net.run(10 * time.Second)
		net.expectVoters(t, seed, 3)
	}
}
