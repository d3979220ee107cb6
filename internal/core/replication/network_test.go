package replication

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// timeStep is the step of simulated time.
	timeStep = 5 * time.Millisecond
	// snapshotPaddingBytes makes a snapshot span several messages.
	snapshotPaddingBytes = 500
	testZoneCount        = 4
)

func testOptions() Options {
	return Options{
		ElectionTimeout:   200 * time.Millisecond,
		HeartbeatInterval: 20 * time.Millisecond,
		LeaseDuration:     150 * time.Millisecond,
		MaxClockDrift:     0.05,
		ReplaceAfter:      time.Second,
		RetainEntries:     5,
		MaxBatchBytes:     200,
		MaxInflight:       4,
		TargetVoters:      3,
	}
}

// host is a simulated VM with a replica.
type host struct {
	self         Member
	node         *Node
	disk         disk
	pendingWrite *Persist
	// unsyncedWrite is the last write; with ackBeforeSync the disk has not synced
	// it.
	unsyncedWrite *Persist
	writeDoneAt   time.Duration
	// extraSyncTime is added to the longest time that a write takes on this host.
	extraSyncTime time.Duration
	// clockRate and clockOffset derive the host's clock from simulated time.
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration
	electedAt   time.Duration
	nextJoin    time.Duration
	// forwardedTo is the leader to which join requests were passed on last.
	forwardedTo NodeID
	// effectsUntilCrash is the number of effects until a crash, or 0 for no
	// crash.
	effectsUntilCrash int
	applied           uint64
	digest            uint64
}

// packet is a message in transit, which arrives when it is due.
type packet struct {
	message Message
	// from is the address of the sender when it sent the message, and to the one at which it
	// looks for the receiver.
	from, to string
	due      time.Duration
}

// expectedRead holds the smallest index at which a read may be answered.
type expectedRead struct{ minIndex uint64 }

// entrySend is an entry that was sent to a node.
type entrySend struct {
	to          NodeID
	index, term uint64
}

// network simulates hosts, their disks and the messages between them, and checks
// the invariants of replication.
type network struct {
	rand         *rand.Rand
	now          time.Duration
	opts         Options
	hosts        []*host
	packets      []packet
	blockedLinks map[[2]string]bool
	lossRate     float64
	delayRate    float64
	// transferRate is the rate in bytes per second at which entries arrive, or 0 for no limit.
	transferRate int
	// sends counts how often an entry was sent to a node.
	sends map[entrySend]int
	// maxSyncTime is the longest time that a write takes.
	maxSyncTime time.Duration
	// reuseIncarnation is a deliberate fault: a host that lost its disk keeps its
	// old incarnation.
	reuseIncarnation bool
	// ignoreOldLease is a deliberate fault: a restarted node ignores that it may
	// have heard from a leader, and a new leader does not wait for the lease of
	// the previous one.
	ignoreOldLease bool
	// ackBeforeSync is a deliberate fault: a disk reports a write before it is
	// synced.
	ackBeforeSync bool

	// joinInterval is the time between two join requests of a host, the first of which follows it after the start. With
	// zero, hosts ask at random times.
	joinInterval time.Duration
	// keepAddresses lets a host that lost its disk return at its former address.
	keepAddresses bool

	// earlier, if set, is a host whose version does not know Membership.Replacement.
	earlier *host

	// committedDigests holds a digest of the committed log up to each index.
	committedDigests []uint64
	// entries holds a digest of each entry by index and term.
	entries       map[[2]uint64]uint64
	leaderByTerm  map[uint64]NodeID
	expectedReads map[uint64]expectedRead
	lastToken     uint64
	lastAddress   int
	readsServed   int
	violations    []string
}

