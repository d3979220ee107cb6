package e2e

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Entries get SIGHUP again and again under load, with settings that are whole, cut off or gone, beside changes of
// the document and the stop of one entry. Settings are read whole or not at all, no process ends, and
// no caller of the others notices.
func TestHostedReloadsUnderLoad(t *testing.T) {
	const lasting = 6 * time.Second
	h := newHostedCluster(t, crashEntries)
	for _, id := range []string{"i-m1", "i-m2", "i-m3"} {
		h.platform.addEngine(t, id, "models").eventInterval.Set(10)
	}
	h.platform.addEngine(t, "i-a1", "ledger")
	h.platform.addEngine(t, "i-a2", "ledger")
	version := 7
	h.applyDocument(document(version))
	stop := make(chan struct{})
	var loads []*soundCalls
	for i := range markedRequests {
		loads = append(loads, markedRequests[i].soundLoad(h, 30, stop))
	}
	began := time.Now()
	stopped := false
	for n := 0; time.Since(began) < lasting; n++ {
		name := []string{"e1", "e2"}[n%2]
		path := h.vms[name].settingsPath
		whole, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, content := range []string{string(whole[:len(whole)*(n%7)/7]), "", string(whole)} {
			if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
			h.signal(name, syscall.SIGHUP)
			time.Sleep(20 * time.Millisecond)
		}
		if n%8 == 0 {
			version++
			if status := h.put("r1", document(version)); status != http.StatusOK && status != 0 && status < 500 {
				t.Errorf("document %d: status %d", version, status)
			}
		}
		if !stopped && time.Since(began) > lasting/2 {
			stopped = true
			h.signal("e3", syscall.SIGTERM)
		}
	}
	close(stop)
	for i, load := range loads {
		sent, whole := load.countAt(began, time.Now(), func(entry string) bool { return entry != "e3" })
		t.Logf("%s: %d of %d whole", markedRequests[i].name, whole, sent)
		if whole < sent {
			t.Errorf("%s: %d of %d requests were whole, want all", markedRequests[i].name, whole, sent)
		}
	}
	for _, name := range []string{"e1", "e2"} {
		if h.exited(name) {
			t.Errorf("%s has ended", name)
		}
		reloads := strings.Join(h.linesWith(name, `step="reload"`), "\n")
		if !strings.Contains(reloads, "settings reloaded") || !strings.Contains(reloads, "keeping the current ones") {
			t.Errorf("%s: got reloads %.300q, want some of whole settings and some that were refused", name, reloads)
		}
	}
}
