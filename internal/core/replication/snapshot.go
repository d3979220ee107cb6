package replication

// A snapshot is sent in chunks, one at a time, so that its size is not limited by
// that of a message and a lost chunk is sent again on its own.

// incomingSnapshot is a snapshot of which some chunks have not arrived yet. Chunks
// from two leaders are never mixed, since the leaders may encode the same state
// differently.
type incomingSnapshot struct {
	from  NodeID
	term  uint64
	index uint64
	data  []byte
}

// startSnapshot starts to send the latest snapshot to a peer that needs compacted
// entries.
func (n *Node) startSnapshot(to NodeID, p *progress) {
	p.state = progressSnapshot
	p.snapshot = n.log.snapshot
	p.offset = 0
	n.sendChunk(to, p)
}

func (n *Node) sendChunk(to NodeID, p *progress) {
	size := uint64(len(p.snapshot.Data))
	end := min(size, p.offset+uint64(n.opts.MaxBatchBytes))
	chunk := *p.snapshot
	chunk.Data = p.snapshot.Data[p.offset:end]
	n.send(Message{Kind: MessageSnapshot, To: to, Snapshot: &chunk, Offset: p.offset, Size: size})
	p.sentAt = n.now
}

// retrySnapshot sends the last chunk again if it was not answered within an
// election timeout.
func (n *Node) retrySnapshot(to NodeID, p *progress) {
	if n.now-p.sentAt >= n.opts.ElectionTimeout {
		n.sendChunk(to, p)
	}
}

// receiveSnapshotReply sends the chunk that the peer requests. A duplicate reply
// is ignored, since otherwise every later chunk would be sent twice.
func (n *Node) receiveSnapshotReply(m *Message) {
	p := n.recordPeerContact(m.From)
	if p == nil || p.state != progressSnapshot || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset || m.Offset >= uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset = m.Offset
	n.sendChunk(m.From, p)
}

// receiveSnapshot adds a chunk. The complete snapshot is installed unless the log
// already has the entries that it covers.
func (n *Node) receiveSnapshot(m *Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if term, ok := n.log.termAt(s.Index); ok && term == s.Term {
		n.commitTo(s.Index)
	}
	if s.Index > n.log.commit && !n.addChunk(m) {
		n.sendInTerm(Message{
			Kind:   MessageSnapshotReply,
			To:     m.From,
			Index:  s.Index,
			Offset: uint64(len(n.incomingSnapshot.data)),
		})
		return
	}
	n.incomingSnapshot = nil
	n.sendSynced(Message{Kind: MessageAppendReply, To: m.From, Index: max(s.Index, n.log.commit)})
}

// addChunk adds a chunk to the incoming snapshot. It returns true once the
// snapshot is complete and has replaced the log.
func (n *Node) addChunk(m *Message) bool {
	s := m.Snapshot
	in := n.incomingSnapshot
	if in == nil || in.from != m.From || in.term != m.Term || in.index != s.Index {
		in = &incomingSnapshot{from: m.From, term: m.Term, index: s.Index}
		n.incomingSnapshot = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	if uint64(len(in.data)) != m.Size {
		return false
	}
	complete := *s
	complete.Data = in.data
	n.log.reset(&complete)
	n.writes.snapshot = &complete
	n.writes.lastIndex = 0
	return true
}
