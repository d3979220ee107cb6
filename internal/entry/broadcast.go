package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"waxwingcart/internal/core/dissemination"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/news"
	"waxwingcart/internal/serverload"
	"waxwingcart/internal/wire"
)

const (
	// batchDelay is how long updates wait to be sent together with others. It
	// is well below the time that an engine takes for a short prompt.
	batchDelay = 20 * time.Millisecond
	// hopTime is the time that an update takes from one entry to the next beyond that.
	hopTime = 10 * time.Millisecond
	// deferredDelay is the additional delay of updates that only correct what
	// other entries expect anyway, such as starts and ends.
	deferredDelay = 100 * time.Millisecond
	// maxUpdateItems bounds the items in one message of the entry's own
	// updates.
	maxUpdateItems = 16
	// expireInterval is how often placement drops attempts whose end it did
	// not learn of, for example because the datagram was lost, and how often
	// leaving servers are reported again.
	expireInterval = 5 * time.Second
)

// broadcaster sends updates about this entry's attempts to the other entries,
// and applies theirs to placement. Datagrams may be lost; attempts expire
// after a while.
type broadcaster struct {
	entry *Entry

	mu        sync.Mutex
	topology  *dissemination.Topology
	addresses map[string]*net.UDPAddr
	// own lists the entry's own updates; new items go into the last one.
	own      []*wire.News
	ownItems int
	results  map[string]*wire.ServerResults
	// blockQueue, zoneQueue and otherZonesQueue list the updates to forward within the
	// block, within the zone and to the other zones.
	blockQueue, zoneQueue, otherZonesQueue []*wire.News
	// deferred is true while a timer runs for updates that may wait.
	deferred bool
	wake     chan struct{}
}

func newBroadcaster(e *Entry) *broadcaster {
	return &broadcaster{
		entry:    e,
		topology: dissemination.New(dissemination.Peer{Address: e.opts.PeerAddress, Zone: e.opts.Zone}),
		results:  make(map[string]*wire.ServerResults),
		wake:     make(chan struct{}, 1),
	}
}

// setPeers replaces the entries that exchange updates.
func (b *broadcaster) setPeers(peers []*wire.EntryPeer) {
	var list []dissemination.Peer
	addresses := make(map[string]*net.UDPAddr, len(peers))
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp", peer.Address)
		if err != nil {
			b.entry.logger.Warn().Str("step", "news").Str("peer", peer.Address).Err(err).Msg("resolving another entry's address failed; it gets no placement updates")
			continue
		}
		addresses[peer.Address] = address
		list = append(list, dissemination.Peer{Address: peer.Address, Zone: peer.Zone})
	}
	b.mu.Lock()
	b.topology.SetPeers(list)
	b.addresses = addresses
	delay := time.Duration(b.topology.Hops()) * (batchDelay + hopTime)
	b.mu.Unlock()
	b.entry.policy.setNewsDelay(delay)
}

func (b *broadcaster) placed(job placement.Job) {
	item := placedItem(job)
	b.add(true, func(w *wire.News) { w.Placed = append(w.Placed, item) })
}

func placedItem(job placement.Job) *wire.Placed {
	item := &wire.Placed{
		Number: job.ID.Number, Server: job.Server, Work: job.Work, Memory: uint32(job.Memory), Fresh: uint32(job.UncachedTokens),
		Rank: uint32(job.Rank),
	}
	for _, part := range job.Parts {
		item.Chains = append(item.Chains, part.Chain)
		item.Tokens = append(item.Tokens, uint32(part.Tokens))
	}
	return item
}

func (b *broadcaster) started(id placement.JobID, load *wire.ServerLoad) {
	b.add(false, func(w *wire.News) { serverload.AddStarted(w, id.Number, load) })
}

func (b *broadcaster) paused(id placement.JobID) {
	b.add(false, func(w *wire.News) { w.Paused = append(w.Paused, id.Number) })
}

