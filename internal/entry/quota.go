package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/usage"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// minDrawInterval is the shortest interval at which an entry draws units
	// of the customers' limits in advance and follows the list of backend
	// servers. Calls that find too few units request a draw at once.
	minDrawInterval = 300 * time.Millisecond
	// drawIntervalPerEntry is multiplied by the number of entries to get the
	// interval of each entry, within minDrawInterval and maxDrawInterval. The leader thus
	// answers at most two hundred regular draws a second of up to 240 entries.
	drawIntervalPerEntry = 5 * time.Millisecond
	// maxDrawInterval keeps the list of backend servers younger than maxListAge, from which on each
	// entry reads the platform's, and the entry from counting as silent.
	maxDrawInterval = 1200 * time.Millisecond
	// usageInterval is the shortest interval at which draws carry the load and the counts of calls.
	usageInterval = 500 * time.Millisecond
	// drawTimeout bounds one draw.
	drawTimeout = 900 * time.Millisecond
	// unitsTimeout bounds a call's wait for a draw. It is several times the round trip to the
	// leader, and longer than the time after which the entry does without the leader's grant.
	unitsTimeout = quota.RenewalTimeout + 20*time.Millisecond
	// maxDrawWaits is the maximum number of draws that a call waits for. One
	// may not be enough, because another call may take the units drawn for it.
	maxDrawWaits = 2
	// firstDrawTimeout is how long a new entry waits for its first units
	// before it serves calls with a small fixed share of the limits.
	firstDrawTimeout = 5 * time.Second
)

// quotaClient holds this entry's units of the customers' limits and counts the
// calls that it serves. It draws units from the leader.
type quotaClient struct {
	entry *Entry
	// wake requests a draw before the interval is over.
	wake chan struct{}

	mu      sync.Mutex
	limiter *quota.Limiter
	counter *usage.Counter
	// nextDraw is closed when the next draw has ended, which will request the
	// units that calls wait for now. currentDraw is closed when the draw in
	// progress has ended.
	nextDraw    chan struct{}
	currentDraw chan struct{}
	// usageSentAt is when the counts were last sent, and peersVersion the version of the leader's list
	// of entries in use.
	usageSentAt  time.Duration
	peersVersion uint64
}

func newQuotaClient(e *Entry) *quotaClient {
	q := &quotaClient{entry: e, wake: make(chan struct{}, 1), limiter: quota.NewLimiter(), nextDraw: make(chan struct{})}
	if e.opts.Routed != nil && e.opts.Routed.UsageWindow > 0 {
		q.counter = usage.NewCounter(e.opts.Routed.UsageWindow)
	}
	return q
}

func (q *quotaClient) configure(now time.Duration, table *routes.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Configure(now, table.Number, table.Customers)
}

// entries returns the number of entries that share the limits.
func (q *quotaClient) entries() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Entries()
}

// applyLeaderList puts the leader's list of backend servers in use if it is
// newer.
func (q *quotaClient) applyLeaderList(requestedAt time.Duration, response *wire.DrawResponse) {
	if response.List == 0 {
		return
	}
	readAt := requestedAt - time.Duration(response.ListAgeMs)*time.Millisecond
	switch {
	case q.entry.directory.Confirm(response.List, readAt):
		q.entry.streams.confirmed(readAt)
	case len(response.Servers) == 0:
		return
	default:
		q.entry.applyList(codec.ServersFromWire(response.Servers), response.List, readAt)
	}
	// Beyond that age other entries may have read a newer list themselves.
	if requestedAt-readAt < maxListAge {
		q.entry.streams.checked(requestedAt)
	}
}

// drawSoon waits for a draw that begins from now on, and reports whether it ended in time.
func (q *quotaClient) drawSoon(ctx context.Context) bool {
	q.mu.Lock()
	done := q.wakeDraw()
	q.mu.Unlock()
	return q.await(ctx, done)
}

func (q *quotaClient) granted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Granted()
}

