// Package storage stores a replica's copy of the replicated log in one data
// directory: a segmented write-ahead log, snapshots, and the incarnation, a
// random number that identifies this disk.
//
// Each write appends one record with a checksum. A record is recovered either
// completely or not at all, and the write is acknowledged only after the record
// is synced. The first failed write or sync stops the log permanently: the
// content of the disk after a failed sync is unknown, so it is never retried.
//
// Recovery treats a damaged record as a torn write only if no intact record
// follows it; otherwise it refuses the directory. Damage to the last record
// can't be distinguished from a torn write: the log then ends one record earlier.
package storage
