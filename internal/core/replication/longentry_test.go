package replication

import (
	"testing"
	"time"
)

// A long entry whose transfer takes several heartbeat intervals is sent to each peer once.
// Copies of it would take up the processors and links that the first one needs.
func TestLongEntryIsNotSentAgainOnItsWay(t *testing.T) {
	const entryBytes = 400 << 10
	for seed := range uint64(10) {
		net, leader, followers := newSettledNetwork(t, seed, 3)
		net.transferRate = 2 << 20
		committed := len(net.committedDigests)
		net.step(leader, Propose{Token: 1 << 40, Data: make([]byte, entryBytes)})
		net.runUntil(t, 2*time.Second, func() bool { return len(net.committedDigests) > committed })
		net.run(time.Second)
		for _, h := range followers {
			if sends := net.sends[entrySend{h.self.ID, uint64(committed), leader.node.term}]; sends != 1 {
				t.Errorf("seed %d: the entry was sent to %v %d times, expected once", seed, h.self.ID, sends)
			}
		}
		net.expectNoViolations(t)
	}
}

// An append that is known not to have arrived is sent again soon, however long its entries are.
func TestUndeliveredEntryIsSentAgainSoon(t *testing.T) {
	net, leader, followers := newSettledNetwork(t, 1, 3)
	net.isolate(followers[0], true, true)
	index := uint64(len(net.committedDigests))
	net.step(leader, Propose{Token: 1 << 40, Data: make([]byte, 4<<20)})
	sent := entrySend{followers[0].self.ID, index, leader.node.term}
	net.runUntil(t, time.Second, func() bool { return net.sends[sent] > 0 })
	net.run(2 * appendRetryHeartbeats * net.opts.HeartbeatInterval)
	if sends := net.sends[sent]; sends != 1 {
		t.Fatalf("the entry was sent %d times before its delivery failed, expected once", sends)
	}
	net.step(leader, Undelivered{To: followers[0].self.ID})
	net.run(2 * appendRetryHeartbeats * net.opts.HeartbeatInterval)
	if sends := net.sends[sent]; sends != 2 {
		t.Errorf("the entry was sent %d times after its delivery had failed, expected twice", sends)
	}
}
