package entry

import (
	"errors"
	"io/fs"
	"path/filepath"

	"waxwingcart/internal/core/state"
	"waxwingcart/internal/savedconfig"
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
	delta, err := savedconfig.Load(h.savedPath())
	if errors.Is(err, fs.ErrNotExist) {
		return
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
		if err := savedconfig.Save(h.savedPath(), delta); err != nil {
			h.entry.logger.Error().Str("step", "save config").Str("peer", h.savedPath()).Err(err).Msg("saving the configuration failed")
		}
	}
}
