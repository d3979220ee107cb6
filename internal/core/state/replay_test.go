package state_test

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/state"
)

// smallOptions makes every limit matter within a few commands.
var smallOptions = state.Options{
	HistoryLimit:      3,
	ChangeAnswerLimit: 8,
	RecordLimit:       3,
	AnswerBytes:       6,
	AnswerTotalBytes:  10,
	TombstoneLimit:    2,
}

const unitMS = 10_000

func drawKey(t *rapid.T) state.Key {
	return state.Key{Customer: "rally", Service: "desk", Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")}
}

func drawOwner(t *rapid.T) state.Owner {
	return state.Owner{VM: "entry", Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation")}
}

func drawRequestID(t *rapid.T) string {
	return rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request")
}

func drawReserve(t *rapid.T) state.Body {
	return state.Reserve{
		Key:          drawKey(t),
		Digest:       [32]byte{rapid.SampledFrom([]byte{0, 0, 0, 1}).Draw(t, "digest")},
		Owner:        drawOwner(t),
		OwnerAddress: "127.0.0.1:7100",
		RequestID:    drawRequestID(t),
		RetentionMS:  rapid.Int64Range(0, 6).Draw(t, "retention") * unitMS,
	}
}

func drawRecord(t *rapid.T) state.Body {
	r := state.Record{Key: drawKey(t), Owner: drawOwner(t), RequestID: drawRequestID(t)}
	r.State = rapid.SampledFrom([]state.RecordState{state.RecordAnswered, state.RecordNotRun, state.RecordUnknown}).Draw(t, "outcome")
	if r.State == state.RecordAnswered {
		body := rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "body")
		r.Answer = &state.Answer{Status: 201, Headers: []state.Header{{Name: "A", Value: "b"}}, Body: body}
	}
	return r
}

func drawExpire(t *rapid.T) state.Body {
	return state.Expire{BeforeMS: 100_000_000 + rapid.Int64Range(0, 80).Draw(t, "before")*unitMS}
}

// drawChange prepares a change at a leader that has applied some prefix.
func drawChange(t *rapid.T, leader *state.Machine, base []byte) state.Body {
	queue := rapid.IntRange(-1, 4).Draw(t, "queue")
	return leader.Prepare(state.ChangeRequest{
		ChangeID:     rapid.StringMatching(`c[0-9]`).Draw(t, "change"),
		BaseRevision: rapid.Uint64Range(leader.Revision()-min(leader.Revision(), 1), leader.Revision()+1).Draw(t, "base"),
		Author:       "ion",
		JSON:         bytes.Replace(base, []byte(`30000`), fmt.Appendf(nil, `30000, "queue_limit": %d`, queue), 1),
	})
}

// drawCommand draws any command, also with times that go back.
func drawCommand(t *rapid.T, leader *state.Machine, base []byte) state.Command {
	var body state.Body
	switch rapid.SampledFrom([]string{"reserve", "reserve", "record", "change", "expire"}).Draw(t, "kind") {
	case "reserve":
		body = drawReserve(t)
	case "record":
		body = drawRecord(t)
	case "change":
		body = drawChange(t, leader, base)
	case "expire":
		body = drawExpire(t)
	}
	return state.Command{TimeMS: 100_000_000 + rapid.Int64Range(0, 60).Draw(t, "time")*unitMS, Body: body}
}

func encode(t *rapid.T, m *state.Machine) []byte {
	data, err := codec.EncodeState(m.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// throughSnapshot returns a machine restored from the encoded state of another.
func throughSnapshot(t *rapid.T, m *state.Machine) *state.Machine {
	snapshot, err := codec.DecodeState(encode(t, m))
	if err != nil {
		t.Fatal(err)
	}
	restored := state.New(smallOptions)
	restored.Restore(snapshot)
	return restored
}

func throughLog(t *rapid.T, command state.Command) state.Command {
	data, err := codec.EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := codec.DecodeCommand(data)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func readSmall(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("../fleet/testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A replica that restarts from snapshots and gets parts of the log again has
// the state and gives the results of one that applies the whole log.
func TestSnapshotAndTailEqualWholeLog(t *testing.T) {
	base := readSmall(t)
	rapid.Check(t, func(t *rapid.T) {
		whole, restarting := state.New(smallOptions), state.New(smallOptions)
		leader := whole
		var log []state.Command
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			if rapid.IntRange(0, 5).Draw(t, "freeze leader") == 0 {
				leader = throughSnapshot(t, whole)
			}
			log = append(log, throughLog(t, drawCommand(t, leader, base)))
			index := uint64(len(log))
			before := encode(t, whole)
			want := whole.Apply(index, 1, log[index-1])
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				restarting = throughSnapshot(t, restarting)
				again := rapid.Uint64Range(1, index).Draw(t, "replay from")
				for i := again; i < index; i++ {
					if got := restarting.Apply(i, 1, log[i-1]); got != nil {
						t.Fatalf("index %d applied twice: %+v", i, got)
					}
				}
				if !bytes.Equal(encode(t, restarting), before) {
					t.Fatal("state differs after snapshot and replay")
				}
			}
			if got := restarting.Apply(index, 1, log[index-1]); !reflect.DeepEqual(got, want) {
				t.Fatalf("index %d: got %+v, expected %+v", index, got, want)
			}
		}
		if !bytes.Equal(encode(t, restarting), encode(t, whole)) {
			t.Fatal("final states differ")
		}
	})
}

// A snapshot is encoded by another goroutine while the machine goes on.
func TestSnapshotDoesNotChange(t *testing.T) {
	base := readSmall(t)
	rapid.Check(t, func(t *rapid.T) {
		m := state.New(smallOptions)
		run := func() {
			for range rapid.IntRange(0, 30).Draw(t, "commands") {
				m.Apply(m.Applied()+1, 1, drawCommand(t, m, base))
			}
		}
		run()
		want := encode(t, m)
		snapshot := m.Snapshot()
		encoded := make(chan []byte)
		go func() {
			data, _ := codec.EncodeState(snapshot)
			encoded <- data
		}()
		run()
		if got := <-encoded; !bytes.Equal(got, want) {
			t.Fatal("the snapshot changed with the machine")
		}
	})
}

// oracle follows what callers and owners are told and checks that it agrees.
type oracle struct {
	machine *state.Machine
	// keep is the time before which a key's record must not expire.
	keep map[state.Key]int64
	// firstResult is the first answer to each change ID and digest.
	firstResult map[string]state.ChangeResult
	// winners holds the change ID that took each revision.
	winners map[uint64]string
}

func (o *oracle) apply(t *rapid.T, index uint64, command state.Command) {
	views := make(map[state.Key]state.RecordView)
	for _, key := range []string{"a", "b", "c", "d"} {
		k := state.Key{Customer: "rally", Service: "desk", Key: key}
		views[k] = o.machine.Lookup(k)
	}
	revision, timeMS := o.machine.Revision(), o.machine.TimeMS()
	result := o.machine.Apply(index, 1, command)
	if o.machine.Revision() < revision || o.machine.TimeMS() < timeMS {
		t.Fatal("revision or time went back")
	}
	if change, ok := command.Body.(state.ChangeConfig); ok {
		o.change(t, revision, change, result.(state.ChangeResult))
	}
	for key, before := range views {
		o.transition(t, key, before, o.machine.Lookup(key), command.Body, result)
	}
}

// transition checks that a record changed only as its command allows.
func (o *oracle) transition(t *rapid.T, key state.Key, before, after state.RecordView, body state.Body, result state.Result) {
	if reserve, ok := body.(state.Reserve); ok && reserve.Key == key && result.(state.ReserveResult).Granted {
		if after.State != state.RecordReserved || after.Owner != reserve.Owner || after.RequestID != reserve.RequestID {
			t.Fatalf("granted to %+v, but held as %+v", reserve, after)
		}
		o.keep[key] = max(o.keep[key], o.machine.TimeMS()+reserve.RetentionMS)
		if before.State == state.RecordReserved && !reflect.DeepEqual(before, after) {
			t.Fatalf("two attempts hold the key: %+v and %+v", before, after)
		}
	}
	if reflect.DeepEqual(before, after) {
		return
	}
	_, reserved := body.(state.Reserve)
	record, recorded := body.(state.Record)
	_, expired := body.(state.Expire)
	ok := false
	switch [2]state.RecordState{before.State, after.State} {
	case [2]state.RecordState{state.RecordNone, state.RecordReserved}:
		ok = reserved
	case [2]state.RecordState{state.RecordNotRun, state.RecordReserved}:
		ok = reserved && (before.Owner != after.Owner || before.RequestID != after.RequestID)
	case [2]state.RecordState{state.RecordReserved, state.RecordAnswered},
		[2]state.RecordState{state.RecordReserved, state.RecordNotRun},
		[2]state.RecordState{state.RecordReserved, state.RecordUnknown}:
		ok = recorded && record.Owner == before.Owner && record.RequestID == before.RequestID &&
			record.State == after.State && result.(state.RecordResult).Accepted
	case [2]state.RecordState{state.RecordNotRun, state.RecordNone},
		[2]state.RecordState{state.RecordReserved, state.RecordExpired},
		[2]state.RecordState{state.RecordAnswered, state.RecordExpired},
		[2]state.RecordState{state.RecordUnknown, state.RecordExpired}:
		ok = expired && o.machine.TimeMS() >= o.keep[key]
		delete(o.keep, key)
	case [2]state.RecordState{state.RecordExpired, state.RecordNone},
		// One Expire drops so many that the limit of tombstones is reached.
		[2]state.RecordState{state.RecordReserved, state.RecordNone},
		[2]state.RecordState{state.RecordAnswered, state.RecordNone},
		[2]state.RecordState{state.RecordUnknown, state.RecordNone}:
		ok = expired
		delete(o.keep, key)
	}
	if !ok {
		t.Fatalf("%+v turned %+v into %+v", body, before, after)
	}
}

func (o *oracle) change(t *rapid.T, revision uint64, change state.ChangeConfig, result state.ChangeResult) {
	id := fmt.Sprintf("%s/%x", change.ChangeID, change.Digest)
	first, seen := o.firstResult[id]
	if seen && !strings.Contains(result.Invalid, "another change") && result != first {
		t.Fatalf("%s: got %+v, at first %+v", id, result, first)
	}
	o.firstResult[id] = result
	if o.machine.Revision() == revision {
		return
	}
	if seen || !result.Accepted || change.BaseRevision != revision || result.Revision != revision+1 {
		t.Fatalf("revision %d after %d by %+v with %+v", o.machine.Revision(), revision, change, result)
	}
	if other, ok := o.winners[result.Revision]; ok {
		t.Fatalf("revision %d won by %s and %s", result.Revision, other, change.ChangeID)
	}
	o.winners[result.Revision] = change.ChangeID
}

// At most one attempt holds a key, outcomes are final, nothing expires early,
// revisions only go up, and a resent change gets its first answer.
func TestTransitions(t *testing.T) {
	base := readSmall(t)
	rapid.Check(t, func(t *rapid.T) {
		options := smallOptions
		options.ChangeAnswerLimit = 100
		o := &oracle{
			machine:     state.New(options),
			keep:        make(map[state.Key]int64),
			firstResult: make(map[string]state.ChangeResult),
			winners:     make(map[uint64]string),
		}
		var log []state.Command
		for index := range rapid.IntRange(1, 80).Draw(t, "commands") {
			command := drawCommand(t, o.machine, base)
			if len(log) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
				command = rapid.SampledFrom(log).Draw(t, "resent")
			}
			log = append(log, command)
			o.apply(t, uint64(index+1), command)
		}
	})
}