func newNetwork(seed uint64, size int, opts Options) *network {
	net := &network{
		rand:             rand.New(rand.NewPCG(seed, 1)),
		opts:             opts,
		maxSyncTime:      4 * timeStep,
		blockedLinks:     make(map[[2]string]bool),
		committedDigests: []uint64{0},
		entries:          make(map[[2]uint64]uint64),
		sends:            make(map[entrySend]int),
		leaderByTerm:     make(map[uint64]NodeID),
		expectedReads:    make(map[uint64]expectedRead),
	}
	for i := range size {
		h := &host{
			self:      Member{ID: NodeID{VM: fmt.Sprint("vm-", i)}, Zone: fmt.Sprint("zone-", i%testZoneCount)},
			clockRate: 1 + opts.MaxClockDrift*(2*net.rand.Float64()-1),
		}
		h.clockOffset = time.Duration(net.rand.Int64N(int64(time.Hour)))
		h.self.ID.Incarnation = net.rand.Uint64() | 1
		h.self.Address = fmt.Sprint("address-", i)
		net.hosts = append(net.hosts, h)
	}
	first := Bootstrap([]Member{net.hosts[0].self})
	net.hosts[0].disk.snapshot = first.Snapshot
	for _, h := range net.hosts {
		net.start(h)
	}
	return net
}

// reportViolation records that an invariant was violated at the current time.
func (net *network) reportViolation(format string, args ...any) {
	net.violations = append(net.violations, fmt.Sprintf("%v: %s", net.now, fmt.Sprintf(format, args...)))
}

// clock returns the time of the host's clock at a simulated time.
func (h *host) clock(now time.Duration) time.Duration {
	return h.clockOffset + time.Duration(float64(now)*h.clockRate)
}

func (net *network) start(h *host) {
	opts := net.opts
	opts.Self = h.self
	opts.Seed = net.rand.Uint64()
	node, err := New(opts, h.disk.restored())
	if err != nil {
		net.reportViolation("start %v: %v", h.self.ID, err)
		return
	}
	h.node, h.pendingWrite, h.effectsUntilCrash = node, nil, 0
	h.applied, h.digest = 0, 0
	h.nextJoin = net.now + net.joinInterval
	if h.disk.snapshot != nil {
		net.installSnapshot(h, h.disk.snapshot)
	}
	net.step(h, Tick{})
	if net.ignoreOldLease && h.node != nil {
		h.node.leaderContact = false
	}
}

// stop kills a host. A pending write may or may not have reached the disk.
func (net *network) stop(h *host) {
	if h.pendingWrite != nil && net.rand.IntN(2) == 0 {
		h.disk.write(h.pendingWrite)
	}
	h.node, h.pendingWrite, h.unsyncedWrite = nil, nil, nil
}

// wipe kills a host and erases its disk. It returns at another address.
func (net *network) wipe(h *host) {
	h.node, h.pendingWrite, h.unsyncedWrite = nil, nil, nil
	h.disk = disk{}
	if !net.reuseIncarnation {
		h.self.ID.Incarnation = net.rand.Uint64() | 1
		if !net.keepAddresses {
			net.lastAddress++
			h.self.Address = fmt.Sprint("later-address-", net.lastAddress)
		}
	}
}

func (net *network) step(h *host, ev Event) {
	if h.node == nil || net.now < h.pausedUntil {
		return
	}
	net.executeEffects(h, h.node.Step(h.clock(net.now), ev))
}

// survivesEffect counts an effect towards the host's planned crash and reports
// whether the host is still running.
func (net *network) survivesEffect(h *host) bool {
	if h.effectsUntilCrash > 0 {
		h.effectsUntilCrash--
		if h.effectsUntilCrash == 0 {
			net.stop(h)
		}
	}
	return h.node != nil
}

// executeEffects executes the effects of a step and checks them against the
// invariants.
func (net *network) executeEffects(h *host, effects Effects) {
	if r := effects.Role; r != nil && r.Role == RoleLeader {
		if net.ignoreOldLease {
			h.node.leaderState.electedAt -= h.node.opts.LeaseDuration
		}
		net.checkLeader(h, r.Term)
	}
	if effects.Persist != nil {
		if net.ackBeforeSync && h.unsyncedWrite != nil {
			h.disk.write(h.unsyncedWrite)
		}
		h.unsyncedWrite = effects.Persist
		if h.pendingWrite != nil {
			net.reportViolation("%v issued a write before the previous one was synced", h.self.ID)
		}
		h.pendingWrite = effects.Persist
		h.writeDoneAt = net.now + time.Duration(net.rand.Int64N(int64(net.maxSyncTime+h.extraSyncTime)))
		net.checkEntries(h, effects.Persist.Entries)
	}
	for _, m := range effects.Send {
		if !net.survivesEffect(h) {
			return
		}
		if !net.ackBeforeSync && !h.disk.hasSynced(&m) {
			net.reportViolation("%v sent a message that depends on unsynced state: %+v", h.self.ID, m)
		}
		net.enqueue(h, m)
	}
	if effects.Install != nil {
		net.installSnapshot(h, effects.Install)
	}
	for _, e := range effects.Committed {
		if !net.survivesEffect(h) {
			return
		}
		net.applyEntry(h, e)
	}
	for _, r := range effects.Reads {
		net.readsServed++
		if minIndex := net.expectedReads[r.Token].minIndex; r.Index < minIndex {
			net.reportViolation("%v answered a read at index %d, below the commit index %d at its start", h.self.ID, r.Index, minIndex)
		}
	}
}

