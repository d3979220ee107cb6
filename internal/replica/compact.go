package replica

import (
	"context"
	"fmt"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
)

// compaction bounds the log that a replica reads at its start, and that one with an empty disk is sent.
var compaction = replication.CompactionLimits{
	Entries:  20_000,
	MinBytes: 4 << 20,
	MaxBytes: 64 << 20,
}

// snapshotJob is a copy of the state to be encoded and saved.
type snapshotJob struct {
	snapshot replication.Snapshot
	state    *state.Snapshot
}

// compact starts a snapshot if one is due. The state is copied here, in the loop, and encoded
// by runSnapshots.
func (r *Replica) compact() {
	if r.compacting || !compaction.Due(r.applied-r.compactedAt, r.bytesApplied, r.snapshotBytes) {
		return
	}
	snapshot, ok := r.node.SnapshotAt(r.applied, nil)
	if !ok {
		return
	}
	r.compacting = true
	r.compactedAt = r.applied
	r.bytesApplied = 0
	r.snapshots <- &snapshotJob{snapshot: snapshot, state: r.machine.Snapshot()}
}

// runSnapshots encodes and saves snapshots. It runs concurrently with the
// writer, so that log writes don't wait for snapshots.
func (r *Replica) runSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-r.snapshots:
			err := r.writeSnapshot(ctx, job)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				r.reportFatal("snapshot", err)
				return
			}
		}
	}
}

func (r *Replica) writeSnapshot(ctx context.Context, job *snapshotJob) error {
	data, err := codec.EncodeState(job.state)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	job.snapshot.Data = data
	if err := r.untilRoom(ctx, "snapshot", func() error { return r.log.SaveSnapshot(job.snapshot) }); err != nil {
		return err
	}
	r.savedSnapshots <- job.snapshot
	return nil
}
