package storage

import (
	"fmt"
	"path/filepath"
)

func (l *Log) lastSegment() *segment { return &l.segments[len(l.segments)-1] }

func (l *Log) syncDir() error {
	if err := l.files.SyncDir(l.dir); err != nil {
		return fmt.Errorf("storage: sync data directory: %w", err)
	}
	return nil
}

// createSegment creates the segment that begins with the next record. It syncs
// the header and the directory entry before any record is written.
func (l *Log) createSegment() error {
	first := l.lastRecord + 1
	path := filepath.Join(l.dir, segmentName(first))
	f, err := createFile(l.files, path, segmentHeader(l.incarnation, first))
	if err != nil {
		return fmt.Errorf("storage: create segment: %w", err)
	}
	if err := l.syncDir(); err != nil {
		f.Close()
		return err
	}
	l.active = f
	l.segments = append(l.segments, segment{path: path, size: segmentHeaderBytes})
	return nil
}

// rotate continues the log in a new segment.
func (l *Log) rotate() error {
	full := l.active
	if err := l.createSegment(); err != nil {
		return err
	}
	return full.Close()
}

// openLastSegment opens the last segment for appending, and syncs the records in it.
func (l *Log) openLastSegment() error {
	f, err := l.files.OpenAppend(l.lastSegment().path)
	if err != nil {
		return fmt.Errorf("storage: open log: %w", err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return fmt.Errorf("storage: sync log: %w", err)
	}
	l.active = f
	return nil
}

// removeObsolete removes what a synced snapshot at index replaces: the leading
// segments that hold no entry after index, and older snapshots.
func (l *Log) removeObsolete(index uint64) error {
	// The last segment must hold a record before the others are removed: the
	// hard state is stored only in records.
	for len(l.segments) > 1 && l.lastSegment().size > segmentHeaderBytes && l.segments[0].lastIndex <= index {
		if err := l.files.Remove(l.segments[0].path); err != nil {
			return l.fail(fmt.Errorf("storage: remove obsolete segment: %w", err))
		}
		// Recovery treats a gap in the record numbers as damage, so the
		// removals must reach the disk in order.
		if err := l.syncDir(); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	names, err := l.files.ReadDir(l.dir)
	if err != nil {
		return l.fail(fmt.Errorf("storage: list data directory: %w", err))
	}
	for _, name := range names {
		if !isSnapshot(name) || name >= snapshotName(index) {
			continue
		}
		if err := l.files.Remove(filepath.Join(l.dir, name)); err != nil {
			return l.fail(fmt.Errorf("storage: remove obsolete snapshot: %w", err))
		}
	}
	return nil
}
