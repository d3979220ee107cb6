package traces

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Traces of refused requests don't evict those of requests that ran, and the
// number and the length of traces are bounded.
func TestHistoryBounds(t *testing.T) {
	h := NewHistory()
	h.Put(&Trace{ID: "ran"})
	for i := range 3 * maxEndedTraces {
		h.Put(&Trace{ID: fmt.Sprint("refused-", i), Refused: true})
	}
	if h.Get("ran") == nil || h.Get("refused-0") != nil || len(h.refused.order) != maxRefusedTraces {
		t.Fatalf("got %d traces of refused requests, want the maximum, without the oldest one; the trace of the request that ran must be kept", len(h.refused.order))
	}
	added := &Trace{ID: "long"}
	for i := range 5 * maxTraceSteps {
		added.Add(time.Time{}, "step %d", i)
	}
	added.End(time.Time{}, "ended")
	if lines := added.Lines(); len(lines) != maxTraceSteps+3 || !strings.Contains(lines[len(lines)-1], "ended") {
		t.Fatalf("got %d lines in the trace, want the heading, the maximum number of steps, the number of dropped steps and the end", len(lines))
	}
}
