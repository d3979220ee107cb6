package replication

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// powerOff cuts the power of all hosts at once, erases the disks of those that are
// named, and starts them all again. Writes that had not been synced are kept or lost
// by chance.
func (net *network) powerOff(wiped []*host) {
	net.packets = nil
	for _, h := range net.hosts {
		net.stop(h)
	}
	for _, h := range wiped {
		net.wipe(h)
	}
	for _, h := range net.hosts {
		net.start(h)
	}
}

// TestPowerLostByAllWithLostDisks checks that no committed entry is lost if all hosts
// lose power at any moment and as many of them lose their disks as the voters
// tolerate, again and again once the log has been repaired.
func TestPowerLostByAllWithLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts, size := testOptions(), rapid.IntRange(3, 4).Draw(t, "size")
		if rapid.Bool().Draw(t, "five voters") {
			opts.TargetVoters, size = 5, rapid.IntRange(5, 6).Draw(t, "larger size")
		}
		tolerated := (opts.TargetVoters - 1) / 2
		net := newNetwork(rapid.Uint64().Draw(t, "seed"), size, opts)
		for range rapid.IntRange(1, 3).Draw(t, "times") {
			net.run(10 * time.Second)
			net.checkProgress(t)
			for range rapid.IntRange(1, 20).Draw(t, "proposals") {
				net.propose(net.leader())
				net.run(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * timeStep)
			}
			first := rapid.IntRange(0, size-1).Draw(t, "first wiped")
			var wiped []*host
			for i := range tolerated {
				wiped = append(wiped, net.hosts[(first+i)%size])
			}
			committed := len(net.committedDigests)
			net.powerOff(wiped)
			net.run(15 * time.Second)
			if leader := net.leader(); leader == nil || int(leader.applied) < committed-1 {
				t.Fatalf("after the loss no leader has applied the %d entries committed before", committed-1)
			}
			if len(net.violations) > 0 {
				t.Fatal(net.violations[0])
			}
		}
		net.checkProgress(t)
	})
}
