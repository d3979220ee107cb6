package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"waxwingcart/internal/core/replication"
)

// model is the expected content of the log: hard state, snapshot, and all entries
// from index 1 on.
type model struct {
	hard        replication.HardState
	snapshot    replication.Snapshot
	hasSnapshot bool
	entries     []replication.Entry
}

func (m model) last() uint64 { return uint64(len(m.entries)) }

func (m model) write(p *replication.Persist) model {
	m.hard = p.HardState
	if s := p.Snapshot; s != nil {
		m = m.save(*s)
		m.entries = makeEntries(1, s.Index, s.Term)
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].Index
		m.entries = append(m.entries[:first-1:first-1], p.Entries...)
	}
	return m
}

func (m model) save(s replication.Snapshot) model {
	m.snapshot, m.hasSnapshot = s, true
	return m
}

func makeEntries(first, last, term uint64) []replication.Entry {
	var entries []replication.Entry
	for i := first; i <= last; i++ {
		data := fmt.Appendf(nil, "entry %d of term %d", i, term)
		entries = append(entries, replication.Entry{Index: i, Term: term, Kind: replication.EntryCommand, Data: data})
	}
	return entries
}

// matches reports whether the restored state equals the model. The restored
// commit index is at least the snapshot's index.
func (m model) matches(r replication.Restored) bool {
	want := m.hard
	if m.hasSnapshot {
		want.Commit = max(want.Commit, m.snapshot.Index)
	}
	if r.HardState != want || (r.Snapshot != nil) != m.hasSnapshot {
		return false
	}
	if m.hasSnapshot && r.Snapshot.Index != m.snapshot.Index {
		return false
	}
	entries := m.entries[min(m.snapshot.Index, m.last()):]
	return len(entries) == len(r.Entries) && (len(entries) == 0 || reflect.DeepEqual(entries, r.Entries))
}

// randomOperation performs one random operation on the log. It returns the states
// that are allowed after a crash during the operation; the last one is the state
// after success.
func (m model) randomOperation(rng *rand.Rand, l *Log) ([]model, error) {
	if s := m.snapshot; m.last() < s.Index {
		m.entries = makeEntries(1, s.Index, s.Term)
	}
	m.hard.Commit = max(m.hard.Commit, m.snapshot.Index)
	term := max(m.hard.Term, m.snapshot.Term)
	last := m.last()
	switch rng.IntN(6) {
	case 0: // Snapshot of the state machine.
		if m.hard.Commit <= m.snapshot.Index {
			return []model{m}, nil
		}
		s := replication.Snapshot{Index: m.hard.Commit, Term: m.entries[m.hard.Commit-1].Term, Data: []byte("state")}
		next := m.save(s)
		return []model{m, next}, l.SaveSnapshot(s)
	case 1: // Snapshot from a leader that extends the log or conflicts with it.
		term++
		s := replication.Snapshot{Index: m.hard.Commit + 1 + rng.Uint64N(4), Term: term, Data: []byte("state")}
		hard := replication.HardState{Term: term, Commit: s.Index, LeaseHolder: replication.NodeID{VM: "a", Incarnation: term}, LeaseHolderTerm: term}
		p := &replication.Persist{HardState: hard, Snapshot: &s}
		between := m.save(s)
		between.entries = nil
		return []model{m, between, m.write(p)}, l.Write(p)
	case 2: // Entries of a new leader that replace uncommitted ones.
		term++
		last = m.hard.Commit + rng.Uint64N(last-m.hard.Commit+1)
	}
	entries := makeEntries(last+1, last+rng.Uint64N(4), term)
	hard := replication.HardState{Term: term, Commit: m.hard.Commit, LeaseHolder: replication.NodeID{VM: "b", Incarnation: term}, LeaseHolderTerm: term}
	hard.Commit += rng.Uint64N(last + uint64(len(entries)) - hard.Commit + 1)
	p := &replication.Persist{HardState: hard, Entries: entries}
	return []model{m, m.write(p)}, l.Write(p)
}

const crashDir = "/data"

// runToCrash performs random operations until one fails, and returns the states
// that are allowed after a crash.
func runToCrash(t *testing.T, files *memoryFileSystem, rng *rand.Rand, m model, steps int) (incarnation uint64, after []model) {
	t.Helper()
	after = []model{m}
	l, err := Open(crashDir, Options{SegmentBytes: 200, files: files})
	if err != nil {
		if !errors.Is(err, errInjected) {
			t.Fatalf("open: got %v, want an injected failure", err)
		}
		return 0, after
	}
	if !m.matches(l.Restored()) {
		t.Fatalf("opened with %+v, want %+v", l.Restored(), m)
	}
	for range steps {
		states, err := m.randomOperation(rng, l)
		if err != nil {
			if again := l.Write(&replication.Persist{}); again == nil {
				t.Fatal("a write succeeded after a failure")
			}
			return l.Incarnation(), states
		}
		m = states[len(states)-1]
		after = []model{m}
	}
	return l.Incarnation(), after
}

