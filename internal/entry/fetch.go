package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"waxwingcart/internal/configdelta"
	"waxwingcart/internal/configsource"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Timing of fetching the configuration.
const (
	// fetchWait is how long a replica may hold a call until there is a newer
	// revision. It is short enough that a call over a dead connection ends
	// before a new configuration must be in force.
	fetchWait = 700 * time.Millisecond
	// pollsPerSecond is the rate of calls that the leader answers without a newer revision, for all
	// entries together. In a large deployment each call waits longer for that, by at most
	// maxExtraWait.
	pollsPerSecond = 200
	maxExtraWait   = 700 * time.Millisecond
	// fetchTimeout is the longest time without progress of a call, and fetchLongest that of
	// the whole transfer of a long document over a full link.
	fetchTimeout = 1200 * time.Millisecond
	fetchLongest = 10 * time.Second
	// overdueAfter is the time without progress after which an entry stops relying on the replica that confirmed
	// last and asks the others as well. It exceeds fetchWait by overdueMargin,
	// for the round trip and a busy processor.
	overdueAfter  = fetchWait + overdueMargin
	overdueMargin = 200 * time.Millisecond
	fetchRetry    = 200 * time.Millisecond
	// answerOverdue is how long a starting entry waits for one process before it asks the next one as
	// well. It is several times a round trip and a confirmation by a quorum.
	answerOverdue = 200 * time.Millisecond
	// firstFetchRetry is the delay before a starting entry asks a replica
	// again that did not answer: it may have started together with the entry
	// and listen a moment later. A replica that answers without a leader's
	// confirmation is asked at intervals that grow from firstFetchRetry to
	// fetchRetry.
	firstFetchRetry = 50 * time.Millisecond
	// savedConfirmTimeout is how long an entry with a saved configuration
	// waits for a quorum's confirmation.
	savedConfirmTimeout = 2 * time.Second
	// peerTimeout bounds a call to another entry, and peerRetry is the delay
	// between two calls to an entry of the own zone.
	peerTimeout = 2 * time.Second
	peerRetry   = time.Second
	// confirmTimeout is how long an entry without a saved configuration waits
	// for a quorum's confirmation.
	confirmTimeout = 10 * time.Second
)

// run fetches the first configuration from all reachable replicas and entries,
// and then follows the replicas.
func (h *configHolder) run(ctx context.Context) {
	h.fetchFirst(ctx)
	for ctx.Err() == nil {
		if delay := h.fetchNext(ctx); delay > 0 {
			wait(ctx, delay)
		}
	}
}

// fetchNext fetches until a replica confirms, and returns the time to wait before
// the next call. A replica answers at once while the entry lacks a revision, and so
// would one whose answer the entry can't apply.
func (h *configHolder) fetchNext(ctx context.Context) time.Duration {
	h.follow(ctx)
	if h.lastRejected() {
		return fetchRetry
	}
	return 0
}

func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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
		h.sourceFailed(configsource.None, configsource.ErrNone)
	}
	h.publish()
	close(h.firstFetchDone)
}

// runFirstFetch fetches until a quorum has confirmed the configuration or the
// timeout is over.
func (h *configHolder) runFirstFetch(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s := newSearch(h, cancel, firstFetchRetry, h.stage)
	s.inTurn = true
	s.group.Go(func() {
		configdelta.InTurn(ctx, h.answerOverdue, s.nextReplica, func(address string) <-chan struct{} { return s.askReplica(ctx, address) })
	})
	s.group.Go(func() { s.askPeers(ctx) })
	s.group.Wait()
}

// follow fetches until a replica answers with a quorum's confirmation. The
// source holds its call until there is a newer revision, and its call also
// acknowledges the revision that this entry has. If the source fails or is
// overdue, all other replicas and the entries of the own zone are asked while
// its call is still pending.
func (h *configHolder) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newSearch(h, cancel, fetchRetry, h.apply)
	if source := h.source.Current(); source != configsource.None {
		s.askSource(ctx, source)
	}
	if ctx.Err() == nil {
		s.askZone(ctx)
	}
	for ctx.Err() == nil {
		s.askReplicas(ctx)
		wait(ctx, fetchRetry)
	}
	s.group.Wait()
}

