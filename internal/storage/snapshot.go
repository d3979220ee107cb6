package storage

import (
	"fmt"
	"path/filepath"
	"strings"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotMagic  = "WXCSNP01"
)

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, index)
}

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix)
}

// writeSnapshot writes and syncs a snapshot file, unless a snapshot with the same
// or a higher index is stored already: it covers the same entries.
func (l *Log) writeSnapshot(s *replication.Snapshot) error {
	if l.snapshot != nil && l.snapshot.Index >= s.Index {
		return nil
	}
	content, err := codec.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	path := filepath.Join(l.dir, snapshotName(s.Index))
	if err := writeFile(l.files, path, checksummedHeader(snapshotMagic, content), content); err != nil {
		return fmt.Errorf("write snapshot %s: %w", path, err)
	}
	return nil
}

func readSnapshot(files fileSystem, path string) (*replication.Snapshot, error) {
	data, err := files.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("storage: read snapshot: %w", err)
	}
	content, err := checksummedContent(path, snapshotMagic, data)
	if err != nil {
		return nil, err
	}
	s, err := codec.DecodeSnapshot(content)
	if err != nil {
		return nil, &CorruptionError{Path: path, Offset: checksummedHeaderBytes, Reason: err.Error()}
	}
	return s, nil
}
