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
	quantum = 5 * time.Millisecond
	// snapshotPadding makes a snapshot span several messages.
	snapshotPadding = 500
	testZones       = 4
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

// host is a VM with a replica.
type host struct {
	self    Member
	node    *Node
	disk    disk
	writing *Persist
	// unsynced is the last write, which a lying disk has not synced.
	unsynced *Persist
	written  time.Duration
	// rate and offset make the host's clock from true time.
	rate        float64
	offset      time.Duration
	frozenUntil time.Duration
	electedAt   time.Duration
	// crashIn counts the effects until a crash; 0 is never.
	crashIn int
	applied uint64
	digest  uint64
}

type packet struct {
	message Message
	due     time.Duration
}

type pendingCheck struct{ floor uint64 }

// network runs hosts in true time and checks the invariants.
type network struct {
	rand    *rand.Rand
	now     time.Duration
	opts    Options
	hosts   []*host
	packets []packet
	cut     map[[2]string]bool
	loss    float64
	slow    float64
	// syncTime is the longest time of a write.
	syncTime time.Duration
	// keepName makes a lost disk come back under its old incarnation, which is
	// wrong.
	keepName bool
	// forgetful makes a restarted node forget that it may have heard from a
	// leader, and a new leader not wait for the old lease, which is wrong.
	forgetful bool
	// lying makes a disk report a write before it is synced, which is wrong.
	lying bool

	// chain holds a digest of the committed log up to each index.
	chain   []uint64
	entries map[[2]uint64]uint64
	leaders map[uint64]NodeID
	reads   map[uint64]pendingCheck
	token   uint64
	served  int
	broken  []string
}

func newNetwork(seed uint64, size int, opts Options) *network {
	w := &network{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		opts:     opts,
		syncTime: 4 * quantum,
		cut:      make(map[[2]string]bool),
		chain:    []uint64{0},
		entries:  make(map[[2]uint64]uint64),
		leaders:  make(map[uint64]NodeID),
		reads:    make(map[uint64]pendingCheck),
	}
	for i := range size {
		h := &host{
			self: Member{ID: NodeID{VM: fmt.Sprint("vm-", i)}, Zone: fmt.Sprint("zone-", i%testZones)},
			rate: 1 + opts.MaxClockDrift*(2*w.rand.Float64()-1),
		}
		h.offset = time.Duration(w.rand.Int64N(int64(time.Hour)))
		h.self.ID.Incarnation = w.rand.Uint64() | 1
		w.hosts = append(w.hosts, h)
	}
	first := Bootstrap([]Member{w.hosts[0].self})
	w.hosts[0].disk.snapshot = first.Snapshot
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func (w *network) violate(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: %s", w.now, fmt.Sprintf(format, args...)))
}

func (h *host) clock(now time.Duration) time.Duration {
	return h.offset + time.Duration(float64(now)*h.rate)
}

func (w *network) start(h *host) {
	opts := w.opts
	opts.Self = h.self
	opts.Seed = w.rand.Uint64()
	node, err := New(opts, h.disk.restored())
	if err != nil {
		w.violate("restart of %v: %v", h.self.ID, err)
		return
	}
	h.node, h.writing, h.crashIn = node, nil, 0
	h.applied, h.digest = 0, 0
	if h.disk.snapshot != nil {
		w.load(h, h.disk.snapshot)
	}
	w.step(h, Tick{})
	if w.forgetful && h.node != nil {
		h.node.heard = false
	}
}

// stop kills a host. The write under way may or may not have reached the disk.
func (w *network) stop(h *host) {
	if h.writing != nil && w.rand.IntN(2) == 0 {
		h.disk.write(h.writing)
	}
	h.node, h.writing, h.unsynced = nil, nil, nil
}

// wipe kills a host whose disk is lost with it.
func (w *network) wipe(h *host) {
	h.node, h.writing, h.unsynced = nil, nil, nil
	h.disk = disk{}
	if !w.keepName {
		h.self.ID.Incarnation = w.rand.Uint64() | 1
	}
}

func (w *network) step(h *host, ev Event) {
	if h.node == nil || w.now < h.frozenUntil {
		return
	}
	w.carryOut(h, h.node.Step(h.clock(w.now), ev))
}

// counted reports whether the host survives one more effect.
func (w *network) counted(h *host) bool {
	if h.crashIn > 0 {
		h.crashIn--
		if h.crashIn == 0 {
			w.stop(h)
		}
	}
	return h.node != nil
}

func (w *network) carryOut(h *host, effects Effects) {
	if r := effects.Role; r != nil && r.Role == RoleLeader {
		if w.forgetful {
			h.node.lead.electedAt -= h.node.opts.LeaseDuration
		}
		w.checkLeader(h, r.Term)
	}
	if effects.Persist != nil {
		if w.lying && h.unsynced != nil {
			h.disk.write(h.unsynced)
		}
		h.unsynced = effects.Persist
		if h.writing != nil {
			w.violate("%v has two writes under way", h.self.ID)
		}
		h.writing = effects.Persist
		h.written = w.now + time.Duration(w.rand.Int64N(int64(w.syncTime)))
		w.checkEntries(h, effects.Persist.Entries)
	}
	for _, m := range effects.Send {
		if !w.counted(h) {
			return
		}
		if !w.lying && !h.disk.covers(&m) {
			w.violate("%v sent what was not synced: %+v", h.self.ID, m)
		}
		w.transmit(m)
	}
	if effects.Install != nil {
		w.load(h, effects.Install)
	}
	for _, e := range effects.Committed {
		if !w.counted(h) {
			return
		}
		w.apply(h, e)
	}
	for _, r := range effects.Reads {
		w.served++
		if floor := w.reads[r.Token].floor; r.Index < floor {
			w.violate("%v read at %d after %d was committed", h.self.ID, r.Index, floor)
		}
	}
}

func (w *network) transmit(m Message) {
	copies := 1
	if w.rand.Float64() < w.loss {
		copies = w.rand.IntN(2) * 2
	}
	for range copies {
		delay := time.Duration(w.rand.Int64N(int64(4 * quantum)))
		if w.rand.Float64() < w.slow {
			delay += time.Duration(w.rand.Int64N(int64(2 * w.opts.ElectionTimeout)))
		}
		w.packets = append(w.packets, packet{m, w.now + delay})
	}
}

func (w *network) load(h *host, s *Snapshot) {
	h.applied = s.Index
	h.digest = 0
	if s.Index > 0 {
		h.digest = binary.LittleEndian.Uint64(s.Data[snapshotPadding:])
		if bytes.Count(s.Data[:snapshotPadding], s.Data[:1]) != snapshotPadding {
			w.violate("%v mixed two snapshots", h.self.ID)
		}
	}
	if s.Index >= uint64(len(w.chain)) || w.chain[s.Index] != h.digest {
		w.violate("%v installed a snapshot at %d that was never committed", h.self.ID, s.Index)
	}
}

// apply checks that every node applies the same entries in the same order.
func (w *network) apply(h *host, e Entry) {
	if e.Index != h.applied+1 {
		w.violate("%v applied %d after %d", h.self.ID, e.Index, h.applied)
	}
	if !h.disk.holds(e) {
		w.violate("%v applied %d before it was synced", h.self.ID, e.Index)
	}
	h.applied = e.Index
	h.digest = digest(h.digest, e)
	switch {
	case e.Index == uint64(len(w.chain)):
		w.chain = append(w.chain, h.digest)
	case e.Index > uint64(len(w.chain)) || w.chain[e.Index] != h.digest:
		w.violate("%v applied another entry %d", h.self.ID, e.Index)
	}
	w.step(h, Applied{Index: e.Index})
}

// run lets true time pass.
func (w *network) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += quantum
		for _, h := range w.hosts {
			w.turn(h)
		}
		w.deliverDue()
		w.checkLeases()
	}
}

