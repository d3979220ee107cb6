// Package replica runs one replica of the log: it feeds the replication core
// with messages, time and completed writes, applies what is committed to the
// state machine, and serves the calls of entries, operators and other replicas.
package replica

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/storage"
)

// Timing of the replicated log.
const (
	electionTimeout   = 600 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	leaseDuration     = 400 * time.Millisecond
	maxClockDrift     = 0.01
	defaultReplace    = 10 * time.Second
)

// Limits of the replicated log.
const (
	maxBatchBytes   = 256 << 10
	maxInflight     = 16
	maxPendingBytes = 64 << 20
	retainEntries   = 20000
	maxVoters       = 5
)

// Peer is another replica of the settings.
type Peer struct {
	VM      string
	Zone    string
	Address string
}

// Options configures a Replica.
type Options struct {
	// Self is the replica's VM, zone and peer address; its incarnation comes
	// from the disk.
	Self Peer
	// Peers lists the other replicas that are known at the start. The VM and the
	// zone of a peer that is known by its address alone are empty.
	Peers []Peer
	// Voters is the number of voters to aim for; zero derives it from Peers.
	Voters int
	// ReplaceAfter is how long a voter may be silent before a learner replaces
	// it; zero selects the default.
	ReplaceAfter time.Duration
	// Duties is set if the leader carries out duties for a platform.
	Duties *DutyOptions
	// DataDir is the data folder.
	DataDir string
	// Bootstrap makes this replica start a new log if no replica's disk holds
	// one.
	Bootstrap bool
	// Platform is the platform's address, or empty.
	Platform string
	Client   *rpc.Client
	Logger   *log.Logger
	Registry *prometheus.Registry
	// Fail is called once if the replica can't go on.
	Fail func(error)
}

// Replica is one running replica.
type Replica struct {
	opts    Options
	logger  *log.Logger
	metrics *metrics
	log     *storage.Log
	started time.Time

	inbox       chan work
	writes      chan *replication.Persist
	snapshots   chan *snapshotJob
	written     chan uint64
	saved       chan replication.Snapshot
	writeFailed chan error
	stop        context.CancelFunc
	stopped     sync.WaitGroup
	acks        *acks
	orders      *orderer
	planning    *planning
	limits      *limits
	duties      *duties

	// The loop alone uses what follows.
	node        *replication.Node
	machine     *state.Machine
	token       uint64
	waiting     map[uint64]waiter
	appended    map[uint64]pending
	reads       []replication.ReadResult
	senders     map[string]*sender
	addresses   map[replication.NodeID]string
	applied     uint64
	compactedAt uint64
	compacting  bool
	// broken is true once a committed entry could not be applied.
	broken      bool
	loopContext context.Context

	// view is what other goroutines may read.
	mu   sync.Mutex
	view view
	// revised is closed and replaced when the revision changes, and led when the
	// role or the leader does.
	revised chan struct{}
	led     chan struct{}
}

// view is the loop's state as published to other goroutines.
type view struct {
	status  replication.Status
	applied uint64
	records int
}

// New opens the data folder and returns a replica that is not running yet.
func New(opts Options) (*Replica, error) {
	dir := filepath.Join(opts.DataDir, "replica")
	store, err := storage.Open(dir, storage.Options{})
	if err != nil {
		return nil, fmt.Errorf("open replica storage: %w", err)
	}
	r := &Replica{
		opts:        opts,
		logger:      opts.Logger,
		metrics:     newMetrics(opts.Registry),
		log:         store,
		started:     time.Now(),
		inbox:       make(chan work, inboxLength),
		writes:      make(chan *replication.Persist, writeQueueLength),
		snapshots:   make(chan *snapshotJob, 1),
		written:     make(chan uint64, writeQueueLength+1),
		saved:       make(chan replication.Snapshot, 1),
		writeFailed: make(chan error, 2),
		acks:        newAcks(),
		machine:     state.New(state.Options{}),
		waiting:     make(map[uint64]waiter),
		appended:    make(map[uint64]pending),
		senders:     make(map[string]*sender),
		addresses:   make(map[replication.NodeID]string),
		revised:     make(chan struct{}),
		led:         make(chan struct{}),
	}
	r.orders = newOrderer(r)
	r.planning = newPlanning(r, opts.Platform)
	r.limits = newLimits()
	if opts.Duties != nil {
		r.duties = newDuties(r, *opts.Duties)
	}
	if err := r.restore(); err != nil {
		_ = store.Close()
		return nil, err
	}
	return r, nil
}

