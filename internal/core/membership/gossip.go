package membership

import (
	"math/bits"
	"slices"
	"time"
)

// syncWindow is the number of table records that each message carries beside
// recent changes, so that a change whose messages were lost still arrives.
const syncWindow = 2

// stepTick checks timeouts and sends probes and gossip that are due.
func (t *Table) stepTick() {
	t.checkTimeouts()
	if t.now >= t.nextProbe {
		t.nextProbe = t.now + t.options.ProbeInterval
		t.nextGossip = t.now + t.options.GossipInterval
		t.probe()
		return
	}
	if len(t.broadcastQueue) > 0 && t.now >= t.nextGossip {
		t.nextGossip = t.now + t.options.GossipInterval
		t.sendPayload(t.sample(t.options.Fanout, t.options.CrossZoneFanout, ""))
	}
}

// checkTimeouts counts probes that timed out as missed, declares entries dead that
// stayed suspect for DeadAfter, and forgets members that were not updated for
// ForgetAfter.
func (t *Table) checkTimeouts() {
	for _, m := range t.entries {
		if m.probing && t.now-m.probeSent > t.options.ProbeTimeout {
			t.countMiss(m)
		}
		if m.record.Health == Suspect && t.now-m.suspectSince > t.options.DeadAfter {
			t.setHealth(m, Dead)
		}
	}
	forgotten := func(m *member) bool {
		return !m.static && m.sendsLeft == 0 && t.now-m.lastUpdate > t.options.ForgetAfter
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

// markReachable records that an entry answered or called this one.
func (t *Table) markReachable(m *member, source Source) {
	t.updateEntry(m, Record{}, source)
	m.lastUpdate = t.now
	m.probing = false
	m.misses = 0
}

// countMiss counts a probe without an answer, at most about one per interval.
func (t *Table) countMiss(m *member) {
	m.probing = false
	if m.misses > 0 && t.now-m.lastMiss < t.options.ProbeInterval/2 {
		return
	}
	m.misses++
	m.lastMiss = t.now
	if m.misses >= t.options.SuspectMisses && m.record.Health == Alive {
		t.setHealth(m, Suspect)
	}
}

// setHealth sets another entry's health as judged by this entry.
func (t *Table) setHealth(m *member, health Health) {
	record := m.record
	record.Health = health
	before := t.state(m)
	t.merge(m, record)
	t.recordChange(m, before)
}

// probe sends one round of probes to a few random peers and to those that missed
// the last one. On average each entry is probed by several others in an interval,
// and the cost per entry does not grow with the deployment.
func (t *Table) probe() {
	targets := t.sample(t.options.Probes-1, 1, "")
	targets = t.addUnresponsive(targets)
	if dead := t.randomDead(); dead != nil {
		targets = append(targets, dead)
	}
	t.sendPayload(targets)
}

// peers returns the other entries that are not dead, except the given one.
func (t *Table) peers(without string) []*member {
	peers := make([]*member, 0, len(t.entries))
	for _, m := range t.entries {
		if m.record.Health != Dead && m.record.VM != without {
			peers = append(peers, m)
		}
	}
	return peers
}

// sample returns random peers: inZone of the own zone and crossZone of other
// zones. Up to FullMeshLimit peers it ignores zones.
func (t *Table) sample(inZone, crossZone int, without string) []*member {
	peers := t.peers(without)
	if len(peers) <= t.options.FullMeshLimit {
		return t.pick(peers, inZone+crossZone)
	}
	var sameZone, otherZones []*member
	for _, m := range peers {
		if m.record.Zone == t.self.record.Zone {
			sameZone = append(sameZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	return append(t.pick(sameZone, inZone), t.pick(otherZones, crossZone)...)
}

// pick moves up to n random members to the front and returns them.
func (t *Table) pick(from []*member, n int) []*member {
	n = min(n, len(from))
	for i := range n {
		j := i + t.random.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:n:n]
}

// addUnresponsive adds the peers that missed their last probe.
func (t *Table) addUnresponsive(targets []*member) []*member {
	for _, m := range t.entries {
		if m.misses > 0 && m.record.Health != Dead && !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	return targets
}

// randomDead returns a random dead entry or nil. Probing dead entries lets the two
// sides of a healed partition find each other.
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

// pushUrgent sends the urgent records at once. An entry that learned of a change
// from its own sources tells all peers if they are few enough for a full mesh. An
// entry that received the change from another one forwards it to a few.
func (t *Table) pushUrgent(from string) {
	if len(t.urgent) == 0 {
		return
	}
	targets := t.peers(from)
	if from != "" || len(targets) > t.options.FullMeshLimit {
		targets = t.sample(t.options.Fanout, t.options.CrossZoneFanout, from)
	}
	records := []Record{t.self.record}
	for _, m := range t.urgent {
		if m != t.self && len(records) < t.options.MaxRecords {
			records = append(records, m.outgoingRecord())
		}
	}
	for _, target := range targets {
		t.send(target, records)
	}
}

// outgoingRecord returns the record of a member as sent to others.
func (m *member) outgoingRecord() Record {
	if latest, ok := m.instances.newestLeaving(); ok {
		latest.Zone = m.record.Zone
		return latest
	}
	if m.unboundNotice != nil {
		return *m.unboundNotice
	}
	return m.record
}

// sendPayload sends one payload to all targets.
func (t *Table) sendPayload(targets []*member) {
	if len(targets) == 0 {
		return
	}
	records := t.payload()
	t.countSent(len(records))
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
		// Informs the entry of the suspicion, so that it can refute it.
		records = append(records[:len(records):len(records)], m.record)
	}
	t.effects.Send = append(t.effects.Send, Send{Peer: m.record.VM, Address: m.record.Address, Records: records})
}

// payload returns the records of one message: this entry's, the changed ones that
// were sent least often, and a window that moves over the whole table.
func (t *Table) payload() []Record {
	records := make([]Record, 1, 1+len(t.broadcastQueue)+syncWindow)
	records[0] = t.self.record
	for _, m := range t.broadcastQueue {
		if len(records) == t.options.MaxRecords {
			break
		}
		if m != t.self {
			records = append(records, m.outgoingRecord())
		}
	}
	for range min(syncWindow, len(t.ordered)) {
		t.syncCursor = (t.syncCursor + 1) % len(t.ordered)
		if m := t.ordered[t.syncCursor]; t.shouldSync(m) {
			records = append(records, m.outgoingRecord())
		}
	}
	return records
}

// countSent counts that a round carried the first records of broadcastQueue, and
// moves those that were sent least often to the front.
func (t *Table) countSent(sent int) {
	for _, m := range t.broadcastQueue[:min(sent, len(t.broadcastQueue))] {
		m.sendsLeft--
	}
	t.broadcastQueue = slices.DeleteFunc(t.broadcastQueue, func(m *member) bool { return m.sendsLeft <= 0 })
	slices.SortStableFunc(t.broadcastQueue, func(a, b *member) int { return b.sendsLeft - a.sendsLeft })
}

// allRecords returns all records, for an entry that is new or was partitioned.
func (t *Table) allRecords() []Record {
	records := []Record{t.self.record}
	for _, m := range t.ordered {
		if t.shouldSync(m) {
			records = append(records, m.outgoingRecord())
		}
	}
	return records
}

// shouldSync reports whether a member's record is sent without a recent change.
// That ends long before entries forget the member, so that no entry reintroduces a
// member that the others have forgotten.
func (t *Table) shouldSync(m *member) bool {
	known := m.record.Incarnation != 0 || len(m.instances.leavingInstances) > 0
	return known && (m.static || t.now-m.lastUpdate < t.options.ForgetAfter/2)
}

// sendsPerUpdate returns the number of rounds that carry a changed record. It
// grows with the logarithm of the number of entries.
func (t *Table) sendsPerUpdate() int {
	const factor = 2
	return factor * (1 + bits.Len(uint(len(t.entries))))
}

// unixMS converts a time to milliseconds since 1970.
func (t *Table) unixMS(at time.Duration) int64 {
	return t.options.EpochMS + at.Milliseconds()
}