func (w *network) turn(h *host) {
	if h.node == nil || w.now < h.frozenUntil {
		return
	}
	w.checkLeases()
	if p := h.writing; p != nil && w.now >= h.written {
		if !w.lying {
			h.disk.write(p)
		}
		h.writing = nil
		w.step(h, Persisted{Sequence: p.Sequence})
	}
	w.step(h, Tick{})
	if w.rand.IntN(20) == 0 {
		w.join(h)
	}
}

// join asks a reachable leader if the host is no member or hears none.
func (w *network) join(h *host) {
	if h.node == nil || (h.node.isVoter() && !h.node.leader.IsZero()) {
		return
	}
	for _, other := range w.hosts {
		if other != h && other.node != nil && other.node.lead != nil && !w.blocked(h, other) {
			w.step(other, Join{Member: h.self})
		}
	}
}

func (w *network) blocked(a, b *host) bool {
	return w.cut[[2]string{a.self.ID.VM, b.self.ID.VM}]
}

func (w *network) deliverDue() {
	var due []Message
	w.packets = slices.DeleteFunc(w.packets, func(p packet) bool {
		if p.due <= w.now {
			due = append(due, p.message)
		}
		return p.due <= w.now
	})
	w.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		to := w.host(m.To.VM)
		if !w.blocked(w.host(m.From.VM), to) {
			w.step(to, Receive{Message: m})
		}
	}
}

func (w *network) host(vm string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.self.ID.VM == vm })
	return w.hosts[i]
}

// isolate cuts the links from and to a host, or one direction of them.
func (w *network) isolate(h *host, from, to bool) {
	for _, other := range w.hosts {
		if other != h {
			w.cut[[2]string{h.self.ID.VM, other.self.ID.VM}] = from
			w.cut[[2]string{other.self.ID.VM, h.self.ID.VM}] = to
		}
	}
}

func (w *network) heal() {
	clear(w.cut)
	w.loss, w.slow, w.syncTime = 0, 0, 4*quantum
	for _, h := range w.hosts {
		h.frozenUntil, h.crashIn = 0, 0
		if h.node == nil {
			w.start(h)
		}
	}
}

func (w *network) propose(h *host) {
	w.token++
	w.step(h, Propose{Token: w.token, Data: fmt.Append(nil, "command ", w.token)})
}

func (w *network) read(h *host) {
	w.token++
	w.reads[w.token] = pendingCheck{uint64(len(w.chain)) - 1}
	w.step(h, Read{Token: w.token})
}

func (w *network) compact(h *host) {
	if h.node == nil || h.applied <= h.disk.base() || h.applied > h.disk.last() {
		return
	}
	// Two hosts may encode the same state in different ways.
	padding := bytes.Repeat([]byte{byte(h.self.ID.Incarnation)}, snapshotPadding)
	data := binary.LittleEndian.AppendUint64(padding, h.digest)
	if s, ok := h.node.SnapshotAt(h.applied, data); ok {
		h.disk.save(&s)
		w.step(h, Compacted{Snapshot: s})
	}
}

func (w *network) leader() *host {
	var found *host
	for _, h := range w.hosts {
		if h.node != nil && h.node.lead != nil && (found == nil || h.node.term > found.node.term) {
			found = h
		}
	}
	return found
}
