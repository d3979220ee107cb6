package membership

func (t *Table) stepList(list PlatformList) {
	for _, m := range t.ordered {
		m.unlisted = m.heard[SourceList]
	}
	for _, vm := range list.VMs {
		if m, entry := t.members[key{KindEntry, vm.VM}]; entry {
			m.unlisted = false
			m.heard[SourceList] = true
			m.lastHeard[SourceList] = t.now
			continue
		}
		m := t.getOrAdd(KindBackend, vm.VM)
		m.unlisted = false
		m.record.Zone = vm.Zone
		t.updateBackend(m, SourceList, func() {
			m.instances.setListed(vm.Incarnation)
			if vm.Leaving {
				t.markLeaving(m, Record{Instance: vm.Incarnation})
			}
		})
	}
}

func (t *Table) stepNotice(notice Notice) {
	deadline := t.unixMS(t.now + notice.TimeLeft)
	if m, ok := t.members[key{KindEntry, notice.VM}]; ok {
		t.updateEntry(m, Record{Leaving: true, DeadlineMS: deadline}, SourceNotice)
		return
	}
	m := t.getOrAdd(KindBackend, notice.VM)
	t.updateBackend(m, SourceNotice, func() {
		t.markLeaving(m, Record{Instance: notice.Incarnation, DeadlineMS: deadline})
	})
}

func (t *Table) stepReport(report Report) {
	m := t.getOrAdd(KindBackend, report.VM)
	t.updateBackend(m, SourceReport, func() {
		m.instances.recordReport(report.Incarnation, report.Leaving, t.unixMS(t.now))
	})
}

// updateBackend applies a change to a backend server that came from a source, and
// records a change of state.
func (t *Table) updateBackend(m *member, source Source, change func()) {
	before := t.state(m)
	m.heard[source] = true
	m.lastHeard[source] = t.now
	if source != SourceGossip {
		m.lastUpdate = t.now
	}
	change()
	t.recordChange(m, before)
}

// markLeaving records that an instance of a backend server's VM is leaving. If it
// was not known to be, the other entries are informed.
func (t *Table) markLeaving(m *member, record Record) {
	record.Kind, record.VM, record.Leaving = KindBackend, m.record.VM, true
	if m.instances.markLeaving(record, t.now) {
		m.lastUpdate = t.now
		t.broadcastNow(m)
	}
}

func (t *Table) stepCallResult(result CallResult) {
	if result.Kind == KindEntry {
		t.stepEntryCallResult(result)
		return
	}
	m := t.getOrAdd(KindBackend, result.VM)
	if result.OK {
		t.updateBackend(m, SourceCall, func() { m.failures = 0 })
		return
	}
	m.failures++
	if m.failures >= t.options.FailuresUntilUnusable {
		m.retryAt = t.now + t.options.RetryAfter
	}
}

func (t *Table) stepEntryCallResult(result CallResult) {
	m, ok := t.members[key{KindEntry, result.VM}]
	if !ok || m == t.self {
		return
	}
	if result.OK {
		t.markReachable(m, SourceCall)
		return
	}
	t.countMiss(m)
}

func (t *Table) stepGossip(message GossipMessage) {
	before := Record{Health: Dead}
	if m, known := t.members[key{KindEntry, message.From}]; known {
		before = m.record
	}
	for _, record := range message.Records {
		t.handleRecord(record)
	}
	m, known := t.members[key{KindEntry, message.From}]
	if known && m != t.self {
		t.markReachable(m, SourceGossip)
	}
	if !message.Request {
		return
	}
	t.effects.Reply = t.payload()
	rejoined := known && (before.Health == Dead || m.record.Incarnation > before.Incarnation)
	if rejoined && t.now >= t.nextFullSync {
		t.nextFullSync = t.now + t.options.ProbeInterval
		t.effects.Reply = t.allRecords()
	}
}

// handleRecord applies a record that was received from another entry.
func (t *Table) handleRecord(record Record) {
	if record.VM == "" || record.Health > Dead {
		return
	}
	switch record.Kind {
	case KindEntry:
		t.handleEntryRecord(record)
	case KindBackend:
		if record.Leaving {
			m := t.getOrAdd(KindBackend, record.VM)
			t.updateBackend(m, SourceGossip, func() { t.markLeaving(m, record) })
		}
	}
}

// handleEntryRecord applies a record of an entry. Of a record without an
// incarnation only the leaving notice counts, for the incarnation known here.
func (t *Table) handleEntryRecord(record Record) {
	record.Instance = ""
	if record.Incarnation == 0 {
		record = Record{Kind: KindEntry, VM: record.VM, Leaving: record.Leaving, DeadlineMS: record.DeadlineMS}
		if !record.Leaving {
			return
		}
	}
	m := t.getOrAdd(KindEntry, record.VM)
	if m == t.self {
		t.refute(record)
		return
	}
	t.updateEntry(m, record, SourceGossip)
}

// refute handles a record of this entry itself. A suspicion is refuted by raising
// the version, and a higher incarnation by a still higher one.
func (t *Table) refute(record Record) {
	self := &t.self.record
	if record.Leaving && (record.Incarnation == 0 || record.Incarnation == self.Incarnation) {
		t.updateEntry(t.self, record, SourceGossip)
	}
	if record.Incarnation > self.Incarnation {
		self.Incarnation = record.Incarnation + 1
		t.broadcastNow(t.self)
		return
	}
	if record.Incarnation == self.Incarnation && record.Health > Alive && record.Version >= self.Version {
		self.Version = record.Version + 1
		t.enqueueBroadcast(t.self)
	}
}
