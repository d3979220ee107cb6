package codec

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

// EncodeCommand encodes a command as the data of a log entry.
func EncodeCommand(command state.Command) ([]byte, error) {
	w := &wire.Command{TimeMs: command.TimeMS}
	switch body := command.Body.(type) {
	case state.Reserve:
		w.Body = &wire.Command_Reserve{Reserve: ReserveToWire(body)}
	case state.RecordOutcome:
		w.Body = &wire.Command_Record{Record: RecordOutcomeToWire(body)}
	case state.ChangeConfig:
		w.Body = &wire.Command_ChangeConfig{ChangeConfig: changeToWire(body)}
	case state.Expire:
		w.Body = &wire.Command_ExpireBeforeMs{ExpireBeforeMs: body.BeforeMS}
	default:
		return nil, fmt.Errorf("encode command: unknown body %T", body)
	}
	data, err := proto.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand is the inverse of EncodeCommand.
func DecodeCommand(data []byte) (state.Command, error) {
	var w wire.Command
	if err := proto.Unmarshal(data, &w); err != nil {
		return state.Command{}, fmt.Errorf("decode command: %w", err)
	}
	body, err := commandBody(&w)
	if err != nil {
		return state.Command{}, fmt.Errorf("decode command: %w", err)
	}
	return state.Command{TimeMS: w.TimeMs, Body: body}, nil
}

func commandBody(w *wire.Command) (state.Body, error) {
	switch body := w.Body.(type) {
	case *wire.Command_Reserve:
		return ReserveFromWire(body.Reserve)
	case *wire.Command_Record:
		return RecordOutcomeFromWire(body.Record)
	case *wire.Command_ChangeConfig:
		return changeFromWire(body.ChangeConfig), nil
	case *wire.Command_ExpireBeforeMs:
		return state.Expire{BeforeMS: body.ExpireBeforeMs}, nil
	}
	return nil, errors.New("unknown or missing body")
}

// ReserveToWire converts a reservation to its message.
func ReserveToWire(r state.Reserve) *wire.ReserveRequest {
	return &wire.ReserveRequest{
		Key:          KeyToWire(r.Key),
		Digest:       r.Digest[:],
		Owner:        OwnerToWire(r.Owner),
		OwnerAddress: r.OwnerAddress,
		RequestId:    r.RequestID,
		RetentionMs:  r.RetentionMS,
	}
}

// ReserveFromWire is the inverse of ReserveToWire. It returns an error if the
// digest does not have the length of a SHA-256 hash, the key or the owner is
// missing, or the request ID is missing or too long.
func ReserveFromWire(w *wire.ReserveRequest) (state.Reserve, error) {
	if len(w.GetDigest()) != len(state.Reserve{}.Digest) {
		return state.Reserve{}, fmt.Errorf("reserve: got a digest of %d bytes, expected 32", len(w.GetDigest()))
	}
	if err := checkAttempt(w.GetKey(), w.GetOwner(), w.GetRequestId()); err != nil {
		return state.Reserve{}, fmt.Errorf("reserve: %w", err)
	}
	return state.Reserve{
		Key:          KeyFromWire(w.Key),
		Digest:       [32]byte(w.Digest),
		Owner:        OwnerFromWire(w.Owner),
		OwnerAddress: w.OwnerAddress,
		RequestID:    w.RequestId,
		RetentionMS:  w.RetentionMs,
	}, nil
}

// checkAttempt validates the fields that identify a key and an attempt for it.
func checkAttempt(key *wire.RecordKey, owner *wire.NodeID, requestID string) error {
	switch {
	case key.GetKey() == "":
		return errors.New("got no key, expected one")
	case owner.GetVm() == "":
		return errors.New("got no owner, expected one")
	case requestID == "" || len(requestID) > state.MaxRequestIDBytes:
		return fmt.Errorf("got a request ID of %d bytes, expected 1 to %d", len(requestID), state.MaxRequestIDBytes)
	}
	return nil
}

// ReserveResultToWire converts the result of a reservation.
func ReserveResultToWire(r state.ReserveResult) *wire.ReserveResponse {
	w := &wire.ReserveResponse{
		Granted:      r.Granted,
		Mismatch:     r.Mismatch,
		Full:         r.Full,
		State:        RecordStateToWire(r.Record.State),
		OwnerAddress: r.Record.OwnerAddress,
		RequestId:    r.Record.RequestID,
		Answer:       AnswerToWire(r.Record.Answer),
		Term:         r.Term,
	}
	if r.Record.Owner != (state.Owner{}) {
		w.Owner = OwnerToWire(r.Record.Owner)
	}
	return w
}

// ReserveResultFromWire is the inverse of ReserveResultToWire.
func ReserveResultFromWire(w *wire.ReserveResponse) state.ReserveResult {
	return state.ReserveResult{
		Granted:  w.GetGranted(),
		Mismatch: w.GetMismatch(),
		Full:     w.GetFull(),
		Record: state.RecordView{
			State:        RecordStateFromWire(w.GetState()),
			Owner:        OwnerFromWire(w.GetOwner()),
			OwnerAddress: w.GetOwnerAddress(),
			RequestID:    w.GetRequestId(),
			Answer:       AnswerFromWire(w.GetAnswer()),
		},
		Term: w.GetTerm(),
	}
}

// RecordOutcomeToWire converts the command that records an outcome to its message.
func RecordOutcomeToWire(r state.RecordOutcome) *wire.RecordRequest {
	return &wire.RecordRequest{
		Key:       KeyToWire(r.Key),
		Owner:     OwnerToWire(r.Owner),
		RequestId: r.RequestID,
		State:     RecordStateToWire(r.State),
		Answer:    AnswerToWire(r.Answer),
	}
}

// RecordOutcomeFromWire is the inverse of RecordOutcomeToWire. A state that is not
// an outcome is an error.
func RecordOutcomeFromWire(w *wire.RecordRequest) (state.RecordOutcome, error) {
	if err := checkAttempt(w.GetKey(), w.GetOwner(), w.GetRequestId()); err != nil {
		return state.RecordOutcome{}, fmt.Errorf("record: %w", err)
	}
	outcome := RecordStateFromWire(w.State)
	switch outcome {
	case state.RecordAnswered, state.RecordNotRun, state.RecordUnknown:
	default:
		return state.RecordOutcome{}, fmt.Errorf("record: got state %v, expected an outcome", w.State)
	}
	if (w.Answer != nil) != (outcome == state.RecordAnswered) {
		return state.RecordOutcome{}, fmt.Errorf("record: answer present is %t in state %v", w.Answer != nil, w.State)
	}
	return state.RecordOutcome{
		Key:       KeyFromWire(w.Key),
		Owner:     OwnerFromWire(w.Owner),
		RequestID: w.RequestId,
		State:     outcome,
		Answer:    AnswerFromWire(w.Answer),
	}, nil
}

// ChangeRequestFromWire converts an operator's configuration change.
func ChangeRequestFromWire(w *wire.ChangeConfigRequest) state.ChangeRequest {
	return state.ChangeRequest{
		ChangeID:     w.GetChangeId(),
		BaseRevision: w.GetBaseRevision(),
		Author:       w.GetAuthor(),
		JSON:         w.GetConfigJson(),
	}
}

// ChangeResultToWire converts the result of a configuration change. The caller
// sets the zones.
func ChangeResultToWire(r state.ChangeResult) *wire.ChangeConfigResponse {
	return &wire.ChangeConfigResponse{
		Revision:       r.Revision,
		Conflict:       r.Conflict,
		WinnerChangeId: r.WinnerChangeID,
		WinnerAuthor:   r.WinnerAuthor,
		Invalid:        r.Invalid,
	}
}

func changeResultFromWire(w *wire.ChangeConfigResponse, accepted bool) state.ChangeResult {
	return state.ChangeResult{
		Accepted:       accepted,
		Revision:       w.GetRevision(),
		Conflict:       w.GetConflict(),
		WinnerChangeID: w.GetWinnerChangeId(),
		WinnerAuthor:   w.GetWinnerAuthor(),
		Invalid:        w.GetInvalid(),
	}
}

func changeToWire(c state.ChangeConfig) *wire.ConfigChange {
	return &wire.ConfigChange{
		ChangeId:     c.ChangeID,
		BaseRevision: c.BaseRevision,
		Author:       c.Author,
		Digest:       c.Digest,
		Items:        itemsToWire(c.Items),
		Complete:     c.Complete,
		Invalid:      c.Invalid,
	}
}

func changeFromWire(w *wire.ConfigChange) state.ChangeConfig {
	return state.ChangeConfig{
		ChangeID:     w.GetChangeId(),
		BaseRevision: w.GetBaseRevision(),
		Author:       w.GetAuthor(),
		Digest:       w.GetDigest(),
		Items:        itemsFromWire(w.GetItems()),
		Complete:     w.GetComplete(),
		Invalid:      w.GetInvalid(),
	}
}

// DeltasToWire converts configuration deltas.
func DeltasToWire(deltas []state.Delta) []*wire.ConfigDelta {
	list := make([]*wire.ConfigDelta, len(deltas))
	for i := range deltas {
		list[i] = deltaToWire(deltas[i])
	}
	return list
}

// DeltasFromWire is the inverse of DeltasToWire.
func DeltasFromWire(list []*wire.ConfigDelta) []state.Delta {
	deltas := make([]state.Delta, len(list))
	for i := range list {
		deltas[i] = deltaFromWire(list[i])
	}
	return deltas
}

func deltaToWire(d state.Delta) *wire.ConfigDelta {
	return &wire.ConfigDelta{
		Revision: d.Revision,
		ChangeId: d.ChangeID,
		Author:   d.Author,
		TimeMs:   d.TimeMS,
		Complete: d.Complete,
		Items:    itemsToWire(d.Items),
	}
}

func deltaFromWire(w *wire.ConfigDelta) state.Delta {
	return state.Delta{
		Revision: w.GetRevision(),
		ChangeID: w.GetChangeId(),
		Author:   w.GetAuthor(),
		TimeMS:   w.GetTimeMs(),
		Complete: w.GetComplete(),
		Items:    itemsFromWire(w.GetItems()),
	}
}

// EncodeDelta encodes one delta. A process uses it to store the configuration in
// force on disk.
func EncodeDelta(d state.Delta) ([]byte, error) {
	data, err := proto.Marshal(deltaToWire(d))
	if err != nil {
		return nil, fmt.Errorf("encode delta of revision %d: %w", d.Revision, err)
	}
	return data, nil
}

// DecodeDelta is the inverse of EncodeDelta.
func DecodeDelta(data []byte) (state.Delta, error) {
	var w wire.ConfigDelta
	if err := proto.Unmarshal(data, &w); err != nil {
		return state.Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	return deltaFromWire(&w), nil
}

func itemsToWire(items []fleet.Item) []*wire.ConfigItem {
	list := make([]*wire.ConfigItem, len(items))
	for i, item := range items {
		list[i] = &wire.ConfigItem{Path: item.Path, Json: item.JSON}
	}
	return list
}

func itemsFromWire(list []*wire.ConfigItem) []fleet.Item {
	if len(list) == 0 {
		return nil
	}
	items := make([]fleet.Item, len(list))
	for i, w := range list {
		items[i] = fleet.Item{Path: w.GetPath(), JSON: w.GetJson()}
	}
	return items
}

// KeyToWire converts a record's key.
func KeyToWire(k state.Key) *wire.RecordKey {
	return &wire.RecordKey{Customer: k.Customer, Service: k.Service, Key: k.Key}
}

// KeyFromWire is the inverse of KeyToWire.
func KeyFromWire(w *wire.RecordKey) state.Key {
	return state.Key{Customer: w.GetCustomer(), Service: w.GetService(), Key: w.GetKey()}
}

// OwnerToWire converts a reservation's owner.
func OwnerToWire(o state.Owner) *wire.NodeID {
	return &wire.NodeID{Vm: o.VM, Incarnation: o.Incarnation}
}

// OwnerFromWire is the inverse of OwnerToWire.
func OwnerFromWire(w *wire.NodeID) state.Owner {
	return state.Owner{VM: w.GetVm(), Incarnation: w.GetIncarnation()}
}

// AnswerToWire converts an answer; nil stays nil.
func AnswerToWire(a *state.Answer) *wire.Answer {
	if a == nil {
		return nil
	}
	w := &wire.Answer{Status: a.Status, Body: a.Body, Truncated: a.Truncated}
	for _, h := range a.Headers {
		w.Headers = append(w.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return w
}

// AnswerFromWire is the inverse of AnswerToWire.
func AnswerFromWire(w *wire.Answer) *state.Answer {
	if w == nil {
		return nil
	}
	a := &state.Answer{Status: w.Status, Body: w.Body, Truncated: w.Truncated}
	for _, h := range w.Headers {
		a.Headers = append(a.Headers, state.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return a
}

var recordStates = map[state.RecordState]wire.RecordState{
	state.RecordNone:     wire.RecordState_RECORD_STATE_UNSPECIFIED,
	state.RecordReserved: wire.RecordState_RECORD_STATE_RESERVED,
	state.RecordAnswered: wire.RecordState_RECORD_STATE_ANSWERED,
	state.RecordNotRun:   wire.RecordState_RECORD_STATE_NOT_RUN,
	state.RecordUnknown:  wire.RecordState_RECORD_STATE_UNKNOWN,
	state.RecordExpired:  wire.RecordState_RECORD_STATE_EXPIRED,
}

// RecordStateToWire converts a record's state.
func RecordStateToWire(s state.RecordState) wire.RecordState {
	return recordStates[s]
}

// RecordStateFromWire is the inverse of RecordStateToWire. A state from a later
// version becomes RecordUnknown, the only state that says nothing about the
// outcome.
func RecordStateFromWire(w wire.RecordState) state.RecordState {
	for s, encoded := range recordStates {
		if encoded == w {
			return s
		}
	}
	return state.RecordUnknown
}

// RecordOutcomeResultToWire converts the result of recording an outcome.
func RecordOutcomeResultToWire(r state.RecordOutcomeResult) *wire.RecordResponse {
	return &wire.RecordResponse{State: RecordStateToWire(r.State)}
}

// RecordOutcomeResultFromWire converts the result of recording the given outcome.
func RecordOutcomeResultFromWire(w *wire.RecordResponse, outcome state.RecordState) state.RecordOutcomeResult {
	got := RecordStateFromWire(w.GetState())
	return state.RecordOutcomeResult{Accepted: got == outcome, State: got}
}
