package configdelta

import (
	"context"
	"time"
)

// InTurn asks processes one after the other, each once the one before has answered or is overdue, until
// ctx is done. next returns an address that has not been asked yet, and ask returns a channel that is closed
// after the first answer or failure. If there is no address, InTurn looks again after the time for which an
// answer may take.
func InTurn(ctx context.Context, overdue time.Duration, next func() (string, bool), ask func(address string) <-chan struct{}) {
	for ctx.Err() == nil {
		var answered <-chan struct{}
		if address, ok := next(); ok {
			answered = ask(address)
		}
		Await(ctx, answered, overdue)
	}
}

// Await waits until an answer has come, is overdue, or ctx is done.
func Await(ctx context.Context, answered <-chan struct{}, overdue time.Duration) {
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Fetching reports whether parts of a document are being fetched.
func (c *Client) Fetching() bool { return len(c.fetching) > 0 }
