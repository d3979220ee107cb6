package e2e

import (
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"
)

// manyRoutes returns a document with many routes, of which the given one has another limit of attempts.
func manyRoutes(version, count, changed int) map[string]any {
	extra := make([]map[string]any, count)
	for i := range extra {
		attempts := 2
		if i == changed {
			attempts = 3
		}
		extra[i] = map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": fmt.Sprintf("h%d.example", i), "path_prefix": "/", "type": "safe",
			"timeout_ms": 1500, "slo_ms": 150, "service": "ledger", "attempts": attempts,
		}
	}
	return document(version, extra...)
}

// documentsOfKind returns how many documents of a kind a process has counted.
func (h *hostedCluster) documentsOfKind(name, kind string) int {
	pattern := regexp.MustCompile(`(?m)^waxwingcart_(?:entry|replica)_config_documents_total\{kind="` + kind + `"\} (\S+)$`)
	match := pattern.FindStringSubmatch(h.metricsOf(name))
	if match == nil {
		return 0
	}
	count, _ := strconv.ParseFloat(match[1], 64)
	return int(count)
}

// Entries get changes of a document with many routes as deltas, also from a new leader, and an entry that
// restarts gets it in parts. Whole documents sent at each change kept them on older versions for seconds.
func TestHostedManyRoutes(t *testing.T) {
	const (
		routes  = 10_000
		changes = 6
		stopAt  = 3
	)
	h := newHostedCluster(t, 2)
	h.platform.addEngine(t, "i-a1", "ledger")
	h.platform.addEngine(t, "i-m1", "models")
	h.applyDocument(manyRoutes(7, routes, 0))
	parts := h.documentsOfKind("e1", "part")
	replica := "r1"
	for i := 1; i <= changes; i++ {
		if i == stopAt {
			_ = h.stop("r1", 9)
			replica = "r2"
		}
		version := 7 + i
		content := manyRoutes(version, routes, i)
		h.eventually(fmt.Sprintf("version %d is acknowledged", version), func() bool { return h.put(replica, content) == 200 })
		acknowledged := time.Now()
		for _, name := range []string{"e1", "e2"} {
			h.eventually(fmt.Sprintf("version %d is in force at %s", version, name), func() bool {
				return len(h.linesWith(name, fmt.Sprintf(`number=%d `, version))) > 0 && len(h.linesWith(name, fmt.Sprintf(`step="configure" revision=%d `, i+1))) > 0
			})
		}
		t.Logf("version %d is in force at both entries %s after the acknowledgement", version, time.Since(acknowledged).Round(time.Millisecond))
	}
	for _, name := range []string{"e1", "e2"} {
		deltas, older, failed := h.documentsOfKind(name, "delta"), h.documentsOfKind(name, "older-protocol"), h.documentsOfKind(name, "failed")
		if deltas < changes || older != 0 || failed != 0 {
			t.Errorf("%s: got %d deltas, %d whole documents of the earlier protocol and %d failures, want %d, none and none", name, deltas, older, failed, changes)
		}
	}
	if got := h.documentsOfKind("e1", "part"); got != parts {
		t.Errorf("e1 fetched %d parts for changes, want none", got-parts)
	}
	_ = h.stop("e2", 9)
	h.start("e2")
	h.eventually("the document is in force at e2 again", func() bool {
		return h.documentsOfKind("e2", "part") > 0 && len(h.linesWith("e2", fmt.Sprintf(`number=%d `, 7+changes))) > 0
	})
}
