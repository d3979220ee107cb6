package codec

import (
	"reflect"
	"testing"

	"waxwingcart/internal/core/replication"
)

func exampleMessages() []replication.Message {
	id := func(vm string) replication.NodeID { return replication.NodeID{VM: vm, Incarnation: 7} }
	membership := replication.Membership{
		Voters:   []replication.Member{{ID: id("vm-1"), Zone: "tvm", Address: "127.0.0.1:7000"}},
		Learners: []replication.Member{{ID: id("vm-2")}},
	}
	replacement := replication.Membership{
		Voters:      []replication.Member{{ID: id("vm-1")}, {ID: id("vm-2")}},
		Replacement: replication.Replacement{Outgoing: id("vm-1"), Incoming: id("vm-2")},
	}
	entries := []replication.Entry{
		{Index: 5, Term: 2, Kind: replication.EntryNoop},
		{Index: 6, Term: 2, Kind: replication.EntryCommand, Data: []byte("x")},
		{Index: 7, Term: 3, Kind: replication.EntryMembership, Membership: &membership},
		{Index: 8, Term: 3, Kind: replication.EntryMembership, Membership: &replacement},
	}
	return []replication.Message{
		{Kind: replication.MessageAppend, From: id("vm-1"), To: id("vm-2"), Term: 3, PrevIndex: 4, PrevTerm: 2, Entries: entries, Commit: 5},
		{Kind: replication.MessageAppendReply, From: id("vm-2"), To: id("vm-1"), Term: 3, Rejected: true, PrevIndex: 4, Index: 2},
		{Kind: replication.MessageHeartbeat, From: id("vm-1"), To: id("vm-2"), Term: 3, Round: 9},
		{Kind: replication.MessageHeartbeatReply, From: id("vm-2"), To: id("vm-1"), Term: 3, Round: 9, Replaces: true},
		{Kind: replication.MessageVoteReply, From: id("vm-2"), To: id("vm-1"), Term: 3, Granted: true},
		{Kind: replication.MessagePreVoteReply, From: id("vm-2"), To: id("vm-1"), Term: 3, Refusal: replication.VoteRefusedLog},
		{Kind: replication.MessageSnapshot, From: id("vm-1"), To: id("vm-2"), Term: 3, Offset: 4, Size: 11, Snapshot: &replication.Snapshot{
			Index: 9, Term: 2, Membership: membership, Data: []byte("state"),
		}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for _, m := range exampleMessages() {
		data, err := EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeMessage(data)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, %v, want %+v", got, err, m)
		}
	}
}

// FuzzDecodeMessage checks that a message that decodes stays the same when it is
// encoded and decoded again.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range exampleMessages() {
		data, err := EncodeMessage(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		again, err := EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeMessage(again); err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, %v, want %+v", got, err, m)
		}
	})
}

func BenchmarkEncodeAppend(b *testing.B) {
	m := exampleMessages()[0]
	m.Entries = nil
	const entries = 64
	for i := range uint64(entries) {
		m.Entries = append(m.Entries, replication.Entry{Index: m.PrevIndex + 1 + i, Term: 3, Kind: replication.EntryCommand, Data: make([]byte, 256)})
	}
	b.ReportAllocs()
	for b.Loop() {
		data, err := EncodeMessage(m)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/entries, "wire-B/entry")
	}
}
