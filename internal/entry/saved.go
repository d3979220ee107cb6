package entry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/state"
)

// savedFileName is the name of the file that holds the configuration in force.
const savedFileName = "config"

func (h *configHolder) savedPath() string {
	return filepath.Join(h.entry.opts.DataDir, "entry", savedFileName)
}

// load reads the configuration that was in force before a restart, so that a
// restarted entry never goes back to an older one. A damaged file is ignored:
// the replicas and the zone's entries still answer.
func (h *configHolder) load() {
	if h.entry.opts.DataDir == "" {
		return
	}
	data, err := os.ReadFile(h.savedPath())
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var delta state.Delta
	if err == nil {
		delta, err = decodeSaved(data)
	}
	if err != nil {
		h.entry.logger.Error().Str("step", "load config").Str("peer", h.savedPath()).Err(err).Msg("reading the saved configuration failed; starting without it")
		return
	}
	h.view.Step(0, state.DeltasReceived{From: h.savedPath(), Deltas: []state.Delta{delta}, Revision: delta.Revision})
	h.from, h.saved = h.savedPath(), h.view.Revision() > 0
}

// save writes a configuration before it is put in force. The caller holds
// publishing. If it fails the entry continues; only a restart in a zone that is
// cut off depends on the copy.
func (h *configHolder) save(deltas []state.Delta) {
	for _, delta := range deltas {
		data, err := encodeSaved(delta)
		if err == nil {
			err = replaceFile(h.savedPath(), data)
		}
		if err != nil {
			h.entry.logger.Error().Str("step", "save config").Str("peer", h.savedPath()).Err(err).Msg("saving the configuration failed")
		}
	}
}

var errChecksum = errors.New("checksum does not match")

// encodeSaved returns the file's content: a checksum of 8 bytes, then the
// encoded delta.
func encodeSaved(delta state.Delta) ([]byte, error) {
	data, err := codec.EncodeDelta(delta)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...), nil
}

func decodeSaved(data []byte) (state.Delta, error) {
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
