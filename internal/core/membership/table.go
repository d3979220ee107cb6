// Package membership tracks what one entry knows about the VMs of a deployment:
// those of the backend servers and those of the other entries.
//
// The information comes from sources that lag by different times: the platform's
// list of VMs, reclaim notices, reports of backend servers, the entry's own calls
// and gossip from other entries. Within one incarnation of a VM, "leaving" is
// final, whatever a lagging source says later. A Table is a state machine without
// I/O.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// key identifies a member.
type key struct {
	kind Kind
	vm   string
}

// member is one VM: its record and what this entry has observed itself.
type member struct {
	record Record
	// unboundNotice is set while an entry is known to be leaving but its
	// incarnation is unknown.
	unboundNotice *Record
	// instances is used for backend servers only.
	instances instances
	// static members come from the settings and are never forgotten.
	static bool
	// heard and lastHeard hold for each source whether it has mentioned the VM,
	// and when it last did.
	heard     [sourceCount]bool
	lastHeard [sourceCount]time.Duration
	// lastUpdate is when the record last changed or a source other than gossip
	// last mentioned the VM.
	lastUpdate time.Duration
	// unlisted is true if the VM disappeared from the platform's list.
	unlisted bool

	// failures is the number of failed calls in a row. After too many, the
	// backend server is unusable until retryAt.
	failures int
	retryAt  time.Duration

	// probing is true while a probe that was sent at probeSent is unanswered.
	probing   bool
	probeSent time.Duration
	// misses is the number of probe intervals in a row without an answer, the
	// latest of which was counted at lastMiss.
	misses   int
	lastMiss time.Duration
	// suspectSince is valid while the record is suspect.
	suspectSince time.Duration
	// sendsLeft is the number of rounds that will still carry the record.
	sendsLeft int
}

// Table holds what one entry knows about the deployment's VMs.
type Table struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	self    *member
	members map[key]*member
	// entries holds the other entries, and ordered all members except self.
	// Both are sorted by VM name.
	entries []*member
	ordered []*member
	// broadcastQueue holds the members whose changed record is still sent in
	// gossip rounds.
	broadcastQueue []*member
	// syncCursor is the index in ordered of the record that was last sent
	// without a recent change.
	syncCursor int
	nextProbe  time.Duration
	nextGossip time.Duration
	// nextFullSync is the earliest time at which all records may be sent again
	// to an entry that rejoined.
	nextFullSync time.Duration

	// effects and urgent belong to the current step. urgent holds the members
	// whose records are pushed at its end.
	effects Effects
	urgent  []*member
}

// New returns a table with this entry and the peers of the options.
func New(options Options) *Table {
	options.setDefaults()
	t := &Table{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		members: make(map[key]*member),
	}
	self := options.Self
	self.Kind = KindEntry
	t.self = &member{record: self, static: true}
	t.members[key{KindEntry, self.VM}] = t.self
	for _, peer := range options.Peers {
		if peer.VM == self.VM {
			continue
		}
		peer.Kind = KindEntry
		m := t.getOrAdd(KindEntry, peer.VM)
		m.record = peer
		m.static = true
	}
	return t
}

// Step applies one event and returns what the caller must do. A now before that
// of an earlier step counts as the earlier time.
func (t *Table) Step(now time.Duration, event Event) Effects {
	t.now = max(t.now, now)
	t.effects = Effects{}
	t.urgent = t.urgent[:0]
	from := ""
	switch e := event.(type) {
	case PlatformList:
		t.stepList(e)
	case Notice:
		t.stepNotice(e)
	case Report:
		t.stepReport(e)
	case CallResult:
		t.stepCallResult(e)
	case GossipMessage:
		t.stepGossip(e)
		from = e.From
	case Tick:
		t.stepTick()
	}
	t.pushUrgent(from)
	return t.effects
}

// updateEntry merges a record of an entry that came from a source.
func (t *Table) updateEntry(m *member, record Record, source Source) {
	before := t.state(m)
	m.heard[source] = true
	m.lastHeard[source] = t.now
	if source != SourceGossip {
		m.lastUpdate = t.now
	}
	t.merge(m, record)
	t.recordChange(m, before)
}

