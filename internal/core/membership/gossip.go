package membership

import (
	"math/bits"
	"slices"
	"time"
)

// windowRecords is the number of records that each message repeats from the
// whole table, so that lost news is made up for.
const windowRecords = 2

// stepTick sends probes and news, and ages the members.
func (t *Table) stepTick() {
	t.age()
	if t.now >= t.nextProbe {
		t.nextProbe = t.now + t.options.ProbeInterval
		t.nextGossip = t.now + t.options.GossipInterval
		t.probe()
		return
	}
	if len(t.hot) > 0 && t.now >= t.nextGossip {
		t.nextGossip = t.now + t.options.GossipInterval
		t.sendTo(t.sample(t.options.Fanout, t.options.Bridges, ""))
	}
}

// age times out probes and suspicions and forgets what is long gone.
func (t *Table) age() {
	for _, m := range t.entries {
		if m.probing && t.now-m.probeSent > t.options.ProbeTimeout {
			t.missed(m)
		}
		if m.record.Health == Suspect && t.now-m.suspectSince > t.options.DeadAfter {
			t.judge(m, Dead)
		}
	}
	forgotten := func(m *member) bool {
		return !m.static && m.resend == 0 && t.now-m.touched > t.options.ForgetAfter
	}
	if !slices.ContainsFunc(t.ordered, forgotten) {
		return
	}
	for _, m := range t.ordered {
		if forgotten(m) {
			delete(t.members, key{m.record.Kind, m.record.VM})
		}
	}
	t.ordered = slices.DeleteFunc(t.ordered, forgotten)
	t.entries = slices.DeleteFunc(t.entries, forgotten)
}

// answered notes that an entry answered or called.
func (t *Table) answered(m *member, source Source) {
	t.learn(m, Record{}, source)
	m.touched = t.now
	m.probing = false
	m.misses = 0
}

// missed counts a probe without an answer, about one an interval at most.
func (t *Table) missed(m *member) {
	m.probing = false
	if m.misses > 0 && t.now-m.lastMiss < t.options.ProbeInterval/2 {
		return
	}
	m.misses++
	m.lastMiss = t.now
	if m.misses >= t.options.SuspectAfter && m.record.Health == Alive {
		t.judge(m, Suspect)
	}
}

// judge records this entry's own opinion on another entry.
func (t *Table) judge(m *member, health Health) {
	record := m.record
	record.Health = health
	before := t.state(m)
	t.merge(m, record)
	t.note(m, before)
}

// probe sends one round of probes to a few random peers and to those that
// missed the last one. Each entry is still probed by several others in an
// interval, and the cost does not grow with the deployment.
func (t *Table) probe() {
	targets := t.sample(t.options.Probes-1, 1, "")
	targets = t.addDoubtful(targets)
	if gone := t.randomDead(); gone != nil {
		targets = append(targets, gone)
	}
	t.sendTo(targets)
}

// peers returns the other entries that are not dead, without one of them.
func (t *Table) peers(without string) []*member {
	peers := make([]*member, 0, len(t.entries))
	for _, m := range t.entries {
		if m.record.Health != Dead && m.record.VM != without {
			peers = append(peers, m)
		}
	}
	return peers
}

