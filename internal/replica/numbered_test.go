package replica

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

// putDocument sends a document to a replica and returns the number in the answer.
func putDocument(t *testing.T, leader *Replica, number uint64, content string) (uint64, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := leader.Service().PutDocument(ctx, &wire.PutDocumentRequest{Number: number, Content: []byte(content)})
	if err != nil {
		return 0, err
	}
	return response.Number, nil
}

// heldContent returns the content of the document in force.
func heldContent(t *testing.T, leader *Replica) []byte {
	t.Helper()
	var item []byte
	if err := leader.runInLoop(context.Background(), func() { item = leader.machine.Item(fleet.PathNumbered) }); err != nil {
		t.Fatal(err)
	}
	document, err := fleet.ParseNumberedDocument(item)
	if err != nil {
		t.Fatal(err)
	}
	return document.Content
}

// A document that can't be read back from its stored form is refused, so that it does
// not stand in the way of all later ones.
func TestUnreadableDocumentIsNotStored(t *testing.T) {
	leader := startReplicas(t, 1)
	for depth := 9_995; depth <= 10_001; depth++ {
		content := fmt.Sprintf(`{"version":7,"more":%s%s}`, strings.Repeat("[", depth), strings.Repeat("]", depth))
		number := uint64(depth)
		if _, err := putDocument(t, leader, number, content); err == nil && !bytes.Equal(heldContent(t, leader), []byte(content)) {
			t.Errorf("a document of %d levels was acknowledged, but can't be read back", depth)
		}
	}
	if number, err := putDocument(t, leader, 20_000, `{"version":20000}`); err != nil || number != 20_000 {
		t.Errorf("next document: got %d, %v, expected 20000", number, err)
	}
}

// What is read back is what was sent, byte for byte.
func TestDocumentIsReadBackUnchanged(t *testing.T) {
	leader := startReplicas(t, 1)
	for i, content := range []string{
		`{"host":"<a>&\u2028` + "\u2028" + `"}`,
		`{ "version" : 7.0 ,` + "\n\t" + `"weight":1e0, "a": "\u003c" }`,
	} {
		if _, err := putDocument(t, leader, uint64(i+1), content); err != nil {
			t.Fatal(err)
		}
		if got := heldContent(t, leader); string(got) != content {
			t.Errorf("got %q, expected %q", got, content)
		}
	}
}

// checkHistory checks that the numbers of the documents that were ever in force rise,
// so that each number had one content, and returns the contents by number.
func checkHistory(t *testing.T, leader *Replica) map[uint64]string {
	t.Helper()
	const all = 1 << 20
	deltas, err := leader.History(context.Background(), all)
	if err != nil {
		t.Fatal(err)
	}
	slices.Reverse(deltas)
	contents, last := map[uint64]string{}, uint64(0)
	for _, delta := range deltas {
		for _, item := range delta.Items {
			document, err := fleet.ParseNumberedDocument(item.JSON)
			if err != nil || document.Number <= last {
				t.Fatalf("revision %d: got document %d, %v, expected a number above %d", delta.Revision, document.Number, err, last)
			}
			last = document.Number
			contents[last] = string(document.Content)
		}
	}
	return contents
}

// Several operators send different documents under the same numbers, some calls are
// given up and sent again, and older documents arrive again. Each call that is not
// given up is acknowledged, and each number has one content for good.
func TestDocumentsUnderOneNumber(t *testing.T) {
	leader := startReplicas(t, 3)
	const operators, numbers = 4, 12
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			for number := uint64(1); number <= numbers; number++ {
				content := fmt.Sprintf(`{"version":%d,"operator":%d}`, number, operator)
				if (int(number)+operator)%3 == 0 {
					ctx, cancel := context.WithCancel(context.Background())
					go cancel()
					_, _ = leader.Service().PutDocument(ctx, &wire.PutDocumentRequest{Number: number, Content: []byte(content)})
				}
				for _, sent := range []uint64{number, number, max(number-1, 1)} {
					if held, err := putDocument(t, leader, sent, content); err != nil || held < sent {
						t.Errorf("operator %d, document %d: got %d, %v, expected an acknowledgement", operator, sent, held, err)
					}
				}
			}
		})
	}
	group.Wait()
	contents := checkHistory(t, leader)
	if held := string(heldContent(t, leader)); contents[numbers] == "" || contents[numbers] != held {
		t.Errorf("got %s, expected the document %s", held, contents[numbers])
	}
}

// A proposal that a former leader, or a call that was given up, has left in the log is
// committed late: before or after the same document, one with the same number and
// other content, or a newer one.
func TestLateProposals(t *testing.T) {
	leader := startReplicas(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	late := func(number, base uint64, content string) (accepted bool) {
		item, err := fleet.NumberedDocument{Number: number, Content: []byte(content)}.Item()
		if err != nil {
			t.Fatal(err)
		}
		applied, err := leader.propose(ctx, changeFor(number, base, item))
		if err != nil {
			t.Fatal(err)
		}
		return applied.(state.ChangeResult).Accepted
	}
	put := func(number uint64, content, want string) {
		t.Helper()
		held, err := putDocument(t, leader, number, content)
		if err != nil || held < number {
			t.Errorf("document %d: got %d, %v, expected an acknowledgement", number, held, err)
		}
		if got := string(heldContent(t, leader)); got != want {
			t.Errorf("after document %d: got %s, expected %s", number, got, want)
		}
	}
	for step := range uint64(9) {
		_, base, err := leader.Service().numbered(ctx)
		if err != nil {
			t.Fatal(err)
		}
		number := 10 * (step + 1)
		content, other, next := fmt.Sprintf("[%d]", number), fmt.Sprintf(`["other",%d]`, number), fmt.Sprintf("[%d]", number+1)
		switch step {
		case 0:
			late(number, base, content)
			put(number, content, content)
		case 1:
			late(number, base, other)
			put(number, content, other)
		case 2:
			put(number, content, content)
			late(number, base, other)
			put(number, content, content)
		case 3:
			put(number+1, next, next)
			late(number, base, content)
			put(number, content, next)
		case 4:
			late(number+1, base, next)
			put(number, content, next)
			late(number, base, content)
			put(number, content, next)
		case 5:
			late(number, base, content)
			late(number+1, base, next)
			put(number+1, next, next)
		case 6:
			// The same proposal is committed twice, with another one between.
			late(number, base, content)
			put(number+1, next, next)
			late(number, base, content)
			put(number, content, next)
		case 7:
			// A base revision from long ago.
			late(number, 1, content)
			put(number, other, other)
			late(number, base, content)
			put(number, content, other)
		case 8:
			// Two operators' calls have read the same revision.
			first, second, again := late(number, base, content), late(number, base, other), late(number, base, content)
			if !first || second || !again {
				t.Errorf("got accepted %t, %t and %t, expected only the first content to be accepted", first, second, again)
			}
			put(number, other, content)
		}
	}
	checkHistory(t, leader)
}
