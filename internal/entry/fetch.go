package entry

import (
	"context"
	"sync"
	"time"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Timing of fetching the configuration.
const (
	// fetchWait is how long a replica may hold a call until there is a newer
	// revision. It is short enough that a call over a dead connection ends
	// before a new configuration must be in force.
	fetchWait    = 700 * time.Millisecond
	fetchTimeout = 1200 * time.Millisecond
	fetchRetry   = 200 * time.Millisecond
	// firstFetchRetry is the delay before a starting entry asks a replica
	// again that did not answer: it may have started together with the entry
	// and listen a moment later. A replica that answers without a leader's
	// confirmation is asked at intervals that grow from firstFetchRetry to
	// fetchRetry.
	firstFetchRetry = 50 * time.Millisecond
	// savedConfirmTimeout is how long an entry with a saved configuration
	// waits for a quorum's confirmation, and peerTimeout bounds asking the
	// entries of its own zone.
	savedConfirmTimeout = 2 * time.Second
	peerTimeout         = 2 * time.Second
	// confirmTimeout is how long an entry without a saved configuration waits
	// for a quorum's confirmation.
	confirmTimeout = 10 * time.Second
)

// run fetches the first configuration from all reachable replicas and entries,
// and then follows the replicas.
func (h *configHolder) run(ctx context.Context) {
	h.fetchFirst(ctx)
	for ctx.Err() == nil {
		if h.fetchFromReplicas(ctx) {
			continue
		}
		h.fetchFromPeers(ctx)
		wait(ctx, fetchRetry)
	}
}

func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fetchFromReplicas asks the replicas for newer revisions, the leader first,
// until one answers with a quorum's confirmation. Only the leader holds the
// call until there is something new, and only a call to the leader
// acknowledges the revision that this entry has. It reports whether a replica
// confirmed.
func (h *configHolder) fetchFromReplicas(ctx context.Context) bool {
	addresses := h.entry.replicas.Addresses()
	if leader := h.entry.replicas.Leader(); leader != "" {
		addresses = append([]string{leader}, addresses...)
	}
	for _, address := range addresses {
		response, err := h.fetchFromReplica(ctx, address, h.request(fetchWait))
		if err != nil {
			continue
		}
		h.apply(address, response)
		h.entry.replicas.SetAddresses(response.Replicas)
		if response.Confirmed {
			h.entry.replicas.SetLeader(address)
			return true
		}
		if response.Leader != "" && response.Leader != address {
			h.entry.replicas.SetLeader(response.Leader)
		}
	}
	return false
}

// fetchFromReplica makes one call to a replica and records its result.
func (h *configHolder) fetchFromReplica(ctx context.Context, address string, request *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	call, cancel := context.WithTimeout(ctx, h.replicaTimeout)
	defer cancel()
	response, err := h.entry.replicas.Stub(address).FetchConfig(call, request)
	if ctx.Err() != nil {
		return response, err
	}
	h.entry.metrics.configFetches.WithLabelValues(fetchResult(response, err)).Inc()
	switch {
	case err != nil:
		h.entry.logger.Debug().Str("step", "fetch config").Str("peer", address).Err(err).Msg("fetching the configuration from a replica failed")
		h.sourceFailed(address, err)
	case response.Confirmed:
		h.sourceConfirmed(address)
	default:
		h.sourceFailed(address, errUnconfirmed)
	}
	return response, err
}

// fetchFirst puts the first configuration in force. The revision that replicas
// know may be older than the one this entry had in force before it restarted,
// so without a saved copy it waits for a quorum's confirmation. In a zone that
// is cut off none arrives; after a limited time the entry uses the newest
// revision that any reachable process has.
func (h *configHolder) fetchFirst(ctx context.Context) {
	timeout := confirmTimeout
	if h.saved {
		timeout = savedConfirmTimeout
	}
	h.runFirstFetch(ctx, timeout)
	if ctx.Err() == nil {
		h.sourceFailed(noSource, errNoSource)
	}
	h.publish()
	close(h.firstFetchDone)
}

// firstFetch asks all replicas and entries for the first configuration in
// parallel and repeatedly, so that one that does not answer does not delay the
// others.
type firstFetch struct {
	holder *configHolder
	stop   context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	asked map[string]bool
}

// runFirstFetch fetches until a quorum has confirmed the configuration or the
// timeout is over.
func (h *configHolder) runFirstFetch(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f := &firstFetch{holder: h, stop: cancel, asked: make(map[string]bool)}
	f.askReplicas(ctx)
	for _, peer := range h.entry.opts.Peers {
		f.group.Go(func() {
			for ctx.Err() == nil {
				h.fetchFromPeer(ctx, peer)
				wait(ctx, fetchRetry)
			}
		})
	}
	f.group.Wait()
}

// askReplicas starts asking the known replicas that are not being asked yet.
func (f *firstFetch) askReplicas(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.holder.entry.replicas.Addresses() {
		if f.asked[address] {
			continue
		}
		f.asked[address] = true
		f.group.Go(func() { f.askReplica(ctx, address) })
	}
}

// askReplica asks one replica until any replica has answered with a quorum's
// confirmation. A replica that knows no leader holds the call until there is
// one.
func (f *firstFetch) askReplica(ctx context.Context, address string) {
	h := f.holder
	delay := firstFetchRetry
	for ctx.Err() == nil {
		request := h.request(fetchWait)
		request.AwaitLeader = true
		response, err := h.fetchFromReplica(ctx, address, request)
		if err != nil {
			wait(ctx, firstFetchRetry)
			continue
		}
		h.stage(address, response)
		h.entry.replicas.SetAddresses(response.Replicas)
		if response.Confirmed {
			h.entry.replicas.SetLeader(address)
			f.stop()
			return
		}
		f.askReplicas(ctx)
		wait(ctx, delay)
		delay = min(2*delay, fetchRetry)
	}
}

// fetchFromPeers asks the entries of its own zone when no replica answers.
func (h *configHolder) fetchFromPeers(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, h.peerTimeout)
	defer cancel()
	for _, peer := range h.entry.opts.Peers {
		if peer.Zone == h.entry.opts.Zone {
			h.fetchFromPeer(call, peer)
		}
	}
	h.publish()
}

func (h *configHolder) fetchFromPeer(ctx context.Context, peer Peer) {
	stub := wire.NewPeerProtobufClient("http://"+peer.Address, h.entry.opts.Client)
	response, err := stub.Config(ctx, h.request(0))
	if err != nil {
		h.entry.logger.Debug().Str("step", "fetch config").Err(rpc.Wrap("fetch config", peer.Address, err)).Msg("fetching the configuration from another entry failed")
		return
	}
	h.stage(peer.Address, response)
}
