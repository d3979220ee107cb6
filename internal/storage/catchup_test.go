package storage

import (
	"testing"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

const catchUpEntries = 10_000

// benchNode is a replication node. Without a log, its writes count as synced
// immediately.
type benchNode struct {
	b    *testing.B
	node *replication.Node
	log  *Log
	out  []replication.Message
}

func newBenchNode(b *testing.B, vm string, incarnation uint64, log *Log, bootstrap bool) *benchNode {
	self := replication.Member{ID: replication.NodeID{VM: vm, Incarnation: incarnation}}
	var restored replication.Restored
	if bootstrap {
		restored = replication.Bootstrap([]replication.Member{self})
	}
	node, err := replication.New(replication.Options{Self: self, RetainEntries: 2 * catchUpEntries}, restored)
	if err != nil {
		b.Fatal(err)
	}
	return &benchNode{b: b, node: node, log: log}
}

func (n *benchNode) step(now time.Duration, ev replication.Event) {
	effects := n.node.Step(now, ev)
	n.out = append(n.out, effects.Send...)
	if effects.Persist == nil {
		return
	}
	if n.log != nil {
		if err := n.log.Write(effects.Persist); err != nil {
			n.b.Fatal(err)
		}
	}
	n.step(now, replication.Persisted{Sequence: effects.Persist.Sequence})
}

// deliver sends the queued messages of one node to another through the codec and
// returns their encoded size.
func deliver(now time.Duration, from, to *benchNode) (bytes int) {
	messages := from.out
	from.out = nil
	for _, m := range messages {
		data, err := codec.EncodeMessage(m)
		if err != nil {
			from.b.Fatal(err)
		}
		got, err := codec.DecodeMessage(data)
		if err != nil {
			from.b.Fatal(err)
		}
		bytes += len(data)
		to.step(now, replication.Receive{Message: got})
	}
	return bytes
}

// BenchmarkCatchUp measures how an empty node catches up with a log of 10,000
// commands, with encoded messages and a real disk.
func BenchmarkCatchUp(b *testing.B) {
	leader := newBenchNode(b, "vm-1", 1, nil, true)
	now := time.Duration(0)
	for leader.node.Status().Role != replication.RoleLeader {
		now += time.Second
		leader.step(now, replication.Tick{})
	}
	for range catchUpEntries {
		leader.step(now, replication.Propose{Data: make([]byte, benchCommandBytes)})
	}
	bytes, rounds := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		log, err := Open(b.TempDir(), Options{})
		if err != nil {
			b.Fatal(err)
		}
		learner := newBenchNode(b, "vm-2", log.Incarnation(), log, false)
		member := replication.Member{ID: replication.NodeID{VM: "vm-2", Incarnation: log.Incarnation()}}
		leader.step(now, replication.Join{Member: member})
		for learner.node.Status().Commit < leader.node.Status().Commit {
			now += 100 * time.Millisecond
			leader.step(now, replication.Tick{})
			bytes += deliver(now, leader, learner)
			bytes += deliver(now, learner, leader)
		}
		log.Close()
		rounds++
	}
	b.ReportMetric(float64(bytes)/float64(rounds)/catchUpEntries, "wire-B/entry")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds)/catchUpEntries, "ns/entry")
}
