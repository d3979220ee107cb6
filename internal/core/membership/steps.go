package membership

func (t *Table) stepList(list PlatformList) {
	for _, m := range t.ordered {
		m.unlisted = m.heard[SourceList]
	}
	for _, vm := range list.VMs {
		if m, entry := t.members[key{KindEntry, vm.VM}]; entry {
			m.unlisted = false
			m.heard[SourceList] = true
			m.seen[SourceList] = t.now
			continue
		}
		m := t.member(KindBackend, vm.VM)
		m.unlisted = false
		m.record.Zone = vm.Zone
		t.observe(m, SourceList, func() {
			m.instances.show(vm.Incarnation)
			if vm.Leaving {
				t.leave(m, Record{Instance: vm.Incarnation})
			}
		})
	}
}

func (t *Table) stepNotice(notice Notice) {
	deadline := t.wall(t.now + notice.Left)
	if m, ok := t.members[key{KindEntry, notice.VM}]; ok {
		t.learn(m, Record{Leaving: true, DeadlineMS: deadline}, SourceNotice)
		return
	}
	m := t.member(KindBackend, notice.VM)
	t.observe(m, SourceNotice, func() {
		t.leave(m, Record{Instance: notice.Incarnation, DeadlineMS: deadline})
	})
}

func (t *Table) stepReport(report Report) {
	m := t.member(KindBackend, report.VM)
	t.observe(m, SourceReport, func() {
		m.instances.report(report.Incarnation, report.Leaving, t.wall(t.now))
	})
}

// observe takes in direct word of a backend server and notes what it changes.
func (t *Table) observe(m *member, source Source, change func()) {
	before := t.state(m)
	m.heard[source] = true
	m.seen[source] = t.now
	if source != SourceNews {
		m.touched = t.now
	}
	change()
	t.note(m, before)
}

// leave notes that an instance of a backend server's VM is leaving, and tells
// the other entries if that is news.
func (t *Table) leave(m *member, record Record) {
	record.Kind, record.VM, record.Leaving = KindBackend, m.record.VM, true
	if m.instances.leave(record, t.now) {
		m.touched = t.now
		t.spread(m)
	}
}

func (t *Table) stepContact(contact Contact) {
	if contact.Kind == KindEntry {
		t.stepEntryContact(contact)
		return
	}
	m := t.member(KindBackend, contact.VM)
	if contact.OK {
		t.observe(m, SourceContact, func() { m.failures = 0 })
		return
	}
	m.failures++
	if m.failures >= t.options.FailuresUntilUnusable {
		m.retryAt = t.now + t.options.RetryAfter
	}
}

func (t *Table) stepEntryContact(contact Contact) {
	m, ok := t.members[key{KindEntry, contact.VM}]
	if !ok || m == t.self {
		return
	}
	if contact.OK {
		t.answered(m, SourceContact)
		return
	}
	t.missed(m)
}

func (t *Table) stepNews(news News) {
	before := Record{Health: Dead}
	if m, known := t.members[key{KindEntry, news.From}]; known {
		before = m.record
	}
	for _, record := range news.Records {
		t.takeRecord(record)
	}
	m, known := t.members[key{KindEntry, news.From}]
	if known && m != t.self {
		t.answered(m, SourceNews)
	}
	if !news.Request {
		return
	}
	t.effects.Reply = t.payload()
	returns := known && (before.Health == Dead || m.record.Incarnation > before.Incarnation)
	if returns && t.now >= t.nextFull {
		t.nextFull = t.now + t.options.ProbeInterval
		t.effects.Reply = t.everything()
	}
}

// takeRecord merges a record of another entry.
func (t *Table) takeRecord(record Record) {
	if record.VM == "" || record.Health > Dead {
		return
	}
	switch record.Kind {
	case KindEntry:
		t.takeEntry(record)
	case KindBackend:
		if record.Leaving {
			m := t.member(KindBackend, record.VM)
			t.observe(m, SourceNews, func() { t.leave(m, record) })
		}
	}
}

// takeEntry merges a record of an entry. Without an incarnation only its
// notice counts, for the incarnation that is known here.
func (t *Table) takeEntry(record Record) {
	record.Instance = ""
	if record.Incarnation == 0 {
		record = Record{Kind: KindEntry, VM: record.VM, Leaving: record.Leaving, DeadlineMS: record.DeadlineMS}
		if !record.Leaving {
			return
		}
	}
	m := t.member(KindEntry, record.VM)
	if m == t.self {
		t.refute(record)
		return
	}
	t.learn(m, record, SourceNews)
}

// refute answers a record about this entry itself.
func (t *Table) refute(record Record) {
	self := &t.self.record
	if record.Leaving && (record.Incarnation == 0 || record.Incarnation == self.Incarnation) {
		t.learn(t.self, record, SourceNews)
	}
	if record.Incarnation > self.Incarnation {
		self.Incarnation = record.Incarnation + 1
		t.spread(t.self)
		return
	}
	if record.Incarnation == self.Incarnation && record.Health > Alive && record.Version >= self.Version {
		self.Version = record.Version + 1
		t.requeue(t.self)
	}
}
