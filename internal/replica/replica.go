// Package replica runs one replica of the log. It drives the replication core
// with messages, clock ticks and completed disk writes, applies committed
// entries to the state machine, and serves the calls of entries, operators and
// other replicas.
package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/bootclock"
	"waxwingcart/internal/codec"
	"waxwingcart/internal/configdelta"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/crashguard"
	"waxwingcart/internal/rollout"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/storage"
)

// Timing of the replicated log.
const (
	electionTimeout   = 600 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	leaseDuration     = 400 * time.Millisecond
	// maxClockDrift is a fraction of the clock's rate.
	maxClockDrift       = 0.01
	defaultReplaceAfter = 10 * time.Second
)

// Limits of the replicated log.
const (
	maxBatchBytes = 256 << 10
	maxInflight   = 16
	// maxInflightBytes is far below what a replica receives and stores until an append counts as
	// lost. Beyond that, the leader would send long entries again and again.
	maxInflightBytes = 1 << 20
	maxPendingBytes  = 64 << 20
	// minAppendRate, in bytes per second, is below the rate at which a replica with a small part of a
	// processor takes long entries.
	minAppendRate = 1 << 20
	retainEntries = 20000
	maxVoters     = 5
)

// Peer is a replica that is named in the settings.
type Peer struct {
	VM      string
	Zone    string
	Address string
}

// Options configures a Replica.
type Options struct {
	// Self is this replica's VM, zone and peer address. Its incarnation is read
	// from disk.
	Self Peer
	// Peers lists the other replicas that are known at startup. VM and Zone are
	// empty for a peer of which only the address is known.
	Peers []Peer
	// Voters is the target number of voters; zero derives it from Peers.
	Voters int
	// ReplaceAfter is how long a voter may be silent before a learner replaces
	// it; zero selects the default.
	ReplaceAfter time.Duration
	// Duties configures the leader's calls to a hosting platform; nil disables
	// them.
	Duties *DutyOptions
	// DataDir is the data directory.
	DataDir string
	// Bootstrap lets this replica start a new log if no replica has one on disk.
	Bootstrap bool
	// Platform is the address of the platform that announces reclaims, or empty.
	Platform string
	Client   *rpc.Client
	Logger   *log.Logger
	Registry *prometheus.Registry
	// Clock returns the time since an arbitrary moment. It must also advance while
	// the VM is suspended; nil selects bootclock.Now.
	Clock func() time.Duration
	// Fail is called once if the replica stops because of an error.
	Fail func(error)
}

// Replica is one replica of the log.
type Replica struct {
	opts    Options
	logger  *log.Logger
	metrics *metrics
	log     *storage.Log
	// started is the time of the clock at which the replica was created.
	started time.Duration

	inbox          chan task
	writes         chan *replication.Persist
	snapshots      chan *snapshotJob
	persisted      chan uint64
	savedSnapshots chan replication.Snapshot
	fatal          chan error
	stop           context.CancelFunc
	// stopping is closed once PrepareStop was called.
	stopping chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
	acks     *acks
	orders   *orderRunner
	planning *planning
	limits   *limits
	// bars keeps what entries tell of barred prompt parts, for those that start.
	bars   *crashguard.Guard
	duties *duties
	// putting holds a value while a document is put. Of two at once, one would be proposed for a revision that the
	// other replaces, and be appended again.
	putting chan struct{}
	// documents keeps the latest configuration documents as bases of deltas.
	documents *configdelta.Store
	// rollouts runs roll-outs while this replica leads; rolloutStore keeps them in the log.
	rollouts     *rollout.Leader
	rolloutStore *rolloutStore

	// diskFull is the number of writes that wait for room on the disk.
	diskFull atomic.Int32

	// runCtx is done once the replica stops. It exists from New on, since peers
	// may call before Start.
	runCtx context.Context

	// The fields below, up to mu, are used by the event loop alone.
	node         *replication.Node
	machine      *state.Machine
	lastToken    uint64
	waiting      map[uint64]waiter
	appended     map[uint64]pendingProposal
	pendingReads []replication.ReadResult
	senders      map[senderKey]*sender
	// loop measures how long the loop is held up.
	loop       *loopMonitor
	leaderless repeated
	waits      waitLog
	// unaddressed holds the nodes for which messages were dropped, as no address is known.
	unaddressed map[replication.NodeID]bool
	applied     uint64
	// compactedAt is the index of the latest snapshot, snapshotBytes the size of its data, and
	// bytesApplied the size of the entries that were applied since.
	compactedAt   uint64
	snapshotBytes int
	bytesApplied  int
	compacting    bool
	// applyFailed is true once a committed entry or a snapshot could not be
	// decoded.
	applyFailed bool

	// mu guards the fields below; view is the state that other goroutines read.
	mu   sync.Mutex
	view view
	// numbered is the item of the numbered document in force, and numberedAt its revision.
	numbered   []byte
	numberedAt uint64
	// revisionUpdated is closed and replaced when the revision changes,
	// roleUpdated when the role or the leader changes.
	revisionUpdated chan struct{}
	roleUpdated     chan struct{}
}

