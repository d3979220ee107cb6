package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/core/membership"
	"waxwingcart/internal/periodic"
	"waxwingcart/internal/wire"
)

// Timing of membership.
const (
	membershipTick   = 100 * time.Millisecond
	exchangeTimeout  = 500 * time.Millisecond
	platformInterval = 500 * time.Millisecond
)

// maxRecordsBytes bounds the membership records of one exchange.
const maxRecordsBytes = 1 << 20

// members holds the membership table behind a lock, which is taken after the
// policy's if both are needed.
type members struct {
	mu    sync.Mutex
	table *membership.Table
}

func newMembers(e *Entry) *members {
	var peers []membership.Record
	for _, peer := range e.opts.Peers {
		peers = append(peers, membership.Record{
			Kind: membership.KindEntry, VM: peer.VM, Zone: peer.Zone, Address: peer.Address,
		})
	}
	return &members{table: membership.New(membership.Options{
		Self: membership.Record{
			Kind: membership.KindEntry, VM: e.opts.VM, Zone: e.opts.Zone,
			Address: e.opts.PeerAddress, Incarnation: e.incarnation,
		},
		Peers:   peers,
		EpochMS: e.started.UnixMilli(),
		Seed:    e.incarnation,
	})}
}

// stepMembership passes an event to the membership table, carries out its
// effects, and returns the records to reply with.
func (e *Entry) stepMembership(ev membership.Event) []membership.Record {
	e.members.mu.Lock()
	effects := e.members.table.Step(e.now(), ev)
	e.members.mu.Unlock()
	for _, send := range effects.Send {
		go e.exchangeRecords(send)
	}
	for _, change := range effects.Changes {
		e.memberChanged(change)
	}
	return effects.Reply
}

// memberChanged reacts to a member's new state. A backend server that is no
// longer usable gets no new work, and the streams of a leaving one are moved.
func (e *Entry) memberChanged(change membership.Change) {
	e.logger.Info().Str("step", "membership").Str("peer", change.VM).Str("kind", string(change.Kind)).
		Str("from", string(change.From)).Str("to", string(change.To)).Msg("member state changed")
	if change.Kind == membership.KindBackend {
		e.policy.updateUsable()
		if change.To == membership.StateLeaving {
			e.moveStreams(change.VM)
		}
		return
	}
	e.shareLimits()
}

// shareLimits tells admission how many entries share the customers' limits. An
// unreachable entry counts until it is known to have ended.
func (e *Entry) shareLimits() {
	e.policy.mu.Lock()
	defer e.policy.mu.Unlock()
	e.members.mu.Lock()
	list := e.members.table.SharingEntries()
	e.members.mu.Unlock()
	var names []string
	for _, member := range list {
		names = append(names, member.VM)
	}
	slices.Sort(names)
	rank := max(slices.Index(names, e.opts.VM), 0)
	e.policy.setEntries(admission.LiveEntries{Entries: max(len(names), 1), Rank: rank, Confirmed: true})
}

// exchangeRecords exchanges membership records with another entry.
func (e *Entry) exchangeRecords(send membership.Send) {
	ctx, cancel := context.WithTimeout(e.ctx, exchangeTimeout)
	defer cancel()
	encoded, err := json.Marshal(send.Records)
	if err != nil {
		return
	}
	stub := wire.NewPeerProtobufClient("http://"+send.Address, e.opts.Client)
	response, err := stub.Exchange(ctx, &wire.ExchangeRequest{
		From: e.opts.VM, Incarnation: e.incarnation, Zone: e.opts.Zone, News: encoded,
	})
	if err != nil {
		e.stepMembership(membership.CallResult{Kind: membership.KindEntry, VM: send.Peer, OK: false})
		return
	}
	records, err := decodeRecords(response.News)
	if err != nil {
		return
	}
	e.stepMembership(membership.GossipMessage{From: send.Peer, Records: records})
}

func decodeRecords(data []byte) ([]membership.Record, error) {
	if len(data) > maxRecordsBytes {
		return nil, twirp.InvalidArgumentError("news", "too large")
	}
	if len(data) == 0 {
		return nil, nil
	}
	var records []membership.Record
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, twirp.InvalidArgumentError("news", err.Error())
	}
	return records, nil
}

// serveExchange applies another entry's membership records and replies with
// records that it lacks.
func (e *Entry) serveExchange(req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	records, err := decodeRecords(req.News)
	if err != nil {
		return nil, err
	}
	reply := e.stepMembership(membership.GossipMessage{From: req.From, Records: records, Request: true})
	encoded, err := json.Marshal(reply)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &wire.ExchangeResponse{News: encoded}, nil
}

// runMembership ticks the membership table and polls the platform.
func (e *Entry) runMembership(ctx context.Context) {
	if e.opts.Platform != "" {
		e.spawn(func() { e.runPlatform(ctx) })
	}
	periodic.Run(ctx, membershipTick, func() { e.stepMembership(membership.Tick{}) })
}

// runPlatform polls the platform's reclaim notices and its list of VMs.
func (e *Entry) runPlatform(ctx context.Context) {
	var seen int64
	periodic.Run(ctx, platformInterval, func() {
		seen = e.readNotices(ctx, seen)
		e.readVMList(ctx)
		e.shareLimits()
	})
}

func (e *Entry) readNotices(ctx context.Context, after int64) int64 {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	notices, last, err := e.backends.Notices(call, e.opts.Platform, after)
	if err != nil {
		e.logger.Debug().Str("step", "notices").Str("peer", e.opts.Platform).Err(err).Msg("reading the platform's notices failed")
		return after
	}
	for _, notice := range notices {
		// An expired notice concerns a VM that is gone; another VM may have
		// its name by now.
		if notice.TimeLeft > 0 {
			e.handleNotice(notice)
		}
	}
	return last
}

// handleNotice passes a reclaim notice to the membership table. A notice for
// this VM drains the entry.
func (e *Entry) handleNotice(notice backend.Notice) {
	e.logger.Warn().Str("step", "notice").Str("peer", notice.VM).Int64("left_ms", notice.TimeLeft.Milliseconds()).Msg("the platform announced that it will reclaim a VM")
	e.stepMembership(membership.Notice{VM: notice.VM, TimeLeft: notice.TimeLeft})
	if notice.VM == e.opts.VM {
		e.spawn(func() { e.Drain(e.ctx, drainDeadline(notice.TimeLeft)) })
	}
}

// drainMargin is the time left before a reclaim to end streams in a resumable
// state.
const drainMargin = 3 * time.Second

func drainDeadline(timeLeft time.Duration) time.Duration {
	return max(timeLeft-drainMargin, time.Millisecond)
}

func (e *Entry) readVMList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	list, err := e.backends.ListVMs(call, e.opts.Platform)
	if err != nil {
		return
	}
	var listed []membership.ListedVM
	for _, vm := range list.VMs {
		listed = append(listed, membership.ListedVM{
			VM:          vm.Name,
			Zone:        vm.Zone,
			Incarnation: vm.Incarnation,
			Leaving:     vm.State == backend.VMLeaving,
		})
	}
	e.stepMembership(membership.PlatformList{VMs: listed})
}