// sample returns random peers: some of the own zone, some of other zones. A
// small deployment is not split by zone.
func (t *Table) sample(inZone, bridges int, without string) []*member {
	peers := t.peers(without)
	if len(peers) <= t.options.FullMeshLimit {
		return t.pick(peers, inZone+bridges)
	}
	var near, far []*member
	for _, m := range peers {
		if m.record.Zone == t.self.record.Zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return append(t.pick(near, inZone), t.pick(far, bridges)...)
}

// pick moves n random members to the front and returns them.
func (t *Table) pick(from []*member, n int) []*member {
	n = min(n, len(from))
	for i := range n {
		j := i + t.random.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n:n]
}

// addDoubtful adds the peers whose last probe failed.
func (t *Table) addDoubtful(targets []*member) []*member {
	for _, m := range t.entries {
		if m.misses > 0 && m.record.Health != Dead && !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// randomDead returns one dead entry, so that the two sides of a healed
// partition find each other.
func (t *Table) randomDead() *member {
	var dead []*member
	for _, m := range t.entries {
		if m.record.Health == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return dead[t.random.IntN(len(dead))]
}

// push sends urgent news at once. An entry that learned it at first hand tells
// all peers of a full mesh; one that was told passes it on to a few.
func (t *Table) push(from string) {
	if len(t.urgent) == 0 {
		return
	}
	targets := t.peers(from)
	if from != "" || len(targets) > t.options.FullMeshLimit {
		targets = t.sample(t.options.Fanout, t.options.Bridges, from)
	}
	records := []Record{t.self.record}
	for _, m := range t.urgent {
		if m != t.self && len(records) < t.options.MaxRecords {
			records = append(records, m.news())
		}
	}
	for _, target := range targets {
		t.send(target, records)
	}
}

// news returns the record to send of a member.
func (m *member) news() Record {
	if latest, ok := m.instances.latest(); ok {
		latest.Zone = m.record.Zone
		return latest
	}
	if m.unbound != nil {
		return *m.unbound
	}
	return m.record
}

// sendTo sends one payload to all targets.
func (t *Table) sendTo(targets []*member) {
	if len(targets) == 0 {
		return
	}
	records := t.payload()
	t.countResend(len(records))
	for _, m := range targets {
		t.send(m, records)
	}
}

func (t *Table) send(m *member, records []Record) {
	if !m.probing {
		m.probing = true
		m.probeSent = t.now
	}
	if m.record.Health != Alive && m.record.Incarnation != 0 {
		// Tells the entry of the suspicion, so that it can refute it.
		records = append(records[:len(records):len(records)], m.record)
	}
	t.effects.Send = append(t.effects.Send, Send{Peer: m.record.VM, Address: m.record.Address, Records: records})
}

// payload returns the records of one message: this entry, the freshest news
// and a window that moves over the whole table.
func (t *Table) payload() []Record {
	records := make([]Record, 1, 1+len(t.hot)+windowRecords)
	records[0] = t.self.record
	for _, m := range t.hot {
		if len(records) == t.options.MaxRecords {
			break
		}
		if m != t.self {
			records = append(records, m.news())
		}
	}
	for range min(windowRecords, len(t.ordered)) {
		t.cursor = (t.cursor + 1) % len(t.ordered)
		if m := t.ordered[t.cursor]; t.repeated(m) {
			records = append(records, m.news())
		}
	}
	return records
}

// countResend notes that a round carried the first records of hot, and puts
// the news that was sent least first.
func (t *Table) countResend(sent int) {
	for _, m := range t.hot[:min(sent, len(t.hot))] {
		m.resend--
	}
	t.hot = slices.DeleteFunc(t.hot, func(m *member) bool { return m.resend <= 0 })
	slices.SortStableFunc(t.hot, func(a, b *member) int { return b.resend - a.resend })
}

// everything returns all records for an entry that is new or was cut off.
func (t *Table) everything() []Record {
	records := []Record{t.self.record}
	for _, m := range t.ordered {
		if t.repeated(m) {
			records = append(records, m.news())
		}
	}
	return records
}

// repeated tells whether a member's record is sent again without fresh news.
// It ends long before anyone forgets the member, so that no entry brings back
// what the others have forgotten.
func (t *Table) repeated(m *member) bool {
	known := m.record.Incarnation != 0 || len(m.instances.left) > 0
	return known && (m.static || t.now-m.touched < t.options.ForgetAfter/2)
}

// resends returns how many messages carry a fresh record.
func (t *Table) resends() int {
	const factor = 2
	return factor * (1 + bits.Len(uint(len(t.entries))))
}

// wall converts a time to milliseconds since 1970.
func (t *Table) wall(at time.Duration) int64 {
	return t.options.EpochMS + at.Milliseconds()
}
