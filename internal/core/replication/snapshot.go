package replication

// A snapshot travels in parts, one at a time, so that its size is not bound by
// one message and a lost part is sent again alone.

// incoming is a snapshot of which not all parts are here yet. Parts of two
// leaders are never mixed, since their encodings may differ.
type incoming struct {
	from  NodeID
	term  uint64
	index uint64
	data  []byte
}

// startSnapshot begins to send the latest snapshot to a peer that needs
// compacted entries.
func (n *Node) startSnapshot(to NodeID, p *progress) {
	p.state = progressSnapshot
	p.snapshot = n.log.snapshot
	p.offset = 0
	n.sendPart(to, p)
}

func (n *Node) sendPart(to NodeID, p *progress) {
	size := uint64(len(p.snapshot.Data))
	end := min(size, p.offset+uint64(n.opts.MaxBatchBytes))
	part := *p.snapshot
	part.Data = p.snapshot.Data[p.offset:end]
	n.send(Message{Kind: MessageSnapshot, To: to, Snapshot: &part, Offset: p.offset, Size: size})
	p.sentAt = n.now
}

// retrySnapshot sends the last part again if it seems to be lost.
func (n *Node) retrySnapshot(to NodeID, p *progress) {
	if n.now-p.sentAt >= n.opts.ElectionTimeout {
		n.sendPart(to, p)
	}
}

// receiveSnapshotReply sends the part that the peer asks for. A repeated reply
// is ignored, else every part after it would be sent twice.
func (n *Node) receiveSnapshotReply(m *Message) {
	p := n.peer(m.From)
	if p == nil || p.state != progressSnapshot || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset || m.Offset >= uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset = m.Offset
	n.sendPart(m.From, p)
}

// receiveSnapshot adds a part. The whole is installed unless the log holds what
// it covers.
func (n *Node) receiveSnapshot(m *Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if term, ok := n.log.termAt(s.Index); ok && term == s.Term {
		n.commitTo(s.Index)
	}
	if s.Index > n.log.commit && !n.addPart(m) {
		n.sendInTerm(Message{
			Kind:   MessageSnapshotReply,
			To:     m.From,
			Index:  s.Index,
			Offset: uint64(len(n.incoming.data)),
		})
		return
	}
	n.incoming = nil
	n.sendSynced(Message{Kind: MessageAppendReply, To: m.From, Index: max(s.Index, n.log.commit)})
}

// addPart returns true once the snapshot is whole and in place of the log.
func (n *Node) addPart(m *Message) bool {
	s := m.Snapshot
	in := n.incoming
	if in == nil || in.from != m.From || in.term != m.Term || in.index != s.Index {
		in = &incoming{from: m.From, term: m.Term, index: s.Index}
		n.incoming = in
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, s.Data...)
	}
	if uint64(len(in.data)) != m.Size {
		return false
	}
	whole := *s
	whole.Data = in.data
	n.log.reset(&whole)
	n.writes.snapshot = &whole
	n.writes.lastIndex = 0
	return true
}
