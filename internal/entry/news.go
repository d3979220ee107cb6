package entry

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/core/dissemination"
	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/wire"
)

const (
	// newsInterval is how long news waits for more to go with it: well below
	// the time in which a short prompt is read.
	newsInterval = 20 * time.Millisecond
	// lazyInterval is the same for news that corrects what the others expect
	// anyway: beginnings and ends.
	lazyInterval = 100 * time.Millisecond
	// newsBytes bounds the news of one datagram, so that it fits a packet.
	newsBytes = 1200
	// maxNewsItems bounds the items of one message of an entry's own news.
	maxNewsItems = 16
	// maxDatagram bounds what is read of one.
	maxDatagram = 16 << 10
	// expireInterval is how often attempts are dropped whose end was lost.
	expireInterval = 5 * time.Second
)

// news tells the other entries where this one places attempts, and takes in what
// they tell. Datagrams may be lost; what they told of is forgotten after a while.
type news struct {
	entry  *Entry
	secret []byte

	mu        sync.Mutex
	topology  *dissemination.Topology
	addresses map[string]*net.UDPAddr
	// own lists the entry's own news, the last of which takes in more.
	own     []*wire.News
	items   int
	results map[string]*wire.ServerResults
	// zone and others list the news to hand on.
	zone, others []*wire.News
	// lazy is true while a timer runs for news that may wait.
	lazy bool
	wake chan struct{}
}

func newNews(e *Entry) *news {
	n := &news{
		entry:    e,
		topology: dissemination.New(dissemination.Peer{Address: e.opts.PeerAddress, Zone: e.opts.Zone}),
		results:  make(map[string]*wire.ServerResults),
		wake:     make(chan struct{}, 1),
	}
	if e.opts.PeerSecret != "" {
		key := sha256.Sum256([]byte("news\n" + e.opts.PeerSecret))
		n.secret = key[:]
	}
	return n
}

// setPeers replaces the entries that share the news.
func (n *news) setPeers(peers []*wire.EntryPeer) {
	var list []dissemination.Peer
	addresses := make(map[string]*net.UDPAddr, len(peers))
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp", peer.Address)
		if err != nil {
			n.entry.logger.Warn().Str("step", "news").Str("peer", peer.Address).Err(err).Msg("entry gets no news")
			continue
		}
		addresses[peer.Address] = address
		list = append(list, dissemination.Peer{Address: peer.Address, Zone: peer.Zone})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.topology.SetPeers(list)
	n.addresses = addresses
}

func (n *news) placed(job placement.Job) {
	item := &wire.Placed{
		Number: job.ID.Number, Server: job.Server, Work: job.Work, Memory: uint32(job.Memory), Fresh: uint32(job.Fresh),
	}
	for _, part := range job.Parts {
		item.Chains = append(item.Chains, part.Chain)
		item.Tokens = append(item.Tokens, uint32(part.Tokens))
	}
	n.add(true, func(w *wire.News) { w.Placed = append(w.Placed, item) })
}

func (n *news) started(id placement.JobID) {
	n.add(false, func(w *wire.News) { w.Started = append(w.Started, id.Number) })
}

func (n *news) paused(id placement.JobID) {
	n.add(false, func(w *wire.News) { w.Paused = append(w.Paused, id.Number) })
}

// urgent reports whether others should hear of a result at once, to keep away from
// the server.
func urgent(result placement.Result) bool {
	return result == placement.ResultUnreachable || result == placement.ResultReplaced || result == placement.ResultRefused
}

func (n *news) ended(id placement.JobID, result placement.Result) {
	n.add(urgent(result), func(w *wire.News) {
		w.Ended = append(w.Ended, &wire.Ended{Number: id.Number, Result: uint32(result)})
	})
}

// result counts how a call ended at a server whose attempts are not told.
func (n *news) result(server string, result placement.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.topology.Alone() {
		return
	}
	counts := n.results[server]
	if counts == nil {
		counts = &wire.ServerResults{Server: server}
		n.results[server] = counts
	}
	switch result {
	case placement.ResultAnswered:
		counts.Answered++
	case placement.ResultFailed:
		counts.Failed++
	case placement.ResultUnreachable:
		counts.Unreachable++
	case placement.ResultRefused:
		counts.Refused++
	case placement.ResultReplaced:
		counts.Replaced++
	}
	n.remind(urgent(result))
}

func (n *news) add(urgent bool, put func(*wire.News)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.topology.Alone() {
		return
	}
	if n.items%maxNewsItems == 0 {
		n.own = append(n.own, &wire.News{Origin: n.entry.incarnation})
	}
	put(n.own[len(n.own)-1])
	n.items++
	n.remind(urgent)
}

// remind sees to it that what waits is sent. The caller holds mu.
func (n *news) remind(urgent bool) {
	if urgent {
		select {
		case n.wake <- struct{}{}:
		default:
		}
		return
	}
	if n.lazy {
		return
	}
	n.lazy = true
	time.AfterFunc(lazyInterval, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lazy = false
		n.remind(true)
	})
}

// parcel is news for some entries.
type parcel struct {
	to   []dissemination.Message
	news []*wire.News
}

