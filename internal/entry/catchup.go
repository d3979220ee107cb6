package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// catchUpInterval is how often an entry checks whether it has to ask another
	// one for records of streams.
	catchUpInterval = 50 * time.Millisecond
	// catchUpIdle is that interval once the entry lacks nothing.
	catchUpIdle = time.Second
	// catchUpTimeout bounds one call.
	catchUpTimeout = 2 * time.Second
)

// runCatchUp asks other entries for their records of streams while this one lacks them.
func (e *Entry) runCatchUp(ctx context.Context) {
	var progress lineage.CatchUp
	for ctx.Err() == nil {
		_, complete, resets := e.streams.reach()
		if progress.Due(e.now(), complete, resets) {
			e.catchUpOnce(ctx, &progress)
		}
		if complete && progress.Answers() > 0 {
			wait(ctx, catchUpIdle)
		} else {
			wait(ctx, catchUpInterval)
		}
	}
}

// catchUpOnce asks one of the other entries, if there is any.
func (e *Entry) catchUpOnce(ctx context.Context, progress *lineage.CatchUp) {
	peers := e.broadcaster.peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	snapshot, err := e.fetchStreams(ctx, peer)
	if err != nil {
		e.logger.Debug().Str("step", "catch up").Err(err).Msg("asking another entry for its records of streams failed; another one will be asked")
		progress.Failed(e.now())
		return
	}
	before, _, _ := e.streams.reach()
	e.streams.merge(snapshot)
	progress.Answered(e.now(), before, &snapshot)
	reach, _, _ := e.streams.reach()
	e.logger.Info().Str("step", "catch up").Str("peer", peer).Int("records", len(snapshot.Streams)).Int("versions", len(snapshot.Versions)).
		Int64("peer_reach_ms", snapshot.Reach.Milliseconds()).Int64("reach_ms", reach.Milliseconds()).Msg("got another entry's records of streams")
}

// peers returns the addresses of the other entries.
func (b *broadcaster) peers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	peers := make([]string, 0, len(b.addresses))
	for address := range b.addresses {
		if address != b.entry.opts.PeerAddress {
			peers = append(peers, address)
		}
	}
	return peers
}

func (e *Entry) fetchStreams(ctx context.Context, peer string) (lineage.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	stub := wire.NewPeerProtobufClient("http://"+peer, e.opts.Client)
	response, err := stub.Streams(ctx, &wire.StreamsRequest{})
	if err != nil {
		return lineage.Snapshot{}, rpc.Wrap("fetch streams", peer, err)
	}
	snapshot, err := codec.StreamsFromWire(response)
	if err != nil {
		return lineage.Snapshot{}, fmt.Errorf("fetch streams: peer %s: %w", peer, err)
	}
	return snapshot, nil
}

// Streams returns the records and the history of this entry's streams.
func (s *PeerService) Streams(context.Context, *wire.StreamsRequest) (*wire.StreamsResponse, error) {
	return codec.StreamsToWire(s.entry.streams.snapshot()), nil
}
