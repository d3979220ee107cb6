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

// model is what the log must hold: hard state, snapshot index, and all entries
// from 1 on.
type model struct {
	hard     replication.HardState
	snapshot replication.Snapshot
	saved    bool
	entries  []replication.Entry
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
	m.snapshot, m.saved = s, true
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

// holds reports whether the log was restored as the model says. The commit
// index may be that of the snapshot.
func (m model) holds(r replication.Restored) bool {
	want := m.hard
	if m.saved {
		want.Commit = max(want.Commit, m.snapshot.Index)
	}
	if r.HardState != want || (r.Snapshot != nil) != m.saved {
		return false
	}
	if m.saved && r.Snapshot.Index != m.snapshot.Index {
		return false
	}
	entries := m.entries[min(m.snapshot.Index, m.last()):]
	return len(entries) == len(r.Entries) && (len(entries) == 0 || reflect.DeepEqual(entries, r.Entries))
}

// step does one random operation. It returns the states that may be found
// after a crash in it, the last being the one after success.
func (m model) step(rng *rand.Rand, l *Log) ([]model, error) {
	if s := m.snapshot; m.last() < s.Index {
		m.entries = makeEntries(1, s.Index, s.Term)
	}
	m.hard.Commit = max(m.hard.Commit, m.snapshot.Index)
	term := max(m.hard.Term, m.snapshot.Term)
	last := m.last()
	switch rng.IntN(6) {
	case 0: // A snapshot of the state machine.
		if m.hard.Commit <= m.snapshot.Index {
			return []model{m}, nil
		}
		s := replication.Snapshot{Index: m.hard.Commit, Term: m.entries[m.hard.Commit-1].Term, Data: []byte("state")}
		next := m.save(s)
		return []model{m, next}, l.SaveSnapshot(s)
	case 1: // A snapshot from a leader, beyond the log or against it.
		term++
		s := replication.Snapshot{Index: m.hard.Commit + 1 + rng.Uint64N(4), Term: term, Data: []byte("state")}
		hard := replication.HardState{Term: term, Commit: s.Index, Holder: replication.NodeID{VM: "a", Incarnation: term}, HolderTerm: term}
		p := &replication.Persist{HardState: hard, Snapshot: &s}
		between := m.save(s)
		between.entries = nil
		return []model{m, between, m.write(p)}, l.Write(p)
	case 2: // Entries of a new leader in place of uncommitted ones.
		term++
		last = m.hard.Commit + rng.Uint64N(last-m.hard.Commit+1)
	}
	entries := makeEntries(last+1, last+rng.Uint64N(4), term)
	hard := replication.HardState{Term: term, Commit: m.hard.Commit, Holder: replication.NodeID{VM: "b", Incarnation: term}, HolderTerm: term}
	hard.Commit += rng.Uint64N(last + uint64(len(entries)) - hard.Commit + 1)
	p := &replication.Persist{HardState: hard, Entries: entries}
	return []model{m, m.write(p)}, l.Write(p)
}

const crashDir = "/data"

// runToCrash works on a log until an operation fails, and returns the states
// that may be found.
func runToCrash(t *testing.T, files *memoryFiles, rng *rand.Rand, m model, steps int) (incarnation uint64, after []model) {
	t.Helper()
	after = []model{m}
	l, err := Open(crashDir, Options{SegmentBytes: 200, files: files})
	if err != nil {
		if !errors.Is(err, errInjected) {
			t.Fatalf("open: %v", err)
		}
		return 0, after
	}
	if !m.holds(l.Restored()) {
		t.Fatalf("opened with %+v, want %+v", l.Restored(), m)
	}
	for range steps {
		states, err := m.step(rng, l)
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

// TestCrashAtEachOperation crashes at each change of the file system, twice in
// a row, and checks that what was acknowledged is there and nothing else.
func TestCrashAtEachOperation(t *testing.T) {
	const schedules, steps = 25, 25
	for schedule := range uint64(schedules) {
		for k := 1; ; k++ {
			files := newMemoryFiles(schedule)
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

// reopen checks a folder after a crash and returns the state that it is in, or
// nil if another failure was injected.
func reopen(t *testing.T, files *memoryFiles, incarnation uint64, states []model, where string) *model {
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
		if states[i].holds(l.Restored()) {
			return &states[i]
		}
	}
	t.Fatalf("%s: found %+v, want one of %+v", where, l.Restored(), states)
	return nil
}

// TestFailedSync: after one failed operation the log stays stopped although
// the disk works again.
func TestFailedSync(t *testing.T) {
	files := newMemoryFiles(1)
	l, err := Open(crashDir, Options{files: files})
	if err != nil {
		t.Fatal(err)
	}
	files.recovers, files.failIn = true, 2
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

// TestDamage flips each byte of a log, and cuts it at each length. Only the
// last record may go; damage before it is refused.
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
		ends = append(ends, l.last().size)
	}
	path := l.last().path
	if _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a folder in use was opened")
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
				t.Fatalf("%s: %v", where, err)
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
		check(data, want, fmt.Sprintf("byte %d flipped", i))
		complete := -1
		for r := range ends {
			if i >= segmentHeaderBytes && (r == 0 || int64(i) >= ends[r-1]) {
				complete = r
			}
		}
		check(whole[:i], complete, fmt.Sprintf("cut at byte %d", i))
	}
	if err := os.Remove(filepath.Join(dir, incarnationName)); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a log without its incarnation was opened")
	}
}
