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

// smallOptions has limits that a few commands reach.
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
	r := state.RecordOutcome{Key: drawKey(t), Owner: drawOwner(t), RequestID: drawRequestID(t)}
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

// drawChange prepares a change at a leader, which may lag behind the log.
func drawChange(t *rapid.T, leader *state.Machine, base []byte) state.Body {
	queue := rapid.IntRange(-1, 4).Draw(t, "queue")
	return leader.Prepare(state.ChangeRequest{
		ChangeID:     rapid.StringMatching(`c[0-9]`).Draw(t, "change"),
		BaseRevision: rapid.Uint64Range(leader.Revision()-min(leader.Revision(), 1), leader.Revision()+1).Draw(t, "base"),
		Author:       "ion",
		JSON:         bytes.Replace(base, []byte(`30000`), fmt.Appendf(nil, `30000, "queue_limit": %d`, queue), 1),
	})
}

// drawCommand draws a command of any kind. Its time may be earlier than that of
// the previous command.
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

// restoredCopy returns a machine restored from the encoded state of m.
func restoredCopy(t *rapid.T, m *state.Machine) *state.Machine {
	snapshot, err := codec.DecodeState(encode(t, m))
	if err != nil {
		t.Fatal(err)
	}
	restored := state.New(smallOptions)
	restored.Restore(snapshot)
	return restored
}