// TestCrashAtEachOperation crashes at each modifying file system operation, and
// may crash again at a random one during recovery. It checks that every
// acknowledged write is recovered, and nothing else but the interrupted write.
func TestCrashAtEachOperation(t *testing.T) {
	const schedules, steps = 25, 25
	for schedule := range uint64(schedules) {
		for k := 1; ; k++ {
			files := newMemoryFileSystem(schedule)
			files.failIn = k
			rng := rand.New(rand.NewPCG(schedule, 1))
			first, states := runToCrash(t, files, rng, model{}, steps)
			finished := !files.failed
			files = files.crash()
			files.failIn = rng.IntN(30)
			found := reopen(t, files, first, states, fmt.Sprintf("schedule %d, operation %d", schedule, k))
			if found == nil {
				files = files.crash()
				found = reopen(t, files, first, states, fmt.Sprintf("schedule %d, operation %d, second crash", schedule, k))
			}
			files.failIn = 0
			_, states = runToCrash(t, files, rng, *found, rng.IntN(4))
			reopen(t, files.crash(), 0, states, "after recovery")
			if finished {
				break
			}
		}
	}
}

// reopen opens the log after a crash and returns the allowed state that matches
// it, or nil if another injected failure stopped the recovery.
func reopen(t *testing.T, files *memoryFileSystem, incarnation uint64, states []model, where string) *model {
	t.Helper()
	l, err := Open(crashDir, Options{SegmentBytes: 200, files: files})
	if errors.Is(err, errInjected) {
		return nil
	}
	if err != nil {
		t.Fatalf("%s: %v", where, err)
	}
	if incarnation != 0 && l.Incarnation() != incarnation {
		t.Fatalf("%s: incarnation changed", where)
	}
	for i := range states {
		if states[i].matches(l.Restored()) {
			return &states[i]
		}
	}
	t.Fatalf("%s: found %+v, want one of %+v", where, l.Restored(), states)
	return nil
}

// TestFailedSync checks that the log stays stopped after one failed sync, even
// though later operations on the disk would succeed.
func TestFailedSync(t *testing.T) {
	files := newMemoryFileSystem(1)
	l, err := Open(crashDir, Options{files: files})
	if err != nil {
		t.Fatal(err)
	}
	files.failOnce, files.failIn = true, 2
	p := &replication.Persist{HardState: replication.HardState{Term: 1}}
	for range 3 {
		if err := l.Write(p); !errors.Is(err, errInjected) {
			t.Fatalf("write: %v, want the injected failure", err)
		}
	}
	if err := l.SaveSnapshot(replication.Snapshot{}); !errors.Is(err, errInjected) {
		t.Fatalf("snapshot: %v, want the injected failure", err)
	}
}

// TestDamage flips a bit in each byte of a log, and truncates the log at each
// length. Open may drop only the torn or damaged last record, and must refuse any
// other damage.
func TestDamage(t *testing.T) {
	const records = 5
	dir := t.TempDir()
	l, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	var ends []int64
	for i := range uint64(records) {
		p := &replication.Persist{HardState: replication.HardState{Term: 1}, Entries: makeEntries(i+1, i+1, 1)}
		if err := l.Write(p); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, l.lastSegment().size)
	}
	path := l.lastSegment().path
	if _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a data directory in use was opened")
	}
	l.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	check := func(data []byte, want int, where string) {
		t.Helper()
		if err := os.WriteFile(path, data, filePermissions); err != nil {
			t.Fatal(err)
		}
		l, err := Open(dir, Options{})
		var damage *CorruptionError
		if errors.As(err, &damage) {
			if want >= 0 || damage.Path != path {
				t.Fatalf("%s: got %v, want damage in the changed file, and only where it cannot be a torn write", where, err)
			}
			return
		}
		if err != nil || len(l.Restored().Entries) != want {
			t.Fatalf("%s: %v, want %d entries", where, err, want)
		}
		l.Close()
	}
	for i := range whole {
		data := append([]byte(nil), whole...)
		data[i] ^= 1
		want := -1
		if int64(i) >= ends[records-2] {
			want = records - 1
		}
		check(data, want, fmt.Sprintf("bit flipped in byte %d", i))
		complete := -1
		for r := range ends {
			if i >= segmentHeaderBytes && (r == 0 || int64(i) >= ends[r-1]) {
				complete = r
			}
		}
		check(whole[:i], complete, fmt.Sprintf("truncated to %d bytes", i))
	}
	if err := os.Remove(filepath.Join(dir, incarnationName)); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a log without its incarnation was opened")
	}
}
