package replication

import "slices"

// disk is the state of a host that survives a crash.
type disk struct {
	hardState HardState
	snapshot  *Snapshot
	entries   []Entry
}

func (d *disk) restored() Restored {
	return Restored{HardState: d.hardState, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}
}

func (d *disk) baseIndex() uint64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Index
}

func (d *disk) write(p *Persist) {
	d.hardState = p.HardState
	if p.Snapshot != nil {
		d.snapshot, d.entries = p.Snapshot, nil
	}
	for _, e := range p.Entries {
		if e.Index > d.baseIndex() {
			d.entries = append(d.entries[:e.Index-d.baseIndex()-1:e.Index-d.baseIndex()-1], e)
		}
	}
}

func (d *disk) lastIndex() uint64 { return d.baseIndex() + uint64(len(d.entries)) }

func (d *disk) hasEntry(e Entry) bool {
	return e.Index <= d.baseIndex() || e.Index <= d.lastIndex() && d.entries[e.Index-d.baseIndex()-1].Term == e.Term
}

// hasSynced reports whether the state of the sender that a message depends on is
// synced.
func (d *disk) hasSynced(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		return m.Granted || d.hardState.Term >= m.Term
	case MessageVote:
		return d.hardState.Term > m.Term || d.hardState.Term == m.Term && d.hardState.Vote == m.From
	case MessageVoteReply:
		return d.hardState.Term > m.Term || d.hardState.Term == m.Term && (!m.Granted || d.hardState.Vote == m.To)
	case MessageHeartbeatReply:
		return d.hardState.Term >= m.Term && (m.Rejected || d.hardState.LeaseHolderTerm > m.Term || d.hardState.LeaseHolderTerm == m.Term && d.hardState.LeaseHolder == m.To)
	case MessageAppendReply:
		return d.hardState.Term >= m.Term && (m.Rejected || d.lastIndex() >= m.Index)
	case MessageAppend:
		for _, e := range m.Entries {
			if !d.hasEntry(e) {
				return false
			}
		}
	}
	return d.hardState.Term >= m.Term
}

func (d *disk) saveSnapshot(s *Snapshot) {
	d.entries = slices.Clone(d.entries[s.Index-d.baseIndex():])
	d.snapshot = s
}
