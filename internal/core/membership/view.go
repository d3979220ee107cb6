package membership

import "time"

// Member is one VM as shown in the state dump.
type Member struct {
	Record
	State  State `json:"state"`
	Usable bool  `json:"usable"`
	// Failures is the number of failed calls in a row.
	Failures int `json:"failures,omitempty"`
	// Sources lists the sources that have mentioned the VM.
	Sources []SourceAge `json:"sources,omitempty"`
}

// SourceAge is how long ago a source last mentioned a VM.
type SourceAge struct {
	Source string `json:"source"`
	AgeMS  int64  `json:"age_ms"`
}

// Leaving reports whether the VM of a backend server or of an entry is leaving.
func (t *Table) Leaving(vm string) bool {
	for _, kind := range []Kind{KindBackend, KindEntry} {
		m, ok := t.members[key{kind, vm}]
		if ok && t.leaving(m) {
			return true
		}
	}
	return false
}

// Usable reports whether a backend server's VM may receive new requests. An unknown
// VM is usable, as its address comes from the configuration.
func (t *Table) Usable(vm string) bool {
	m, ok := t.members[key{KindBackend, vm}]
	if !ok {
		return true
	}
	return t.usable(m)
}

func (t *Table) usable(m *member) bool {
	if t.leaving(m) {
		return false
	}
	if m.failures >= t.options.FailuresUntilUnusable && t.now < m.retryAt {
		return false
	}
	return !m.unlisted || t.heardDirectly(m)
}

// heardDirectly reports whether the VM recently sent a report or answered a call.
func (t *Table) heardDirectly(m *member) bool {
	for _, source := range []Source{SourceReport, SourceCall} {
		if m.heard[source] && t.now-m.lastHeard[source] <= t.options.UnlistedTimeout {
			return true
		}
	}
	return false
}

// Self returns this entry's own record.
func (t *Table) Self() Record {
	return t.self.record
}

// Entries returns the live entries of a zone, this one included, or those of all
// zones if zone is empty. A suspect entry counts as live, a leaving one does not.
func (t *Table) Entries(zone string) []Member {
	var entries []Member
	if t.live(t.self) && (zone == "" || zone == t.self.record.Zone) {
		entries = append(entries, t.view(t.self))
	}
	for _, m := range t.entries {
		if t.live(m) && (zone == "" || zone == m.record.Zone) {
			entries = append(entries, t.view(m))
		}
	}
	return entries
}

func (t *Table) live(m *member) bool {
	return m.record.Health != Dead && !t.leaving(m)
}

// SharingEntries returns the entries among which a shared limit is divided: all that
// may still admit requests. An entry that does not answer may be partitioned and
// still admit requests, so a missing answer alone does not end its share; the end of
// its VM does.
func (t *Table) SharingEntries() []Member {
	sharing := []Member{t.view(t.self)}
	for _, m := range t.entries {
		if !t.stopped(m) {
			sharing = append(sharing, t.view(m))
		}
	}
	return sharing
}

// stopped reports whether an entry certainly admits no more requests: its VM was
// reclaimed, or it is dead and either had announced that it was leaving or its VM
// disappeared from the platform's list.
func (t *Table) stopped(m *member) bool {
	if t.leaving(m) && m.record.DeadlineMS != 0 {
		return t.unixMS(t.now) > m.record.DeadlineMS+reclaimGrace.Milliseconds()
	}
	return m.record.Health == Dead && (m.record.Leaving || m.unlisted)
}

// reclaimGrace is added to a deadline to allow for clock skew between entries.
const reclaimGrace = 5 * time.Second

// Members returns all known VMs: this entry first, the others sorted by name.
func (t *Table) Members() []Member {
	members := make([]Member, 0, 1+len(t.ordered))
	members = append(members, t.view(t.self))
	for _, m := range t.ordered {
		members = append(members, t.view(m))
	}
	return members
}

func (t *Table) view(m *member) Member {
	view := Member{Record: m.outgoingRecord(), State: t.state(m), Usable: t.usable(m), Failures: m.failures}
	for source := range sourceCount {
		if m.heard[source] {
			age := (t.now - m.lastHeard[source]) / time.Millisecond
			view.Sources = append(view.Sources, SourceAge{Source: source.String(), AgeMS: int64(age)})
		}
	}
	return view
}
