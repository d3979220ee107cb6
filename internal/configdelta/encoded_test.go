package configdelta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"waxwingcart/internal/core/docdiff"
)

// A change with many new routes must be encoded once for all entries, and compressed: computed and sent whole to each of
// 72 entries it took them beyond the time within which a change must be in force.
func TestLongDeltasAreSharedAndCompressed(t *testing.T) {
	document := func(routes int) *docdiff.Document {
		var items []string
		for i := range routes {
			items = append(items, fmt.Sprintf(`{"name":"route-%d","host":"desk.example","path_prefix":"/p%d/","type":"safe","timeout_ms":2000}`, i, i))
		}
		return docdiff.Parse([]byte(`{"version":7,"routes":[`+strings.Join(items, ",")+`]}`), nil)
	}
	base, to := document(1000), document(3000)
	var deltas encodedDeltas
	first, second := deltas.get(base, to), deltas.get(base, to)
	if &first.data[0] != &second.data[0] {
		t.Error("the same delta was encoded twice")
	}
	whole := docdiff.Encode(base, to)
	if !first.deflated || len(first.data) > len(whole)/4 {
		t.Errorf("the delta has %d of %d bytes, expected at most a quarter", len(first.data), len(whole))
	}
	inflated, err := inflate(first.data)
	if err != nil || !bytes.Equal(inflated, whole) {
		t.Errorf("got %d bytes and %v, expected the delta of %d bytes", len(inflated), err, len(whole))
	}
	if _, err := inflate(first.data[:len(first.data)/2]); err == nil {
		t.Error("a delta that is cut off was decompressed")
	}
	if _, err := inflate(deflate(make([]byte, maxDocumentBytes+1))); err == nil {
		t.Error("a delta that is too long when decompressed was accepted")
	}
	for i := range 2 * maxEncoded {
		deltas.get(base, document(10+i))
	}
	if len(deltas.kept) != maxEncoded {
		t.Errorf("%d deltas are kept, expected %d", len(deltas.kept), maxEncoded)
	}
}
