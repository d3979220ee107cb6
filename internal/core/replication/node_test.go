package replication

import (
	"testing"
	"time"
)

func member(vm string) Member { return Member{ID: NodeID{VM: vm, Incarnation: 1}} }

// TestConflictDuringWrite checks that a write whose entries a new leader replaced
// before it was synced does not make the new entries count as synced.
func TestConflictDuringWrite(t *testing.T) {
	n, err := New(Options{Self: member("a")}, Bootstrap([]Member{member("a"), member("b"), member("c")}))
	if err != nil {
		t.Fatal(err)
	}
	entries := func(term uint64, count int) Event {
		m := Message{Kind: MessageAppend, From: member("b").ID, To: n.self(), Term: term}
		for i := range count {
			m.Entries = append(m.Entries, Entry{Index: uint64(i + 1), Term: term, Kind: EntryCommand})
		}
		return Receive{Message: m}
	}
	first := n.Step(0, entries(1, 4)).Persist
	n.Step(0, entries(2, 2))
	second := n.Step(0, Persisted{Sequence: first.Sequence})
	if n.log.stable != 0 || len(second.Send) > 0 {
		t.Fatalf("after the first write: %d entries count as synced and %+v was sent, want none", n.log.stable, second.Send)
	}
	last := n.Step(0, Persisted{Sequence: second.Persist.Sequence})
	if n.log.stable != 2 || len(last.Send) != 1 || last.Send[0].Index != 2 {
		t.Fatalf("after the second write: %d entries count as synced and %+v was sent, want 2 and a reply for index 2", n.log.stable, last.Send)
	}
}

// TestCompactRetains checks which entries compaction keeps under the limits on
// their number and size.
func TestCompactRetains(t *testing.T) {
	for _, c := range []struct {
		retain      uint64
		retainBytes int
		wantBase    uint64
	}{
		{3, 1 << 20, 4},
		{100, 1 << 20, 0},
		{100, 2 * (10 + entryOverheadBytes), 5},
		{100, 1, 7},
	} {
		l := newEntryLog(Bootstrap([]Member{member("a")}))
		for i := range uint64(9) {
			l.push(Entry{Index: i + 1, Term: 1, Data: make([]byte, 10)})
		}
		l.truncate(9)
		l.commit = 7
		l.compact(&Snapshot{Index: 7, Term: 1}, c.retain, c.retainBytes)
		want := int(8-c.wantBase) * (10 + entryOverheadBytes)
		if l.baseIndex != c.wantBase || l.lastIndex() != 8 || l.bytes != want {
			t.Errorf("%+v: got base %d, last index %d and %d bytes, want the base in wantBase, last index 8 and the size of the kept entries", c, l.baseIndex, l.lastIndex(), l.bytes)
		}
	}
}

// TestCheckChange checks that a membership change is allowed only if it is well
// formed and adds or removes at most one voter.
func TestCheckChange(t *testing.T) {
	members := func(vms string) (list []Member) {
		for _, vm := range vms {
			list = append(list, member(string(vm)))
		}
		return list
	}
	for _, c := range []struct {
		voters, nextVoters, nextLearners string
		ok                               bool
	}{
		{"abc", "abc", "d", true},
		{"abc", "abcd", "", true},
		{"abc", "ab", "c", true},
		{"abc", "abd", "", false},
		{"abc", "abcde", "", false},
		{"a", "", "a", false},
		{"abc", "abc", "c", false},
		{"abc", "abcc", "", false},
	} {
		old := Membership{Voters: members(c.voters)}
		next := Membership{Voters: members(c.nextVoters), Learners: members(c.nextLearners)}
		if err := old.checkChange(&next); (err == nil) != c.ok {
			t.Errorf("change from voters %q to voters %q and learners %q: unexpected result %v", c.voters, c.nextVoters, c.nextLearners, err)
		}
	}
}

// Any two quorums share a voter if the memberships follow each other, also in the middle of a replacement.
func TestQuorumsOfSuccessiveMembershipsIntersect(t *testing.T) {
	voters := func(vms string, outgoing, incoming string) Membership {
		m := Membership{}
		for _, vm := range vms {
			m.Voters = append(m.Voters, member(string(vm)))
		}
		if outgoing != "" {
			m.Replacement = Replacement{Outgoing: member(outgoing).ID, Incoming: member(incoming).ID}
		}
		return m
	}
	for _, c := range []struct {
		name         string
		before, next Membership
		ok           bool
	}{
		{"begin", voters("abcde", "", ""), voters("abcdef", "a", "f"), true},
		{"end", voters("abcdef", "a", "f"), voters("bcdef", "", ""), true},
		{"give up", voters("abcdef", "a", "f"), voters("abcde", "", ""), true},
		{"begin with four", voters("abcd", "", ""), voters("abcde", "a", "e"), true},
		{"remove another voter", voters("abcdef", "a", "f"), voters("acdef", "a", "f"), false},
		{"remove another voter at the end", voters("abcdef", "a", "f"), voters("acdef", "", ""), false},
		{"add another voter", voters("abcdef", "a", "f"), voters("abcdefg", "a", "f"), false},
		{"replace another voter", voters("abcdef", "a", "f"), voters("abcdef", "b", "f"), false},
		{"forget the replacement", voters("abcdef", "a", "f"), voters("abcdef", "", ""), false},
		{"replace by an earlier voter", voters("abcde", "", ""), voters("abcdef", "a", "b"), false},
		{"replace an unknown voter", voters("abcde", "", ""), voters("abcdef", "g", "f"), false},
	} {
		if err := c.before.checkChange(&c.next); (err == nil) != c.ok {
			t.Errorf("%s: unexpected result %v", c.name, err)
		}
		if c.ok && !quorumsIntersect(&c.before, &c.next) {
			t.Errorf("%s: there are quorums that share no voter", c.name)
		}
	}
}

// quorumsIntersect tries all sets of the voters a to g.
func quorumsIntersect(a, b *Membership) bool {
	agreeing := func(set int) func(NodeID) bool {
		return func(id NodeID) bool { return set>>(id.VM[0]-'a')&1 == 1 }
	}
	for set := range 1 << 7 {
		if a.HasQuorum(agreeing(set)) && b.HasQuorum(agreeing(^set)) {
			return false
		}
	}
	return true
}

// TestNewRejectsInvalidInput checks that New rejects options and restored states
// that are inconsistent.
func TestNewRejectsInvalidInput(t *testing.T) {
	self := member("a")
	for name, opts := range map[string]Options{
		"no incarnation":         {Self: Member{ID: NodeID{VM: "a"}}},
		"lease outlives timeout": {Self: self, ElectionTimeout: time.Second, LeaseDuration: time.Second},
		"heartbeats too rare":    {Self: self, HeartbeatInterval: time.Second},
		"clocks out of bounds":   {Self: self, MaxClockDrift: 0.5},
	} {
		if _, err := New(opts, Restored{}); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
	for name, restored := range map[string]Restored{
		"gap":               {Entries: []Entry{{Index: 2}}},
		"commit beyond log": {HardState: HardState{Commit: 1}},
	} {
		if _, err := New(Options{Self: self}, restored); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}
