package storage

import (
	"errors"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"waxwingcart/internal/core/replication"
)

// A disk that is full at any operation stops nothing: the write fails as a whole, may be repeated, and
// what was written before and after is there at the next start, also if power is lost meanwhile.
func TestFullDisk(t *testing.T) {
	full := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 3))
		files := newMemoryFileSystem(seed)
		l := openMemory(t, files)
		m := model{}
		files.failure, files.failOnce = syscall.ENOSPC, true
		files.syncsSucceed = true
		for range 40 {
			if rng.IntN(3) == 0 {
				files.failed, files.failIn = false, 1+rng.IntN(4)
			}
			state := rng.Uint64()
			operation := func() ([]model, error) {
				return m.randomOperation(rand.New(rand.NewPCG(state, 4)), l)
			}
			states, err := operation()
			for retries := 0; err != nil; retries++ {
				if !errors.Is(err, ErrFull) {
					t.Fatalf("seed %d: got %v, want %v", seed, err, ErrFull)
				}
				full++
				if retries == 0 && rng.IntN(2) == 0 {
					restored := openMemory(t, files.crash())
					matched := false
					for _, state := range states {
						matched = matched || state.matches(restored.Restored())
					}
					if !matched {
						t.Fatalf("seed %d: power was lost while the disk was full: the state is none of those before and after", seed)
					}
				}
				files.failIn = 0
				states, err = operation()
			}
			m = states[len(states)-1]
		}
		files.failIn = 0
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if restored := openMemory(t, files); !m.matches(restored.Restored()) {
			t.Fatalf("seed %d: the state after a restart differs", seed)
		}
		for name := range files.entries {
			if strings.HasSuffix(name, temporarySuffix) {
				t.Fatalf("seed %d: %s is left over", seed, name)
			}
		}
	}
	if full < 1000 {
		t.Errorf("the disk was full %d times, want at least 1000", full)
	}
}

// After a failed sync the content of the disk is unknown, so that the log stops even if the error says
// that the disk is full.
func TestFullAtSync(t *testing.T) {
	files := newMemoryFileSystem(1)
	l := openMemory(t, files)
	files.failure, files.failOnce, files.failIn = syscall.ENOSPC, true, 2
	p := &replication.Persist{HardState: replication.HardState{Term: 1}, Entries: makeEntries(1, 1, 1)}
	if err := l.Write(p); err == nil || errors.Is(err, ErrFull) {
		t.Fatalf("got %v, want an error that stops the log", err)
	}
	if l.Write(p) == nil {
		t.Error("a write succeeded after a failed sync")
	}
}

func openMemory(t *testing.T, files *memoryFileSystem) *Log {
	t.Helper()
	l, err := Open(crashDir, Options{SegmentBytes: 512, files: files})
	if err != nil {
		t.Fatal(err)
	}
	return l
}
