package observe

import (
	"bytes"
	"errors"
	"regexp"
	"testing"
)

// Every part of a line has a key, the message included.
func TestLineIsKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "info", "e1", "kochi-a")
	logger.Warn().Str("step", "dial").Str("peer", "127.0.0.1:1").Int("attempt", 2).Bool("last", true).
		Err(errors.New(`refused "hard"`)).Msg("attempt failed")
	pair := `[a-z_]+=("([^"\\]|\\.)*"|[^ "]+)`
	if !regexp.MustCompile("^" + pair + "( " + pair + ")*\n$").MatchString(out.String()) {
		t.Fatalf("not key=value pairs: %s", out.String())
	}
	for _, want := range []string{`msg="attempt failed"`, "last=true", "attempt=2", `step="dial"`} {
		if !bytes.Contains(out.Bytes(), []byte(want)) {
			t.Errorf("%s lacks %s", out.String(), want)
		}
	}
}