// merge merges a record into that of an entry and queues a change for broadcast.
func (t *Table) merge(m *member, record Record) {
	old := m.record
	record.Kind, record.VM = old.Kind, old.VM
	if record.Incarnation == 0 && old.Incarnation == 0 && record.Leaving {
		t.storeUnboundNotice(m, record)
		record.Leaving, record.DeadlineMS = false, 0
	}
	if record.Incarnation == 0 {
		record.Incarnation = old.Incarnation
	}
	if record.Incarnation > old.Incarnation {
		record.Zone = cmp.Or(record.Zone, old.Zone)
		record.Address = cmp.Or(record.Address, old.Address)
	}
	m.record = Merge(old, record)
	t.bindNotice(m)
	if m.record.Incarnation > old.Incarnation {
		m.misses = 0
		m.probing = false
	}
	if m.record.Health == Suspect && old.Health != Suspect {
		m.suspectSince = t.now
	}
	if m.record != old {
		m.lastUpdate = t.now
		t.broadcastChange(m, old)
	}
}

// storeUnboundNotice stores a notice for an entry whose incarnation is not known
// yet. The record itself does not become leaving, as that would be final for
// incarnation 0.
func (t *Table) storeUnboundNotice(m *member, record Record) {
	isNew := m.unboundNotice == nil
	if isNew {
		m.unboundNotice = &Record{}
	}
	*m.unboundNotice = Merge(*m.unboundNotice, record)
	if isNew {
		t.broadcastNow(m)
	}
}

// bindNotice applies an unbound notice to the first incarnation that becomes
// known.
func (t *Table) bindNotice(m *member) {
	if m.unboundNotice == nil || m.record.Incarnation == 0 {
		return
	}
	m.record.Leaving = true
	m.record.DeadlineMS = earliest(m.record.DeadlineMS, m.unboundNotice.DeadlineMS)
	m.unboundNotice = nil
}

// broadcastChange queues an entry's record for broadcast if it changed in a way
// that matters to others.
func (t *Table) broadcastChange(m *member, old Record) {
	if m.record.Incarnation == 0 {
		return
	}
	switch {
	case m.record.Leaving != old.Leaving || m.record.Incarnation != old.Incarnation:
		t.broadcastNow(m)
	case m.record.Health != old.Health || m.record.Version != old.Version:
		t.enqueueBroadcast(m)
	}
}

// broadcastNow sends a member's record at the end of the step and in the next
// gossip rounds.
func (t *Table) broadcastNow(m *member) {
	t.enqueueBroadcast(m)
	if !slices.Contains(t.urgent, m) {
		t.urgent = append(t.urgent, m)
	}
}

// enqueueBroadcast sends a member's record in the next gossip rounds. A change of
// health is sent only this way: if it were pushed at once, the suspicions that a
// lossy network causes would add to its load.
func (t *Table) enqueueBroadcast(m *member) {
	if !slices.Contains(t.broadcastQueue, m) {
		t.broadcastQueue = append(t.broadcastQueue, m)
	}
	m.sendsLeft = t.sendsPerUpdate()
}

// recordChange adds an effect if the member's state is no longer before.
func (t *Table) recordChange(m *member, before State) {
	after := t.state(m)
	if before == after {
		return
	}
	t.effects.Changes = append(t.effects.Changes, Change{Kind: m.record.Kind, VM: m.record.VM, From: before, To: after})
}

// leaving reports whether a member is leaving.
func (t *Table) leaving(m *member) bool {
	return m.record.Leaving || m.unboundNotice != nil || m.instances.leaving(t.now, t.options.NoticeHold, t.unixMS(t.now))
}

// state returns a member's state, including what only this entry knows.
func (t *Table) state(m *member) State {
	if m.record.Health != Dead && t.leaving(m) {
		return StateLeaving
	}
	silent := m.heard == [sourceCount]bool{}
	if silent && !m.static {
		return StateUnknown
	}
	return m.record.State()
}

// getOrAdd returns a member and adds it first if it is unknown.
func (t *Table) getOrAdd(kind Kind, vm string) *member {
	k := key{kind, vm}
	if m, ok := t.members[k]; ok {
		return m
	}
	m := &member{record: Record{Kind: kind, VM: vm}, lastUpdate: t.now}
	t.members[k] = m
	t.ordered = insertSorted(t.ordered, m)
	if kind == KindEntry {
		t.entries = insertSorted(t.entries, m)
	}
	return m
}

func insertSorted(list []*member, m *member) []*member {
	at, _ := slices.BinarySearchFunc(list, m, compareMembers)
	return slices.Insert(list, at, m)
}

func compareMembers(a, b *member) int {
	return cmp.Or(cmp.Compare(a.record.VM, b.record.VM), cmp.Compare(a.record.Kind, b.record.Kind))
}
