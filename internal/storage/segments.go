package storage

import (
	"fmt"
	"path/filepath"
)

func (l *Log) last() *segment { return &l.segments[len(l.segments)-1] }

func (l *Log) syncDir() error {
	if err := l.files.SyncDir(l.dir); err != nil {
		return fmt.Errorf("storage: sync data folder: %w", err)
	}
	return nil
}

// createSegment starts a segment for the next record. Its header and its entry
// in the folder are synced before any record is.
func (l *Log) createSegment() error {
	first := l.number + 1
	path := filepath.Join(l.dir, segmentName(first))
	f, err := l.files.Create(path)
	if err != nil {
		return fmt.Errorf("storage: create segment: %w", err)
	}
	if err := writeSynced(f, segmentHeader(l.incarnation, first)); err != nil {
		f.Close()
		return fmt.Errorf("storage: write segment header: %w", err)
	}
	if err := l.syncDir(); err != nil {
		f.Close()
		return err
	}
	l.active = f
	l.segments = append(l.segments, segment{path: path, size: segmentHeaderBytes})
	return nil
}

func (l *Log) rotate() error {
	full := l.active
	if err := l.createSegment(); err != nil {
		return err
	}
	return full.Close()
}

// openLast opens the last segment to append to it.
func (l *Log) openLast() error {
	f, err := l.files.OpenAppend(l.last().path)
	if err != nil {
		return fmt.Errorf("storage: open log: %w", err)
	}
	l.active = f
	return nil
}

// removeOld removes what a synced snapshot at index replaces: the leading
// segments that hold no later entry, and older snapshots.
func (l *Log) removeOld(index uint64) error {
	// The last segment must hold a record, since each carries the hard state.
	for len(l.segments) > 1 && l.last().size > segmentHeaderBytes && l.segments[0].lastIndex <= index {
		if err := l.files.Remove(l.segments[0].path); err != nil {
			return l.fail(fmt.Errorf("storage: remove old segment: %w", err))
		}
		// A gap in the record numbers would be taken for damage, so the
		// removals must reach the disk in order.
		if err := l.syncDir(); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	names, err := l.files.ReadDir(l.dir)
	if err != nil {
		return l.fail(fmt.Errorf("storage: list data folder: %w", err))
	}
	for _, name := range names {
		if !isSnapshot(name) || name >= snapshotName(index) {
			continue
		}
		if err := l.files.Remove(filepath.Join(l.dir, name)); err != nil {
			return l.fail(fmt.Errorf("storage: remove old snapshot: %w", err))
		}
	}
	return nil
}
