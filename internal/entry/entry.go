// Package entry serves callers: it authenticates them, admits and routes their
// requests, continues their streams when a backend server fails, and reports for
// each request whether it was answered, has not run, can be resumed, or has an
// unknown outcome.
package entry

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/bootclock"
	"waxwingcart/internal/callerlimits"
	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/crashguard"
	"waxwingcart/internal/detour"
	"waxwingcart/internal/directory"
	"waxwingcart/internal/intake"
	"waxwingcart/internal/rollout"
	"waxwingcart/internal/room"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/sockbuf"
	"waxwingcart/internal/traces"
	"waxwingcart/internal/wire"
)

// Peer is another entry listed in the settings.
type Peer struct {
	VM      string
	Zone    string
	Address string
}

// Options configures an Entry.
type Options struct {
	VM   string
	Zone string
	// PeerAddress is where other entries reach this one.
	PeerAddress string
	// Peers lists the other entries.
	Peers []Peer
	// Replicas finds the replicas.
	Replicas *rpc.Replicas
	// DataDir is the directory of the saved configuration, or empty if the VM
	// has no disk.
	DataDir string
	// Platform is the platform's address, or empty.
	Platform string
	// PeerSecret authenticates event IDs across entries.
	PeerSecret string
	// MaxRequests bounds the requests that this entry holds.
	MaxRequests int
	// HeaderLimit bounds the header of a routed call in bytes, unless a document
	// sets a limit.
	HeaderLimit int
	// BodyLimit bounds a caller's body in bytes, even if its policy allows
	// more. Zero applies the policy's limit alone.
	BodyLimit int64
	// BodyTimeout bounds reading a caller's body, and WriteTimeout one write
	// to a caller.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	// Intake is the memory for what callers make the process hold; nil sets no limit.
	Intake *intake.Budget
	// Buffers are the receive buffers of the process's connections; nil leaves them to the kernel.
	Buffers *sockbuf.Buffers
	// Routed is set if calls are served according to a numbered routing
	// configuration.
	Routed *RoutedOptions
	// AcceptWhileDraining is how long a draining entry still accepts requests,
	// for callers that have not yet seen that it is not ready.
	AcceptWhileDraining time.Duration
	Client              *rpc.Client
	Logger              *log.Logger
	Registry            *prometheus.Registry
}

// Defaults of Options.
const (
	DefaultMaxRequests  = 4096
	DefaultHeaderLimit  = 64 << 10
	DefaultBodyTimeout  = 10 * time.Second
	DefaultWriteTimeout = 10 * time.Second
)

// warmUp is the time after which a new entry holds its share of the customers'
// limits.
const warmUp = admission.DefaultGrowAfter + 10*policyTick

// Entry is one running entry.
type Entry struct {
	opts        Options
	logger      *log.Logger
	metrics     *metrics
	incarnation uint64
	// started is when the entry was created, startedAt the same by clock.
	started     time.Time
	startedAt   time.Duration
	clock       func() time.Duration
	backends    *backend.Client
	detour      *detour.Detour
	replicas    *rpc.Replicas
	batcher     *rpc.Batcher
	policy      *policy
	config      *configHolder
	history     *traces.History
	releaser    *releaser
	members     *members
	reports     reportState
	directory   *directory.Directory
	listCheck   listCheck
	quota       *quotaClient
	broadcaster *broadcaster
	streams     *streams
	guard       *crashguard.Guard
	rollouts    *rollout.Client
	// room decides which calls go while capacity is insufficient; it is nil if all go at once.
	room *room.Room
	// callerLimits are the limits of callers' connections.
	callerLimits callerlimits.Limits
	// initialized is closed once routed calls can be served: a configuration
	// is in force and the list of backend servers has been read.
	initialized chan struct{}
	initOnce    sync.Once
	// barsUnknown is true from the start until another entry has been asked what is barred.
	barsUnknown atomic.Bool

	nextID     atomic.Uint64
	stop       context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup
	draining   atomic.Bool

	mu sync.Mutex
	// drainingSince is when the drain began.
	drainingSince time.Time
	// runs holds the requests in flight by run.key.
	runs map[string]*run
	// idle is closed when the last request of a draining entry has ended.
	idle chan struct{}
}

