// Package savedconfig keeps an entry's copy of the configuration in force on disk.
package savedconfig

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/state"
)

// Load reads a saved configuration. The error wraps fs.ErrNotExist if there is none.
func Load(path string) (state.Delta, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return state.Delta{}, err
	}
	return decode(data)
}

// Save replaces a saved configuration atomically, and returns once it is durable.
func Save(path string, delta state.Delta) error {
	data, err := encode(delta)
	if err != nil {
		return err
	}
	return replaceFile(path, data)
}

var errChecksum = errors.New("checksum does not match")

// encode returns the file's content: a checksum of 8 bytes, then the
// encoded delta.
func encode(delta state.Delta) ([]byte, error) {
	data, err := codec.EncodeDelta(delta)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...), nil
}

func decode(data []byte) (state.Delta, error) {
	const checksumBytes = 8
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return state.Delta{}, errChecksum
	}
	return codec.DecodeDelta(data[checksumBytes:])
}

// savedFileMode lets only the owner read the file.
const savedFileMode = 0o600

// replaceFile replaces a file atomically: it writes and syncs a new file,
// renames it, and syncs the directory.
func replaceFile(path string, data []byte) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	temporary := path + ".new"
	if err := writeFileSynced(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return syncDir(dir)
}

func writeFileSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, savedFileMode)
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
