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

// DefaultSegmentBytes is the segment size used if Options does not set one.
const DefaultSegmentBytes = 32 << 20

// Options configures a Log.
type Options struct {
	// SegmentBytes is the size at which the log starts a new segment.
	SegmentBytes int64

	files fileSystem
}

// ErrClosed is returned by writes to a closed log.
var ErrClosed = errors.New("storage: log is closed")

// Log is this replica's copy of the replicated log. Its methods are safe for
// concurrent use.
type Log struct {
	dir   string
	opts  Options
	files fileSystem
	lock  io.Closer

	incarnation uint64
	restored    replication.Restored

	// snapshotMu guards snapshot. It must be locked before mu.
	snapshotMu sync.Mutex
	snapshot   *replication.Snapshot

	// mu guards the fields below.
	mu sync.Mutex
	// failed is the error that stopped the log.
	failed   error
	segments []segment
	// active is the open file of the last segment.
	active file
	// lastRecord is the number of the last record.
	lastRecord uint64
	// buf is the write buffer, reused between records.
	buf []byte
	// loaded holds the entries of the record read last during recovery.
	loaded []replication.Entry
}

// Open opens the data directory and recovers what was synced. It truncates a
// torn record at the end of the log; damage before the last record is a
// *CorruptionError.
func Open(dir string, opts Options) (*Log, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if opts.files == nil {
		opts.files = osFileSystem{}
	}
	l := &Log{dir: dir, opts: opts, files: opts.files}
	if err := l.files.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("storage: create data directory: %w", err)
	}
	lock, err := l.files.Lock(filepath.Join(dir, "lock"))
	if err != nil {
		return nil, fmt.Errorf("storage: lock data directory %s: %w", dir, err)
	}
	l.lock = lock
	if err := l.recover(); err != nil {
		lock.Close()
		return nil, err
	}
	return l, nil
}

// Incarnation returns the number that identifies this disk. It is generated when
// the data directory is first opened.
func (l *Log) Incarnation() uint64 { return l.incarnation }

// Restored returns the state recovered by Open, with any newer snapshot that was
// saved since. It must be called before the first Write.
func (l *Log) Restored() replication.Restored {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	r := l.restored
	r.Snapshot = l.snapshot
	return r
}

// Empty reports whether the data directory holds no state: the node has neither
// bootstrapped nor joined.
func (l *Log) Empty() bool {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.snapshot == nil && l.lastRecord == 0
}

// Err returns the error that stopped the log, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Write appends one record and syncs it. After an error the record must not be
// acknowledged, and every further call fails, unless the error is ErrFull.
func (l *Log) Write(p *replication.Persist) error {
	if p.Snapshot != nil {
		if err := l.storeSnapshot(p.Snapshot); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	if err := l.write(p); err != nil {
		return l.stop(fmt.Errorf("storage: write log: %w", err))
	}
	if p.Snapshot == nil {
		return nil
	}
	return l.removeObsolete(p.Snapshot.Index)
}

// fail stops the log permanently with err, unless it has stopped already, and
// returns the error that stopped it.
func (l *Log) fail(err error) error {
	if l.failed == nil {
		l.failed = err
	}
	return l.failed
}

func (l *Log) write(p *replication.Persist) error {
	active := l.lastSegment()
	if active.size >= l.opts.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
		active = l.lastSegment()
	}
	record := codec.LogRecord{HardState: p.HardState, Entries: p.Entries}
	if p.Snapshot != nil {
		record.Installed = true
		record.SnapshotIndex = p.Snapshot.Index
		record.SnapshotTerm = p.Snapshot.Term
	}
	frame, err := l.encode(&record)
	if err != nil {
		return err
	}
	if err := l.appendSynced(frame); err != nil {
		return fmt.Errorf("%s: %w", active.path, err)
	}
	l.restored.Entries = nil
	l.lastRecord++
	active.addRecord(len(frame), p.Entries)
	return nil
}

// maxRetainedBufferBytes is the largest write buffer that is kept for reuse.
const maxRetainedBufferBytes = 4 << 20

// encode returns the record's frame, which is valid until the next call.
func (l *Log) encode(record *codec.LogRecord) ([]byte, error) {
	var header [frameHeaderBytes]byte
	frame, err := codec.AppendLogRecord(append(l.buf[:0], header[:]...), record)
	if err != nil {
		return nil, err
	}
	if len(frame) > maxRecordBytes {
		return nil, fmt.Errorf("record of %d bytes exceeds the limit of %d", len(frame), maxRecordBytes)
	}
	putFrameHeader(frame, l.lastRecord+1)
	l.buf = nil
	if cap(frame) <= maxRetainedBufferBytes {
		l.buf = frame
	}
	return frame, nil
}

// SaveSnapshot writes and syncs a snapshot of the state machine, and removes the
// segments and snapshots that it makes obsolete.
func (l *Log) SaveSnapshot(s replication.Snapshot) error {
	if err := l.storeSnapshot(&s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	return l.removeObsolete(s.Index)
}

// storeSnapshot writes and syncs a snapshot without blocking writes to the log.
func (l *Log) storeSnapshot(s *replication.Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.Err(); err != nil {
		return err
	}
	if err := l.writeSnapshot(s); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.stop(fmt.Errorf("storage: %w", err))
	}
	if l.snapshot == nil || l.snapshot.Index < s.Index {
		l.snapshot = s
	}
	return nil
}

// Close closes the log and unlocks the data directory. All records written are
// synced already.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(l.failed, ErrClosed) {
		return nil
	}
	l.failed = ErrClosed
	return errors.Join(l.active.Close(), l.lock.Close())
}
