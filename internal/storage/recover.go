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
	// lastIndex is the highest log index of the entries in the segment.
	lastIndex uint64
	size      int64
}

// addRecord updates the size and last index for a record in the segment.
func (s *segment) addRecord(frameBytes int, entries []replication.Entry) {
	s.size += int64(frameBytes)
	if len(entries) > 0 {
		s.lastIndex = max(s.lastIndex, entries[len(entries)-1].Index)
	}
}

// recover restores the state from the data directory, or initializes a new one. The process before this one may have
// ended before it synced what is read here. It is synced first, as later writes and acknowledgements rest on it.
func (l *Log) recover() error {
	if err := l.syncDir(); err != nil {
		return err
	}
	names, err := l.files.ReadDir(l.dir)
	if err != nil {
		return fmt.Errorf("storage: list data directory: %w", err)
	}
	segments, snapshots, err := l.classifyFiles(names)
	if err != nil {
		return err
	}
	l.incarnation, err = readIncarnation(l.files, l.dir)
	if err != nil {
		return err
	}
	if l.incarnation == 0 {
		return l.initialize(segments, snapshots)
	}
	if len(segments) == 0 {
		return fmt.Errorf("storage: %s has an incarnation but no log: the directory is incomplete; remove all of it to join as a new replica", l.dir)
	}
	return l.load(segments, snapshots)
}

// classifyFiles returns the paths of segments and snapshots in order, and removes
// temporary files.
func (l *Log) classifyFiles(names []string) (segments, snapshots []string, err error) {
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

// initialize sets up a new data directory. It writes the incarnation last: with
// an incarnation on disk, a missing log is damage; without one, the disk is new.
func (l *Log) initialize(segments, snapshots []string) error {
	if len(snapshots) > 0 || len(segments) > 1 {
		return fmt.Errorf("storage: %s has a log but no incarnation: the directory is incomplete; remove all of it to join as a new replica", l.dir)
	}
	for _, path := range segments {
		if err := l.removeUnusedSegment(path); err != nil {
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

// removeUnusedSegment removes the empty first segment of a directory whose
// initialization ended before the incarnation was written.
func (l *Log) removeUnusedSegment(path string) error {
	data, err := l.files.ReadFile(path)
	if err != nil {
		return fmt.Errorf("storage: read log: %w", err)
	}
	if len(data) > segmentHeaderBytes {
		return fmt.Errorf("storage: %s holds records but the directory has no incarnation; remove the whole directory to join as a new replica", path)
	}
	if err := l.files.Remove(path); err != nil {
		return fmt.Errorf("storage: remove unused log: %w", err)
	}
	return nil
}

// load reads the newest snapshot and replays all segments.
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
	restored, replaced, err := r.restore(l.snapshot)
	if err != nil {
		return &CorruptionError{Path: l.dir, Reason: err.Error()}
	}
	l.restored = restored
	if err := l.openLastSegment(); err != nil {
		return err
	}
	if replaced {
		return l.finishInstall()
	}
	return nil
}

// finishInstall writes the record of an installed snapshot if a crash prevented
// it. Without this record, later entries would not be contiguous with the log.
func (l *Log) finishInstall() error {
	err := l.write(&replication.Persist{HardState: l.restored.HardState, Snapshot: l.snapshot})
	if err != nil {
		l.active.Close()
		return fmt.Errorf("storage: write log: %w", err)
	}
	return nil
}

// loadSegment replays one segment. Only the last one may end in a torn record.
func (l *Log) loadSegment(path string, last bool, r *replay) error {
	data, err := l.files.ReadFile(path)
	if err != nil {
		return fmt.Errorf("storage: read log: %w", err)
	}
	incarnation, first, ok := parseSegmentHeader(data)
	if !ok {
		return l.removeTornSegment(path, data, last)
	}
	if incarnation != l.incarnation {
		return &CorruptionError{Path: path, Reason: fmt.Sprintf("belongs to incarnation %016x, not %016x", incarnation, l.incarnation)}
	}
	if len(l.segments) > 0 && first != l.lastRecord+1 {
		return &CorruptionError{Path: path, Reason: fmt.Sprintf("starts with record %d, expected %d", first, l.lastRecord+1)}
	}
	l.lastRecord = first - 1
	seg := segment{path: path, size: segmentHeaderBytes}
	for seg.size < int64(len(data)) {
		rest := data[seg.size:]
		payload, number, ok := parseFrame(rest)
		if !ok {
			return l.truncateTail(seg, rest, last)
		}
		if err := l.loadRecord(payload, number, r); err != nil {
			return &CorruptionError{Path: path, Offset: seg.size, Reason: err.Error()}
		}
		seg.addRecord(frameHeaderBytes+len(payload), l.loaded)
	}
	l.segments = append(l.segments, seg)
	return nil
}

func (l *Log) loadRecord(payload []byte, number uint64, r *replay) error {
	if number != l.lastRecord+1 {
		return fmt.Errorf("record %d follows record %d", number, l.lastRecord)
	}
	rec, err := codec.DecodeLogRecord(payload)
	if err != nil {
		return err
	}
	l.lastRecord = number
	l.loaded = rec.Entries
	return r.apply(&rec)
}

// removeTornSegment removes the last segment if its header was never synced. Any
// other damaged header is an error.
func (l *Log) removeTornSegment(path string, data []byte, last bool) error {
	if !last || len(l.segments) == 0 || containsFrame(data, l.lastRecord) {
		return &CorruptionError{Path: path, Reason: "segment header is damaged"}
	}
	if err := l.files.Remove(path); err != nil {
		return fmt.Errorf("storage: remove torn segment: %w", err)
	}
	return l.syncDir()
}

// truncateTail removes a partially written record from the end of the log, which
// was never acknowledged. A damaged record that a later one follows was
// acknowledged and is an error.
func (l *Log) truncateTail(seg segment, rest []byte, last bool) error {
	if !last || containsFrame(rest, l.lastRecord+1) {
		return &CorruptionError{Path: seg.path, Offset: seg.size, Reason: fmt.Sprintf("record %d is damaged", l.lastRecord+1)}
	}
	f, err := l.files.OpenAppend(seg.path)
	if err != nil {
		return fmt.Errorf("storage: open log: %w", err)
	}
	truncateErr := errors.Join(f.Truncate(seg.size), f.Sync(), f.Close())
	if truncateErr != nil {
		return fmt.Errorf("storage: truncate torn record in %s: %w", seg.path, truncateErr)
	}
	l.segments = append(l.segments, seg)
	return nil
}
