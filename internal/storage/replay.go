package storage

import (
	"fmt"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
)

// replay rebuilds the log from its records. Old segments may be gone, so the
// first record may start at any index.
type replay struct {
	hardState replication.HardState
	// base is the index before entries[0]; it is known once an entry or an
	// installed snapshot was seen.
	base    uint64
	known   bool
	entries []replication.Entry
	// installed is the index of the last installed snapshot.
	installed uint64
}

func (r *replay) apply(rec *codec.Record) error {
	if rec.Installed {
		r.base = rec.SnapshotIndex
		r.known = true
		r.entries = nil
		r.installed = rec.SnapshotIndex
	}
	r.hardState = rec.HardState
	if len(rec.Entries) == 0 {
		return nil
	}
	first := rec.Entries[0].Index
	if !r.known {
		r.known = true
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

// restored joins the log with the newest snapshot. It returns replaced if the
// snapshot takes the place of records that no record marks as replaced.
func (r *replay) restored(s *replication.Snapshot) (_ replication.Restored, replaced bool, _ error) {
	restored := replication.Restored{HardState: r.hardState, Snapshot: s}
	var index, term uint64
	if s != nil {
		index, term = s.Index, s.Term
	}
	if r.installed > index {
		return restored, false, fmt.Errorf("snapshot %d is missing", r.installed)
	}
	if r.known && r.base > index {
		return restored, false, fmt.Errorf("entries %d to %d are missing", index+1, r.base)
	}
	restored.HardState.Commit = max(restored.HardState.Commit, index)
	last := r.base + uint64(len(r.entries))
	if !r.known || last < index || r.conflicts(index, term) {
		return restored, r.known, nil
	}
	restored.Entries = r.entries[index-r.base:]
	return restored, false, nil
}

// conflicts is true if the log holds another entry where the snapshot ends. A
// received snapshot is synced before the record that replaces such a log.
func (r *replay) conflicts(index, term uint64) bool {
	return index > r.base && r.entries[index-r.base-1].Term != term
}
