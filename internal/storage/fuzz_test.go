package storage

import (
	"testing"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

// FuzzOpen opens a log whose segment ends in arbitrary bytes, bare or as the
// payload of a whole record. It either is refused or can be written to and
// opened again.
func FuzzOpen(f *testing.F) {
	frame := make([]byte, frameHeaderBytes)
	sealFrame(frame, 1)
	record, err := codec.AppendRecord(nil, &codec.Record{Entries: makeEntries(1, 2, 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte{}, false)
	f.Add(append(frame, frame...), false)
	f.Add(append(frame, 0, 0, 0, 0), false)
	f.Add(record, true)
	f.Fuzz(func(t *testing.T, tail []byte, whole bool) {
		if whole {
			tail = append(make([]byte, frameHeaderBytes), tail...)
			sealFrame(tail, 1)
		}
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
