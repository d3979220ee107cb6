package replication

import "time"

// writes tracks the writes that are returned in Effects.Persist. Only one write
// is outstanding at a time. Changes in the meantime go into the next one, so that
// many entries share one sync.
type writes struct {
	// issued and synced are the sequence numbers of the last write that was
	// issued and of the last one that is synced.
	issued uint64
	synced uint64
	// issuedAt is when the last write was issued.
	issuedAt time.Duration
	// hardStateDirty is true if the term, the vote or the lease holder changed
	// since the last write.
	hardStateDirty bool
	// snapshot is a received snapshot that is not yet part of a write.
	snapshot *Snapshot
	// deferred holds the messages that wait for a sync.
	deferred []deferredMessage

	// lastIndex, term and installing describe the outstanding write. stableTerm
	// is the synced term.
	lastIndex  uint64
	term       uint64
	installing *Snapshot
	stableTerm uint64
	// leaseHolderTerm belongs to the outstanding write, and
	// stableLeaseHolderTerm is the synced value.
	leaseHolderTerm       uint64
	stableLeaseHolderTerm uint64
}

// deferredMessage is a message that may be sent once the write with the sequence
// number is synced.
type deferredMessage struct {
	sequence uint64
	message  Message
}

// dirty reports whether there is state for the next write.
func (n *Node) dirty() bool {
	return n.writes.hardStateDirty || n.writes.snapshot != nil || n.log.submitted < n.log.lastIndex()
}

// send sends a message immediately. It is only for messages that need no sync.
func (n *Node) send(m Message) {
	m.From = n.self()
	if m.Term == 0 {
		m.Term = n.term
	}
	n.effects.Send = append(n.effects.Send, m)
}

// sendSynced sends a message once the current state is synced.
func (n *Node) sendSynced(m Message) {
	w := &n.writes
	m.From = n.self()
	m.Term = n.term
	sequence := w.issued
	if n.dirty() {
		sequence++
	}
	if sequence > w.synced {
		w.deferred = append(w.deferred, deferredMessage{sequence, m})
		return
	}
	n.deliver(m)
}

// sendInTerm sends a message once the current term is synced.
func (n *Node) sendInTerm(m Message) {
	if n.writes.stableTerm == n.term {
		n.send(m)
		return
	}
	n.sendSynced(m)
}

// deliver sends a message, or processes it if it is addressed to this node.
func (n *Node) deliver(m Message) {
	if m.To == n.self() {
		n.receive(&m)
		return
	}
	n.effects.Send = append(n.effects.Send, m)
}

// persist issues the next write unless one is outstanding.
func (n *Node) persist() {
	w := &n.writes
	if w.issued != w.synced || !n.dirty() {
		return
	}
	last := n.log.lastIndex()
	first := n.log.submitted - n.log.baseIndex
	w.issued++
	w.issuedAt = n.now
	w.lastIndex = last
	w.term = n.term
	w.leaseHolderTerm = n.leaseHolderTerm
	w.installing = w.snapshot
	n.effects.Persist = &Persist{
		Sequence: w.issued,
		HardState: HardState{
			Term: n.term, Vote: n.vote, Commit: n.log.commit,
			LeaseHolder: n.leaseHolder, LeaseHolderTerm: n.leaseHolderTerm,
		},
		Snapshot: w.snapshot,
		Entries:  n.log.entries[first:len(n.log.entries):len(n.log.entries)],
	}
	w.hardStateDirty = false
	w.snapshot = nil
	n.log.submitted = last
}

// diskStallTimeouts is the time after which an outstanding write counts as
// stalled, in election timeouts.
const diskStallTimeouts = 3

// diskStalled reports whether the disk appears to hang. A leader with such a disk
// could still send heartbeats but commit nothing.
func (n *Node) diskStalled() bool {
	w := &n.writes
	return w.issued != w.synced && n.now-w.issuedAt >= diskStallTimeouts*n.opts.ElectionTimeout
}

// persisted records that a write is synced and sends the messages that waited for
// it.
func (n *Node) persisted(sequence uint64) {
	w := &n.writes
	if sequence != w.issued || sequence == w.synced {
		return
	}
	w.synced = sequence
	w.stableTerm = w.term
	w.stableLeaseHolderTerm = w.leaseHolderTerm
	n.log.stable = max(n.log.stable, w.lastIndex)
	n.emitInstall()
	n.releaseDeferred()
	if n.leaderState != nil {
		n.advanceCommit()
	}
}

// emitInstall returns a synced snapshot for installation in the state machine,
// unless a later one has replaced it.
func (n *Node) emitInstall() {
	s := n.writes.installing
	n.writes.installing = nil
	if s == nil || n.log.snapshot == nil || n.log.snapshot.Index != s.Index {
		return
	}
	n.effects.Install = s
	n.emitted = s.Index
	n.applied = s.Index
}

// releaseDeferred sends the deferred messages whose write is synced.
func (n *Node) releaseDeferred() {
	w := &n.writes
	deferred := w.deferred
	w.deferred = nil
	for _, d := range deferred {
		if d.sequence > w.synced {
			w.deferred = append(w.deferred, d)
			continue
		}
		// A message of an older term may refer to entries that were replaced.
		if d.message.Term == n.term {
			n.deliver(d.message)
		}
	}
}

// noteTruncation records that the log was truncated from index on, so that the
// outstanding write no longer covers those entries. Index 0 means no truncation.
func (w *writes) noteTruncation(index uint64) {
	if index > 0 {
		w.lastIndex = min(w.lastIndex, index-1)
	}
}
