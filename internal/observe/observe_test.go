package observe

import (
	"bytes"
	"errors"
	"regexp"
	"testing"
)

// TestLineIsKeyValuePairs checks that every part of a log line has a key, including
// the message.
func TestLineIsKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "info", "e1", "kochi-a")
	logger.Warn().Str("step", "dial").Str("peer", "127.0.0.1:1").Int("attempt", 2).Bool("last", true).
		Err(errors.New(`refused "hard"`)).Msg("attempt failed")
	pair := `[a-z_]+=("([^"\\]|\\.)*"|[^ "]+)`
	if !regexp.MustCompile("^" + pair + "( " + pair + ")*\n$").MatchString(out.String()) {
		t.Fatalf("line is not key=value pairs: %s", out.String())
	}
	for _, want := range []string{`msg="attempt failed"`, "last=true", "attempt=2", `step="dial"`} {
		if !bytes.Contains(out.Bytes(), []byte(want)) {
			t.Errorf("line %s does not contain %s", out.String(), want)
		}
	}
}
