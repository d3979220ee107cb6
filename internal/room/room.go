// Package room runs core/room at an entry: it looks at the capacity for requests that wait, exchanges prices with the
// other entries, and logs and counts what is refused and held.
package room

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/room"
	"waxwingcart/internal/wire"
)

const (
	// enoughDivisor is the part of the target within which a predicted beginning needs no closer look.
	enoughDivisor = 2
	// minPriceInterval and priceIntervalPerEntry give the interval at which prices are announced, so that an
	// entry receives some hundred prices a second of each service at most.
	minPriceInterval      = 250 * time.Millisecond
	priceIntervalPerEntry = 3 * time.Millisecond
)

// Options configures a Room.
type Options struct {
	// Now returns the time since the entry was started.
	Now      func() time.Duration
	Seed     uint64
	Logger   *log.Logger
	Registry *prometheus.Registry
	// Entries returns the number of entries that share the servers.
	Entries func() int
	// Send tells the other entries. It must not block.
	Send func([]*wire.CapacityPrice)
}

// Call is a call that asks for room.
type Call struct {
	RequestID, Customer string
	// Service and Kind are those of room.Request, and so are Rank, Target and Deadline.
	Service, Kind    string
	Rank             int
	Target, Deadline time.Duration
	// Latest is the time from now after which the call isn't worth running.
	Latest time.Duration
	// Hash returns a hash of the call that is the same when the caller sends it again.
	Hash func() uint64
	// Look predicts with placement. It returns false if the service's servers read no prompts.
	Look func(enough time.Duration) (placement.Contention, bool)
	// Done is called once with the verdict, unless the call leaves before. It must not block.
	Done func(Verdict)
}

// Verdict is the decision on a call: it goes, or it is refused with the time after which it may find room.
type Verdict struct {
	Refused    bool
	RetryAfter time.Duration
	// Urgent is true if the call goes with the most urgent rank, and Contended if placement is to
	// compare servers for contended capacity.
	Urgent, Contended bool
	// WentAt is when the call went, Left the time that it had to begin, and Start the predicted time.
	WentAt, Left, Start time.Duration

	Work float64
}

// Room is safe for concurrent use. Its lock is taken before that of placement.
type Room struct {
	opts    Options
	metrics metrics
	// wake wakes Run when a request begins to wait.
	wake chan struct{}

	mu      sync.Mutex
	core    *room.Room
	nextID  uint64
	waiting map[uint64]*Call
	told    told
	// returning holds the hashes of what was told to come back since prices were announced.
	returning []returning
}

type returning struct {
	service string
	rank    int
	hash    uint64
}

// New returns a Room.
func New(opts Options) *Room {
	return &Room{
		opts: opts, metrics: newMetrics(opts.Registry), core: room.New(opts.Seed),
		wake: make(chan struct{}, 1), waiting: make(map[uint64]*Call),
	}
}

// Submit decides on a call, at once or while it waits, and returns the ID for Leave.
func (r *Room) Submit(call Call) uint64 {
	contention, reads := call.Look(call.Target / enoughDivisor)
	if !reads {
		call.Done(Verdict{})
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	call.Rank = min(max(call.Rank, 0), room.MaxRank)
	r.nextID++
	request := room.Request{
		ID: r.nextID, Service: call.Service, Kind: call.Kind, Customer: call.Customer, Rank: call.Rank, Target: call.Target, Latest: call.Latest,
		Deadline: call.Deadline, Work: contention.Work, Returned: r.told.any() && r.told.contains(now, call.Hash()),
	}
	effect, _ := r.core.Step(now, room.Arrived{Request: request, Capacity: capacityOf(contention)})
	r.apply(now, &call, effect, contention)
	return request.ID
}

// Leave drops a call that waits.
func (r *Room) Leave(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, waits := r.waiting[id]; waits {
		delete(r.waiting, id)
		r.core.Step(r.opts.Now(), room.Left{ID: id})
	}
}

// Began reports that the answer of a call that went has begun.
func (r *Room) Began(service string, rank int, v Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	r.core.Step(now, room.Began{Service: service, Rank: rank, Left: v.Left, Start: v.Start, Took: now - v.WentAt})
}

// Run looks at the capacity for what waits and announces prices.
func (r *Room) Run(ctx context.Context) {
	looks := time.NewTicker(room.LookInterval)
	defer looks.Stop()
	prices := time.NewTimer(minPriceInterval)
	defer prices.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			looks.Reset(room.LookInterval)
		case <-looks.C:
			if !r.look() {
				looks.Stop()
			}
		case <-prices.C:
			entries := max(r.opts.Entries(), 1)
			r.announce(entries)
			prices.Reset(max(minPriceInterval, time.Duration(entries)*priceIntervalPerEntry))
		}
	}
}

