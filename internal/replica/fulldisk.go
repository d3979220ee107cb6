package replica

import (
	"context"
	"time"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/storage"
)

const (
	// roomInterval is how often a write is repeated for which the disk had no room, and
	// openInterval how often a data directory is opened again that can't be set up.
	roomInterval = 100 * time.Millisecond
	openInterval = 500 * time.Millisecond
	// maxUnwritten is the number of waiting writes from which on a replica whose disk is full takes no
	// more messages of the others. The loop must not wait for the writer.
	maxUnwritten = writeQueueLength / 2
)

// untilRoom calls write until it doesn't fail for want of room or the context ends. The replica
// takes part in the log while it waits, but acknowledges nothing that is not written.
func (r *Replica) untilRoom(ctx context.Context, step string, write func() error) error {
	err := write()
	if !storage.IsFull(err) {
		return err
	}
	began := r.now()
	r.setDiskFull(ctx, true)
	defer r.setDiskFull(ctx, false)
	r.logger.Warn().Str("step", "disk").Str("peer", r.opts.DataDir).Str("write", step).Err(err).
		Msg("the disk is full; the replica does not lead and acknowledges nothing until there is room")
	for storage.IsFull(err) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(roomInterval):
		}
		err = write()
	}
	r.logger.Info().Str("step", "disk").Str("peer", r.opts.DataDir).Str("write", step).Int64("after_ms", (r.now() - began).Milliseconds()).
		Msg("the disk has room again")
	return err
}

// setDiskFull counts the writes that wait for room. With the first one, the replica resigns if it
// leads: it can commit no entry of its own.
func (r *Replica) setDiskFull(ctx context.Context, full bool) {
	change := int32(-1)
	if full {
		change = 1
	}
	waiting := r.diskFull.Add(change)
	r.metrics.diskFull.WithLabelValues().Set(float64(min(waiting, 1)))
	if !full || waiting > 1 {
		return
	}
	go func() {
		select {
		case r.inbox <- task{event: replication.Resign{}}:
		case <-ctx.Done():
		}
	}()
}

// skips reports whether an event is left out while the disk is full: the replica doesn't campaign, and
// the writes that wait stay few.
func (r *Replica) skips(ev replication.Event) bool {
	if r.diskFull.Load() == 0 {
		return false
	}
	switch ev.(type) {
	case replication.Tick:
		return r.node.Status().Role != replication.RoleLeader
	case replication.Receive, replication.Join:
		return len(r.writes) >= maxUnwritten
	}
	return false
}

// openStorage opens the data directory, and waits for room if that is all that it lacks.
func openStorage(dir string, opts Options) (*storage.Log, error) {
	for waited := false; ; waited = true {
		store, err := storage.Open(dir, storage.Options{})
		if !storage.IsFull(err) {
			return store, err
		}
		if !waited {
			opts.Logger.Warn().Str("step", "disk").Str("peer", dir).Str("write", "open").Err(err).Msg("the disk is full; the replica starts once there is room")
		}
		time.Sleep(openInterval)
	}
}
