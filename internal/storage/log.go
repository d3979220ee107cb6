package storage

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

// DefaultSegmentBytes is the size at which a segment is full.
const DefaultSegmentBytes = 32 << 20

// Options configures a Log.
type Options struct {
	// SegmentBytes is the size at which a new segment is started.
	SegmentBytes int64

	files fileSystem
}

// ErrClosed says that the log is closed.
var ErrClosed = errors.New("storage: log is closed")

// Log is the part of the replicated log on this disk. Its methods may be called
// from several goroutines.
type Log struct {
	dir   string
	opts  Options
	files fileSystem
	lock  io.Closer

	incarnation uint64
	restored    replication.Restored

	// snapshotMu guards snapshot and is taken before mu.
	snapshotMu sync.Mutex
	snapshot   *replication.Snapshot

	// mu guards the fields below.
	mu       sync.Mutex
	failed   error
	segments []segment
	active   file
	// number is that of the last record.
	number uint64
	buf    []byte
	// loaded holds the last record's entries during recovery.
	loaded []replication.Entry
}

// Open opens the data folder and recovers what was synced. A torn tail is cut;
// damage before it is an error of type *CorruptionError.
func Open(dir string, opts Options) (*Log, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if opts.files == nil {
		opts.files = osFileSystem{}
	}
	l := &Log{dir: dir, opts: opts, files: opts.files}
	if err := l.files.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("storage: create data folder: %w", err)
	}
	lock, err := l.files.Lock(filepath.Join(dir, "lock"))
	if err != nil {
		return nil, fmt.Errorf("storage: lock data folder %s: %w", dir, err)
	}
	l.lock = lock
	if err := l.recover(); err != nil {
		lock.Close()
		return nil, err
	}
	return l, nil
}

// Incarnation names this disk. It is drawn when the folder is first opened.
func (l *Log) Incarnation() uint64 { return l.incarnation }

// Restored returns what the folder held when it was opened, with a snapshot
// that was saved since. It is to be read before the first Write.
func (l *Log) Restored() replication.Restored {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	r := l.restored
	r.Snapshot = l.snapshot
	return r
}

// Empty reports whether the folder holds no state: the node has neither
// bootstrapped nor joined.
func (l *Log) Empty() bool {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshot == nil && l.number == 0
}

// Err returns the error that stopped the log, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Write appends one record and syncs it. After an error nothing of the record
// counts as written, and every further call fails.
func (l *Log) Write(p *replication.Persist) error {
	if p.Snapshot != nil {
		if err := l.keepSnapshot(p.Snapshot); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	if err := l.write(p); err != nil {
		return l.fail(fmt.Errorf("storage: write log: %w", err))
	}
	if p.Snapshot == nil {
		return nil
	}
	return l.removeOld(p.Snapshot.Index)
}

// fail stops the log for good.
func (l *Log) fail(err error) error {
	if l.failed == nil {
		l.failed = err
	}
	return l.failed
}

func (l *Log) write(p *replication.Persist) error {
	active := l.last()
	if active.size >= l.opts.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
		active = l.last()
	}
	record := codec.Record{HardState: p.HardState, Entries: p.Entries}
	if p.Snapshot != nil {
		record.Installed = true
		record.SnapshotIndex = p.Snapshot.Index
		record.SnapshotTerm = p.Snapshot.Term
	}
	frame, err := l.encode(&record)
	if err != nil {
		return err
	}
	if err := writeSynced(l.active, frame); err != nil {
		return fmt.Errorf("%s: %w", active.path, err)
	}
	l.restored.Entries = nil
	l.number++
	active.note(len(frame), p.Entries)
	return nil
}

// keepBufferBytes is the size up to which the write buffer is kept.
const keepBufferBytes = 4 << 20

// encode returns the record's frame. It is valid until the next call.
func (l *Log) encode(record *codec.Record) ([]byte, error) {
	var header [frameHeaderBytes]byte
	frame, err := codec.AppendRecord(append(l.buf[:0], header[:]...), record)
	if err != nil {
		return nil, err
	}
	if len(frame) > maxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes is longer than %d", len(frame), maxRecordBytes)
	}
	sealFrame(frame, l.number+1)
	l.buf = nil
	if cap(frame) <= keepBufferBytes {
		l.buf = frame
	}
	return frame, nil
}

// SaveSnapshot syncs a snapshot of the state machine and removes segments and
// snapshots that it makes needless.
func (l *Log) SaveSnapshot(s replication.Snapshot) error {
	if err := l.keepSnapshot(&s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	return l.removeOld(s.Index)
}

// keepSnapshot syncs the snapshot while writes to the log go on.
func (l *Log) keepSnapshot(s *replication.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.Err(); err != nil {
		return err
	}
	if err := l.writeSnapshot(s); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.fail(fmt.Errorf("storage: %w", err))
	}
	if l.snapshot == nil || l.snapshot.Index < s.Index {
		l.snapshot = s
	}
	return nil
}

// Close closes the folder. Everything written is synced already.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(l.failed, ErrClosed) {
		return nil
	}
	l.failed = ErrClosed
	return errors.Join(l.active.Close(), l.lock.Close())
}