// New returns an entry that has not been started.
func New(opts Options) *Entry {
	setDefaults(&opts)
	e := &Entry{
		opts:        opts,
		logger:      opts.Logger,
		metrics:     newMetrics(opts.Registry),
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		startedAt:   bootclock.Now(),
		clock:       bootclock.Now,
		directory:   directory.New(maxListAge),
		replicas:    opts.Replicas,
		history:     traces.NewHistory(),
		runs:        make(map[string]*run),
		idle:        make(chan struct{}),
		initialized: make(chan struct{}),
	}
	e.callerLimits.Transit = callerlimits.TransitTime
	e.detour = newDetour(e)
	options := e.backendOptions()
	options.Detour = e.detour
	e.backends = backend.New(options)
	e.policy = newPolicy(e)
	e.quota = newQuotaClient(e)
	e.broadcaster = newBroadcaster(e)
	e.streams = newStreams(e)
	e.guard = newCrashGuard(e)
	e.rollouts = newRolloutClient(e)
	e.room = newRoom(e)
	e.streams.register(opts.Registry)
	e.releaser = newReleaser(e)
	e.config = newConfigHolder(e)
	e.members = newMembers(e)
	e.reports.incarnations = make(map[string]string)
	e.reports.cacheSeq = make(map[string]int64)
	return e
}

func setDefaults(opts *Options) {
	if opts.MaxRequests == 0 {
		opts.MaxRequests = DefaultMaxRequests
	}
	if opts.HeaderLimit == 0 {
		opts.HeaderLimit = DefaultHeaderLimit
	}
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = DefaultBodyTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = DefaultWriteTimeout
	}
}

// Start starts the entry's background work.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.ctx, e.stop = ctx, cancel
	e.batcher = rpc.NewBatcher(ctx, e.replicas)
	e.barsUnknown.Store(e.opts.Routed != nil)
	e.spawn(func() { e.config.run(ctx) })
	e.spawn(func() { e.releaser.run(ctx) })
	e.spawn(func() { e.detour.Run(ctx) })
	if e.opts.Routed != nil {
		e.spawn(func() { e.runDiscovery(ctx) })
		e.spawn(func() { e.quota.run(ctx) })
		e.spawn(func() { e.broadcaster.run(ctx) })
		e.spawn(func() { e.runCatchUp(ctx) })
		e.spawn(func() { e.guard.Run(ctx) })
		if e.room != nil {
			e.spawn(func() { e.room.Run(ctx) })
		}
		return
	}
	e.shareLimits()
	e.spawn(func() { e.policy.runTicks(ctx) })
	e.spawn(func() { e.runReports(ctx) })
	e.spawn(func() { e.runMembership(ctx) })
}

func (e *Entry) spawn(work func()) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		work()
	}()
}

// Stop ends the entry's background work and waits for it. Call Drain first.
func (e *Entry) Stop() {
	e.stop()
	e.background.Wait()
	e.backends.Close()
}

// Ready reports whether a load balancer should send requests here. A new entry
// has no share of the customers' limits until the other entries have reduced
// theirs.
func (e *Entry) Ready() bool {
	if e.draining.Load() || e.config.inForce() == nil {
		return false
	}
	if e.opts.Routed != nil {
		return e.directory.Known() && (e.quota.granted() || e.now() > firstDrawTimeout)
	}
	return e.now() > warmUp
}

// signalInitialized releases the calls that wait in awaitInitialized once a
// configuration is in force, the list of backend servers has been read, and another
// entry has been asked what is barred.
func (e *Entry) signalInitialized() {
	if e.config.inForce() != nil && e.directory.Known() && !e.barsUnknown.Load() {
		e.initOnce.Do(func() { close(e.initialized) })
	}
}

// awaitInitialized delays a call that arrives while the entry starts, and
// returns the configuration in force, or nil. The call waits rather than being
// refused, because startup is usually over within a second and callers retry
// only a few times.
func (e *Entry) awaitInitialized(ctx context.Context, callerTimeout time.Duration) *configuration {
	select {
	case <-e.initialized:
		return e.config.inForce()
	default:
	}
	timer := time.NewTimer(min(typicalStartup-e.now(), callerTimeout/startupWaitDivisor, maxStartupWait))
	defer timer.Stop()
	select {
	case <-e.initialized:
	case <-timer.C:
	case <-ctx.Done():
	}
	return e.config.inForce()
}

