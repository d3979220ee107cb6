package replication

import "slices"

// disk is what survives a crash.
type disk struct {
	hard     HardState
	snapshot *Snapshot
	entries  []Entry
}

func (d *disk) restored() Restored {
	return Restored{HardState: d.hard, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}
}

func (d *disk) base() uint64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Index
}

func (d *disk) write(p *Persist) {
	d.hard = p.HardState
	if p.Snapshot != nil {
		d.snapshot, d.entries = p.Snapshot, nil
	}
	for _, e := range p.Entries {
		if e.Index > d.base() {
			d.entries = append(d.entries[:e.Index-d.base()-1:e.Index-d.base()-1], e)
		}
	}
}

func (d *disk) last() uint64 { return d.base() + uint64(len(d.entries)) }

func (d *disk) holds(e Entry) bool {
	return e.Index <= d.base() || e.Index <= d.last() && d.entries[e.Index-d.base()-1].Term == e.Term
}

// covers reports whether what a message says of its sender is synced.
func (d *disk) covers(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		return m.Granted || d.hard.Term >= m.Term
	case MessageVote:
		return d.hard.Term > m.Term || d.hard.Term == m.Term && d.hard.Vote == m.From
	case MessageVoteReply:
		return d.hard.Term > m.Term || d.hard.Term == m.Term && (!m.Granted || d.hard.Vote == m.To)
	case MessageHeartbeatReply:
		return d.hard.Term >= m.Term && (m.Rejected || d.hard.HolderTerm > m.Term || d.hard.HolderTerm == m.Term && d.hard.Holder == m.To)
	case MessageAppendReply:
		return d.hard.Term >= m.Term && (m.Rejected || d.last() >= m.Index)
	case MessageAppend:
		for _, e := range m.Entries {
			if !d.holds(e) {
				return false
			}
		}
	}
	return d.hard.Term >= m.Term
}

func (d *disk) save(s *Snapshot) {
	d.entries = slices.Clone(d.entries[s.Index-d.base():])
	d.snapshot = s
}