// view is the part of the event loop's state that other goroutines may read.
type view struct {
	status  replication.Status
	applied uint64
	records int
}

// New opens the data directory and returns a replica that is not running yet.
func New(opts Options) (*Replica, error) {
	if opts.Clock == nil {
		opts.Clock = bootclock.Now
	}
	dir := filepath.Join(opts.DataDir, "replica")
	store, err := openStorage(dir, opts)
	if err != nil {
		return nil, fmt.Errorf("open replica storage: %w", err)
	}
	r := &Replica{
		opts:            opts,
		logger:          opts.Logger,
		metrics:         newMetrics(opts.Registry),
		log:             store,
		started:         opts.Clock(),
		inbox:           make(chan task, inboxLength),
		writes:          make(chan *replication.Persist, writeQueueLength),
		snapshots:       make(chan *snapshotJob, 1),
		persisted:       make(chan uint64, writeQueueLength+1),
		savedSnapshots:  make(chan replication.Snapshot, 1),
		fatal:           make(chan error, 2),
		stopping:        make(chan struct{}),
		acks:            newAcks(),
		documents:       configdelta.NewStore(opts.Registry),
		putting:         make(chan struct{}, 1),
		machine:         state.New(state.Options{}),
		waiting:         make(map[uint64]waiter),
		appended:        make(map[uint64]pendingProposal),
		senders:         make(map[senderKey]*sender),
		unaddressed:     make(map[replication.NodeID]bool),
		revisionUpdated: make(chan struct{}),
		roleUpdated:     make(chan struct{}),
	}
	r.loop = newLoopMonitor(0, r.logger, r.metrics)
	r.runCtx, r.stop = context.WithCancel(context.Background())
	r.orders = newOrderRunner(r)
	r.planning = newPlanning(r, opts.Platform)
	r.limits = newLimits()
	r.bars = newBars(r)
	if opts.Duties != nil {
		r.duties = newDuties(r, *opts.Duties)
	}
	r.rollouts = newRollouts(r)
	if err := r.restore(); err != nil {
		_ = store.Close()
		return nil, err
	}
	return r, nil
}

// restore rebuilds the node and the state machine from disk.
func (r *Replica) restore() error {
	restored := r.log.Restored()
	self := r.self()
	node, err := replication.New(r.nodeOptions(self), restored)
	if err != nil {
		return fmt.Errorf("restore the replicated log: %w", err)
	}
	r.node = node
	if snapshot := restored.Snapshot; snapshot != nil {
		r.applied = snapshot.Index
		r.compactedAt = snapshot.Index
		r.snapshotBytes = len(snapshot.Data)
		if len(snapshot.Data) > 0 {
			state, err := codec.DecodeState(snapshot.Data)
			if err != nil {
				return fmt.Errorf("restore snapshot at index %d: %w", snapshot.Index, err)
			}
			r.machine.Restore(state)
			r.revisionChanged()
		}
	}
	r.logRestored(restored)
	return nil
}

func (r *Replica) self() replication.Member {
	return replication.Member{
		ID:      replication.NodeID{VM: r.opts.Self.VM, Incarnation: r.log.Incarnation()},
		Zone:    r.opts.Self.Zone,
		Address: r.opts.Self.Address,
	}
}

func (r *Replica) nodeOptions(self replication.Member) replication.Options {
	// A configured number of voters follows from the number of replica losses to
	// tolerate, so nothing is committed before that many replicas vote. A number
	// derived from the peers makes no such promise: a majority of it is enough.
	voters := r.opts.Voters
	minVoters, lostDisks := voters, (voters-1)/2
	if voters == 0 {
		voters = targetVoters(len(r.opts.Peers) + 1)
		minVoters = voters/2 + 1
	}
	replaceAfter := r.opts.ReplaceAfter
	if replaceAfter == 0 {
		replaceAfter = defaultReplaceAfter
	}
	return replication.Options{
		Self:              self,
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: heartbeatInterval,
		LeaseDuration:     leaseDuration,
		MaxClockDrift:     maxClockDrift,
		MaxBatchBytes:     maxBatchBytes,
		MaxInflight:       maxInflight,
		MaxInflightBytes:  maxInflightBytes,
		MinAppendRate:     minAppendRate,
		MaxPendingBytes:   maxPendingBytes,
		RetainEntries:     retainEntries,
		ReplaceAfter:      replaceAfter,
		TargetVoters:      voters,
		MinVoters:         minVoters,
		LostDisks:         max(lostDisks, 0),
		Seed:              self.ID.Incarnation,
	}
}

// targetVoters returns the largest odd number of voters, at most maxVoters,
// that a number of replicas allows.
func targetVoters(replicas int) int {
	if replicas%2 == 0 {
		replicas--
	}
	return min(replicas, maxVoters)
}