// search asks replicas and entries for the configuration until a replica answers
// with a quorum's confirmation. Each process is asked in a goroutine of its own,
// so that one that does not answer delays no other, and has at most one call
// pending.
type search struct {
	holder *configHolder
	// stop ends the context of all calls.
	stop context.CancelFunc
	// retry is the interval at which a replica is asked whose calls fail.
	retry time.Duration
	// receive takes the deltas of a response.
	receive func(from string, response *wire.FetchConfigResponse)
	// inTurn is true if replicas are asked one after the other, and false if all are asked at once.
	inTurn bool
	group  sync.WaitGroup

	mu    sync.Mutex
	asked map[string]bool
}

func newSearch(h *configHolder, stop context.CancelFunc, retry time.Duration, receive func(string, *wire.FetchConfigResponse)) *search {
	return &search{holder: h, stop: stop, retry: retry, receive: receive, asked: make(map[string]bool)}
}

// askSource asks the replica that confirmed last. It returns when that replica
// has answered or is overdue.
func (s *search) askSource(ctx context.Context, address string) {
	answered, progress := make(chan struct{}), rpc.NewProgress()
	extra := extraWait(s.holder.entry.quota.entries())
	overdue := s.holder.overdueAfter + extra
	s.asked[address] = true
	s.group.Go(func() {
		request := s.holder.request(fetchWait + extra)
		response, err := s.holder.fetchFromReplica(ctx, address, request, progress)
		if err == nil {
			s.accept(ctx, address, response)
		}
		close(answered)
		s.askUntilConfirmed(ctx, address, make(chan struct{}))
	})
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	for {
		select {
		case <-answered:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if left := overdue - progress.Quiet(); left > 0 {
			timer.Reset(left)
			continue
		}
		s.holder.sourceFailed(address, fmt.Errorf("no answer within %s", overdue))
		// Connections to the other replicas may have been silenced as well.
		s.holder.entry.replicas.CloseIdleConnections()
		return
	}
}

// extraWait is how much longer than fetchWait a call waits for a newer revision.
func extraWait(entries int) time.Duration {
	return min(max(time.Duration(entries)*time.Second/pollsPerSecond-fetchWait, 0), maxExtraWait)
}

// askReplicas starts asking the known replicas that are not being asked yet.
func (s *search) askReplicas(ctx context.Context) {
	for _, address := range s.holder.entry.replicas.Addresses() {
		s.askReplica(ctx, address)
	}
}

// nextReplica returns a known replica that is not being asked.
func (s *search) nextReplica() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range s.holder.entry.replicas.Addresses() {
		if !s.asked[address] {
			return address, true
		}
	}
	return "", false
}

// askReplica starts asking a replica unless it is being asked. It returns a channel that is
// closed after the first answer.
func (s *search) askReplica(ctx context.Context, address string) <-chan struct{} {
	answered := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.asked[address] {
		s.asked[address] = true
		s.group.Go(func() { s.askUntilConfirmed(ctx, address, answered) })
	}
	return answered
}

// askUntilConfirmed asks one replica until any replica has answered with a
// quorum's confirmation. A replica that knows no leader holds the call until
// there is one. It closes answered after the first answer or failure.
func (s *search) askUntilConfirmed(ctx context.Context, address string, answered chan struct{}) {
	delay := firstFetchRetry
	first := sync.OnceFunc(func() { close(answered) })
	defer first()
	for ctx.Err() == nil {
		request := s.holder.request(fetchWait)
		request.AwaitLeader = true
		started := time.Now()
		response, err := s.holder.fetchFromReplica(ctx, address, request, rpc.NewProgress())
		if err != nil {
			first()
			wait(ctx, s.retry-time.Since(started))
			continue
		}
		s.accept(ctx, address, response)
		first()
		wait(ctx, delay)
		delay = min(2*delay, fetchRetry)
	}
}

// accept takes a replica's response and ends the search if a quorum confirmed
// it. Otherwise it asks the replicas of which the response told.
func (s *search) accept(ctx context.Context, address string, response *wire.FetchConfigResponse) {
	s.receive(address, response)
	if ctx.Err() != nil {
		return
	}
	replicas := s.holder.entry.replicas
	replicas.SetAddresses(response.Replicas)
	if response.Confirmed {
		replicas.SetLeader(address)
		s.stop()
		return
	}
	if response.Leader != "" {
		s.askReplica(ctx, response.Leader)
	}
	if !s.inTurn {
		s.askReplicas(ctx)
	}
}

