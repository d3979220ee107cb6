// Package storage keeps a replica's share of the replicated log under one data
// folder: a write-ahead log in segments, snapshots, and the incarnation that
// names this disk.
//
// A write is one record with a checksum and is in force as a whole or not at
// all; it is acknowledged only after it is synced. The first failed write or
// sync stops the log for good: what a failed sync left on the disk is unknown,
// so it is never retried.
//
// At recovery a damaged record is taken for a torn write only if no whole one
// follows it; otherwise the folder is refused. Damage to the very last record
// can't be told from a torn write: the log then ends one record earlier.
package storage
