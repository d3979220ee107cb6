package backend_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"waxwingcart/internal/backend"
)

const testEventLimit = 1 << 12

// Checks that events are parsed correctly wherever the input is split into reads.
func TestEventsSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		data := rapid.SliceOf(rapid.StringMatching(`[a-z:{}" ]{0,20}`)).Draw(t, "data")
		var text strings.Builder
		for i, d := range data {
			fmt.Fprintf(&text, ": comment%sid: %d%sdata:%s%s%s", lineEnd, i, lineEnd, " "+d, lineEnd, lineEnd)
		}
		whole := text.String()
		split := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		source := io.MultiReader(strings.NewReader(whole[:split]), iotest.OneByteReader(strings.NewReader(whole[split:])))
		reader := backend.NewEventReader(source, testEventLimit)
		for i, d := range data {
			event, err := reader.Next()
			if err != nil || event.ID != fmt.Sprint(i) || string(event.Data) != d {
				t.Fatalf("event %d: %q %q %v, want %q", i, event.ID, event.Data, err, d)
			}
		}
		if _, err := reader.Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("got %v at the end, want io.EOF", err)
		}
	})
}

func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"id: 0\ndata: {}\n\ndata: [DONE]\n\n", "data: a\r\ndata: b\r\n\r\n", ": comment\n\n",
		"id: -1\ndata\n\n", "event: error\ndata: {}\n\n", "data: cut", "\n\n\n", "\x00\xff\n",
		strings.Repeat("x", testEventLimit+10), "data: " + strings.Repeat("y\ndata: ", 2000),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := backend.NewEventReader(strings.NewReader(text), testEventLimit)
		for {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if len(event.Data) > testEventLimit {
				t.Fatalf("got an event of %d bytes, over the limit", len(event.Data))
			}
		}
	})
}
