package codec

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/wire"
)

// EncodeMessage encodes a replication message. It fails only if a string in the
// message is not valid UTF-8.
func EncodeMessage(m replication.Message) ([]byte, error) {
	data, err := proto.Marshal(messageToWire(&m))
	if err != nil {
		return nil, fmt.Errorf("encode replication message: %w", err)
	}
	return data, nil
}

// DecodeMessage decodes a replication message and validates it.
func DecodeMessage(data []byte) (replication.Message, error) {
	var w wire.LogMessage
	if err := proto.Unmarshal(data, &w); err != nil {
		return replication.Message{}, fmt.Errorf("decode replication message: %w", err)
	}
	m, err := messageFromWire(&w)
	if err != nil {
		return replication.Message{}, fmt.Errorf("decode replication message: %w", err)
	}
	return m, nil
}

func messageToWire(m *replication.Message) *wire.LogMessage {
	return &wire.LogMessage{
		Kind:      uint32(m.Kind),
		From:      nodeIDToWire(m.From),
		To:        nodeIDToWire(m.To),
		Term:      m.Term,
		PrevIndex: m.PrevIndex,
		PrevTerm:  m.PrevTerm,
		Entries:   entriesToWire(m.Entries),
		Commit:    m.Commit,
		Granted:   m.Granted,
		Rejected:  m.Rejected,
		Refusal:   uint32(m.Refusal),
		Index:     m.Index,
		Round:     m.Round,
		Snapshot:  snapshotToWire(m.Snapshot),
		Offset:    m.Offset,
		Size:      m.Size,
		Replaces:  m.Replaces,
	}
}

func messageFromWire(w *wire.LogMessage) (replication.Message, error) {
	m := replication.Message{
		Kind:      replication.MessageKind(w.GetKind()),
		From:      nodeIDFromWire(w.GetFrom()),
		To:        nodeIDFromWire(w.GetTo()),
		Term:      w.GetTerm(),
		PrevIndex: w.GetPrevIndex(),
		PrevTerm:  w.GetPrevTerm(),
		Commit:    w.GetCommit(),
		Granted:   w.GetGranted(),
		Rejected:  w.GetRejected(),
		Refusal:   refusalFromWire(w.GetRefusal()),
		Index:     w.GetIndex(),
		Round:     w.GetRound(),
		Snapshot:  snapshotFromWire(w.GetSnapshot()),
		Offset:    w.GetOffset(),
		Size:      w.GetSize(),
		Replaces:  w.GetReplaces(),
	}
	if w.GetKind() < uint32(replication.MessagePreVote) || w.GetKind() > uint32(replication.MessageSnapshotReply) {
		return m, fmt.Errorf("unknown kind %d", w.GetKind())
	}
	if m.From.IsZero() || m.To.IsZero() {
		return m, errors.New("sender or receiver is missing")
	}
	if m.Kind == replication.MessageSnapshot && m.Snapshot == nil {
		return m, errors.New("snapshot is missing")
	}
	entries, err := entriesFromWire(w.GetEntries())
	if err != nil {
		return m, err
	}
	if len(entries) > 0 && entries[0].Index != m.PrevIndex+1 {
		return m, fmt.Errorf("entry %d follows entry %d", entries[0].Index, m.PrevIndex)
	}
	m.Entries = entries
	return m, nil
}

// refusalFromWire returns the reason of a refusal, or none if it is unknown to this version.
func refusalFromWire(refusal uint32) replication.VoteAnswer {
	if refusal > uint32(replication.VoteRefusedOther) {
		return replication.VoteUnanswered
	}
	return replication.VoteAnswer(refusal)
}

func nodeIDToWire(id replication.NodeID) *wire.NodeID {
	if id.IsZero() {
		return nil
	}
	return &wire.NodeID{Vm: id.VM, Incarnation: id.Incarnation}
}

func nodeIDFromWire(w *wire.NodeID) replication.NodeID {
	return replication.NodeID{VM: w.GetVm(), Incarnation: w.GetIncarnation()}
}