// encodedCopy encodes and decodes a command, as the log does.
func encodedCopy(t *rapid.T, command state.Command) state.Command {
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

// A replica that restarts from snapshots and receives parts of the log again has
// the same state and returns the same results as one that applies the log once.
func TestSnapshotAndReplayEqualFullLog(t *testing.T) {
	base := readSmall(t)
	rapid.Check(t, func(t *rapid.T) {
		reference, restarting := state.New(smallOptions), state.New(smallOptions)
		leader := reference
		var log []state.Command
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			if rapid.IntRange(0, 5).Draw(t, "freeze leader") == 0 {
				leader = restoredCopy(t, reference)
			}
			log = append(log, encodedCopy(t, drawCommand(t, leader, base)))
			index := uint64(len(log))
			before := encode(t, reference)
			want := reference.Apply(index, 1, log[index-1])
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				restarting = restoredCopy(t, restarting)
				start := rapid.Uint64Range(1, index).Draw(t, "replay from")
				for i := start; i < index; i++ {
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
		if !bytes.Equal(encode(t, restarting), encode(t, reference)) {
			t.Fatal("final states differ")
		}
	})
}

// A snapshot stays the same while the machine applies more commands and another
// goroutine encodes it.
func TestSnapshotIsImmutable(t *testing.T) {
	base := readSmall(t)
	rapid.Check(t, func(t *rapid.T) {
		m := state.New(smallOptions)
		applySome := func() {
			for range rapid.IntRange(0, 30).Draw(t, "commands") {
				m.Apply(m.Applied()+1, 1, drawCommand(t, m, base))
			}
		}
		applySome()
		want := encode(t, m)
		snapshot := m.Snapshot()
		encoded := make(chan []byte)
		go func() {
			data, _ := codec.EncodeState(snapshot)
			encoded <- data
		}()
		applySome()
		if got := <-encoded; !bytes.Equal(got, want) {
			t.Fatal("the snapshot changed with the machine")
		}
	})
}

// checker applies commands to a machine and checks the results and state changes
// against those of earlier commands.
type checker struct {
	machine *state.Machine
	// keepUntil is the time before which a key's record must not expire.
	keepUntil map[state.Key]int64
	// firstResult is the first result for each change ID and digest.
	firstResult map[string]state.ChangeResult
	// winners holds the ID of the change that was accepted as each revision.
	winners map[uint64]string
}

// apply applies a command and checks the resulting state.
func (c *checker) apply(t *rapid.T, index uint64, command state.Command) {
	views := make(map[state.Key]state.RecordView)
	for _, key := range []string{"a", "b", "c", "d"} {
		k := state.Key{Customer: "rally", Service: "desk", Key: key}
		views[k] = c.machine.Lookup(k)
	}
	revision, timeMS := c.machine.Revision(), c.machine.TimeMS()
	result := c.machine.Apply(index, 1, command)
	if c.machine.Revision() < revision || c.machine.TimeMS() < timeMS {
		t.Fatal("revision or time decreased")
	}
	if change, ok := command.Body.(state.ChangeConfig); ok {
		c.change(t, revision, change, result.(state.ChangeResult))
	}
	for key, before := range views {
		c.transition(t, key, before, c.machine.Lookup(key), command.Body, result)
	}
}

// transition checks that the change of a record is one that the command allows.
func (c *checker) transition(t *rapid.T, key state.Key, before, after state.RecordView, body state.Body, result state.Result) {
	if reserve, ok := body.(state.Reserve); ok && reserve.Key == key && result.(state.ReserveResult).Granted {
		if after.State != state.RecordReserved || after.Owner != reserve.Owner || after.RequestID != reserve.RequestID {
			t.Fatalf("granted to %+v, but held as %+v", reserve, after)
		}
		c.keepUntil[key] = max(c.keepUntil[key], c.machine.TimeMS()+reserve.RetentionMS)
		if before.State == state.RecordReserved && !reflect.DeepEqual(before, after) {
			t.Fatalf("two attempts hold the key: %+v and %+v", before, after)
		}
	}
	if reflect.DeepEqual(before, after) {
		return
	}
	_, reserved := body.(state.Reserve)
	record, recorded := body.(state.RecordOutcome)
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
			record.State == after.State && result.(state.RecordOutcomeResult).Accepted
	case [2]state.RecordState{state.RecordNotRun, state.RecordNone},
		[2]state.RecordState{state.RecordReserved, state.RecordExpired},
		[2]state.RecordState{state.RecordAnswered, state.RecordExpired},
		[2]state.RecordState{state.RecordUnknown, state.RecordExpired}:
		ok = expired && c.machine.TimeMS() >= c.keepUntil[key]
		delete(c.keepUntil, key)
	case [2]state.RecordState{state.RecordExpired, state.RecordNone},
		// One Expire can drop more records than the tombstone limit.
		[2]state.RecordState{state.RecordReserved, state.RecordNone},
		[2]state.RecordState{state.RecordAnswered, state.RecordNone},
		[2]state.RecordState{state.RecordUnknown, state.RecordNone}:
		ok = expired
		delete(c.keepUntil, key)
	}
	if !ok {
		t.Fatalf("%+v changed %+v to %+v", body, before, after)
	}
}

// change checks the result of a change at the given previous revision.
func (c *checker) change(t *rapid.T, revision uint64, change state.ChangeConfig, result state.ChangeResult) {
	id := fmt.Sprintf("%s/%x", change.ChangeID, change.Digest)
	first, seen := c.firstResult[id]
	if seen && !strings.Contains(result.Invalid, "another change") && result != first {
		t.Fatalf("%s: got %+v, the first result was %+v", id, result, first)
	}
	c.firstResult[id] = result
	if c.machine.Revision() == revision {
		return
	}
	if seen || !result.Accepted || change.BaseRevision != revision || result.Revision != revision+1 {
		t.Fatalf("revision %d after %d: change %+v, result %+v", c.machine.Revision(), revision, change, result)
	}
	if other, ok := c.winners[result.Revision]; ok {
		t.Fatalf("revision %d assigned to both %s and %s", result.Revision, other, change.ChangeID)
	}
	c.winners[result.Revision] = change.ChangeID
}

// At most one attempt holds a key, final outcomes do not change, no record expires
// early, revisions only increase, and a repeated change gets its first result.
func TestStateInvariants(t *testing.T) {
	base := readSmall(t)
	rapid.Check(t, func(t *rapid.T) {
		options := smallOptions
		options.ChangeAnswerLimit = 100
		c := &checker{
			machine:     state.New(options),
			keepUntil:   make(map[state.Key]int64),
			firstResult: make(map[string]state.ChangeResult),
			winners:     make(map[uint64]string),
		}
		var log []state.Command
		for index := range rapid.IntRange(1, 80).Draw(t, "commands") {
			command := drawCommand(t, c.machine, base)
			if len(log) > 0 && rapid.IntRange(0, 3).Draw(t, "resend") == 0 {
				command = rapid.SampledFrom(log).Draw(t, "resent")
			}
			log = append(log, command)
			c.apply(t, uint64(index+1), command)
		}
	})
}
