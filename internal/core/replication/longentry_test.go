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
