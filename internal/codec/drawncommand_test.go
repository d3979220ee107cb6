package codec_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "20")
	}
	os.Exit(m.Run())
}

// drawText draws a string of a field, also one that can't be encoded.
func drawText(t *rapid.T, label string, most int) string {
	switch rapid.IntRange(0, 60).Draw(t, label+" form") {
	case 17:
		return "\xff"
	case 25:
		return strings.Repeat("é", most/len("é"))
	case 39:
		return strings.Repeat("x", most)
	}
	return fmt.Sprint(label, rapid.IntRange(0, 1).Draw(t, label))
}

// drawCommand draws a command. Most outcomes are those of the latest reservation.
func drawCommand(t *rapid.T, m *state.Machine, latest state.Reserve) state.Command {
	const longKey = 1 << 10
	key := state.Key{Customer: "c", Service: "s", Key: drawText(t, "key", longKey)}
	owner := state.Owner{VM: drawText(t, "owner", longKey), Incarnation: rapid.SampledFrom([]uint64{0, 1, 1<<64 - 1}).Draw(t, "incarnation")}
	id := drawText(t, "request", state.MaxRequestIDBytes)
	times := rapid.SampledFrom([]int64{0, 1, 60_000, 1 << 40, 1<<63 - 1, -1, -1 << 63})
	command := state.Command{TimeMS: times.Draw(t, "time")}
	switch rapid.IntRange(0, 5).Draw(t, "command") {
	case 0, 1:
		command.Body = state.Reserve{Key: key, Owner: owner, OwnerAddress: drawText(t, "address", longKey), RequestID: id, RetentionMS: times.Draw(t, "retention")}
	case 2, 3:
		if latest.RequestID != "" && rapid.IntRange(0, 3).Draw(t, "of the latest") > 0 {
			key, owner, id = latest.Key, latest.Owner, latest.RequestID
		}
		outcome := state.RecordOutcome{Key: key, Owner: owner, RequestID: id, State: rapid.SampledFrom([]state.RecordState{
			state.RecordAnswered, state.RecordAnswered, state.RecordNotRun, state.RecordUnknown}).Draw(t, "state")}
		if outcome.State == state.RecordAnswered {
			length := rapid.SampledFrom([]int{0, 1, 1, 1, state.DefaultAnswerBytes, state.DefaultAnswerBytes + 1}).Draw(t, "body")
			outcome.Answer = &state.Answer{Status: -1, Body: bytes.Repeat([]byte("b"), length), Headers: []state.Header{{Name: "A", Value: drawText(t, "header", 16<<10)}}}
		}
		command.Body = outcome
	case 4:
		change := state.ChangeConfig{ChangeID: drawText(t, "change", state.MaxChangeIDBytes), Author: drawText(t, "author", state.MaxAuthorBytes),
			BaseRevision: m.Revision() - rapid.Uint64Range(0, 1).Draw(t, "behind"), Invalid: rapid.SampledFrom([]string{"", "", "é"}).Draw(t, "invalid")}
		length := rapid.SampledFrom([]int{1, 1, 2 << 20, 4 << 20}).Draw(t, "document")
		document := fleet.NumberedDocument{Number: 1, Content: []byte(`"` + strings.Repeat("x", length) + `"`)}
		change.Items, change.Complete = []fleet.Item{document.UncheckedItem()}, rapid.Bool().Draw(t, "complete")
		command.Body = change
	default:
		command.Body = state.Expire{BeforeMS: times.Draw(t, "before")}
	}
	return command
}

// A command within its limits that can be encoded is decoded by each replica, also from a log record. The state that
// commands lead to can be encoded, decoded and restored, whatever is in it. Otherwise replicas would end at each start.
func TestWhatIsEncodedCanBeDecoded(t *testing.T) {
	applied, refused, answers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := state.New(state.Options{})
		var latest state.Reserve
		for index := uint64(1); index <= 12; index++ {
			command := drawCommand(t, m, latest)
			data, err := codec.EncodeCommand(command)
			if err != nil {
				refused++
				continue
			}
			decoded, err := codec.DecodeCommand(data)
			if err != nil {
				t.Fatalf("encoded, but not decoded: %v: %.300v", err, command)
			}
			entries := []replication.Entry{{Index: index, Term: 1, Kind: replication.EntryCommand, Data: data}}
			record, err := codec.AppendLogRecord(nil, &codec.LogRecord{Entries: entries})
			if err != nil {
				t.Fatal(err)
			}
			if read, err := codec.DecodeLogRecord(record); err != nil || !reflect.DeepEqual(read.Entries, entries) {
				t.Fatalf("the log record is not read back: %v", err)
			}
			if reserve, ok := decoded.Body.(state.Reserve); ok {
				latest = reserve
			}
			m.Apply(index, 1, decoded)
			applied++
		}
		data, err := codec.EncodeState(m.Snapshot())
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := codec.DecodeState(data)
		if err != nil {
			t.Fatal(err)
		}
		for record := range snapshot.AllRecords() {
			if record.Answer != nil {
				answers++
			}
		}
		restored := state.New(state.Options{})
		restored.Restore(snapshot)
		if again, err := codec.EncodeState(restored.Snapshot()); err != nil || !bytes.Equal(again, data) {
			t.Fatalf("the restored state differs: %v", err)
		}
	})
	if answers == 0 {
		t.Error("no state had an answer")
	}
	t.Logf("%d commands were applied and %d could not be encoded; the states had %d answers", applied, refused, answers)
}
