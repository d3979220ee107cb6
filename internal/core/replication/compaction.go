package replication

// CompactionLimits bounds the entries between two snapshots of the state machine. A snapshot is due once the
// entries are as large as the previous snapshot: then a replica without state is sent little more than twice the
// size of the state, and snapshots write no more than the log does.
type CompactionLimits struct {
	// Entries is the number of entries after which a snapshot is due whatever their size.
	Entries uint64
	// MinBytes and MaxBytes bound the size of the entries after which a snapshot is due.
	MinBytes, MaxBytes int
}

// Due reports whether a snapshot is due: entries with a total of entryBytes bytes were applied since the
// previous snapshot, which has snapshotBytes bytes.
func (l CompactionLimits) Due(entries uint64, entryBytes, snapshotBytes int) bool {
	limit := min(max(snapshotBytes, l.MinBytes), l.MaxBytes)
	return entries >= l.Entries || entryBytes >= limit
}