// enqueue puts a message in transit, with the delay, loss and duplication that the
// network currently has.
func (net *network) enqueue(from *host, m Message) {
	address := from.node.AddressOf(m.To)
	m.Replaces = m.Replaces && from != net.earlier
	for _, e := range m.Entries {
		net.sends[entrySend{m.To, e.Index, e.Term}]++
	}
	var transfer time.Duration
	if net.transferRate > 0 {
		transfer = time.Duration(totalBytes(m.Entries)) * time.Second / time.Duration(net.transferRate)
	}
	copies := 1
	if net.rand.Float64() < net.lossRate {
		copies = net.rand.IntN(2) * 2
	}
	for range copies {
		delay := transfer + time.Duration(net.rand.Int64N(int64(4*timeStep)))
		if net.rand.Float64() < net.delayRate {
			delay += time.Duration(net.rand.Int64N(int64(2 * net.opts.ElectionTimeout)))
		}
		net.packets = append(net.packets, packet{m, from.self.Address, address, net.now + delay})
	}
}

// installSnapshot sets the host's state from a snapshot and checks that the
// snapshot is intact and matches the committed log.
func (net *network) installSnapshot(h *host, s *Snapshot) {
	h.applied = s.Index
	h.digest = 0
	if s.Index > 0 {
		h.digest = binary.LittleEndian.Uint64(s.Data[snapshotPaddingBytes:])
		if bytes.Count(s.Data[:snapshotPaddingBytes], s.Data[:1]) != snapshotPaddingBytes {
			net.reportViolation("%v installed a mix of two snapshots", h.self.ID)
		}
	}
	if s.Index >= uint64(len(net.committedDigests)) || net.committedDigests[s.Index] != h.digest {
		net.reportViolation("%v installed a snapshot at index %d that differs from the committed log", h.self.ID, s.Index)
	}
}

// applyEntry applies an entry and checks that all nodes apply the same entries in
// the same order.
func (net *network) applyEntry(h *host, e Entry) {
	if e.Index != h.applied+1 {
		net.reportViolation("%v applied entry %d after entry %d", h.self.ID, e.Index, h.applied)
	}
	if !h.disk.hasEntry(e) {
		net.reportViolation("%v applied entry %d before it was synced", h.self.ID, e.Index)
	}
	h.applied = e.Index
	h.digest = digest(h.digest, e)
	switch {
	case e.Index == uint64(len(net.committedDigests)):
		net.committedDigests = append(net.committedDigests, h.digest)
	case e.Index > uint64(len(net.committedDigests)) || net.committedDigests[e.Index] != h.digest:
		net.reportViolation("%v applied entry %d that differs from the committed log", h.self.ID, e.Index)
	}
	net.step(h, Applied{Index: e.Index})
}

// run advances simulated time by d.
func (net *network) run(d time.Duration) {
	for end := net.now + d; net.now < end; {
		net.now += timeStep
		for _, h := range net.hosts {
			net.runHost(h)
		}
		net.deliverDue()
		net.checkLeases()
	}
}

// runHost completes the host's pending write if it is due and ticks its node.
func (net *network) runHost(h *host) {
	if h.node == nil || net.now < h.pausedUntil {
		return
	}
	net.checkLeases()
	if p := h.pendingWrite; p != nil && net.now >= h.writeDoneAt {
		if !net.ackBeforeSync {
			h.disk.write(p)
		}
		h.pendingWrite = nil
		net.step(h, Persisted{Sequence: p.Sequence})
	}
	net.step(h, Tick{})
	switch {
	case net.joinInterval == 0 && net.rand.IntN(20) == 0, net.joinInterval > 0 && net.now >= h.nextJoin:
		h.nextJoin = net.now + net.joinInterval
		net.join(h)
	}
	net.forwardJoinRequests(h)
}

