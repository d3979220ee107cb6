package storage

import (
	"testing"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

// FuzzOpen opens a log whose segment ends in arbitrary bytes, either as they are
// or as the payload of an intact record. Open must refuse the log, or it must be
// possible to write to it and open it again.
func FuzzOpen(f *testing.F) {
	frame := make([]byte, frameHeaderBytes)
	putFrameHeader(frame, 1)
	record, err := codec.AppendLogRecord(nil, &codec.LogRecord{Entries: makeEntries(1, 2, 1)})
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
			putFrameHeader(tail, 1)
		}
		files := newMemoryFileSystem(1)
		l, err := Open(crashDir, Options{files: files})
		if err != nil {
			t.Fatal(err)
		}
		node := files.entries[l.lastSegment().path]
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