// entriesToWire converts entries without copying their data. It allocates all
// messages in one array, so that a batch needs few allocations.
func entriesToWire(entries []replication.Entry) []*wire.LogEntry {
	if len(entries) == 0 {
		return nil
	}
	array := make([]wire.LogEntry, len(entries))
	list := make([]*wire.LogEntry, len(entries))
	for i := range entries {
		e := &entries[i]
		w := &array[i]
		w.Index = e.Index
		w.Term = e.Term
		w.Kind = uint32(e.Kind)
		w.Data = e.Data
		if e.Membership != nil {
			w.Membership = membershipToWire(e.Membership)
		}
		list[i] = w
	}
	return list
}

// entriesFromWire converts entries and checks that they are valid and contiguous.
func entriesFromWire(list []*wire.LogEntry) ([]replication.Entry, error) {
	if len(list) == 0 {
		return nil, nil
	}
	entries := make([]replication.Entry, len(list))
	for i, w := range list {
		kind := replication.EntryKind(w.GetKind())
		if w.GetKind() > uint32(replication.EntryMembership) {
			return nil, fmt.Errorf("entry %d has unknown kind %d", w.GetIndex(), w.GetKind())
		}
		if (kind == replication.EntryMembership) != (w.GetMembership() != nil) {
			return nil, fmt.Errorf("entry %d of kind %d has an unexpected or missing membership", w.GetIndex(), kind)
		}
		if w.GetIndex() == 0 || (i > 0 && w.GetIndex() != entries[i-1].Index+1) {
			return nil, fmt.Errorf("entry %d is out of order", w.GetIndex())
		}
		entries[i] = replication.Entry{
			Index:      w.GetIndex(),
			Term:       w.GetTerm(),
			Kind:       kind,
			Data:       w.GetData(),
			Membership: membershipFromWire(w.GetMembership()),
		}
	}
	return entries, nil
}

func membershipToWire(m *replication.Membership) *wire.LogMembership {
	return &wire.LogMembership{
		Voters:   membersToWire(m.Voters),
		Learners: membersToWire(m.Learners),
		Outgoing: nodeIDToWire(m.Replacement.Outgoing),
		Incoming: nodeIDToWire(m.Replacement.Incoming),
	}
}

func membersToWire(members []replication.Member) []*wire.LogMember {
	list := make([]*wire.LogMember, len(members))
	for i, m := range members {
		list[i] = &wire.LogMember{Id: nodeIDToWire(m.ID), Zone: m.Zone, Address: m.Address}
	}
	return list
}

func membershipFromWire(w *wire.LogMembership) *replication.Membership {
	if w == nil {
		return nil
	}
	return &replication.Membership{
		Voters:   membersFromWire(w.GetVoters()),
		Learners: membersFromWire(w.GetLearners()),
		Replacement: replication.Replacement{
			Outgoing: nodeIDFromWire(w.GetOutgoing()),
			Incoming: nodeIDFromWire(w.GetIncoming()),
		},
	}
}

func membersFromWire(list []*wire.LogMember) []replication.Member {
	if len(list) == 0 {
		return nil
	}
	members := make([]replication.Member, len(list))
	for i, w := range list {
		members[i] = replication.Member{
			ID:      nodeIDFromWire(w.GetId()),
			Zone:    w.GetZone(),
			Address: w.GetAddress(),
		}
	}
	return members
}

func snapshotToWire(s *replication.Snapshot) *wire.LogSnapshot {
	if s == nil {
		return nil
	}
	return &wire.LogSnapshot{
		Index:      s.Index,
		Term:       s.Term,
		Membership: membershipToWire(&s.Membership),
		Data:       s.Data,
	}
}

func snapshotFromWire(w *wire.LogSnapshot) *replication.Snapshot {
	if w == nil {
		return nil
	}
	s := &replication.Snapshot{Index: w.GetIndex(), Term: w.GetTerm(), Data: w.GetData()}
	if m := membershipFromWire(w.GetMembership()); m != nil {
		s.Membership = *m
	}
	return s
}
