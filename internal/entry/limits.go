package entry

import (
	"context"
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
	// leastDrawInterval is how often units of the customers' limits are drawn in
	// advance and the list of backend servers is followed. Calls that find too
	// few units ask at once.
	leastDrawInterval = 300 * time.Millisecond
	// drawIntervalPerEntry lengthens that with the number of entries, so that the
	// leader answers a hundred drawings a second at most.
	drawIntervalPerEntry = 10 * time.Millisecond
	// drawTimeout bounds one drawing.
	drawTimeout = 900 * time.Millisecond
	// unitsTimeout bounds the wait of a call for units: several times the way
	// to the leader and back.
	unitsTimeout = 150 * time.Millisecond
	// drawRounds is how often a call asks: another call may have taken what came
	// for it.
	drawRounds = 2
	// drawPatience is how long a new entry waits for its first units before it
	// serves with a small fixed part of the limits.
	drawPatience = 5 * time.Second
)

// limitKeeper holds this entry's units of the customers' limits and counts
// what it serves.
type limitKeeper struct {
	entry *Entry
	// wake asks for a drawing before the interval is over.
	wake chan struct{}

	mu      sync.Mutex
	limiter *quota.Limiter
	counter *usage.Counter
	// next is closed when the drawing ends that begins next, and asks for what
	// waits now; current is that of the one under way.
	next    chan struct{}
	current chan struct{}
}

func newLimitKeeper(e *Entry) *limitKeeper {
	k := &limitKeeper{entry: e, wake: make(chan struct{}, 1), limiter: quota.NewLimiter(), next: make(chan struct{})}
	if e.opts.Routed != nil && e.opts.Routed.UsageWindow > 0 {
		k.counter = usage.NewCounter(e.opts.Routed.UsageWindow)
	}
	return k
}

func (k *limitKeeper) configure(now time.Duration, table *routes.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter.Configure(now, table.Number, table.Customers)
}

// entries returns the number of entries that share the limits.
func (k *limitKeeper) entries() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Entries()
}

// takeList puts the leader's list of backend servers in use, if it is newer.
func (k *limitKeeper) takeList(asked time.Duration, response *wire.DrawResponse) {
	if response.List == 0 {
		return
	}
	readAt := asked - time.Duration(response.ListAgeMs)*time.Millisecond
	if k.entry.directory.confirm(response.List, readAt) || len(response.Servers) == 0 {
		return
	}
	k.entry.useList(codec.ServersFromWire(response.Servers), response.List, readAt)
}

func (k *limitKeeper) granted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Granted()
}

// take charges a call to its customer, asking the leader for units if there
// are too few here. If it fails it returns how long the caller should wait.
func (k *limitKeeper) take(ctx context.Context, customer string, cost float64) (time.Duration, bool) {
	k.mu.Lock()
	k.limiter.Ask(k.entry.now(), customer, cost)
	k.mu.Unlock()
	for range drawRounds {
		drawn, ok := k.tryTake(customer, cost)
		if ok {
			return 0, true
		}
		if drawn == nil || !k.await(ctx, drawn) {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.entry.now()
	if k.limiter.Take(now, customer, cost) {
		return 0, true
	}
	return k.limiter.Wait(now, customer), false
}

// tryTake charges a call from the units that are here. If they don't suffice it
// asks for more, and returns what to wait for.
func (k *limitKeeper) tryTake(customer string, cost float64) (<-chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.entry.now()
	if k.limiter.Take(now, customer, cost) {
		return nil, true
	}
	if !k.limiter.Want(now, customer, cost) {
		return nil, false
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return k.next, false
}

// await waits for a drawing and reports whether it ended in time.
func (k *limitKeeper) await(ctx context.Context, drawn <-chan struct{}) bool {
	timer := time.NewTimer(unitsTimeout)
	defer timer.Stop()
	select {
	case <-drawn:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// giveBack returns what a call was charged that did not run.
func (k *limitKeeper) giveBack(customer string, cost float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter.Return(customer, cost)
}

// count notes a call that began to run.
func (k *limitKeeper) count(customer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.counter != nil {
		k.counter.Add(time.Duration(time.Now().UnixNano()), customer)
	}
}

// run draws units once there is a configuration, whose search has found the
// leader too. Without one there are no limits yet.
func (k *limitKeeper) run(ctx context.Context) {
	select {
	case <-k.entry.config.searched:
	case <-ctx.Done():
		return
	}
	timer := time.NewTimer(leastDrawInterval)
	defer timer.Stop()
	failing := false
	for {
		err := k.draw(ctx)
		if lost := err != nil; lost != failing {
			failing = lost
			if lost {
				k.entry.logger.Warn().Str("step", "draw units").Err(err).Msg("leader lost; a fixed part of the limits stays in use")
			} else {
				k.entry.logger.Info().Str("step", "draw units").Msg("leader answers")
			}
		}
		timer.Reset(max(leastDrawInterval, time.Duration(k.entries())*drawIntervalPerEntry))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-k.wake:
		}
	}
}

func (k *limitKeeper) draw(ctx context.Context) error {
	asked := k.entry.now()
	request := k.request(asked)
	call, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	response, err := rpc.Call(call, k.entry.replicas, "draw units", func(ctx context.Context, stub wire.Replica) (*wire.DrawResponse, error) {
		return stub.Draw(ctx, request)
	})
	k.grant(asked, response, err)
	return err
}

func (k *limitKeeper) request(now time.Duration) *wire.DrawRequest {
	load := k.entry.serviceLoad()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.current, k.next = k.next, make(chan struct{})
	request := codec.RenewalToWire(k.limiter.Renewal(now))
	request.Process, request.Incarnation = k.entry.opts.VM, k.entry.incarnation
	request.Load = load
	request.Address, request.Zone = k.entry.opts.PeerAddress, k.entry.opts.Zone
	request.List = k.entry.directory.listed()
	if k.counter == nil {
		return request
	}
	for window, counts := range k.counter.Recent() {
		copied := &wire.UsageWindow{Window: window, Counts: make(map[string]uint64, len(counts))}
		for customer, n := range counts {
			copied.Counts[customer] = n
		}
		request.Usage = append(request.Usage, copied)
	}
	return request
}

// grant takes the leader's answer in and lets the calls that wait try again.
func (k *limitKeeper) grant(asked time.Duration, response *wire.DrawResponse, err error) {
	k.mu.Lock()
	if err == nil {
		k.limiter.Grant(k.entry.now(), asked, codec.GrantFromWire(response))
	} else {
		k.limiter.Lost()
	}
	close(k.current)
	k.mu.Unlock()
	if err == nil {
		k.takeList(asked, response)
		k.entry.news.setPeers(response.Peers)
		k.entry.policy.shareRetries(int(response.Entries))
	}
}