// take returns what waits and whom to tell.
func (n *news) take(timeOfDay time.Duration) []parcel {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.results) > 0 {
		summary := &wire.News{Origin: n.entry.incarnation}
		for _, counts := range n.results {
			summary.Results = append(summary.Results, counts)
		}
		n.own = append(n.own, summary)
		clear(n.results)
	}
	var parcels []parcel
	if len(n.own) > 0 {
		to := n.topology.Own(timeOfDay)
		if len(to) == 1 && to[0].To == n.entry.opts.PeerAddress {
			n.zone, n.others = append(n.zone, n.own...), append(n.others, n.own...)
		} else {
			parcels = append(parcels, parcel{to, n.own})
		}
	}
	if len(n.zone) > 0 {
		parcels = append(parcels, parcel{n.topology.InZone(), n.zone})
	}
	if len(n.others) > 0 {
		parcels = append(parcels, parcel{n.topology.ToOthers(timeOfDay), n.others})
	}
	n.own, n.items, n.zone, n.others = nil, 0, nil, nil
	return parcels
}

func (n *news) run(ctx context.Context) {
	conn, err := net.ListenPacket("udp", n.entry.opts.PeerAddress)
	if err != nil {
		n.entry.logger.Error().Str("step", "listen").Str("listener", "news").Err(err).Msg("entries can't tell this one of their placements")
		return
	}
	n.entry.spawn(func() { n.receive(conn) })
	n.entry.spawn(func() { n.expire(ctx) })
	defer conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		wait(ctx, newsInterval)
		for _, p := range n.take(wallTime()) {
			n.send(conn, p)
		}
	}
}

func wallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// send sends a parcel in datagrams of bounded size.
func (n *news) send(conn net.PacketConn, p parcel) {
	for len(p.news) > 0 {
		count, size := 0, 0
		for count < len(p.news) && (count == 0 || size+proto.Size(p.news[count]) <= newsBytes) {
			size += proto.Size(p.news[count])
			count++
		}
		n.sendBatch(conn, p.to, p.news[:count])
		p.news = p.news[count:]
	}
}

func (n *news) sendBatch(conn net.PacketConn, to []dissemination.Message, list []*wire.News) {
	var data []byte
	for i, message := range to {
		if i == 0 || message.Scope != to[i-1].Scope {
			encoded, err := proto.Marshal(&wire.NewsBatch{News: list, Scope: uint32(message.Scope)})
			if err != nil {
				n.entry.logger.Error().Str("step", "news").Err(err).Msg("news can't be encoded")
				return
			}
			data = n.sign(encoded)
		}
		if address := n.address(message.To); address != nil {
			// A lost datagram is as good as one that was not sent.
			_, _ = conn.WriteTo(data, address)
		}
	}
}

func (n *news) address(peer string) *net.UDPAddr {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[peer]
}

// sign appends a code that only entries of the deployment can make, where they
// share a key.
func (n *news) sign(data []byte) []byte {
	if n.secret == nil {
		return data
	}
	code := hmac.New(sha256.New, n.secret)
	_, _ = code.Write(data)
	return code.Sum(data)
}

// verify is the inverse of sign.
func (n *news) verify(data []byte) ([]byte, bool) {
	if n.secret == nil {
		return data, true
	}
	if len(data) < sha256.Size {
		return nil, false
	}
	body := data[:len(data)-sha256.Size]
	return body, hmac.Equal(n.sign(append([]byte(nil), body...)), data)
}

// receive takes datagrams in until the socket is closed.
func (n *news) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		body, ok := n.verify(buffer[:size])
		if !ok {
			continue
		}
		var batch wire.NewsBatch
		if err := proto.Unmarshal(body, &batch); err != nil {
			n.entry.logger.Debug().Str("step", "news").Err(err).Msg("datagram can't be read")
			continue
		}
		n.takeIn(&batch)
	}
}

// takeIn learns what a datagram tells and keeps what is to be handed on.
func (n *news) takeIn(batch *wire.NewsBatch) {
	for _, item := range batch.News {
		if item.Origin != n.entry.incarnation {
			n.learn(item)
		}
	}
	scope := dissemination.Scope(batch.Scope)
	if scope < dissemination.ScopeZone {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zone = append(n.zone, batch.News...)
	if scope == dissemination.ScopeAll {
		n.others = append(n.others, batch.News...)
	}
	n.remind(true)
}

// learn adds what another entry told.
func (n *news) learn(received *wire.News) {
	p := n.entry.policy
	now := n.entry.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, item := range received.Placed {
		job := placement.Job{
			ID:     placement.JobID{Origin: received.Origin, Number: item.Number},
			Server: item.Server, Work: item.Work, Memory: int(item.Memory), Fresh: int(item.Fresh),
		}
		for i, chain := range item.Chains {
			if i < len(item.Tokens) {
				job.Parts = append(job.Parts, placement.Part{Chain: chain, Tokens: int(item.Tokens[i])})
			}
		}
		p.placer.Placed(now, job)
	}
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
		p.placer.Results(now, counts.Server, placement.Counts{
			Answered: int(counts.Answered), Failed: int(counts.Failed), Unreachable: int(counts.Unreachable),
			Refused: int(counts.Refused), Replaced: int(counts.Replaced),
		})
	}
}

func (n *news) expire(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, expireInterval)
		n.entry.policy.mu.Lock()
		n.entry.policy.placer.Expire(n.entry.now())
		n.entry.policy.mu.Unlock()
	}
}
