package callerlimits

import (
	"testing"
	"time"

	"waxwingcart/internal/core/routes"
)

// The highest limit that callers may follow holds: of the document in force, and of
// older ones for CallerLag after they were replaced. What a document doesn't set is set
// by the process.
func TestCallerLimitsOfSeveralDocuments(t *testing.T) {
	const fallback = 7 * time.Second
	l := Limits{Transit: time.Second}
	check := func(now, want time.Duration, headerBytes int) {
		t.Helper()
		if got := l.Idle(now, fallback); got != want {
			t.Errorf("at %s: got an idle timeout of %s, want %s", now, got, want)
		}
		if got := l.HeaderBytes(now, 100); got != headerBytes {
			t.Errorf("at %s: got %d bytes for a header, want %d", now, got, headerBytes)
		}
	}
	check(0, fallback, 100)
	l.Set(time.Second, routes.CallerLimits{IdleTimeout: 15 * time.Second, HeaderBytes: 50})
	check(time.Second, 16*time.Second, 50)
	l.Set(2*time.Second, routes.CallerLimits{IdleTimeout: time.Minute, HeaderBytes: 2 * MaxHeaderBytes})
	check(2*time.Second, 61*time.Second, MaxHeaderBytes)
	l.Set(3*time.Second, routes.CallerLimits{})
	check(2*time.Second+CallerLag, 61*time.Second, MaxHeaderBytes)
	check(3*time.Second+CallerLag, fallback, 100)
	l.Set(3*time.Second+CallerLag, routes.CallerLimits{IdleTimeout: 2 * time.Second})
	if check(3*time.Second+CallerLag, fallback, 100); len(l.known) != 2 {
		t.Errorf("%d documents are known, want the last two", len(l.known))
	}
}
