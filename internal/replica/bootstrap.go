package replica

import (
	"context"
	"fmt"
	"time"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/wire"
)

// Timing of the bootstrap.
const (
	bootstrapInterval = 300 * time.Millisecond
	probeTimeout      = time.Second
)

// runBootstrap starts a new log once every other replica has answered that its
// disk holds none. A replica that lost its disk thus finds the log on the others
// and joins it. While any of them is unreachable, no log is started.
func (r *Replica) runBootstrap(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for {
		switch r.probePeers(ctx) {
		case peersUnused:
			r.bootstrap(ctx)
			return
		case peersUsed:
			r.logger.Info().Str("step", "bootstrap").Msg("another replica has a log on disk; joining it instead of starting a new one")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// peersState says whether any other replica has a log on disk.
type peersState uint8

const (
	peersUnknown peersState = iota
	peersUnused
	peersUsed
)

// probePeers asks the other replicas whether they have a log on disk.
func (r *Replica) probePeers(ctx context.Context) peersState {
	unreachable := false
	for _, peer := range r.opts.Peers {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		response, err := newStub(peer.Address, r.opts.Client).Probe(callCtx, &wire.ProbeRequest{})
		cancel()
		if err != nil {
			unreachable = true
			continue
		}
		if response.Used {
			return peersUsed
		}
	}
	if unreachable {
		return peersUnknown
	}
	return peersUnused
}

// bootstrap replaces the node, if it has not taken part in any log, with the only
// voter of a new log.
func (r *Replica) bootstrap(ctx context.Context) {
	err := r.runInLoop(ctx, func() {
		// A node that has voted, or that still has a write pending, already takes
		// part in a log.
		if !r.log.Empty() || r.node.Status().Term != 0 {
			return
		}
		if err := r.startLog(); err != nil {
			r.fatal <- err
		}
	})
	if err != nil {
		r.logger.Error().Str("step", "bootstrap").Err(err).Msg("starting a new log failed")
	}
}

func (r *Replica) startLog() error {
	self := r.self()
	restored := replication.Bootstrap([]replication.Member{self})
	if err := r.log.SaveSnapshot(*restored.Snapshot); err != nil {
		return fmt.Errorf("bootstrap: save first snapshot: %w", err)
	}
	node, err := replication.New(r.nodeOptions(self), restored)
	if err != nil {
		return fmt.Errorf("bootstrap: create node: %w", err)
	}
	r.node = node
	r.logger.Info().Str("step", "bootstrap").Uint64("incarnation", self.ID.Incarnation).Msg("new log started")
	return nil
}