// Incarnation identifies this run of the entry's process.
func (e *Entry) Incarnation() uint64 { return e.incarnation }

// now returns the monotonic time since the entry was created. It advances while
// the VM is suspended, so that units and the list of backend servers age meanwhile.
func (e *Entry) now() time.Duration { return e.clock() - e.startedAt }

// newRequestID returns an ID that is unique among the requests of all entries.
func (e *Entry) newRequestID() string {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], e.incarnation)
	binary.BigEndian.PutUint32(b[8:], uint32(e.nextID.Add(1)))
	return "r-" + hex.EncodeToString(b[:])
}

// add registers a request. It returns false if the entry holds too many
// requests or no longer accepts any.
func (e *Entry) add(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closedToRequests() || len(e.runs) >= e.opts.MaxRequests {
		return false
	}
	r.key = r.id
	if e.runs[r.key] != nil {
		// Two callers may use the same ID.
		r.key = e.newRequestID()
	}
	e.runs[r.key] = r
	e.metrics.inFlight.Set(float64(len(e.runs)))
	return true
}

func (e *Entry) remove(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, r.key)
	e.metrics.inFlight.Set(float64(len(e.runs)))
	e.signalIdle()
}

// closedToRequests reports whether a draining entry no longer accepts
// requests. The caller holds mu.
func (e *Entry) closedToRequests() bool {
	return e.draining.Load() && time.Since(e.drainingSince) >= e.opts.AcceptWhileDraining
}

// signalIdle wakes Drain once no request is left. The caller holds mu.
func (e *Entry) signalIdle() {
	if !e.closedToRequests() || len(e.runs) > 0 {
		return
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// serviceLoad returns the load that this entry puts on each service.
func (e *Entry) serviceLoad() map[string]*wire.ServiceLoad {
	load := e.policy.promptWork()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		name := r.service.Name
		if load[name] == nil {
			load[name] = &wire.ServiceLoad{}
		}
		load[name].InFlight++
	}
	return load
}

func (e *Entry) findRun(requestID string) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// forEachRun calls visit for every request in flight, without holding mu.
func (e *Entry) forEachRun(visit func(*run)) {
	e.mu.Lock()
	list := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		list = append(list, r)
	}
	e.mu.Unlock()
	for _, r := range list {
		visit(r)
	}
}

// Drain makes the entry unready and waits until no request is in flight, and no other entry's
// connection to a backend server goes through this one. At
// the deadline, it ends streams in a resumable state, refuses waiting requests, and answers
// all others that they may have run. With a deadline of zero it waits until every request has ended by
// itself.
func (e *Entry) Drain(ctx context.Context, deadline time.Duration) {
	e.beginDrain()
	e.logger.Info().Str("step", "drain").Int64("deadline_ms", deadline.Milliseconds()).Msg("drain started")
	var timeout <-chan time.Time
	if deadline > 0 {
		timer := time.NewTimer(deadline)
		defer timer.Stop()
		timeout = timer.C
	}
	tunnelsIdle := e.detour.Drain()
	select {
	case <-e.idle:
		select {
		case <-tunnelsIdle:
		case <-timeout:
		case <-ctx.Done():
		}
	case <-timeout:
		e.endRequests(ctx)
	case <-ctx.Done():
		e.endRequests(context.Background())
	}
	e.logger.Info().Str("step", "drain").Msg("drain finished")
}

func (e *Entry) beginDrain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Swap(true) {
		return
	}
	e.drainingSince = time.Now()
	e.metrics.draining.Set(1)
	e.signalIdle()
	time.AfterFunc(e.opts.AcceptWhileDraining, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.signalIdle()
	})
}

// finalEventTimeout bounds the wait for requests to send their last event
// after the drain's deadline.
const finalEventTimeout = 2 * time.Second

// endRequests ends the requests in flight and waits until their callers have been answered.
func (e *Entry) endRequests(ctx context.Context) {
	e.forEachRun(func(r *run) { r.drain() })
	timer := time.NewTimer(finalEventTimeout)
	defer timer.Stop()
	select {
	case <-e.idle:
	case <-timer.C:
	case <-ctx.Done():
	}
}