// Start runs the replica in the background.
func (r *Replica) Start() {
	ctx := r.runCtx
	r.publish()
	r.spawn(func() { r.runWriter(ctx) })
	r.spawn(func() { r.runLoop(ctx) })
	if r.opts.Bootstrap && r.log.Empty() {
		r.spawn(func() { r.runBootstrap(ctx) })
	}
	r.spawn(func() { r.runJoin(ctx) })
	r.spawn(func() { r.runExpiry(ctx) })
	r.spawn(func() { r.orders.run(ctx) })
	r.spawn(func() { r.planning.run(ctx) })
	if r.duties != nil {
		r.spawn(func() { r.duties.run(ctx) })
	}
	r.spawn(func() { r.runSnapshots(ctx) })
	r.spawn(func() { r.runBehind(ctx) })
	r.spawn(func() { r.keepDocuments(ctx) })
	r.spawn(func() { r.rollouts.Run(ctx) })
}

func (r *Replica) spawn(run func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		run()
	}()
}

func (r *Replica) runLoop(ctx context.Context) {
	if err := r.run(ctx); err != nil {
		r.fail(err)
	}
}

// fail stops the replica because of an error and passes the error to
// Options.Fail. The replica serves nothing afterwards.
func (r *Replica) fail(err error) {
	r.logger.Error().Str("step", "replica").Err(err).Msg("the replica stopped because of an error")
	r.stop()
	if r.opts.Fail != nil {
		r.opts.Fail(err)
	}
}

// Stop stops the replica and closes its storage. It calls PrepareStop first, which
// does nothing if that was done before.
func (r *Replica) Stop(ctx context.Context) error {
	_ = r.PrepareStop(ctx)
	r.stop()
	r.wg.Wait()
	if err := r.log.Close(); err != nil {
		return fmt.Errorf("close replica storage: %w", err)
	}
	return nil
}

// now returns the monotonic time since the replica was created. It advances
// while the process is paused or its VM is suspended, so that a resumed process
// sees that its lease has expired.
func (r *Replica) now() time.Duration {
	return r.opts.Clock() - r.started
}

// publish copies the loop's state to the view and the metrics.
func (r *Replica) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = view{status: r.node.Status(), applied: r.applied, records: r.machine.Records()}
	r.metrics.observe(r.view)
}

func (r *Replica) status() replication.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.status
}

func (r *Replica) revisionChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.revisionUpdated)
	r.revisionUpdated = make(chan struct{})
	r.numbered, r.numberedAt = r.machine.Item(fleet.PathNumbered), r.machine.Revision()
	r.metrics.revision.Set(float64(r.machine.Revision()))
}

func (r *Replica) roleChanged(change replication.RoleChange) {
	event := r.logger.Info().Str("step", "role").Uint64("term", change.Term).Str("role", roleNames[change.Role])
	if change.Leader != nil {
		event = event.Str("leader", change.Leader.ID.VM)
	}
	event.Msg("this replica's role or leader changed")
	r.publish()
	r.forwardJoinRequests(change.Leader)
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.roleUpdated)
	r.roleUpdated = make(chan struct{})
}

// addressOf returns the address of a node: that which the node knows, or else the one
// that the settings give for its VM, or else "".
func (r *Replica) addressOf(id replication.NodeID) string {
	if address := r.node.AddressOf(id); address != "" {
		return address
	}
	for _, peer := range r.opts.Peers {
		if peer.VM == id.VM {
			return peer.Address
		}
	}
	return ""
}

// KnownReplicas returns the addresses of the replicas that this one knows, and
// the leader's address, or "" if it knows no leader.
func (r *Replica) KnownReplicas() (addresses []string, leader string) {
	return r.replicaAddresses(), r.leaderAddress()
}

// replicaAddresses returns the addresses of this replica, of all members and of the leader,
// which may be none of the members by this replica's log, sorted and without duplicates.
func (r *Replica) replicaAddresses() []string {
	addresses := []string{r.opts.Self.Address}
	if leader := r.leaderAddress(); leader != "" {
		addresses = append(addresses, leader)
	}
	membership := r.status().Membership
	for _, members := range [][]replication.Member{membership.Voters, membership.Learners} {
		for _, member := range members {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// senderKey names a sender: one for messages that carry entries or snapshots to an address, and one
// for all others. Heartbeats and votes don't wait for long entries.
type senderKey struct {
	address string
	state   bool
}

// senderTo returns the sender for an address and starts it on first use.
func (r *Replica) senderTo(address string, state bool) *sender {
	key := senderKey{address, state}
	s, ok := r.senders[key]
	if !ok {
		s = newSender(address, r.opts.Self.Address, r.opts.Client, r.logger, r.metrics)
		if state {
			s.undelivered = func() { r.reportUndelivered(address) }
		}
		r.senders[key] = s
		r.spawn(func() { s.run(r.runCtx) })
	}
	return s
}

// reportUndelivered passes on that a delivery of entries failed. The report is dropped if the loop
// is busy; the append then counts as lost later.
func (r *Replica) reportUndelivered(address string) {
	select {
	case r.inbox <- task{fn: func() { r.undelivered(address) }}:
	default:
	}
}
