// Package savedfile keeps small files that are replaced as a whole and checked when they are read.
package savedfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// checksumBytes is the length of the checksum at the start of a file.
const checksumBytes = 8

var errChecksum = errors.New("checksum does not match")

// Read returns the content of a file. The error wraps fs.ErrNotExist if there is none.
func Read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return nil, errChecksum
	}
	return data[checksumBytes:], nil
}

// fileMode lets only the owner read a file.
const fileMode = 0o600

// Replace replaces the content of a file atomically, and returns once it is durable: it
// writes and syncs a new file, renames it, and syncs the directory.
func Replace(path string, content []byte) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	temporary := path + ".new"
	data := append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(content)), content...)
	if err := writeSynced(temporary, data); err != nil {
		// A part of a file would take up room on a disk that may be full.
		_ = os.Remove(temporary)
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return syncDir(dir)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	return nil
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open directory: %w", err)
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("sync directory: %w", err)
	}
	return nil
}