func (b *broadcaster) ended(id placement.JobID, result placement.Result, load *wire.ServerLoad) {
	b.add(false, func(w *wire.News) {
		w.Ended = append(w.Ended, &wire.Ended{Number: id.Number, Result: uint32(result), Load: load})
	})
}

// leaving reports a server that has said that it leaves.
func (b *broadcaster) leaving(instance string) {
	b.add(true, func(w *wire.News) { w.Leaving = append(w.Leaving, instance) })
}

// result counts the result of a call whose attempts are not broadcast, and keeps the latest load
// that its server reported.
func (b *broadcaster) result(server string, result placement.Result, load *wire.ServerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.topology.Alone() {
		return
	}
	counts := b.results[server]
	if counts == nil {
		counts = &wire.ServerResults{Server: server}
		b.results[server] = counts
	}
	if load != nil {
		counts.Load = load
	}
	switch result {
	case placement.ResultAnswered:
		counts.Answered++
	case placement.ResultFailed:
		counts.Failed++
	case placement.ResultUnreachable:
		counts.Unreachable++
	}
	b.scheduleSend(false)
}

func (b *broadcaster) add(urgent bool, put func(*wire.News)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.topology.Alone() {
		return
	}
	if b.ownItems%maxUpdateItems == 0 {
		b.own = append(b.own, &wire.News{Origin: b.entry.incarnation})
	}
	put(b.own[len(b.own)-1])
	b.ownItems++
	b.scheduleSend(urgent)
}

// addAlone adds an update that may be too long to share a message with others.
func (b *broadcaster) addAlone(news *wire.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.topology.Alone() {
		return
	}
	news.Origin = b.entry.incarnation
	b.own = append([]*wire.News{news}, b.own...)
	b.scheduleSend(true)
}

// scheduleSend schedules sending the pending updates, at once if urgent and
// else after deferredDelay. The caller holds mu.
func (b *broadcaster) scheduleSend(urgent bool) {
	if urgent {
		select {
		case b.wake <- struct{}{}:
		default:
		}
		return
	}
	if b.deferred {
		return
	}
	b.deferred = true
	time.AfterFunc(deferredDelay, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.deferred = false
		b.scheduleSend(true)
	})
}

// outgoing holds updates and their destinations.
type outgoing struct {
	to      []dissemination.Destination
	updates []*wire.News
}

// takePending removes the pending updates and returns them with their
// destinations.
func (b *broadcaster) takePending(timeOfDay time.Duration) []outgoing {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.results) > 0 {
		summary := &wire.News{Origin: b.entry.incarnation}
		for _, counts := range b.results {
			summary.Results = append(summary.Results, counts)
		}
		b.own = append(b.own, summary)
		clear(b.results)
	}
	var batches []outgoing
	if len(b.own) > 0 {
		serverload.SetAges(b.entry.now(), b.own)
		to := b.topology.OwnDestinations(timeOfDay)
		if len(to) == 1 && to[0].To == b.entry.opts.PeerAddress {
			b.zoneQueue, b.otherZonesQueue = append(b.zoneQueue, b.own...), append(b.otherZonesQueue, b.own...)
		} else {
			batches = append(batches, outgoing{to, b.own})
		}
	}
	if len(b.blockQueue) > 0 {
		batches = append(batches, outgoing{b.topology.BlockDestinations(), b.blockQueue})
	}
	if len(b.zoneQueue) > 0 {
		batches = append(batches, outgoing{b.topology.ZoneDestinations(timeOfDay), b.zoneQueue})
	}
	if len(b.otherZonesQueue) > 0 {
		batches = append(batches, outgoing{b.topology.OtherZoneDestinations(timeOfDay), b.otherZonesQueue})
	}
	b.own, b.ownItems, b.blockQueue, b.zoneQueue, b.otherZonesQueue = nil, 0, nil, nil, nil
	return batches
}

