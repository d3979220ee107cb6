package entry

import (
	"context"
	"testing"
	"time"
)

// An attempt queues small events for a caller that reads slowly, but holds only one
// large one.
func TestLargeEventsAreNotQueued(t *testing.T) {
	for size, want := range map[int]int{1: streamQueue, largeEvent: 1} {
		a := &attempt{run: &run{stream: make(chan streamEvent, streamQueue)}}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for a.post(ctx, streamEvent{data: make([]byte, size)}) {
			}
		}()
		for len(a.run.stream) < want {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-ended
		if got := len(a.run.stream); got != want {
			t.Errorf("events of %d bytes: %d are queued, want %d", size, got, want)
		}
	}
}
