package replica

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/observe"
)

// A delay of the loop is logged with what took the longest, and not more often than each loopLogInterval.
func TestHeldUpLoopIsLogged(t *testing.T) {
	var logs bytes.Buffer
	m := newLoopMonitor(0, observe.NewLogger(&logs, "info", "r0", "z0"), newMetrics(prometheus.NewRegistry()))
	m.handled("compact", 10*time.Millisecond)
	m.tick(tickInterval)
	if logs.Len() > 0 {
		t.Errorf("got %s, expected no line without a delay", logs.String())
	}
	m.handled("compact", 10*time.Millisecond)
	m.handled(replication.Receive{}, 150*time.Millisecond)
	m.tick(2*tickInterval + 2*heartbeatInterval)
	m.tick(3*tickInterval + 4*heartbeatInterval)
	for _, want := range []string{"delay_ms=200", "busy_ms=160", `longest="Receive"`, "longest_ms=150"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("got %s, expected %s", logs.String(), want)
		}
	}
	if lines := strings.Count(logs.String(), "\n"); lines != 1 {
		t.Errorf("got %d lines for two delays within a second, expected 1", lines)
	}
}
