package storage

import (
	"fmt"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

// replay rebuilds the log from its records. Obsolete segments are removed, so the
// first record may start at any index.
type replay struct {
	hardState replication.HardState
	// base is the index before entries[0]. It is valid once baseKnown is set, by
	// the first entry or installed snapshot.
	base      uint64
	baseKnown bool
	entries   []replication.Entry
	// installed is the index of the snapshot that was installed last.
	installed uint64
}

func (r *replay) apply(rec *codec.LogRecord) error {
	if rec.Installed {
		r.base = rec.SnapshotIndex
		r.baseKnown = true
		r.entries = nil
		r.installed = rec.SnapshotIndex
	}
	r.hardState = rec.HardState
	if len(rec.Entries) == 0 {
		return nil
	}
	first := rec.Entries[0].Index
	if !r.baseKnown {
		r.baseKnown = true
		r.base = first - 1
	}
	if first <= r.base {
		r.base = first - 1
		r.entries = nil
	}
	last := r.base + uint64(len(r.entries))
	if first > last+1 {
		return fmt.Errorf("entry %d follows entry %d", first, last)
	}
	r.entries = append(r.entries[:first-1-r.base], rec.Entries...)
	return nil
}

// restore combines the log with the newest snapshot. It returns replaced as true
// if the snapshot replaces the log, but the log has no record of its installation.
func (r *replay) restore(s *replication.Snapshot) (_ replication.Restored, replaced bool, _ error) {
	restored := replication.Restored{HardState: r.hardState, Snapshot: s}
	var index, term uint64
	if s != nil {
		index, term = s.Index, s.Term
	}
	if r.installed > index {
		return restored, false, fmt.Errorf("snapshot %d is missing", r.installed)
	}
	if r.baseKnown && r.base > index {
		return restored, false, fmt.Errorf("entries %d to %d are missing", index+1, r.base)
	}
	restored.HardState.Commit = max(restored.HardState.Commit, index)
	last := r.base + uint64(len(r.entries))
	if !r.baseKnown || last < index || r.conflicts(index, term) {
		return restored, r.baseKnown, nil
	}
	restored.Entries = r.entries[index-r.base:]
	return restored, false, nil
}

// conflicts reports whether the log's entry at the snapshot's index has another
// term. This follows a crash between the sync of a received snapshot and the
// record that discards the conflicting entries.
func (r *replay) conflicts(index, term uint64) bool {
	return index > r.base && r.entries[index-r.base-1].Term != term
}
