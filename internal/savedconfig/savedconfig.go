// Package savedconfig keeps an entry's copy of the configuration in force on disk.
package savedconfig

import (
	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/savedfile"
)

// Load reads a saved configuration. The error wraps fs.ErrNotExist if there is none.
func Load(path string) (state.Delta, error) {
	data, err := savedfile.Read(path)
	if err != nil {
		return state.Delta{}, err
	}
	return codec.DecodeDelta(data)
}

// Save replaces a saved configuration atomically, and returns once it is durable.
func Save(path string, delta state.Delta) error {
	data, err := codec.EncodeDelta(delta)
	if err != nil {
		return err
	}
	return savedfile.Replace(path, data)
}
