package fleet

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// The content of an item may be megabytes long. Its number is read without decoding it.
func TestParsingItemDoesNotDecodeContent(t *testing.T) {
	item, err := NumberedDocument{Number: 7, Content: []byte(`{"version":7,"more":"` + strings.Repeat("x", 1<<20) + `"}`)}.Item()
	if err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(10, func() {
		if n, err := ParseNumberedDocument(item.JSON); err != nil || n.Number != 7 {
			t.Fatalf("got number %d, %v", n.Number, err)
		}
	})
	if allocations > 0 {
		t.Errorf("got %v allocations, expected none", allocations)
	}
}

// An item is read as encoding/json reads it, in whichever form it was written.
func TestParseNumberedDocument(t *testing.T) {
	for _, text := range []string{
		`{"number":7,"content":{"a":[1,2]}}`, `{"number":7,"content": {"a":1} }`, `{ "number": 7, "content": {"a":1}}`,
		`{"content":{"a":1},"number":7}`, `{"number":7,"content":null}`, `{"number":7}`, `{"number":18446744073709551615,"content":1}`,
	} {
		var want NumberedDocument
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		got, err := ParseNumberedDocument([]byte(text))
		if err != nil || got.Number != want.Number || !bytes.Equal(got.Content, want.Content) {
			t.Errorf("%s: got %+v, %v, expected %+v", text, got, err, want)
		}
	}
}

// What is not JSON by itself makes no item, though the item would be JSON.
func TestContentThatIsNotJSON(t *testing.T) {
	for _, content := range []string{``, ` `, `1,"content":2`, `1,"number":8`, `{`, `1}`, `1} `, `{"a":1}}`} {
		if item, err := (NumberedDocument{Number: 7, Content: []byte(content)}).Item(); err == nil {
			t.Errorf("%q: got the item %s, expected an error", content, item.JSON)
		}
	}
}
