package membership

import "time"

// Member is one VM as the dump shows it.
type Member struct {
	Record
	State  State `json:"state"`
	Usable bool  `json:"usable"`
	// Failures is the number of failed calls in a row.
	Failures int `json:"failures,omitempty"`
	// Sources tells which sources spoke of the VM, and how long ago.
	Sources []SourceAge `json:"sources,omitempty"`
}

// SourceAge tells how long ago a source last spoke of a VM.
type SourceAge struct {
	Source string `json:"source"`
	AgeMS  int64  `json:"age_ms"`
}

// Leaving tells whether a VM is leaving, as a backend server's or an entry's.
func (t *Table) Leaving(vm string) bool {
	for _, kind := range []Kind{KindBackend, KindEntry} {
		m, ok := t.members[key{kind, vm}]
		if ok && t.leaving(m) {
			return true
		}
	}
	return false
}

// Usable tells whether a backend server's VM may get new work. A VM of which
// nothing is known is usable: its address stands in the configuration.
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

func (t *Table) heardDirectly(m *member) bool {
	for _, source := range []Source{SourceReport, SourceContact} {
		if m.heard[source] && t.now-m.seen[source] <= t.options.SilentAfter {
			return true
		}
	}
	return false
}

// Self returns this entry's own record.
func (t *Table) Self() Record {
	return t.self.record
}

// Entries returns the entries of a zone that count as live, this one included,
// or those of all zones if zone is empty. A suspect entry counts until it is
// dead, a leaving one does not count.
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

// Sharing returns the entries that a shared limit is divided among: all that
// may still admit requests. An entry that does not answer may be cut off and
// go on, so that silence alone does not end its share; it ends with its VM.
func (t *Table) Sharing() []Member {
	sharing := []Member{t.view(t.self)}
	for _, m := range t.entries {
		if !t.ended(m) {
			sharing = append(sharing, t.view(m))
		}
	}
	return sharing
}

// ended tells whether an entry is known to admit nothing any more: its VM was
// reclaimed, it went silent after it said that it was leaving, or it went
// silent and the platform's list no longer shows its VM.
func (t *Table) ended(m *member) bool {
	if t.leaving(m) && m.record.DeadlineMS != 0 {
		return t.wall(t.now) > m.record.DeadlineMS+reclaimGrace.Milliseconds()
	}
	return m.record.Health == Dead && (m.record.Leaving || m.unlisted)
}

// reclaimGrace allows for clocks that differ when a deadline is judged.
const reclaimGrace = 5 * time.Second

// Members returns all known VMs, this entry first, then by name.
func (t *Table) Members() []Member {
	members := make([]Member, 0, 1+len(t.ordered))
	members = append(members, t.view(t.self))
	for _, m := range t.ordered {
		members = append(members, t.view(m))
	}
	return members
}

func (t *Table) view(m *member) Member {
	view := Member{Record: m.news(), State: t.state(m), Usable: t.usable(m), Failures: m.failures}
	for source := range sourceCount {
		if m.heard[source] {
			age := (t.now - m.seen[source]) / time.Millisecond
			view.Sources = append(view.Sources, SourceAge{Source: source.String(), AgeMS: int64(age)})
		}
	}
	return view
}
