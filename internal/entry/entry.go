// Package entry serves callers: it authenticates them, admits and routes their
// requests, keeps their streams going across failures of backend servers, and
// tells each caller one truthful outcome.
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
	"waxwingcart/internal/core/admission"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Peer is another entry of the settings.
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
	// DataDir is the folder for the configuration in force, or empty if the VM
	// has no disk.
	DataDir string
	// Platform is the platform's address, or empty.
	Platform string
	// PeerSecret authenticates event IDs across entries.
	PeerSecret string
	// MaxRequests bounds the requests that this entry holds.
	MaxRequests int
	// BodyLimit bounds a caller's body in bytes, whatever its policy says. Zero
	// leaves it to the policy.
	BodyLimit int64
	// BodyTimeout bounds reading a caller's body, WriteTimeout one write to a
	// caller.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	// Routed is set if calls are served by a numbered routing configuration.
	Routed *RoutedOptions
	// AcceptWhileDraining is how long a draining entry goes on taking requests
	// in, for callers that have not yet seen that it is not ready.
	AcceptWhileDraining time.Duration
	Client              *rpc.Client
	Logger              *log.Logger
	Registry            *prometheus.Registry
}

// The defaults of Options.
const (
	DefaultMaxRequests  = 4096
	DefaultBodyTimeout  = 10 * time.Second
	DefaultWriteTimeout = 10 * time.Second
)

// warmUp is the time until a new entry has a share of the customers' limits.
const warmUp = admission.DefaultGrowAfter + 10*policyTick

// Entry is one running entry.
type Entry struct {
	opts        Options
	logger      *log.Logger
	metrics     *metrics
	incarnation uint64
	started     time.Time
	backends    *backend.Client
	replicas    *rpc.Replicas
	batcher     *rpc.Batcher
	policy      *policy
	config      *configHolder
	history     *history
	releaser    *releaser
	members     *members
	reports     reportState
	directory   *directory
	quota       *quotaClient
	broadcaster *broadcaster
	// initialized is closed once routed calls can be served: a configuration is in
	// force and the list of backend servers is known.
	initialized chan struct{}
	initOnce    sync.Once

	nextID     atomic.Uint64
	stop       context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup
	draining   atomic.Bool

	mu sync.Mutex
	// drainingSince is when the drain began.
	drainingSince time.Time
	// runs holds the requests in flight by request ID.
	runs map[string]*run
	// idle is closed when the last request of a draining entry ended.
	idle chan struct{}
}

// New returns an entry that is not running yet.
func New(opts Options) *Entry {
	setDefaults(&opts)
	e := &Entry{
		opts:        opts,
		logger:      opts.Logger,
		metrics:     newMetrics(opts.Registry),
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		backends:    backend.New(opts.backendOptions()),
		directory:   newDirectory(),
		replicas:    opts.Replicas,
		history:     newHistory(),
		runs:        make(map[string]*run),
		idle:        make(chan struct{}),
		initialized: make(chan struct{}),
	}
	e.policy = newPolicy(e)
	e.quota = newQuotaClient(e)
	e.broadcaster = newBroadcaster(e)
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
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = DefaultBodyTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = DefaultWriteTimeout
	}
}

// Start runs the entry's background work.
func (e *Entry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.ctx, e.stop = ctx, cancel
	e.batcher = rpc.NewBatcher(ctx, e.replicas)
	e.spawn(func() { e.config.run(ctx) })
	e.spawn(func() { e.releaser.run(ctx) })
	if e.opts.Routed != nil {
		e.spawn(func() { e.runDiscovery(ctx) })
		e.spawn(func() { e.quota.run(ctx) })
		e.spawn(func() { e.broadcaster.run(ctx) })
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

// Stop ends the entry's background work. Drain comes first.
func (e *Entry) Stop() {
	e.stop()
	e.background.Wait()
	e.backends.Close()
}

// Ready reports whether a balancer should send requests here. A new entry has
// no share of the customers' limits until the others have made room for it.
func (e *Entry) Ready() bool {
	if e.draining.Load() || e.config.inForce() == nil {
		return false
	}
	if e.opts.Routed != nil {
		return e.directory.known() && (e.quota.granted() || e.now() > firstDrawTimeout)
	}
	return e.now() > warmUp
}

// signalInitialized lets the calls go on that wait for an entry that starts.
func (e *Entry) signalInitialized() {
	if e.config.inForce() != nil && e.directory.known() {
		e.initOnce.Do(func() { close(e.initialized) })
	}
}

// awaitInitialized holds a call of an entry that has just started, and returns the
// configuration in force, or nil. What an entry needs comes within a second in
// most cases, and a caller that is told to come back has few tries.
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

// Incarnation is the random number of this run of the entry.
func (e *Entry) Incarnation() uint64 { return e.incarnation }

func (e *Entry) now() time.Duration { return time.Since(e.started) }

// newRequestID returns an ID that no other request of any entry has.
func (e *Entry) newRequestID() string {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], e.incarnation)
	binary.BigEndian.PutUint32(b[8:], uint32(e.nextID.Add(1)))
	return "r-" + hex.EncodeToString(b[:])
}

// add takes a request in. It fails if the entry holds too many or drains.
func (e *Entry) add(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closedToRequests() || len(e.runs) >= e.opts.MaxRequests {
		return false
	}
	r.key = r.id
	if e.runs[r.key] != nil {
		// Two callers may give the same ID.
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

// closedToRequests reports whether a draining entry takes no more requests in. The
// caller holds mu.
func (e *Entry) closedToRequests() bool {
	return e.draining.Load() && time.Since(e.drainingSince) >= e.opts.AcceptWhileDraining
}

// signalIdle wakes the drain once no request is left. The caller holds mu.
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

// serviceLoad returns what this entry asks of each service.
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

// forEachRun calls a function for every request in flight.
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

// Drain takes readiness off and waits until no request is in flight. At the
// deadline, streams end resumable and waiting requests are refused. A zero
// deadline waits for every request to end by itself.
func (e *Entry) Drain(ctx context.Context, deadline time.Duration) {
	e.beginDrain()
	e.logger.Info().Str("step", "drain").Int64("deadline_ms", deadline.Milliseconds()).Msg("drain begins")
	var timeout <-chan time.Time
	if deadline > 0 {
		timer := time.NewTimer(deadline)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-e.idle:
	case <-timeout:
		e.endStreams(ctx)
	case <-ctx.Done():
		e.endStreams(context.Background())
	}
	e.logger.Info().Str("step", "drain").Msg("drain ends")
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

// finalEventTimeout bounds the wait for requests to hand out their last event.
const finalEventTimeout = 2 * time.Second

func (e *Entry) endStreams(ctx context.Context) {
	e.forEachRun(func(r *run) { r.drain() })
	timer := time.NewTimer(finalEventTimeout)
	defer timer.Stop()
	select {
	case <-e.idle:
	case <-timer.C:
	case <-ctx.Done():
	}
}