// look decides on the calls that wait, and reports whether any still does.
func (r *Room) look() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.core.Waiting() {
		call := r.waiting[id]
		contention, _ := call.Look(call.Target / enoughDivisor)
		now := r.opts.Now()
		if effect, decided := r.core.Step(now, room.Looked{ID: id, Capacity: capacityOf(contention)}); decided {
			r.apply(now, call, effect, contention)
		}
	}
	return len(r.waiting) > 0
}

// apply logs, counts and executes a decision. The caller holds mu.
func (r *Room) apply(now time.Duration, call *Call, effect room.Effect, contention placement.Contention) {
	_, waited := r.waiting[effect.ID]
	r.metrics.observe(call, effect, contention)
	if effect.Action != room.Go || waited {
		if !(effect.Action == room.Wait && waited) {
			r.log(call, effect, contention)
		}
	}
	if effect.Action == room.Wait {
		r.waiting[effect.ID] = call
		select {
		case r.wake <- struct{}{}:
		default:
		}
		return
	}
	delete(r.waiting, effect.ID)
	if effect.Action == room.Refuse && effect.Returns {
		hash := call.Hash()
		r.told.add(now, hash)
		r.returning = append(r.returning, returning{call.Service, call.Rank, hash})
	}
	call.Done(Verdict{
		Refused: effect.Action == room.Refuse, RetryAfter: effect.RetryAfter, Urgent: effect.Urgent, Contended: effect.Contended,
		WentAt: now, Left: effect.Left, Start: effect.Start, Work: contention.Work,
	})
}

func (r *Room) log(call *Call, effect room.Effect, c placement.Contention) {
	r.opts.Logger.Info().Str("step", "capacity").Str("request", call.RequestID).Str("customer", call.Customer).Str("service", call.Service).
		Str("kind", call.Kind).Int("rank", call.Rank).Str("action", actionName(effect.Action)).Str("reason", string(effect.Reason)).
		Int64("expected_ms", effect.Start.Milliseconds()).Int64("left_ms", effect.Left.Milliseconds()).Int64("waited_ms", effect.Waited.Milliseconds()).
		Int64("retry_after_ms", effect.RetryAfter.Milliseconds()).Bool("returns", effect.Returns).Bool("surge", effect.Surge).Float64("price", effect.Price).Int64("work", int64(c.Work)).
		Int64("due", int64(effect.Ahead)).Int("servers", c.Servers).Int64("spare", int64(c.Spare)).Msg("decided on a request while capacity is insufficient")
}

func capacityOf(c placement.Contention) room.Capacity {
	return room.Capacity{Servers: c.Servers, Start: c.Start, Urgent: c.Urgent, Soon: c.Soon, Alone: c.Alone, Rate: c.Rate, Spare: c.Spare}
}

func actionName(a room.Action) string {
	switch a {
	case room.Wait:
		return "wait"
	case room.Refuse:
		return "refuse"
	}
	return "go"
}

// metrics of the decisions. Gauges hold what the latest request met that did not go at once without contention.
type metrics struct {
	decisions *prometheus.CounterVec
	waits     *prometheus.HistogramVec
	price     *prometheus.GaugeVec
	spare     *prometheus.GaugeVec
}

func newMetrics(registry *prometheus.Registry) metrics {
	name := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help}
	}
	m := metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts(name("capacity_decisions_total", "Decisions on requests to model engines, by rank, action and reason.")), []string{"rank", "action", "reason"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "waxwingcart", Subsystem: "entry", Name: "capacity_wait_seconds", Help: "Time for which requests were held while capacity was insufficient, by rank.",
			Buckets: []float64{.02, .04, .08, .16, .32},
		}, []string{"rank"}),
		price: prometheus.NewGaugeVec(prometheus.GaugeOpts(name("capacity_price", "Share of more urgent requests that lacked room when a request was last decided on under contention, by service and rank.")), []string{"service", "rank"}),
		spare: prometheus.NewGaugeVec(prometheus.GaugeOpts(name("capacity_available", "Work that more urgent requests left when a request was last decided on under contention, by service and rank.")), []string{"service", "rank"}),
	}
	registry.MustRegister(m.decisions, m.waits, m.price, m.spare)
	return m
}

func (m *metrics) observe(call *Call, effect room.Effect, c placement.Contention) {
	rank := strconv.Itoa(call.Rank)
	m.decisions.WithLabelValues(rank, actionName(effect.Action), string(effect.Reason)).Inc()
	if effect.Action != room.Wait && effect.Waited > 0 {
		m.waits.WithLabelValues(rank).Observe(effect.Waited.Seconds())
	}
	if effect.Contended || effect.Action != room.Go {
		m.price.WithLabelValues(call.Service, rank).Set(effect.Price)
		m.spare.WithLabelValues(call.Service, rank).Set(c.Spare)
	}
}
