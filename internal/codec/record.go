package codec

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/wire"
)

// LogRecord is the content of one record in the write-ahead log.
type LogRecord struct {
	HardState replication.HardState
	Entries   []replication.Entry
	// Installed is true if a snapshot replaced the log before Entries.
	// SnapshotIndex and SnapshotTerm then identify this snapshot.
	Installed     bool
	SnapshotIndex uint64
	SnapshotTerm  uint64
}

// AppendLogRecord appends the encoded record to buf.
func AppendLogRecord(buf []byte, r *LogRecord) ([]byte, error) {
	w := wire.LogRecord{
		Term:          r.HardState.Term,
		Vote:          nodeIDToWire(r.HardState.Vote),
		Commit:        r.HardState.Commit,
		Entries:       entriesToWire(r.Entries),
		Installed:     r.Installed,
		SnapshotIndex: r.SnapshotIndex,
		SnapshotTerm:  r.SnapshotTerm,
		Holder:        nodeIDToWire(r.HardState.LeaseHolder),
		HolderTerm:    r.HardState.LeaseHolderTerm,
	}
	data, err := proto.MarshalOptions{}.MarshalAppend(buf, &w)
	if err != nil {
		return buf, fmt.Errorf("encode log record: %w", err)
	}
	return data, nil
}

// DecodeLogRecord decodes a record and validates it.
func DecodeLogRecord(data []byte) (LogRecord, error) {
	var w wire.LogRecord
	if err := proto.Unmarshal(data, &w); err != nil {
		return LogRecord{}, fmt.Errorf("decode log record: %w", err)
	}
	entries, err := entriesFromWire(w.GetEntries())
	if err != nil {
		return LogRecord{}, fmt.Errorf("decode log record: %w", err)
	}
	return LogRecord{
		HardState: replication.HardState{
			Term:   w.GetTerm(),
			Vote:   nodeIDFromWire(w.GetVote()),
			Commit: w.GetCommit(),

			LeaseHolder:     nodeIDFromWire(w.GetHolder()),
			LeaseHolderTerm: w.GetHolderTerm(),
		},
		Entries:       entries,
		Installed:     w.GetInstalled(),
		SnapshotIndex: w.GetSnapshotIndex(),
		SnapshotTerm:  w.GetSnapshotTerm(),
	}, nil
}

// EncodeSnapshot encodes a snapshot for storage on disk.
func EncodeSnapshot(s *replication.Snapshot) ([]byte, error) {
	data, err := proto.Marshal(snapshotToWire(s))
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// DecodeSnapshot is the inverse of EncodeSnapshot.
func DecodeSnapshot(data []byte) (*replication.Snapshot, error) {
	var w wire.LogSnapshot
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return snapshotFromWire(&w), nil
}
