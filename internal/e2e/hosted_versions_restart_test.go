package e2e

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// Streams break off because entries are killed, all at once, and start again. Callers take
// them up where they can: no stream is joined from two versions, and a refused caller can begin
// again. An entry that is left alive lets them go on.
func TestHostedTakeUpAfterAllEntriesKilled(t *testing.T) {
	const entries, streams = 3, 24
	for _, test := range []struct {
		name string
		// alive is the number of entries that are not killed.
		alive int
		// replicas is true if the replicas are killed as well.
		replicas bool
		// gone is true if the older version leaves while the entries are down, and unlisted if
		// the list is empty when they start again.
		gone, unlisted bool
	}{
		{name: "both versions serve"},
		{name: "the older version has left", gone: true},
		{name: "one entry is left", alive: 1},
		{name: "replicas are killed too", replicas: true, gone: true},
		{name: "the list is empty at first", unlisted: true, gone: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h, engines := newVersionCluster(t, entries, 2, 2)
			older, newer := engines[:2], engines[2:]
			for _, engine := range engines {
				engine.eventInterval.Set(slowEventMS)
			}
			callers, ended := h.startCallers("e1", streams)
			var killed []string
			for n := range entries - test.alive {
				killed = append(killed, fmt.Sprintf("e%d", n+1))
			}
			if test.replicas {
				killed = append(killed, "r1", "r2", "r3")
			}
			for _, name := range killed {
				_ = h.stop(name, syscall.SIGKILL)
			}
			ended.Wait()
			for _, engine := range engines {
				engine.eventInterval.Set(versionEventMS)
			}
			if test.gone {
				for _, engine := range older {
					engine.gone.Set(true)
					h.platform.remove(engine)
				}
			}
			if test.unlisted {
				for _, engine := range newer {
					h.platform.remove(engine)
				}
			}
			for _, name := range killed {
				h.start(name)
			}
			for _, name := range killed[:entries-test.alive] {
				h.eventually(name+" listens", func() bool {
					conn, err := net.Dial("tcp", h.vms[name].callerAddress)
					if err == nil {
						_ = conn.Close()
					}
					return err == nil
				})
			}
			if test.unlisted {
				time.AfterFunc(2*time.Second, func() {
					h.platform.mu.Lock()
					defer h.platform.mu.Unlock()
					for _, engine := range newer {
						h.platform.engines = append(h.platform.engines, engine.hostedEngine)
					}
				})
			}
			atOnce, whole := h.takeUpAll(callers, "e1", "e2", "e3")
			checkVersions(t, callers)
			again := 0
			for i, c := range callers {
				if !c.whole() {
					again++
					h.eventually("a caller whose take-up was refused begins again", func() bool {
						c.begin(fmt.Sprintf("e%d", 1+i%entries), allParts)
						return c.whole()
					})
				}
			}
			checkVersions(t, callers)
			t.Logf("of %d take-ups, %d went on at once and %d in the end; %d began again", streams, atOnce, whole, again)
			if test.alive > 0 && 10*whole < 9*streams {
				t.Errorf("%d of %d streams went on though an entry was left, want nine tenths", whole, streams)
			}
		})
	}
}
