package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
)

// allowHolds makes the progress timeout longer than a test waits. With the usual one,
// a stream that an engine holds back is a stall, and entries rightly give it up and
// have it generated again before or after its move.
func allowHolds(config *fleet.Config) {
	config.Defaults.ProgressTimeoutMS = float64(2 * waitTimeout / time.Millisecond)
}

// An engine is reclaimed on short notice: its streams move to the other engine with
// their KV cache, no token is computed twice, and no caller has to resume when the
// engine is killed afterwards.
func TestReclaimedEngineMovesStreams(t *testing.T) {
	c := newCluster(t, 1, 1, allowHolds)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	const streams, tokens = 8, 600
	list, group := c.startStreams(streams, tokens, "e1")
	before, moving := c.stats("m2"), int64(c.totalRuns("m1"))
	c.reclaim("m1", 2)
	c.eventually("all streams of m1 have moved to m2", func() bool {
		return c.stats("m1")["exported"] == moving && c.stats("m2")["imported"] == moving
	})
	c.fault("m2", `{"hold_after": 0}`)
	_ = c.stop("m1", syscall.SIGKILL)
	group.Wait()
	checkAll(t, list)
	for _, client := range list {
		if client.resumed > 0 {
			t.Errorf("%q: its caller had to resume: %v", client.request.prompt, client.failures)
		}
	}
	after := c.stats("m2")
	if again := after["prefill_tokens"] - before["prefill_tokens"]; again != 0 {
		t.Errorf("%d prompt tokens were computed again, want none", again)
	}
	if decoded := after["decoded_tokens"]; decoded != streams*tokens-10*moving {
		t.Errorf("m2 decoded %d tokens, want %d", decoded, streams*tokens-10*moving)
	}
}

// A voter whose VM is about to be reclaimed is replaced by a spare replica before
// the VM is gone.
func TestReclaimedReplicaIsReplaced(t *testing.T) {
	c := newCluster(t, 4, 1)
	d, err := c.dump("r1")
	if err != nil {
		t.Fatal(err)
	}
	reclaimed := "r2"
	if !d.votes("r2") {
		reclaimed = "r3"
	}
	c.reclaim(reclaimed, 60)
	c.eventually(reclaimed+" is replaced", func() bool {
		d, err := c.dump("r1")
		return err == nil && len(d.Replica.Voters) == 3 && !d.votes(reclaimed)
	})
	_ = c.stop(reclaimed, syscall.SIGKILL)
	if answer := c.mustApply("second", 1); answer.Revision != 2 {
		t.Fatalf("revision %d, want 2", answer.Revision)
	}
}

// The engine and the entry of a zone are reclaimed at once: streams move to the
// other engine, callers of the reclaimed entry can resume them at the other entry
// and get complete answers, and bookings in flight run once and are answered.
func TestReclaimedZone(t *testing.T) {
	c := newCluster(t, 3, 2, allowHolds)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	c.fault("a1", `{"delay_ms": 300}`)
	list, streams := c.startStreams(8, 900, "e1", "e2")
	var bookings sync.WaitGroup
	for i := range 8 {
		bookings.Go(func() {
			answer, err := c.call("e1", http.MethodPost, "/services/desk/bookings", fmt.Sprint("zone-", i), "{}")
			if err != nil || answer.status != http.StatusCreated {
				t.Errorf("booking %d: got %+v, %v, want status 201", i, answer, err)
			}
		})
	}
	moving := int64(c.totalRuns("m1"))
	c.reclaim("m1", 6)
	c.reclaim("e1", 6)
	c.eventually("all streams of m1 have moved to m2", func() bool {
		return c.stats("m1")["exported"] == moving && c.stats("m2")["imported"] == moving
	})
	c.fault("m2", `{"hold_after": 0}`)
	_ = c.stop("m1", syscall.SIGKILL)
	bookings.Wait()
	streams.Wait()
	_ = c.stop("e1", syscall.SIGKILL)
	checkAll(t, list)
	if runs := c.totalRuns("a1"); runs != 8 {
		t.Errorf("%d runs of 8 bookings, want 8", runs)
	}
}

// An entry is killed while it moves the streams of a reclaimed engine: the callers
// resume at another entry, and each gets its own answer completely.
func TestEntryKilledDuringReclaim(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startStreams(8, 600, "e1", "e2")
	c.reclaim("m1", 2)
	c.eventually("a stream is being moved", func() bool { return c.stats("m1")["exported"] > 0 })
	_ = c.stop("e1", syscall.SIGKILL)
	c.fault("m2", `{"hold_after": 0}`)
	_ = c.stop("m1", syscall.SIGKILL)
	group.Wait()
	checkAll(t, list)
}
