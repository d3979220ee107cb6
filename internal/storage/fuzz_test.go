package storage

import (
	"testing"

	"waxwingcart/internal/core/replication"
)

// FuzzOpen opens a log whose segment ends in arbitrary bytes. It either is
// refused or can be written to and opened again.
func FuzzOpen(f *testing.F) {
	frame := make([]byte, frameHeaderBytes)
	sealFrame(frame, 1)
	f.Add([]byte{})
	f.Add(frame)
	f.Add(append(frame, frame...))
	f.Add(append(frame, 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, tail []byte) {
		files := newMemoryFiles(1)
		l, err := Open(crashDir, Options{files: files})
		if err != nil {
			t.Fatal(err)
		}
		node := files.entries[l.last().path]
		node.data = append(node.data, tail...)
		l, err = Open(crashDir, Options{files: files})
		if err != nil {
			return
		}
		r := l.Restored()
		next := uint64(len(r.Entries)) + 1
		p := &replication.Persist{HardState: r.HardState, Entries: makeEntries(next, next, r.HardState.Term)}
		if err := l.Write(p); err != nil {
			t.Fatal(err)
		}
		l, err = Open(crashDir, Options{files: files})
		if err != nil {
			t.Fatal(err)
		}
		if got := uint64(len(l.Restored().Entries)); got != next {
			t.Fatalf("%d entries, want %d", got, next)
		}
	})
}
