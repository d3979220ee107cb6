package storage

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

const segmentPrefix = "log-"

func segmentName(first uint64) string {
	return fmt.Sprintf("%s%020d", segmentPrefix, first)
}

// segment is one file of the write-ahead log.
type segment struct {
	path string
	// lastIndex is the highest index of its entries.
	lastIndex uint64
	size      int64
}

// note takes account of a record in the segment.
func (s *segment) note(frameBytes int, entries []replication.Entry) {
	s.size += int64(frameBytes)
	if len(entries) > 0 {
		s.lastIndex = max(s.lastIndex, entries[len(entries)-1].Index)
	}
}

// recover reads what the folder holds, and starts it if it is new.
func (l *Log) recover() error {
	names, err := l.files.ReadDir(l.dir)
	if err != nil {
		return fmt.Errorf("storage: list data folder: %w", err)
	}
	segments, snapshots, err := l.sortNames(names)
	if err != nil {
		return err
	}
	l.incarnation, err = readIncarnation(l.files, l.dir)
	if err != nil {
		return err
	}
	if l.incarnation == 0 {
		return l.start(segments, snapshots)
	}
	if len(segments) == 0 {
		return fmt.Errorf("storage: %s has an incarnation but no log: the folder is not complete; remove it whole to join anew", l.dir)
	}
	return l.load(segments, snapshots)
}

// sortNames tells the files apart and removes incomplete ones.
func (l *Log) sortNames(names []string) (segments, snapshots []string, err error) {
	for _, name := range names {
		path := filepath.Join(l.dir, name)
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if err := l.files.Remove(path); err != nil {
				return nil, nil, fmt.Errorf("storage: remove incomplete file: %w", err)
			}
		case strings.HasPrefix(name, segmentPrefix):
			segments = append(segments, path)
		case isSnapshot(name):
			snapshots = append(snapshots, path)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

// start begins a new folder. The incarnation is written last: once it stands,
// a missing log is seen as damage and not as a new disk.
func (l *Log) start(segments, snapshots []string) error {
	if len(snapshots) > 0 || len(segments) > 1 {
		return fmt.Errorf("storage: %s has a log but no incarnation: the folder is not complete; remove it whole to join anew", l.dir)
	}
	for _, path := range segments {
		if err := l.removeUnused(path); err != nil {
			return err
		}
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	l.incarnation = incarnation
	if err := l.createSegment(); err != nil {
		return err
	}
	return writeIncarnation(l.files, l.dir, incarnation)
}

// removeUnused removes the first segment of a folder whose start did not get
// as far as the incarnation.
func (l *Log) removeUnused(path string) error {
	data, err := l.files.ReadFile(path)
	if err != nil {
		return fmt.Errorf("storage: read log: %w", err)
	}
	if len(data) > segmentHeaderBytes {
		return fmt.Errorf("storage: %s holds records but the folder has no incarnation; remove the folder whole to join anew", path)
	}
	if err := l.files.Remove(path); err != nil {
		return fmt.Errorf("storage: remove unused log: %w", err)
	}
	return nil
}

func (l *Log) load(segments, snapshots []string) error {
	if len(snapshots) > 0 {
		newest, err := readSnapshot(l.files, snapshots[len(snapshots)-1])
		if err != nil {
			return err
		}
		l.snapshot = newest
	}
	var r replay
	for i, path := range segments {
		if err := l.loadSegment(path, i == len(segments)-1, &r); err != nil {
			return err
		}
	}
	restored, replaced, err := r.restored(l.snapshot)
	if err != nil {
		return &CorruptionError{Path: l.dir, Reason: err.Error()}
	}
	l.restored = restored
	if err := l.openLast(); err != nil {
		return err
	}
	if replaced {
		return l.finishInstall()
	}
	return nil
}

// finishInstall writes the record of an installed snapshot that a crash kept
// from being written. Without it the entries to come would not follow the log.
func (l *Log) finishInstall() error {
	err := l.write(&replication.Persist{HardState: l.restored.HardState, Snapshot: l.snapshot})
	if err != nil {
		l.active.Close()
		return fmt.Errorf("storage: write log: %w", err)
	}
	return nil
}

// loadSegment replays one segment. Only the last one may have a torn tail.
func (l *Log) loadSegment(path string, last bool, r *replay) error {
	data, err := l.files.ReadFile(path)
	if err != nil {
		return fmt.Errorf("storage: read log: %w", err)
	}
	incarnation, first, ok := parseSegmentHeader(data)
	if !ok {
		return l.badHeader(path, data, last)
	}
	if incarnation != l.incarnation {
		return &CorruptionError{Path: path, Reason: fmt.Sprintf("belongs to incarnation %016x, not %016x", incarnation, l.incarnation)}
	}
	if len(l.segments) > 0 && first != l.number+1 {
		return &CorruptionError{Path: path, Reason: fmt.Sprintf("starts with record %d in place of %d", first, l.number+1)}
	}
	l.number = first - 1
	seg := segment{path: path, size: segmentHeaderBytes}
	for seg.size < int64(len(data)) {
		rest := data[seg.size:]
		payload, number, ok := frameAt(rest)
		if !ok {
			return l.cutTail(seg, rest, last)
		}
		if err := l.loadRecord(payload, number, r); err != nil {
			return &CorruptionError{Path: path, Offset: seg.size, Reason: err.Error()}
		}
		seg.note(frameHeaderBytes+len(payload), l.loaded)
	}
	l.segments = append(l.segments, seg)
	return nil
}

func (l *Log) loadRecord(payload []byte, number uint64, r *replay) error {
	if number != l.number+1 {
		return fmt.Errorf("record %d follows record %d", number, l.number)
	}
	rec, err := codec.DecodeRecord(payload)
	if err != nil {
		return err
	}
	l.number = number
	l.loaded = rec.Entries
	return r.apply(&rec)
}

// badHeader removes a last segment whose header was never synced.
func (l *Log) badHeader(path string, data []byte, last bool) error {
	if !last || len(l.segments) == 0 || findFrame(data, l.number) {
		return &CorruptionError{Path: path, Reason: "segment header is damaged"}
	}
	if err := l.files.Remove(path); err != nil {
		return fmt.Errorf("storage: remove torn segment: %w", err)
	}
	return l.syncDir()
}

// cutTail removes a record that was not completely written. It was never
// acknowledged, unless a later one follows it: then the log is damaged.
func (l *Log) cutTail(seg segment, rest []byte, last bool) error {
	if !last || findFrame(rest, l.number+1) {
		return &CorruptionError{Path: seg.path, Offset: seg.size, Reason: fmt.Sprintf("record %d is damaged", l.number+1)}
	}
	f, err := l.files.OpenAppend(seg.path)
	if err != nil {
		return fmt.Errorf("storage: open log: %w", err)
	}
	cut := errors.Join(f.Truncate(seg.size), f.Sync(), f.Close())
	if cut != nil {
		return fmt.Errorf("storage: cut torn tail of %s: %w", seg.path, cut)
	}
	l.segments = append(l.segments, seg)
	return nil
}
