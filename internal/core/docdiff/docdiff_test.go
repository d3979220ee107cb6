package docdiff

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.seed" })
	if !set {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// drawText draws a document whose elements repeat, move and contain brackets in strings.
func drawText(t *rapid.T, label string) []byte {
	elements := []string{`{"a":1}`, `{"a":[1,"]"]}`, `"x,]"`, `7`, `null`, `[]`, `{"s":"\"}"}`, `"\\"`, `-1.5e3`}
	space := rapid.SampledFrom([]string{"", " ", "\n\t"})
	text := []byte(space.Draw(t, label+" start") + "{")
	for i, name := range rapid.Permutation([]string{`"a"`, `"b"`, `"\u0063"`, `"d"`}).Draw(t, label+" names") {
		if i > 0 {
			text = append(text, ',')
		}
		text = fmt.Appendf(text, "%s:%s", name, space.Draw(t, "space"))
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			text = append(text, `{"n":[1,2]}`...)
			continue
		}
		text = append(text, '[')
		gap := space.Draw(t, "gap")
		for j := range rapid.IntRange(0, 300).Draw(t, "count") {
			if j > 0 {
				text = append(text, ","+gap...)
			}
			if rapid.IntRange(0, 9).Draw(t, "common") == 0 {
				text = append(text, rapid.SampledFrom(elements).Draw(t, "element")...)
			} else {
				text = fmt.Appendf(text, `{"i":%d}`, j)
			}
		}
		text = append(text, gap+"]"...)
	}
	return append(text, "}"+space.Draw(t, "end")...)
}

// A delta turns one document into the exact bytes of the other, and the result has the digest
// and the groups of one that was parsed.
func TestApplyRestoresExactBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oldText, newText := drawText(t, "old"), drawText(t, "new")
		old := Parse(oldText, nil)
		next := Parse(newText, old)
		if !bytes.Equal(old.Bytes(), oldText) || !bytes.Equal(next.Bytes(), newText) {
			t.Fatalf("parsing changed the text")
		}
		if len(old.arrays) == 0 && bytes.Contains(oldText, []byte(":[")) {
			t.Fatalf("%q was not split", oldText)
		}
		if from, to := rapid.IntRange(0, len(newText)).Draw(t, "from"), rapid.IntRange(0, len(newText)).Draw(t, "to"); from <= to {
			if got := next.Slice(from, to); !bytes.Equal(got, newText[from:to]) {
				t.Fatalf("got %q from %d to %d, want %q", got, from, to, newText[from:to])
			}
		}
		if alone := Parse(newText, nil); alone.Digest() != next.Digest() {
			t.Fatal("the digest depends on the earlier document")
		}
		got, err := Apply(old, Encode(old, next), next.Digest())
		if err != nil || !bytes.Equal(got.Bytes(), newText) || got.Size() != len(newText) {
			t.Fatalf("got %v, want the new text", err)
		}
		if _, err := Apply(next, Encode(old, next), next.Digest()); err == nil && !bytes.Equal(oldText, newText) {
			if got, _ := Apply(next, Encode(old, next), next.Digest()); !bytes.Equal(got.Bytes(), newText) {
				t.Fatal("a delta was accepted on another base with another result")
			}
		}
	})
}

// Different texts have different digests, also where only the cut between elements and
// skeleton differs.
func TestDigestsDiffer(t *testing.T) {
	seen := make(map[Digest]string)
	for _, text := range []string{
		`{"a":[]}`, `{"a":[ ]}`, `{"a":[1]}`, `{"a":[1 ]}`, `{"a":[ 1]}`, `{"a":[1,1]}`, `{"a":[11]}`, `{"a":[],"b":[1]}`,
		`{"a":[1],"b":[]}`, `{"a":{"b":[1]}}`, `[1]`, `1`, ``, `{"a":[1],"a":[1]}`, `{`, `{"a":1}`,
	} {
		digest := Parse([]byte(text), nil).Digest()
		if other, taken := seen[digest]; taken {
			t.Errorf("%q and %q have one digest", text, other)
		}
		seen[digest] = text
		if got := Parse([]byte(text), nil).Bytes(); string(got) != text {
			t.Errorf("got %q, want %q", got, text)
		}
	}
}

// A malformed delta is an error: it causes neither a panic nor a document that is too long.
func FuzzApply(f *testing.F) {
	old := Parse([]byte(`{"v":1,"a":[1,2,3],"b":[{}]}`), nil)
	next := Parse([]byte(`{"v":2,"a":[1,3,4],"b":[{}]}`), nil)
	f.Add(Encode(old, next))
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, delta []byte) {
		if got, err := Apply(old, delta, next.Digest()); err == nil && !bytes.Equal(got.Bytes(), next.Bytes()) {
			t.Error("another text was accepted")
		}
	})
}

// routesText returns a document with many elements, the given one of which differs.
func routesText(count, changed int) []byte {
	text := []byte(`{"version":1,"routes":[`)
	for i := range count {
		if i > 0 {
			text = append(text, ',')
		}
		text = fmt.Appendf(text, `{"name":"route-%d","host":"h%d.example","path_prefix":"/v1/","service":"app","changed":%t}`, i, i, i == changed)
	}
	return append(text, `]}`...)
}

// A change of one element yields a delta of the length of that element, wherever it is.
func TestDeltaIsShort(t *testing.T) {
	const count, bound = 10_000, 512
	old := Parse(routesText(count, -1), nil)
	for _, changed := range []int{0, 1, count / 2, count - 1} {
		if n := len(Encode(old, Parse(routesText(count, changed), nil))); n > bound {
			t.Errorf("element %d: got %d bytes, want at most %d", changed, n, bound)
		}
	}
}

// Compare names the elements that differ.
func TestCompare(t *testing.T) {
	old := Parse([]byte(`{"v":1,"a":[1, 2, 3],"b":[4],"c":[5]}`), nil)
	next := Parse([]byte(`{"v":2,"a":[1, 9, 3],"b":[4],"d":[6]}`), nil)
	want := `[{"a" ["2"] ["9"]} {"d" [] ["6"]} {"c" ["5"] []}]`
	if got := fmt.Sprintf("%q", Compare(old, next)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