// restore rebuilds the node and the state machine from the disk.
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
		if len(snapshot.Data) > 0 {
			state, err := codec.DecodeState(snapshot.Data)
			if err != nil {
				return fmt.Errorf("restore snapshot at index %d: %w", snapshot.Index, err)
			}
			r.machine.Restore(state)
		}
	}
	r.membershipChanged()
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
	// A deployment that says how many losses it stands commits nothing before
	// enough replicas vote; another one may run on fewer.
	voters := r.opts.Voters
	minVoters := voters
	if voters == 0 {
		voters = targetVoters(len(r.opts.Peers) + 1)
		minVoters = voters/2 + 1
	}
	replaceAfter := r.opts.ReplaceAfter
	if replaceAfter == 0 {
		replaceAfter = defaultReplace
	}
	return replication.Options{
		Self:              self,
		ElectionTimeout:   electionTimeout,
		HeartbeatInterval: heartbeatInterval,
		LeaseDuration:     leaseDuration,
		MaxClockDrift:     maxClockDrift,
		MaxBatchBytes:     maxBatchBytes,
		MaxInflight:       maxInflight,
		MaxPendingBytes:   maxPendingBytes,
		RetainEntries:     retainEntries,
		ReplaceAfter:      replaceAfter,
		TargetVoters:      voters,
		MinVoters:         minVoters,
		Seed:              self.ID.Incarnation,
	}
}

// targetVoters is the largest odd number of voters that the replicas allow.
func targetVoters(replicas int) int {
	if replicas%2 == 0 {
		replicas--
	}
	return min(replicas, maxVoters)
}

// Start runs the replica in the background.
func (r *Replica) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.loopContext = ctx
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
}

func (r *Replica) spawn(run func()) {
	r.stopped.Add(1)
	go func() {
		defer r.stopped.Done()
		run()
	}()
}

func (r *Replica) runLoop(ctx context.Context) {
	if err := r.run(ctx); err != nil {
		r.fail(err)
	}
}

// fail reports that the replica can't go on. It serves nothing afterwards.
func (r *Replica) fail(err error) {
	r.logger.Error().Str("step", "replica").Err(err).Msg("replica failed")
	r.stop()
	if r.opts.Fail != nil {
		r.opts.Fail(err)
	}
}

// Stop hands the leadership over, ends the replica and closes its storage.
func (r *Replica) Stop(ctx context.Context) error {
	r.resign(ctx)
	r.stop()
	r.stopped.Wait()
	if err := r.log.Close(); err != nil {
		return fmt.Errorf("close replica storage: %w", err)
	}
	return nil
}

// resignGrace is the time for the message of a resigning leader to leave.
const resignGrace = 100 * time.Millisecond

func (r *Replica) resign(ctx context.Context) {
	if r.status().Role != replication.RoleLeader {
		return
	}
	r.inbox <- work{event: replication.Resign{}}
	select {
	case <-ctx.Done():
	case <-time.After(resignGrace):
	}
}

// now is the monotonic time since the start. It goes on while the process is
// frozen, so that a lease is seen to be over after waking.
func (r *Replica) now() time.Duration {
	return time.Since(r.started)
}

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
	close(r.revised)
	r.revised = make(chan struct{})
	r.metrics.revision.Set(float64(r.machine.Revision()))
}

func (r *Replica) roleChanged(change replication.RoleChange) {
	event := r.logger.Info().Str("step", "role").Uint64("term", change.Term).Str("role", roleNames[change.Role])
	if change.Leader != nil {
		event = event.Str("leader", change.Leader.ID.VM)
	}
	event.Msg("role changed")
	r.publish()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.led)
	r.led = make(chan struct{})
}

// membershipChanged refreshes the addresses of the members.
func (r *Replica) membershipChanged() {
	membership := r.node.Status().Membership
	clear(r.addresses)
	for _, members := range [][]replication.Member{membership.Voters, membership.Learners} {
		for _, member := range members {
			r.addresses[member.ID] = member.Address
		}
	}
}

// addressOf finds where a node listens: as a member, or by its VM's settings.
func (r *Replica) addressOf(id replication.NodeID) (string, bool) {
	if address, ok := r.addresses[id]; ok {
		return address, true
	}
	for _, peer := range r.opts.Peers {
		if peer.VM == id.VM {
			return peer.Address, true
		}
	}
	return "", false
}

// Known returns where the replicas are known to listen, and which of them leads
// as far as this one knows, or "".
func (r *Replica) Known() (addresses []string, leader string) {
	return r.replicaAddresses(), r.leaderAddress()
}

// replicaAddresses lists where replicas are known to listen, this one included.
func (r *Replica) replicaAddresses() []string {
	addresses := []string{r.opts.Self.Address}
	membership := r.status().Membership
	for _, members := range [][]replication.Member{membership.Voters, membership.Learners} {
		for _, member := range members {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

func (r *Replica) senderTo(address string) *sender {
	s, ok := r.senders[address]
	if !ok {
		s = newSender(address, newStub(address, r.opts.Client), r.logger)
		r.senders[address] = s
		r.spawn(func() { s.run(r.loopContext) })
	}
	return s
}
