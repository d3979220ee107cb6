package replication

import "time"

// writes tracks what is handed out to be synced. One write is outstanding at a
// time; what comes up meanwhile goes into the next one, so that many entries
// share one sync.
type writes struct {
	issued uint64
	acked  uint64
	// issuedAt is when the last write was handed out.
	issuedAt time.Duration
	// hardDirty is true if term or vote changed since the last write.
	hardDirty bool
	// snapshot is a received one that is not yet handed out.
	snapshot *Snapshot
	held     []heldMessage

	// lastIndex, term and installing describe the outstanding write.
	lastIndex  uint64
	term       uint64
	installing *Snapshot
	stableTerm uint64
	// holderTerm is that of the outstanding write, stableHolderTerm the synced one.
	holderTerm       uint64
	stableHolderTerm uint64
}

// heldMessage may be sent once the write with this sequence is synced.
type heldMessage struct {
	sequence uint64
	message  Message
}

func (n *Node) dirty() bool {
	return n.writes.hardDirty || n.writes.snapshot != nil || n.log.handed < n.log.lastIndex()
}

// send puts a message out at once. Only for what needs no sync.
func (n *Node) send(m Message) {
	m.From = n.self()
	if m.Term == 0 {
		m.Term = n.term
	}
	n.effects.Send = append(n.effects.Send, m)
}

// sendSynced sends a message once the present state is synced.
func (n *Node) sendSynced(m Message) {
	w := &n.writes
	m.From = n.self()
	m.Term = n.term
	sequence := w.issued
	if n.dirty() {
		sequence++
	}
	if sequence > w.acked {
		w.held = append(w.held, heldMessage{sequence, m})
		return
	}
	n.deliver(m)
}

// sendInTerm sends a message once the present term is synced.
func (n *Node) sendInTerm(m Message) {
	if n.writes.stableTerm == n.term {
		n.send(m)
		return
	}
	n.sendSynced(m)
}

// deliver sends a message, or takes it in if it is the node's own.
func (n *Node) deliver(m Message) {
	if m.To == n.self() {
		n.receive(&m)
		return
	}
	n.effects.Send = append(n.effects.Send, m)
}

// persist hands out the next write unless one is outstanding.
func (n *Node) persist() {
	w := &n.writes
	if w.issued != w.acked || !n.dirty() {
		return
	}
	last := n.log.lastIndex()
	first := n.log.handed - n.log.baseIndex
	w.issued++
	w.issuedAt = n.now
	w.lastIndex = last
	w.term = n.term
	w.holderTerm = n.holderTerm
	w.installing = w.snapshot
	n.effects.Persist = &Persist{
		Sequence: w.issued,
		HardState: HardState{
			Term: n.term, Vote: n.vote, Commit: n.log.commit,
			Holder: n.holder, HolderTerm: n.holderTerm,
		},
		Snapshot: w.snapshot,
		Entries:  n.log.entries[first:len(n.log.entries):len(n.log.entries)],
	}
	w.hardDirty = false
	w.snapshot = nil
	n.log.handed = last
}

// stallTimeouts is how long a leader's write may take, in election timeouts.
const stallTimeouts = 3

// stalled is true if the disk seems to hang: nothing can be committed here,
// although heartbeats go on.
func (n *Node) stalled() bool {
	w := &n.writes
	return w.issued != w.acked && n.now-w.issuedAt >= stallTimeouts*n.opts.ElectionTimeout
}

// persisted takes note of a synced write and releases what waited for it.
func (n *Node) persisted(sequence uint64) {
	w := &n.writes
	if sequence != w.issued || sequence == w.acked {
		return
	}
	w.acked = sequence
	w.stableTerm = w.term
	w.stableHolderTerm = w.holderTerm
	n.log.stable = max(n.log.stable, w.lastIndex)
	n.installed()
	n.release()
	if n.lead != nil {
		n.advanceCommit()
	}
}

// installed hands a synced snapshot to the state machine, unless a later one
// has taken its place.
func (n *Node) installed() {
	s := n.writes.installing
	n.writes.installing = nil
	if s == nil || n.log.snapshot == nil || n.log.snapshot.Index != s.Index {
		return
	}
	n.effects.Install = s
	n.emitted = s.Index
	n.applied = s.Index
}

func (n *Node) release() {
	w := &n.writes
	held := w.held
	w.held = nil
	for _, h := range held {
		if h.sequence > w.acked {
			w.held = append(w.held, h)
			continue
		}
		// A message of a former term speaks of a log that may be gone.
		if h.message.Term == n.term {
			n.deliver(h.message)
		}
	}
}

// truncated forgets that an outstanding write holds entries from index on.
func (w *writes) truncated(index uint64) {
	if index > 0 {
		w.lastIndex = min(w.lastIndex, index-1)
	}
}
