package codec_test

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

var commands = []state.Command{
	{TimeMS: 1, Body: state.Reserve{
		Key: state.Key{Customer: "rally", Service: "desk", Key: "k"}, Digest: [32]byte{31: 9},
		Owner: state.Owner{VM: "entry-1", Incarnation: 7}, OwnerAddress: "127.0.0.1:7100", RequestID: "r1", RetentionMS: 60_000,
	}},
	{TimeMS: 2, Body: state.RecordOutcome{
		Key: state.Key{Customer: "rally", Service: "desk", Key: "k"}, Owner: state.Owner{VM: "entry-1", Incarnation: 7},
		RequestID: "r1", State: state.RecordAnswered,
		Answer: &state.Answer{Status: 201, Headers: []state.Header{{Name: "Location", Value: "/b/1"}}, Body: []byte("ok"), Truncated: true},
	}},
	{TimeMS: 3, Body: state.ChangeConfig{ChangeID: "c1", Author: "ion", Digest: 5, Invalid: "zones: got nothing"}},
	{TimeMS: 4, Body: state.Expire{BeforeMS: 3}},
}

// newPopulatedMachine returns a machine with content in every part of its state.
func newPopulatedMachine(t testing.TB) *state.Machine {
	t.Helper()
	json, err := os.ReadFile("../core/fleet/testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	m := state.New(state.Options{})
	expiring := commands[0].Body.(state.Reserve)
	expiring.Key.Key = "old"
	expiring.RetentionMS = 0
	bodies := []state.Body{expiring, commands[0].Body, commands[1].Body, commands[2].Body}
	bodies = append(bodies,
		m.Prepare(state.ChangeRequest{ChangeID: "c2", Author: "ion", JSON: json}),
		state.Expire{BeforeMS: 20_000})
	for i, body := range bodies {
		m.Apply(uint64(i+1), 1, state.Command{TimeMS: 20_000, Body: body})
	}
	return m
}

func TestCommandsRoundTrip(t *testing.T) {
	for _, command := range commands {
		data, err := codec.EncodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := codec.DecodeCommand(data)
		if err != nil || !reflect.DeepEqual(decoded, command) {
			t.Errorf("got %+v, %v, expected %+v", decoded, err, command)
		}
	}
	if _, err := codec.EncodeCommand(state.Command{}); err == nil {
		t.Error("a command without a body was encoded")
	}
}

// A replica must be able to restore its own snapshot with any configuration that the log can hold. The item
// of a numbered document was refused.
func TestStateWithNumberedDocumentRoundTrips(t *testing.T) {
	item, err := fleet.NumberedDocument{Number: 7, Content: []byte(`{"version":7}`)}.Item()
	if err != nil {
		t.Fatal(err)
	}
	m := newPopulatedMachine(t)
	change := state.ChangeConfig{ChangeID: "document-7", BaseRevision: m.Revision(), Author: "operator", Items: []fleet.Item{item}}
	m.Apply(100, 1, state.Command{TimeMS: 20_000, Body: change})
	data, err := codec.EncodeState(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := codec.DecodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	restored := state.New(state.Options{})
	restored.Restore(decoded)
	if got := restored.Item(fleet.PathNumbered); !bytes.Equal(got, item.JSON) {
		t.Errorf("got document %q, expected %q", got, item.JSON)
	}
}

func TestDecodeStateRejectsDamagedData(t *testing.T) {
	data, err := codec.EncodeState(newPopulatedMachine(t).Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for n := range data {
		if _, err := codec.DecodeState(data[:n]); err == nil {
			t.Fatalf("the first %d of %d bytes were accepted", n, len(data))
		}
	}
	if _, err := codec.DecodeState(append(bytes.Clone(data), 0)); err == nil {
		t.Error("a trailing byte was accepted")
	}
	var later bytes.Buffer
	if _, err := protodelim.MarshalTo(&later, &wire.StateHeader{Version: 2}); err != nil {
		t.Fatal(err)
	}
	if _, err := codec.DecodeState(later.Bytes()); err == nil {
		t.Error("a later version was accepted")
	}
}

func TestReserveResultRoundTrip(t *testing.T) {
	m := newPopulatedMachine(t)
	result := state.ReserveResult{Record: m.Lookup(state.Key{Customer: "rally", Service: "desk", Key: "k"}), Term: 3}
	if result.Record.State != state.RecordAnswered {
		t.Fatalf("got %+v, expected a record with an answer", result)
	}
	if got := codec.ReserveResultFromWire(codec.ReserveResultToWire(result)); !reflect.DeepEqual(got, result) {
		t.Errorf("got %+v, expected %+v", got, result)
	}
	if got := codec.RecordStateFromWire(99); got != state.RecordUnknown {
		t.Errorf("an unknown state became %d, expected RecordUnknown", got)
	}
}

func TestReserveFromWireRejectsInvalidFields(t *testing.T) {
	good := codec.ReserveToWire(commands[0].Body.(state.Reserve))
	for name, change := range map[string]func(w *wire.ReserveRequest){
		"digest":     func(w *wire.ReserveRequest) { w.Digest = w.Digest[:31] },
		"key":        func(w *wire.ReserveRequest) { w.Key = nil },
		"owner":      func(w *wire.ReserveRequest) { w.Owner = nil },
		"request ID": func(w *wire.ReserveRequest) { w.RequestId = "" },
	} {
		w := &wire.ReserveRequest{Key: good.Key, Digest: good.Digest, Owner: good.Owner, RequestId: good.RequestId}
		change(w)
		if _, err := codec.ReserveFromWire(w); err == nil {
			t.Errorf("accepted a request with an invalid %s", name)
		}
	}
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range commands {
		data, err := codec.EncodeCommand(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := codec.DecodeCommand(data)
		if err != nil {
			return
		}
		encoded, err := codec.EncodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		again, err := codec.DecodeCommand(encoded)
		if err != nil || !reflect.DeepEqual(again, command) {
			t.Fatalf("got %+v, %v, expected %+v", again, err, command)
		}
		state.New(state.Options{}).Apply(1, 1, command)
	})
}

func FuzzDecodeState(f *testing.F) {
	data, err := codec.EncodeState(newPopulatedMachine(f).Snapshot())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := codec.DecodeState(data)
		if err != nil {
			return
		}
		m := state.New(state.Options{})
		m.Restore(snapshot)
		for i, command := range commands {
			m.Apply(snapshot.Applied+uint64(i)+1, 1, command)
		}
		m.DeltasSince(0)
		if _, err := codec.EncodeState(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