// askZone starts asking the entries of the own zone, unless a replica confirms
// soon.
func (s *search) askZone(ctx context.Context) {
	s.group.Go(func() {
		wait(ctx, fetchRetry)
		if ctx.Err() != nil {
			return
		}
		for _, peer := range s.holder.entry.opts.Peers {
			if peer.Zone == s.holder.entry.opts.Zone {
				s.askPeer(ctx, peer, peerRetry)
			}
		}
	})
}

// askPeers starts asking all entries, unless a replica confirms soon or sends a document. They send
// whole documents, so one follows the other until this entry holds a configuration.
func (s *search) askPeers(ctx context.Context) {
	for wait(ctx, s.holder.answerOverdue); ctx.Err() == nil && s.holder.documents.Fetching(); {
		wait(ctx, s.holder.answerOverdue)
	}
	for _, peer := range s.holder.entry.opts.Peers {
		answered := s.askPeer(ctx, peer, fetchRetry)
		if s.holder.empty() {
			configdelta.Await(ctx, answered, s.holder.answerOverdue)
		}
	}
}

// askPeer starts asking another entry at intervals. It returns a channel that is closed after
// the first answer.
func (s *search) askPeer(ctx context.Context, peer Peer, interval time.Duration) <-chan struct{} {
	answered := make(chan struct{})
	s.group.Go(func() {
		first := sync.OnceFunc(func() { close(answered) })
		defer first()
		for ctx.Err() == nil {
			if response, err := s.holder.fetchFromPeer(ctx, peer); err == nil {
				s.receive(peer.Address, response)
			}
			first()
			wait(ctx, interval)
		}
	})
	return answered
}

// fetchFromReplica makes one call to a replica, which the progress follows, and records its
// result.
func (h *configHolder) fetchFromReplica(ctx context.Context, address string, request *wire.FetchConfigRequest, progress *rpc.Progress) (*wire.FetchConfigResponse, error) {
	timeout := h.replicaTimeout + extraWait(h.entry.quota.entries())
	started, began := time.Now(), h.entry.now()
	call := func(ctx context.Context, request *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
		call, cancel := progress.Bound(ctx, timeout, max(fetchLongest, timeout))
		defer cancel()
		response, err := h.entry.replicas.Stub(address).FetchConfig(call, request)
		if err != nil && errors.Is(context.Cause(call), context.DeadlineExceeded) {
			err = fmt.Errorf("%w: %w", err, context.DeadlineExceeded)
		}
		return response, err
	}
	response, err := call(ctx, request)
	if err == nil {
		err = h.documents.Complete(ctx, call, request, response)
		if held := time.Duration(request.WaitMs) * time.Millisecond; h.entry.now()-began > held+maxDenialAge && !h.empty() {
			// The quorum confirmed it before the transfer, or before the VM was suspended.
			response.Confirmed = false
		}
	}
	if ctx.Err() != nil {
		if err != nil && time.Since(started) >= h.overdueAfter {
			h.entry.metrics.configFetches.WithLabelValues(configsource.FetchTimedOut).Inc()
		}
		return response, err
	}
	h.entry.metrics.configFetches.WithLabelValues(configsource.Result(response.GetConfirmed(), err)).Inc()
	switch {
	case err != nil:
		h.entry.logger.Debug().Str("step", "fetch config").Str("peer", address).Err(err).Msg("fetching the configuration from a replica failed")
		h.sourceFailed(address, err)
	case response.Confirmed:
		h.sourceConfirmed(address)
	default:
		h.sourceFailed(address, configsource.ErrUnconfirmed)
	}
	return response, err
}

func (h *configHolder) sourceConfirmed(address string) {
	h.source.Confirmed(h.entry.logger, h.entry.now(), address)
}

func (h *configHolder) sourceFailed(address string, err error) {
	h.source.Failed(h.entry.logger, h.entry.now(), address, err)
}

func (h *configHolder) fetchFromPeer(ctx context.Context, peer Peer) (*wire.FetchConfigResponse, error) {
	call, cancel := rpc.NewProgress().Bound(ctx, h.peerTimeout, max(fetchLongest, h.peerTimeout))
	defer cancel()
	stub := wire.NewPeerProtobufClient("http://"+peer.Address, h.entry.opts.Client)
	response, err := stub.Config(call, h.request(0))
	if err != nil {
		h.entry.logger.Debug().Str("step", "fetch config").Err(rpc.Wrap("fetch config", peer.Address, err)).Msg("fetching the configuration from another entry failed")
	}
	return response, err
}
