package room

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/wire"
)

const ms = time.Millisecond

type fixture struct {
	room *Room
	sent []*wire.CapacityPrice
	now  time.Duration
}

func newFixture() *fixture {
	f := &fixture{}
	f.room = New(Options{
		Now: func() time.Duration { return f.now }, Seed: 1, Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(),
		Entries: func() int { return 1 }, Send: func(p []*wire.CapacityPrice) { f.sent = append(f.sent, p...) },
	})
	return f
}

func contentionAt(start, soon time.Duration) placement.Contention {
	return placement.Contention{Servers: 1, Start: start, Urgent: start, Soon: soon, Work: 1000, Rate: 1000, Spare: 1000}
}

// call returns a call whose prediction is read from contention, and its verdicts.
func (f *fixture) call(hash uint64, contention *placement.Contention) (Call, *[]Verdict) {
	verdicts := &[]Verdict{}
	return Call{
		Service: "s", Kind: "k", Rank: 12, Target: 800 * ms, Deadline: f.now + 10*time.Second, Latest: 4 * time.Second,
		Hash: func() uint64 { return hash }, Look: func(time.Duration) (placement.Contention, bool) { return *contention, true },
		Done: func(v Verdict) { *verdicts = append(*verdicts, v) },
	}, verdicts
}

// A call that waits goes when a slot becomes free, is refused after an eighth of its target, or is dropped when its caller leaves.
func TestCallsWaitForASlot(t *testing.T) {
	f := newFixture()
	full := contentionAt(2*time.Second, 100*ms)
	goes, _ := f.call(1, &full)
	later := full
	goes.Look = func(time.Duration) (placement.Contention, bool) { return later, true }
	var gone []Verdict
	goes.Done = func(v Verdict) { gone = append(gone, v) }
	refusedCall, refused := f.call(2, &full)
	leavingCall, left := f.call(3, &full)
	f.room.Submit(goes)
	f.room.Submit(refusedCall)
	leaving := f.room.Submit(leavingCall)
	if len(f.room.waiting) != 3 {
		t.Fatalf("%d calls wait, want 3", len(f.room.waiting))
	}
	f.room.Leave(leaving)
	f.now = 40 * ms
	later = contentionAt(100*ms, 100*ms)
	f.room.look()
	if len(gone) != 1 || gone[0].Refused {
		t.Errorf("when a slot is free: got %+v, want the call to go", gone)
	}
	f.now = 100 * ms
	f.room.look()
	if len(*refused) != 1 || !(*refused)[0].Refused {
		t.Errorf("after an eighth of the target: got %+v, want a refusal", *refused)
	}
	if len(*left) != 0 || len(f.room.waiting) != 0 || f.room.look() {
		t.Errorf("after the caller has left: %+v, %d wait", *left, len(f.room.waiting))
	}
}

// A caller that another entry told to come back is known here by the hash of its call, whatever its rank.
func TestReturningCallersAreAnnounced(t *testing.T) {
	here, there := newFixture(), newFixture()
	full := contentionAt(2*time.Second, 2*time.Second)
	call, verdicts := there.call(7, &full)
	there.room.Submit(call)
	if len(*verdicts) != 1 || !(*verdicts)[0].Refused {
		t.Fatalf("got %+v, want a refusal", *verdicts)
	}
	there.room.announce(1)
	if len(there.sent) != 1 || there.sent[0].Short != 1 || len(there.sent[0].Returning) != 1 {
		t.Fatalf("announced %+v", there.sent)
	}
	here.room.Told(there.sent)
	here.room.Told([]*wire.CapacityPrice{{Service: "s", Rank: 1 << 31, Offered: -1, DueMs: 1 << 31}, {}})
	here.now = time.Duration(there.sent[0].DueMs) * ms
	// The work that is due takes a second: a new call leaves the room to it.
	nearly := contentionAt(650*ms, 650*ms)
	fresh, freshVerdicts := here.call(8, &nearly)
	returned, returnedVerdicts := here.call(7, &nearly)
	here.room.Submit(fresh)
	here.room.Submit(returned)
	if len(*freshVerdicts) != 0 && !(*freshVerdicts)[0].Refused || len(*returnedVerdicts) != 1 || (*returnedVerdicts)[0].Refused {
		t.Errorf("the new call: %+v; the returned one: %+v", *freshVerdicts, *returnedVerdicts)
	}
}

// Run looks at calls that wait, and ends with its context.
func TestRun(t *testing.T) {
	f := newFixture()
	began := time.Now()
	f.room.opts.Now = func() time.Duration { return time.Since(began) }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.room.Run(ctx); close(ended) }()
	var looks atomic.Int64
	done := make(chan Verdict, 1)
	call, _ := f.call(1, nil)
	call.Target = time.Hour
	call.Deadline = 2 * time.Hour
	call.Look = func(time.Duration) (placement.Contention, bool) {
		if looks.Add(1) > 2 {
			return contentionAt(ms, ms), true
		}
		return contentionAt(2*time.Hour, ms), true
	}
	call.Done = func(v Verdict) { done <- v }
	f.room.Submit(call)
	if v := <-done; v.Refused {
		t.Errorf("got %+v, want the call to go", v)
	}
	cancel()
	<-ended
}