func (b *broadcaster) run(ctx context.Context) {
	socket, err := news.Listen(b.entry.opts.PeerAddress, news.NewSigner(b.entry.opts.PeerSecret), b.entry.logger)
	if err != nil {
		b.entry.logger.Error().Str("step", "listen").Str("listener", "news").Err(err).Msg("listening for placement updates failed; other entries' attempts stay unknown")
		return
	}
	b.entry.spawn(func() { socket.Receive(b.handleBatch) })
	b.entry.spawn(func() { b.expire(ctx) })
	defer socket.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		wait(ctx, batchDelay)
		for _, p := range b.takePending(wallTime()) {
			b.send(socket, p)
		}
	}
}

func wallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// send sends updates to the destinations whose addresses are known.
func (b *broadcaster) send(socket *news.Socket, p outgoing) {
	to := make([]news.Destination, 0, len(p.to))
	b.mu.Lock()
	for _, destination := range p.to {
		if address := b.addresses[destination.To]; address != nil {
			to = append(to, news.Destination{Address: address, Scope: uint32(destination.Scope)})
		}
	}
	b.mu.Unlock()
	socket.Send(to, p.updates)
}

// handleBatch applies the other entries' updates in a datagram and queues what
// has to be forwarded.
func (b *broadcaster) handleBatch(batch *wire.NewsBatch) {
	for _, item := range batch.News {
		if item.Origin != b.entry.incarnation {
			b.applyUpdate(item)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch dissemination.Scope(batch.Scope) {
	case dissemination.ScopeBlock:
		b.blockQueue = append(b.blockQueue, batch.News...)
	case dissemination.ScopeZone:
		b.zoneQueue = append(b.zoneQueue, batch.News...)
	case dissemination.ScopeAll:
		b.zoneQueue, b.otherZonesQueue = append(b.zoneQueue, batch.News...), append(b.otherZonesQueue, batch.News...)
	default:
		return
	}
	b.scheduleSend(true)
}

// applyUpdate applies another entry's update to placement and to the records of streams.
func (b *broadcaster) applyUpdate(received *wire.News) {
	b.entry.streams.told(received.Begun)
	b.entry.guard.Told(received)
	if b.entry.room != nil {
		b.entry.room.Told(received.Prices)
	}
	p := b.entry.policy
	now := b.entry.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, item := range received.Placed {
		job := placement.Job{
			ID:     placement.JobID{Origin: received.Origin, Number: item.Number},
			Server: item.Server, Work: item.Work, Memory: int(item.Memory), UncachedTokens: int(item.Fresh),
			Rank: int(item.Rank),
		}
		for i, chain := range item.Chains {
			if i < len(item.Tokens) {
				job.Parts = append(job.Parts, placement.Part{Chain: chain, Tokens: int(item.Tokens[i])})
			}
		}
		p.placer.Placed(now, job)
	}
	p.loads.Apply(received)
	for _, number := range received.Started {
		p.placer.Started(now, placement.JobID{Origin: received.Origin, Number: number}, false)
	}
	for _, number := range received.Paused {
		p.placer.Paused(now, placement.JobID{Origin: received.Origin, Number: number})
	}
	for _, item := range received.Ended {
		p.placer.Ended(now, placement.JobID{Origin: received.Origin, Number: item.Number}, placement.Result(item.Result))
	}
	for _, counts := range received.Results {
		p.placer.RecordCounts(now, counts.Server, placement.Counts{
			Answered: int(counts.Answered), Failed: int(counts.Failed), Unreachable: int(counts.Unreachable),
		})
	}
	for _, instance := range received.Leaving {
		b.entry.recordLeaving(instance, leavingFromEntry, "")
	}
}

// expire makes placement forget what is over, and repeats what must not be lost.
func (b *broadcaster) expire(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, expireInterval)
		b.entry.policy.mu.Lock()
		b.entry.policy.placer.Expire(b.entry.now())
		b.entry.policy.mu.Unlock()
		b.entry.policy.loads.LogIgnored()
		b.entry.repeatLeaving()
		b.entry.streams.repeat()
		b.entry.streams.expire()
	}
}
