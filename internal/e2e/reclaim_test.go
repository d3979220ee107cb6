package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
)

// An engine is reclaimed on short notice: its streams go on at the other
// engine with their KV cache, no token is generated twice, and the engine can
// be killed afterwards without a caller noticing.
func TestReclaimedEngineMovesStreams(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	const streams, tokens = 8, 600
	list, group := c.startListeners(streams, tokens, "e1")
	before, moving := c.stats("m2"), int64(c.totalRuns("m1"))
	c.reclaim("m1", 2)
	c.eventually("m1 is left by its streams", func() bool {
		return c.stats("m1")["exported"] == moving && c.stats("m2")["imported"] == moving
	})
	c.fault("m2", `{"hold_after": 0}`)
	_ = c.stop("m1", syscall.SIGKILL)
	group.Wait()
	checkAll(t, list)
	for _, l := range list {
		if l.resumed > 0 {
			t.Errorf("%q: its caller had to resume: %v", l.question.prompt, l.failures)
		}
	}
	after := c.stats("m2")
	if again := after["prefill_tokens"] - before["prefill_tokens"]; again != 0 {
		t.Errorf("%d prompt tokens were computed again", again)
	}
	if decoded := after["decoded_tokens"]; decoded != streams*tokens-10*moving {
		t.Errorf("m2 decoded %d tokens, want %d", decoded, streams*tokens-10*moving)
	}
}

// A replica whose VM is about to be reclaimed is replaced by a spare one while
// it still counts.
func TestReclaimedReplicaIsReplaced(t *testing.T) {
	c := newCluster(t, 4, 1)
	d, err := c.dump("r1")
	if err != nil {
		t.Fatal(err)
	}
	going := "r2"
	if !d.votes("r2") {
		going = "r3"
	}
	c.reclaim(going, 60)
	c.eventually(going+" is replaced", func() bool {
		d, err := c.dump("r1")
		return err == nil && len(d.Replica.Voters) == 3 && !d.votes(going)
	})
	_ = c.stop(going, syscall.SIGKILL)
	if answer := c.mustApply("second", 1); answer.Revision != 2 {
		t.Fatalf("revision %d, want 2", answer.Revision)
	}
}

// A zone's engine and entry are reclaimed at once: the streams move to the
// other engine, end resumably at the entry that goes, and are whole for every
// caller; bookings in flight are answered once.
func TestReclaimedZone(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	c.fault("a1", `{"delay_ms": 300}`)
	list, streams := c.startListeners(8, 900, "e1", "e2")
	var bookings sync.WaitGroup
	for i := range 8 {
		bookings.Go(func() {
			answer, err := c.call("e1", http.MethodPost, "/services/desk/bookings", fmt.Sprint("zone-", i), "{}")
			if err != nil || answer.status != http.StatusCreated {
				t.Errorf("booking %d: %+v, %v", i, answer, err)
			}
		})
	}
	moving := int64(c.totalRuns("m1"))
	c.reclaim("m1", 6)
	c.reclaim("e1", 6)
	c.eventually("m1 is left by its streams", func() bool {
		return c.stats("m1")["exported"] == moving && c.stats("m2")["imported"] == moving
	})
	c.fault("m2", `{"hold_after": 0}`)
	_ = c.stop("m1", syscall.SIGKILL)
	bookings.Wait()
	streams.Wait()
	_ = c.stop("e1", syscall.SIGKILL)
	checkAll(t, list)
	if runs := c.totalRuns("a1"); runs != 8 {
		t.Errorf("%d runs of 8 bookings", runs)
	}
}

// An entry is killed while it moves the streams of a reclaimed engine: the
// callers go to another entry, and each gets the whole of its own answer.
func TestEntryDiesInTheMiddleOfAReclaim(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startListeners(8, 600, "e1", "e2")
	c.reclaim("m1", 2)
	c.eventually("a stream is being moved", func() bool { return c.stats("m1")["exported"] > 0 })
	_ = c.stop("e1", syscall.SIGKILL)
	c.fault("m2", `{"hold_after": 0}`)
	_ = c.stop("m1", syscall.SIGKILL)
	group.Wait()
	checkAll(t, list)
}
