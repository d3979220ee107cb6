package replica

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

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
	var content []byte
	if err := leader.runInLoop(context.Background(), func() { content = leader.numberedContent() }); err != nil {
		t.Fatal(err)
	}
	return content
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
