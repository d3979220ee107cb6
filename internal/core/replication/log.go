package replication

// placedMembership is a membership with the index of its entry.
type placedMembership struct {
	index      uint64
	membership Membership
}

// entryLog is the part of the log that is held in memory, with the latest
// snapshot. Invariant: baseIndex <= snapshot index <= commit <= lastIndex, and
// stable <= handed <= lastIndex.
type entryLog struct {
	// baseIndex and baseTerm name the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// bytes is the size of the entries in memory.
	bytes int
	// stable is the last synced index, handed the last index that was handed
	// out to be synced.
	stable uint64
	handed uint64
	commit uint64
	// memberships holds the one in force at baseIndex and all later ones.
	memberships []placedMembership
	snapshot    *Snapshot
}

// newEntryLog takes over what storage found. The entries are contiguous and
// follow the snapshot.
func newEntryLog(r Restored) entryLog {
	l := entryLog{memberships: []placedMembership{{}}}
	if r.Snapshot != nil {
		l.reset(r.Snapshot)
	}
	for _, e := range r.Entries {
		l.push(e)
	}
	l.stable = l.lastIndex()
	l.handed = l.lastIndex()
	l.commit = max(l.commit, r.HardState.Commit)
	return l
}

// reset drops all entries and starts behind the snapshot.
func (l *entryLog) reset(s *Snapshot) {
	l.baseIndex = s.Index
	l.baseTerm = s.Term
	l.entries = nil
	l.bytes = 0
	l.stable = 0
	l.handed = s.Index
	l.commit = s.Index
	l.memberships = []placedMembership{{index: s.Index, membership: s.Membership}}
	l.snapshot = s
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns false for an index that is compacted or not yet there.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// between returns the entries in [from, to], cut to maxBytes of data but with
// one entry at least. The caller must not change them.
func (l *entryLog) between(from, to uint64, maxBytes int) []Entry {
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

// entryOverheadBytes accounts for index, term and kind of an entry.
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

func (l *entryLog) push(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += entryBytes(&e)
	if e.Kind == EntryMembership && e.Membership != nil {
		l.memberships = append(l.memberships, placedMembership{e.Index, *e.Membership})
	}
}

// truncate drops the entries from index on. They are not committed. The slice
// is copied, since messages and writes may still refer to the old entries.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.baseIndex-1]
	l.bytes -= totalBytes(l.entries[len(kept):])
	l.entries = append(make([]Entry, 0, len(kept)+1), kept...)
	l.stable = min(l.stable, index-1)
	l.handed = min(l.handed, index-1)
	for len(l.memberships) > 1 && l.membershipIndex() >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// store adds entries that follow a matching entry, replacing conflicting ones.
// It returns the index from which the log was truncated, or 0.
func (l *entryLog) store(entries []Entry) (truncatedFrom uint64) {
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

// compact notes a synced snapshot and drops the entries that are older than
// the retained tail before it.
func (l *entryLog) compact(s *Snapshot, retain uint64, retainBytes int) {
	if s.Index > l.commit || (l.snapshot != nil && s.Index <= l.snapshot.Index) {
		return
	}
	l.snapshot = s
	base := l.retainedBase(s.Index, retain, retainBytes)
	if base <= l.baseIndex {
		return
	}
	term, _ := l.termAt(base)
	membership := l.membershipAt(base)
	later := []placedMembership{{index: base, membership: membership}}
	for _, p := range l.memberships[1:] {
		if p.index > base {
			later = append(later, p)
		}
	}
	dropped := base - l.baseIndex
	l.bytes -= totalBytes(l.entries[:dropped])
	l.entries = append([]Entry(nil), l.entries[dropped:]...)
	l.memberships = later
	l.baseIndex = base
	l.baseTerm = term
}

// retainedBase returns the index before the tail that is kept in front of a
// snapshot at index.
func (l *entryLog) retainedBase(index, retain uint64, retainBytes int) uint64 {
	base := index
	for base > l.baseIndex && index-base < retain {
		retainBytes -= entryBytes(&l.entries[base-l.baseIndex-1])
		if retainBytes < 0 {
			break
		}
		base--
	}
	return base
}

// upToDate tells whether a log that ends with the given entry holds everything
// that this one may have helped to commit.
func (l *entryLog) upToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// conflictHint returns the last index that may match a leader whose entry at
// prev does not: it skips all entries of the conflicting term.
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
