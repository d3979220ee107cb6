package replication

// indexedMembership is a membership with the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// entryLog is the part of the log that is kept in memory, with the latest
// snapshot. Invariant: baseIndex <= snapshot index <= commit <= lastIndex, and
// stable <= submitted <= lastIndex.
type entryLog struct {
	// baseIndex and baseTerm are the index and term of the entry before
	// entries[0].
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// bytes is the size of entries.
	bytes int
	// stable is the last synced index, and submitted the last index that was
	// returned to the caller to be synced.
	stable    uint64
	submitted uint64
	commit    uint64
	// memberships holds the membership in force at baseIndex and all later
	// ones.
	memberships []indexedMembership
	// snapshot is the latest snapshot, or nil.
	snapshot *Snapshot
}

// newEntryLog returns a log with the restored state. The entries must be
// contiguous and follow the snapshot.
func newEntryLog(r Restored) entryLog {
	l := entryLog{memberships: []indexedMembership{{}}}
	if r.Snapshot != nil {
		l.reset(r.Snapshot)
	}
	for _, e := range r.Entries {
		l.push(e)
	}
	l.stable = l.lastIndex()
	l.submitted = l.lastIndex()
	l.commit = max(l.commit, r.HardState.Commit)
	return l
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(s *Snapshot) {
	l.baseIndex = s.Index
	l.baseTerm = s.Term
	l.entries = nil
	l.bytes = 0
	l.stable = 0
	l.submitted = s.Index
	l.commit = s.Index
	l.memberships = []indexedMembership{{index: s.Index, membership: s.Membership}}
	l.snapshot = s
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index, and false if that entry is
// compacted or not in the log yet.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// entriesBetween returns the entries in [from, to], limited to maxBytes but with
// at least one entry. The caller must not modify them.
func (l *entryLog) entriesBetween(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	all := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	size := 0
	for i := range all {
		size += entryBytes(&all[i])
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// entryOverheadBytes is the size that is added to the data of an entry for its
// index, term and kind.
const entryOverheadBytes = 24

func entryBytes(e *Entry) int {
	return len(e.Data) + entryOverheadBytes
}

func totalBytes(entries []Entry) (bytes int) {
	for i := range entries {
		bytes += entryBytes(&entries[i])
	}
	return bytes
}

// push appends the entry with the next index.
func (l *entryLog) push(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += entryBytes(&e)
	if e.Kind == EntryMembership && e.Membership != nil {
		l.memberships = append(l.memberships, indexedMembership{e.Index, *e.Membership})
	}
}

// truncate drops the entries from index on, none of which is committed. It copies
// the rest, since messages and writes may still refer to the old slice.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.baseIndex-1]
	l.bytes -= totalBytes(l.entries[len(kept):])
	l.entries = append(make([]Entry, 0, len(kept)+1), kept...)
	l.stable = min(l.stable, index-1)
	l.submitted = min(l.submitted, index-1)
	for len(l.memberships) > 1 && l.membershipIndex() >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// mergeEntries adds entries that follow a matching entry and replaces conflicting
// ones. It returns the index from which the log was truncated, or 0.
func (l *entryLog) mergeEntries(entries []Entry) (truncatedFrom uint64) {
	for _, e := range entries {
		if e.Index <= l.baseIndex {
			continue
		}
		term, ok := l.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			l.truncate(e.Index)
			truncatedFrom = e.Index
		}
		l.push(e)
	}
	return truncatedFrom
}

// membership returns the latest membership, committed or not.
func (l *entryLog) membership() *Membership {
	return &l.memberships[len(l.memberships)-1].membership
}

func (l *entryLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

// membershipAt returns the membership in force at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].membership
		}
	}
	return l.memberships[0].membership
}

// compact sets the latest synced snapshot and drops the entries that it covers,
// except those that are retained for peers that lag behind.
func (l *entryLog) compact(s *Snapshot, retainEntries uint64, retainBytes int) {
	if s.Index > l.commit || (l.snapshot != nil && s.Index <= l.snapshot.Index) {
		return
	}
	l.snapshot = s
	base := l.retainedBase(s.Index, retainEntries, retainBytes)
	if base <= l.baseIndex {
		return
	}
	term, _ := l.termAt(base)
	membership := l.membershipAt(base)
	later := []indexedMembership{{index: base, membership: membership}}
	for _, m := range l.memberships[1:] {
		if m.index > base {
			later = append(later, m)
		}
	}
	dropped := base - l.baseIndex
	l.bytes -= totalBytes(l.entries[:dropped])
	l.entries = append([]Entry(nil), l.entries[dropped:]...)
	l.memberships = later
	l.baseIndex = base
	l.baseTerm = term
}

// retainedBase returns the index before the first entry that is kept when the log
// is compacted with a snapshot at index. At most retainEntries entries with
// retainBytes bytes up to index are kept.
func (l *entryLog) retainedBase(index, retainEntries uint64, retainBytes int) uint64 {
	base := index
	for base > l.baseIndex && index-base < retainEntries {
		retainBytes -= entryBytes(&l.entries[base-l.baseIndex-1])
		if retainBytes < 0 {
			break
		}
		base--
	}
	return base
}

// snapshotIsShorter reports whether the snapshot is smaller than the entries that it covers from index
// first on, so that a peer which lacks them has them sooner by the snapshot.
func (l *entryLog) snapshotIsShorter(first uint64) bool {
	if l.snapshot == nil || first <= l.baseIndex || first > l.snapshot.Index {
		return false
	}
	left := len(l.snapshot.Data)
	for _, e := range l.entries[first-l.baseIndex-1 : l.snapshot.Index-l.baseIndex] {
		if left -= entryBytes(&e); left < 0 {
			return true
		}
	}
	return false
}

// isUpToDate reports whether a log that ends with the given entry holds all
// entries that this log may have helped to commit.
func (l *entryLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// conflictHint returns the last index at which the log may match that of a leader
// whose entry at prev differs. It skips all entries of the conflicting term.
func (l *entryLog) conflictHint(prev uint64) uint64 {
	if prev > l.lastIndex() {
		return l.lastIndex()
	}
	term, ok := l.termAt(prev)
	if !ok {
		return l.commit
	}
	hint := prev
	for hint > l.commit {
		t, ok := l.termAt(hint)
		if !ok || t != term {
			break
		}
		hint--
	}
	return hint
}