// join sends a join request to all reachable nodes unless the host is a member by
// its own log and knows a leader, as the program does.
func (net *network) join(h *host) {
	if h.node == nil || (h.node.log.membership().Contains(h.self.ID) && !h.node.leader.IsZero()) {
		return
	}
	for _, other := range net.hosts {
		if other != h && other.node != nil && !net.blocked(h, other) {
			net.step(other, Join{Member: h.self})
		}
	}
}

// forwardJoinRequests passes on the join requests that a host heard to a leader that is new to it, as the program does.
func (net *network) forwardJoinRequests(h *host) {
	if h.node == nil || h.node.leader == h.forwardedTo {
		return
	}
	h.forwardedTo = h.node.leader
	if h.forwardedTo.IsZero() || h.forwardedTo == h.self.ID {
		return
	}
	leader := net.host(h.forwardedTo.VM)
	if leader.self.ID != h.forwardedTo || net.blocked(h, leader) {
		return
	}
	for _, member := range h.node.JoinRequests() {
		net.step(leader, Join{Member: member})
	}
}

// blocked reports whether messages from a to b are dropped.
func (net *network) blocked(a, b *host) bool {
	return net.blockedLinks[[2]string{a.self.ID.VM, b.self.ID.VM}]
}

// deliverDue delivers the messages that are due, in random order.
func (net *network) deliverDue() {
	var due []packet
	net.packets = slices.DeleteFunc(net.packets, func(p packet) bool {
		if p.due <= net.now {
			due = append(due, p)
		}
		return p.due <= net.now
	})
	net.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		// Nothing arrives at an address that no host has, or has any more.
		i := slices.IndexFunc(net.hosts, func(h *host) bool { return h.self.Address == p.to })
		if i >= 0 && !net.blocked(net.host(p.message.From.VM), net.hosts[i]) {
			net.step(net.hosts[i], Receive{Message: p.message, Address: p.from})
		}
	}
}

func (net *network) host(vm string) *host {
	i := slices.IndexFunc(net.hosts, func(h *host) bool { return h.self.ID.VM == vm })
	return net.hosts[i]
}

// isolate sets whether the links from a host and those to it are blocked.
func (net *network) isolate(h *host, outgoing, incoming bool) {
	for _, other := range net.hosts {
		if other != h {
			net.blockedLinks[[2]string{h.self.ID.VM, other.self.ID.VM}] = outgoing
			net.blockedLinks[[2]string{other.self.ID.VM, h.self.ID.VM}] = incoming
		}
	}
}

// heal ends all faults and starts the hosts that are down.
func (net *network) heal() {
	clear(net.blockedLinks)
	net.lossRate, net.delayRate, net.maxSyncTime = 0, 0, 4*timeStep
	for _, h := range net.hosts {
		h.pausedUntil, h.effectsUntilCrash, h.extraSyncTime = 0, 0, 0
		if h.node == nil {
			net.start(h)
		}
	}
}

func (net *network) propose(h *host) {
	net.lastToken++
	net.step(h, Propose{Token: net.lastToken, Data: fmt.Append(nil, "command ", net.lastToken), Durable: true})
}

func (net *network) read(h *host) {
	net.lastToken++
	net.expectedReads[net.lastToken] = expectedRead{uint64(len(net.committedDigests)) - 1}
	net.step(h, Read{Token: net.lastToken})
}

func (net *network) compact(h *host) {
	if h.node == nil || h.applied <= h.disk.baseIndex() || h.applied > h.disk.lastIndex() {
		return
	}
	// Hosts may encode the same state differently.
	padding := bytes.Repeat([]byte{byte(h.self.ID.Incarnation)}, snapshotPaddingBytes)
	data := binary.LittleEndian.AppendUint64(padding, h.digest)
	if s, ok := h.node.SnapshotAt(h.applied, data); ok {
		h.disk.saveSnapshot(&s)
		net.step(h, Compacted{Snapshot: s})
	}
}

// leader returns the leader with the highest term, or nil.
func (net *network) leader() *host {
	var found *host
	for _, h := range net.hosts {
		if h.node != nil && h.node.leaderState != nil && (found == nil || h.node.term > found.node.term) {
			found = h
		}
	}
	return found
}
