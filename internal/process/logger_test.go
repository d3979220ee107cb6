package process

import (
	"bytes"
	"strings"
	"testing"

	"waxwingcart/internal/observe"
)

// TestLibraryLog checks that a message that a library logs through the standard
// logger becomes one line of key=value pairs.
func TestLibraryLog(t *testing.T) {
	var out bytes.Buffer
	logger := observe.NewLogger(&out, "info", "e1", "kochi-a")
	standardLogger(logger, "callers").Printf("http: panic serving %s\nstack", "127.0.0.1:9")
	line := out.String()
	if strings.Count(line, "\n") != 1 {
		t.Fatalf("got %q, want one line", line)
	}
	for _, want := range []string{"level=warn", `process="e1"`, `zone="kochi-a"`, `step="library"`, `listener="callers"`, "panic serving"} {
		if !strings.Contains(line, want) {
			t.Errorf("line %q does not contain %q", line, want)
		}
	}
}
