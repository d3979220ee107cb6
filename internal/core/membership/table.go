// Package membership keeps what one entry knows about the VMs of a deployment:
// the backend servers' VMs and the other entries.
//
// Knowledge comes from sources of different age: the platform's list, reclaim
// notices, the backend servers' reports, the entry's own calls and the news of
// other entries. Within one incarnation of a VM "leaving" is final, whatever a
// lagging source says later. A Table is a state machine without I/O.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// key names a member.
type key struct {
	kind Kind
	vm   string
}

// member is one VM with this entry's local knowledge.
type member struct {
	record Record
	// unbound is set while an entry is leaving but its incarnation is unknown.
	unbound *Record
	// instances is used for backend servers only.
	instances instances
	// static members come from the settings and are never forgotten.
	static bool
	// heard and seen tell from which sources there was word, and when last.
	heard [sourceCount]bool
	seen  [sourceCount]time.Duration
	// touched is the time of the last direct word or change.
	touched time.Duration
	// unlisted tells that the VM disappeared from the platform's list.
	unlisted bool

	failures int
	retryAt  time.Duration

	probing   bool
	probeSent time.Duration
	// misses counts the probe intervals without an answer, the latest at
	// lastMiss.
	misses   int
	lastMiss time.Duration
	// suspectSince is valid while the record is suspect.
	suspectSince time.Duration
	// resend counts the messages that still carry the record.
	resend int
}

// Table is one entry's knowledge of the deployment's VMs.
type Table struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	self    *member
	members map[key]*member
	// entries holds the other entries in order of their VM's name, ordered
	// holds all members but self.
	entries []*member
	ordered []*member
	// hot holds the members whose record is still passed on.
	hot []*member
	// cursor is the place of the periodic exchange in ordered.
	cursor     int
	nextProbe  time.Duration
	nextGossip time.Duration
	// nextFull is when an entry that returns may next be sent all records.
	nextFull time.Duration

	effects Effects
	urgent  []*member
}

// New returns a table that knows itself and the peers of the options.
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
		m := t.member(KindEntry, peer.VM)
		m.record = peer
		m.static = true
	}
	return t
}

// Step takes in one event and returns what to do. Time never runs backwards.
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
	case Contact:
		t.stepContact(e)
	case News:
		t.stepNews(e)
		from = e.From
	case Tick:
		t.stepTick()
	}
	t.push(from)
	return t.effects
}

// learn merges what a source says of an entry.
func (t *Table) learn(m *member, record Record, source Source) {
	before := t.state(m)
	m.heard[source] = true
	m.seen[source] = t.now
	if source != SourceNews {
		m.touched = t.now
	}
	t.merge(m, record)
	t.note(m, before)
}

// merge joins a record into an entry's and queues the result for others.
func (t *Table) merge(m *member, record Record) {
	old := m.record
	record.Kind, record.VM = old.Kind, old.VM
	if record.Incarnation == 0 && old.Incarnation == 0 && record.Leaving {
		t.holdUnbound(m, record)
		record.Leaving, record.DeadlineMS = false, 0
	}
	if record.Incarnation == 0 {
		record.Incarnation = old.Incarnation
	}
	if record.Incarnation > old.Incarnation {
		record.Zone = cmp.Or(record.Zone, old.Zone)
		record.Address = cmp.Or(record.Address, old.Address)
	}
	m.record = Join(old, record)
	t.bind(m)
	if m.record.Incarnation > old.Incarnation {
		m.misses = 0
		m.probing = false
	}
	if m.record.Health == Suspect && old.Health != Suspect {
		m.suspectSince = t.now
	}
	if m.record != old {
		m.touched = t.now
		t.passOn(m, old)
	}
}

// holdUnbound keeps a leaving VM whose incarnation is not known yet. The
// record itself stays live, so that incarnation 0 cannot become final.
func (t *Table) holdUnbound(m *member, record Record) {
	fresh := m.unbound == nil
	if fresh {
		m.unbound = &Record{}
	}
	*m.unbound = Join(*m.unbound, record)
	if fresh {
		t.spread(m)
	}
}

// bind ties an unbound notice to the first incarnation that becomes known.
func (t *Table) bind(m *member) {
	if m.unbound == nil || m.record.Incarnation == 0 {
		return
	}
	m.record.Leaving = true
	m.record.DeadlineMS = earliest(m.record.DeadlineMS, m.unbound.DeadlineMS)
	m.unbound = nil
}

// passOn queues a changed record of an entry for the others.
func (t *Table) passOn(m *member, old Record) {
	if m.record.Incarnation == 0 {
		return
	}
	switch {
	case m.record.Leaving != old.Leaving || m.record.Incarnation != old.Incarnation:
		t.spread(m)
	case m.record.Health != old.Health || m.record.Version != old.Version:
		t.requeue(m)
	}
}

// spread pushes a member's record at once and in the next rounds.
func (t *Table) spread(m *member) {
	t.requeue(m)
	if !slices.Contains(t.urgent, m) {
		t.urgent = append(t.urgent, m)
	}
}

// requeue lets the next rounds carry a member's record. An opinion on health
// takes only this way: pushed at once, the suspicions of a lossy network would
// add to its load.
func (t *Table) requeue(m *member) {
	if !slices.Contains(t.hot, m) {
		t.hot = append(t.hot, m)
	}
	m.resend = t.resends()
}

// note records a change of state.
func (t *Table) note(m *member, before State) {
	after := t.state(m)
	if before == after {
		return
	}
	t.effects.Changes = append(t.effects.Changes, Change{Kind: m.record.Kind, VM: m.record.VM, From: before, To: after})
}

// leaving tells whether a member is leaving.
func (t *Table) leaving(m *member) bool {
	return m.record.Leaving || m.unbound != nil || m.instances.leaving(t.now, t.options.HoldAfter, t.wall(t.now))
}

// state returns a member's state with the local knowledge taken in.
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

// member returns the member of that name, creating it if needed.
func (t *Table) member(kind Kind, vm string) *member {
	k := key{kind, vm}
	if m, ok := t.members[k]; ok {
		return m
	}
	m := &member{record: Record{Kind: kind, VM: vm}, touched: t.now}
	t.members[k] = m
	t.ordered = insert(t.ordered, m)
	if kind == KindEntry {
		t.entries = insert(t.entries, m)
	}
	return m
}

func insert(list []*member, m *member) []*member {
	at, _ := slices.BinarySearchFunc(list, m, compareMembers)
	return slices.Insert(list, at, m)
}

func compareMembers(a, b *member) int {
	return cmp.Or(cmp.Compare(a.record.VM, b.record.VM), cmp.Compare(a.record.Kind, b.record.Kind))
}
