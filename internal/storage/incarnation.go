package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
)

const (
	incarnationName  = "incarnation"
	incarnationMagic = "WXCINC01"
)

// newIncarnation returns a random nonzero number.
func newIncarnation() (uint64, error) {
	var buf [8]byte
	for {
		if _, err := rand.Read(buf[:]); err != nil {
			return 0, fmt.Errorf("storage: generate incarnation: %w", err)
		}
		if n := binary.LittleEndian.Uint64(buf[:]); n != 0 {
			return n, nil
		}
	}
}

// readIncarnation returns 0 if the data directory has no incarnation.
func readIncarnation(files fileSystem, dir string) (uint64, error) {
	path := filepath.Join(dir, incarnationName)
	data, err := files.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("storage: read incarnation: %w", err)
	}
	content, err := checksummedContent(path, incarnationMagic, data)
	if err != nil {
		return 0, err
	}
	if len(content) != 8 {
		return 0, &CorruptionError{Path: path, Offset: checksummedHeaderBytes, Reason: "wrong length"}
	}
	return binary.LittleEndian.Uint64(content), nil
}

func writeIncarnation(files fileSystem, dir string, incarnation uint64) error {
	content := binary.LittleEndian.AppendUint64(nil, incarnation)
	path := filepath.Join(dir, incarnationName)
	if err := writeFile(files, path, checksummedHeader(incarnationMagic, content), content); err != nil {
		return fmt.Errorf("storage: write incarnation: %w", err)
	}
	return nil
}