// take charges a call to its customer, and draws units from the leader if
// there are too few here. If it fails it returns how long the caller should
// wait.
func (q *quotaClient) take(ctx context.Context, customer string, class quota.Class, cost float64) (time.Duration, bool) {
	q.mu.Lock()
	wait, admitted := q.limiter.Offer(q.entry.now(), customer, class, cost, rand.Float64())
	q.mu.Unlock()
	if !admitted {
		q.entry.metrics.customerShed.WithLabelValues(strconv.Itoa(int(class))).Inc()
		return wait, false
	}
	for range maxDrawWaits {
		drawDone, ok := q.tryTake(customer, cost)
		if ok {
			return 0, true
		}
		if drawDone == nil || !q.await(ctx, drawDone) {
			break
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.entry.now()
	if q.limiter.Take(now, customer, cost) {
		return 0, true
	}
	return q.limiter.Wait(now, customer), false
}

// part names what a refused call's limit was: with a leader all entries share the whole of it.
func (q *quotaClient) part() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limiter.Offline(q.entry.now()) {
		return "without a leader, this entry's part"
	}
	return "the whole"
}

// tryTake charges a call from the units held here. If they don't suffice it
// requests a draw and returns the channel that is closed when the draw has
// ended, or nil if a draw can't help.
func (q *quotaClient) tryTake(customer string, cost float64) (<-chan struct{}, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.entry.now()
	if q.limiter.Take(now, customer, cost) {
		return nil, true
	}
	if !q.limiter.RequestUnits(now, customer, cost) {
		return nil, false
	}
	return q.wakeDraw(), false
}

// wakeDraw requests a draw and returns the channel that is closed when it has ended. The
// caller holds mu.
func (q *quotaClient) wakeDraw() <-chan struct{} {
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return q.nextDraw
}

// await waits for a draw and reports whether it ended in time.
func (q *quotaClient) await(ctx context.Context, drawDone <-chan struct{}) bool {
	timer := time.NewTimer(unitsTimeout)
	defer timer.Stop()
	select {
	case <-drawDone:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// refund returns the units charged for a call that did not run.
func (q *quotaClient) refund(customer string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Return(customer, cost)
}

// recordUsage counts a call that began to run.
func (q *quotaClient) recordUsage(customer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.counter != nil {
		q.counter.Add(time.Duration(time.Now().UnixNano()), customer)
	}
}

// run draws units once the first fetch of the configuration is over, which has
// found the leader too. Without a configuration there are no limits.
func (q *quotaClient) run(ctx context.Context) {
	select {
	case <-q.entry.config.firstFetchDone:
	case <-ctx.Done():
		return
	}
	timer := time.NewTimer(minDrawInterval)
	defer timer.Stop()
	failing, first := false, true
	for {
		err := q.draw(ctx)
		if first || failing && err == nil {
			first = false
			q.entry.spawn(func() { q.entry.catchUpBars(ctx) })
		}
		if failed := err != nil; failed != failing {
			failing = failed
			if failed {
				q.entry.logger.Warn().Str("step", "draw units").Err(err).Msg("drawing units of the customers' limits from the leader failed; using a fixed share of the limits")
			} else {
				q.entry.logger.Info().Str("step", "draw units").Msg("drawing units of the customers' limits from the leader succeeded again")
			}
		}
		timer.Reset(drawInterval(q.entries()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-q.wake:
		}
	}
}

// drawInterval returns the time between two regular draws of an entry.
func drawInterval(entries int) time.Duration {
	return min(max(minDrawInterval, time.Duration(entries)*drawIntervalPerEntry), maxDrawInterval)
}

func (q *quotaClient) draw(ctx context.Context) error {
	requestedAt := q.entry.now()
	request := q.request(requestedAt)
	call, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	response, err := rpc.Call(call, q.entry.replicas, "draw units", func(ctx context.Context, stub wire.Replica) (*wire.DrawResponse, error) {
		return stub.Draw(ctx, request)
	})
	q.applyDraw(requestedAt, response, err)
	return err
}

func (q *quotaClient) request(now time.Duration) *wire.DrawRequest {
	limits, bars := q.entry.policy.limitReport(now), q.entry.guard.Report()
	var load map[string]*wire.ServiceLoad
	full := q.usageDue(now)
	if full {
		load = q.entry.serviceLoad()
	}
	rollouts := q.entry.rollouts.Reports()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.currentDraw, q.nextDraw = q.nextDraw, make(chan struct{})
	renewal := q.limiter.Renewal(now)
	if !full {
		renewal.Demand = nil
	}
	request := codec.RenewalToWire(renewal)
	request.Process, request.Incarnation = q.entry.opts.VM, q.entry.incarnation
	request.PeersVersion = q.peersVersion
	request.Address, request.Zone = q.entry.opts.PeerAddress, q.entry.opts.Zone
	request.List = q.entry.directory.ListVersion()
	request.Limits, request.Rollouts = limits, rollouts
	request.Bars, request.AsksBars = bars, q.entry.barsUnknown.Load()
	request.Partial = !full
	if !full {
		return request
	}
	request.Load = load
	if q.counter == nil {
		return request
	}
	for window, counts := range q.counter.Recent() {
		copied := &wire.UsageWindow{Window: window, Counts: make(map[string]uint64, len(counts))}
		for customer, n := range counts {
			copied.Counts[customer] = n
		}
		request.Usage = append(request.Usage, copied)
	}
	return request
}

// usageDue reports whether the next draw carries the load and the counts of calls.
func (q *quotaClient) usageDue(now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.usageSentAt > 0 && now-q.usageSentAt < usageInterval {
		return false
	}
	q.usageSentAt = now
	return true
}

// applyDraw applies the leader's response and wakes the calls that wait for
// it.
func (q *quotaClient) applyDraw(requestedAt time.Duration, response *wire.DrawResponse, err error) {
	q.mu.Lock()
	if err == nil {
		q.limiter.Grant(q.entry.now(), requestedAt, codec.GrantFromWire(response))
	} else {
		q.limiter.RecordRenewalFailure()
	}
	if q.limiter.LeaderLacksLimits() {
		q.wakeDraw()
	}
	close(q.currentDraw)
	newPeers := err == nil && (response.PeersVersion == 0 || response.PeersVersion != q.peersVersion)
	if newPeers {
		q.peersVersion = response.PeersVersion
	}
	q.mu.Unlock()
	if err == nil {
		q.entry.rollouts.Answered(requestedAt, response)
		q.applyLeaderList(requestedAt, response)
		q.entry.policy.applyLimits(response)
		if newPeers {
			q.entry.broadcaster.setPeers(response.Peers)
		}
		q.entry.guard.LeaderBars(response.Bars)
		q.entry.policy.shareRetries(int(response.Entries))
	}
}
