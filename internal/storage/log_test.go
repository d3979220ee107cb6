package storage

import (
	"testing"
	"time"

	"waxwingcart/internal/core/replication"
)

// TestSingleVoter runs a single-voter node on a real directory, and restarts it
// once.
func TestSingleVoter(t *testing.T) {
	dir := t.TempDir()
	for start := range 2 {
		l, err := Open(dir, Options{})
		if err != nil {
			t.Fatal(err)
		}
		self := replication.Member{
			ID:   replication.NodeID{VM: "vm-1", Incarnation: l.Incarnation()},
			Zone: "kochi-a",
		}
		if l.Empty() {
			if start != 0 {
				t.Fatal("data directory is empty after a restart")
			}
			first := replication.Bootstrap([]replication.Member{self})
			if err := l.SaveSnapshot(*first.Snapshot); err != nil {
				t.Fatal(err)
			}
		}
		n, err := replication.New(replication.Options{Self: self}, l.Restored())
		if err != nil {
			t.Fatal(err)
		}
		commands := runSingleNode(t, n, l)
		if commands != start+1 {
			t.Fatalf("start %d: %d commands committed, want %d", start, commands, start+1)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// runSingleNode proposes one command and returns the number of committed
// commands, including those restored from the log.
func runSingleNode(t *testing.T, n *replication.Node, l *Log) int {
	t.Helper()
	commands := 0
	proposed := false
	step := func(now time.Duration, ev replication.Event) {
		queue := []replication.Event{ev}
		for len(queue) > 0 {
			effects := n.Step(now, queue[0])
			queue = queue[1:]
			if effects.Persist != nil {
				if err := l.Write(effects.Persist); err != nil {
					t.Fatal(err)
				}
				queue = append(queue, replication.Persisted{Sequence: effects.Persist.Sequence})
			}
			for _, e := range effects.Committed {
				if e.Kind == replication.EntryCommand {
					commands++
				}
			}
		}
	}
	for i := range 100 {
		now := time.Duration(i) * 50 * time.Millisecond
		step(now, replication.Tick{})
		if !proposed && n.Status().Role == replication.RoleLeader {
			proposed = true
			step(now, replication.Propose{Token: 1, Data: []byte("command")})
		}
	}
	if until, ok := n.LeaseUntil(); !ok || until <= 99*50*time.Millisecond {
		t.Fatalf("lease until %v, %t; want one beyond the last tick", until, ok)
	}
	return commands
}

// TestSnapshotDuringWrites saves snapshots while another goroutine writes. It
// checks the restored state, and that obsolete segments are removed.
func TestSnapshotDuringWrites(t *testing.T) {
	const total = 300
	dir := t.TempDir()
	l, err := Open(dir, Options{SegmentBytes: 500})
	if err != nil {
		t.Fatal(err)
	}
	written := make(chan uint64, total)
	go func() {
		defer close(written)
		for i := uint64(1); i <= total; i++ {
			p := &replication.Persist{
				HardState: replication.HardState{Term: 1, Commit: i - 1},
				Entries:   makeEntries(i, i, 1),
			}
			if err := l.Write(p); err != nil {
				t.Error(err)
				return
			}
			written <- i
		}
	}()
	for i := range written {
		if i%20 != 0 {
			continue
		}
		if err := l.SaveSnapshot(replication.Snapshot{Index: i, Term: 1}); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	l, err = Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	r := l.Restored()
	if r.Snapshot.Index != total || len(r.Entries) != 0 || r.HardState.Commit != total {
		t.Fatalf("restored %+v, want a snapshot and a commit index that cover all entries, and no entries", r)
	}
	if len(l.segments) > 2 {
		t.Fatalf("%d segments are left, want at most 2", len(l.segments))
	}
}
