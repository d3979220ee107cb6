package replication

import "testing"

// A node's own word is older than a later membership, and newer than an earlier one. A peer of an
// earlier version names no address.
func TestAddressOf(t *testing.T) {
	member := func(vm string, incarnation uint64, address string) Member {
		return Member{ID: NodeID{VM: vm, Incarnation: incarnation}, Address: address}
	}
	opts := testOptions()
	opts.Self = member("vm-0", 1, "self")
	node, err := New(opts, Bootstrap([]Member{opts.Self, member("vm-1", 1, "member-1")}))
	if err != nil {
		t.Fatal(err)
	}
	expect := func(vm string, incarnation uint64, want string) {
		t.Helper()
		if got := node.AddressOf(NodeID{VM: vm, Incarnation: incarnation}); got != want {
			t.Errorf("address of %s/%d: got %q, want %q", vm, incarnation, got, want)
		}
	}
	hear := func(vm string, incarnation uint64, address string) {
		from := NodeID{VM: vm, Incarnation: incarnation}
		node.Step(0, Receive{Message: Message{Kind: MessagePreVote, From: from, To: opts.Self.ID}, Address: address})
	}
	expect("vm-1", 1, "member-1")
	expect("vm-1", 2, "member-1")
	expect("vm-2", 1, "")
	hear("vm-1", 1, "moved-1")
	hear("vm-2", 1, "")
	expect("vm-1", 1, "moved-1")
	expect("vm-2", 1, "")
	hear("vm-2", 1, "stranger-2")
	expect("vm-2", 1, "stranger-2")
	later := Membership{Voters: []Member{opts.Self, member("vm-1", 1, "member-1-later")}}
	node.log.push(Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &later})
	expect("vm-1", 1, "member-1-later")
	expect("vm-2", 1, "stranger-2")
	for i := range uint64(3 * maxHeardAddresses) {
		hear("vm-3", i+1, "many")
	}
	if len(node.heard) > maxHeardAddresses {
		t.Errorf("%d addresses are kept", len(node.heard))
	}
}
