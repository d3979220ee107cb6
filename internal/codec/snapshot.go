package codec

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/encoding/protodelim"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

const (
	// stateVersion is the version of the snapshot encoding.
	stateVersion = 1
	// maxPartBytes limits the size of one message of a snapshot.
	maxPartBytes = 16 << 20
	// tombstonesPerPart is the maximum number of tombstones in one message.
	tombstonesPerPart = 10_000
)

// EncodeState encodes a snapshot. Equal snapshots have equal encodings.
func EncodeState(s *state.Snapshot) ([]byte, error) {
	var buffer bytes.Buffer
	if err := WriteState(&buffer, s); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// WriteState writes a snapshot as a stream of length-delimited messages.
func WriteState(w io.Writer, s *state.Snapshot) error {
	header := &wire.StateHeader{
		Version:  stateVersion,
		Applied:  s.Applied,
		TimeMs:   s.TimeMS,
		Revision: s.Revision,
		Last:     deltaToWire(s.Last),
		Parts:    countParts(s),
	}
	if _, err := protodelim.MarshalTo(w, header); err != nil {
		return fmt.Errorf("encode state header: %w", err)
	}
	for part := range stateParts(s) {
		if _, err := protodelim.MarshalTo(w, part); err != nil {
			return fmt.Errorf("encode state: %w", err)
		}
	}
	return nil
}

func countParts(s *state.Snapshot) uint64 {
	tombstones := (len(s.Tombstones) + tombstonesPerPart - 1) / tombstonesPerPart
	return uint64(len(s.Items) + len(s.History) + len(s.ChangeAnswers) + tombstones + s.RecordCount())
}

// stateParts yields the messages after the header.
func stateParts(s *state.Snapshot) func(yield func(*wire.StatePart) bool) {
	return func(yield func(*wire.StatePart) bool) {
		for _, item := range fleet.Diff(nil, s.Items) {
			w := &wire.ConfigItem{Path: item.Path, Json: item.JSON}
			if !yield(&wire.StatePart{Body: &wire.StatePart_Item{Item: w}}) {
				return
			}
		}
		for _, delta := range s.History {
			if !yield(&wire.StatePart{Body: &wire.StatePart_History{History: deltaToWire(delta)}}) {
				return
			}
		}
		for _, answer := range s.ChangeAnswers {
			w := changeAnswerToWire(answer)
			if !yield(&wire.StatePart{Body: &wire.StatePart_ChangeAnswer{ChangeAnswer: w}}) {
				return
			}
		}
		for chunk := range slices.Chunk(s.Tombstones, tombstonesPerPart) {
			w := tombstonesToWire(chunk)
			if !yield(&wire.StatePart{Body: &wire.StatePart_Tombstones{Tombstones: w}}) {
				return
			}
		}
		for rec := range s.AllRecords() {
			w := storedRecordToWire(&rec)
			if !yield(&wire.StatePart{Body: &wire.StatePart_Record{Record: w}}) {
				return
			}
		}
	}
}

func changeAnswerToWire(a state.ChangeAnswer) *wire.StateChangeAnswer {
	return &wire.StateChangeAnswer{
		ChangeId: a.ChangeID,
		Digest:   a.Digest,
		Accepted: a.Result.Accepted,
		Result:   ChangeResultToWire(a.Result),
	}
}

func tombstonesToWire(tombstones []state.Tombstone) *wire.StateTombstones {
	w := &wire.StateTombstones{}
	for _, t := range tombstones {
		w.Hashes = append(w.Hashes, t.Hash)
		w.Until = append(w.Until, t.Until)
	}
	return w
}

func storedRecordToWire(r *state.StoredRecord) *wire.StateRecord {
	return &wire.StateRecord{
		KeyHash:      r.KeyHash[:],
		Digest:       r.Digest[:],
		RequestId:    r.RequestID,
		Owner:        OwnerToWire(r.Owner),
		OwnerAddress: r.OwnerAddress,
		State:        RecordStateToWire(r.State),
		Answer:       AnswerToWire(r.Answer),
		Expiry:       r.Expiry,
	}
}

// DecodeState is the inverse of EncodeState. Truncated data, trailing bytes and
// violated invariants of the state are errors.
func DecodeState(data []byte) (*state.Snapshot, error) {
	reader := bytes.NewReader(data)
	s, err := ReadState(reader)
	if err != nil {
		return nil, err
	}
	if reader.Len() > 0 {
		return nil, fmt.Errorf("decode state: %d bytes after the end", reader.Len())
	}
	return s, nil
}

// stateReader is the interface that protodelim requires of a reader.
type stateReader interface {
	io.Reader
	io.ByteReader
}

// ReadState reads a snapshot written by WriteState. It may read beyond the end of
// the snapshot unless r is an io.ByteReader.
func ReadState(r io.Reader) (*state.Snapshot, error) {
	reader, ok := r.(stateReader)
	if !ok {
		reader = bufio.NewReader(r)
	}
	options := protodelim.UnmarshalOptions{MaxSize: maxPartBytes}
	var header wire.StateHeader
	if err := options.UnmarshalFrom(reader, &header); err != nil {
		return nil, fmt.Errorf("decode state header: %w", err)
	}
	if header.Version != stateVersion {
		return nil, fmt.Errorf("decode state: got version %d, expected %d", header.Version, stateVersion)
	}
	s := &state.Snapshot{
		Applied:  header.Applied,
		TimeMS:   header.TimeMs,
		Revision: header.Revision,
		Last:     deltaFromWire(header.Last),
		Items:    make(map[string][]byte),
	}
	for n := range header.Parts {
		var part wire.StatePart
		if err := options.UnmarshalFrom(reader, &part); err != nil {
			return nil, fmt.Errorf("decode state: part %d of %d: %w", n+1, header.Parts, err)
		}
		if err := addPart(s, &part); err != nil {
			return nil, fmt.Errorf("decode state: part %d of %d: %w", n+1, header.Parts, err)
		}
	}
	if err := checkState(s); err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	return s, nil
}

func addPart(s *state.Snapshot, part *wire.StatePart) error {
	switch body := part.Body.(type) {
	case *wire.StatePart_Item:
		s.Items[body.Item.GetPath()] = body.Item.GetJson()
	case *wire.StatePart_History:
		s.History = append(s.History, deltaFromWire(body.History))
	case *wire.StatePart_ChangeAnswer:
		s.ChangeAnswers = append(s.ChangeAnswers, changeAnswerFromWire(body.ChangeAnswer))
	case *wire.StatePart_Tombstones:
		return addTombstones(s, body.Tombstones)
	case *wire.StatePart_Record:
		return addStoredRecord(s, body.Record)
	default:
		return errors.New("unknown or missing body")
	}
	return nil
}

func changeAnswerFromWire(w *wire.StateChangeAnswer) state.ChangeAnswer {
	return state.ChangeAnswer{
		ChangeID: w.GetChangeId(),
		Digest:   w.GetDigest(),
		Result:   changeResultFromWire(w.GetResult(), w.GetAccepted()),
	}
}

func addTombstones(s *state.Snapshot, w *wire.StateTombstones) error {
	if len(w.GetHashes()) != len(w.GetUntil()) {
		return errors.New("tombstones: lists differ in length")
	}
	for i, hash := range w.GetHashes() {
		s.Tombstones = append(s.Tombstones, state.Tombstone{Hash: hash, Until: w.Until[i]})
	}
	return nil
}

func addStoredRecord(s *state.Snapshot, w *wire.StateRecord) error {
	r := state.StoredRecord{
		RequestID:    w.GetRequestId(),
		Owner:        OwnerFromWire(w.GetOwner()),
		OwnerAddress: w.GetOwnerAddress(),
		State:        RecordStateFromWire(w.GetState()),
		Answer:       AnswerFromWire(w.GetAnswer()),
		Expiry:       w.GetExpiry(),
	}
	if len(w.GetKeyHash()) != len(r.KeyHash) || len(w.GetDigest()) != len(r.Digest) {
		return errors.New("record: hash of wrong length")
	}
	if r.State == state.RecordNone || r.State == state.RecordExpired {
		return fmt.Errorf("record: got %v, expected a stored state", w.GetState())
	}
	r.KeyHash = [16]byte(w.KeyHash)
	r.Digest = [16]byte(w.Digest)
	s.Records = append(s.Records, r)
	return nil
}

// checkState checks the invariants that span several parts.
func checkState(s *state.Snapshot) error {
	inOrder := slices.IsSortedFunc(s.Records, func(a, b state.StoredRecord) int {
		if a.KeyHash == b.KeyHash {
			return 1
		}
		return slices.Compare(a.KeyHash[:], b.KeyHash[:])
	})
	if !inOrder {
		return errors.New("records are not in order of key")
	}
	if s.Last.Revision != s.Revision {
		return fmt.Errorf("newest change is revision %d, expected %d", s.Last.Revision, s.Revision)
	}
	if n := uint64(len(s.History)); n > s.Revision {
		return fmt.Errorf("history has %d changes, more than revision %d allows", n, s.Revision)
	}
	first := s.Revision - uint64(len(s.History)) + 1
	for i, delta := range s.History {
		if delta.Revision != first+uint64(i) {
			return fmt.Errorf("change %d of the history is revision %d", i, delta.Revision)
		}
	}
	for path, json := range s.Items {
		if len(json) == 0 || !fleet.IsItemPath(path) {
			return fmt.Errorf("item %q is empty or has an unknown path", path)
		}
	}
	return nil
}
