package rpc

import (
	"context"
	"io"
	"sync"
	"time"

	"waxwingcart/internal/answers"
)

// Progress follows one call whose answer may be long. It bounds the time without progress
// in place of the time of the whole transfer, which depends on the link. Bytes that
// arrive more slowly than answers.MinRate count for the time that they take at that rate.
type Progress struct {
	mu   sync.Mutex
	last time.Time
}

// NewProgress returns a Progress of a call that is made now.
func NewProgress() *Progress { return &Progress{last: time.Now()} }

// Quiet returns the time since the call was made or last made progress.
func (p *Progress) Quiet() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.last)
}

// note records bytes of the answer.
func (p *Progress) note(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = p.last.Add(time.Duration(bytes) * time.Second / answers.MinRate)
	if now := time.Now(); p.last.After(now) {
		p.last = now
	}
}

// progressKey is the context key of a call's Progress.
type progressKey struct{}

// Bound returns a context for the call. It ends with the cause context.DeadlineExceeded when
// the call has made no progress for a time, and at the latest after the longest time.
func (p *Progress) Bound(ctx context.Context, quiet, longest time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, progressKey{}, p))
	end := time.Now().Add(longest)
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(quiet, func() {
		<-ready
		left := min(quiet-p.Quiet(), time.Until(end))
		if left <= 0 {
			cancel(context.DeadlineExceeded)
			return
		}
		timer.Reset(left)
	})
	close(ready)
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// progressBody notes the bytes of an answer as progress of its call.
type progressBody struct {
	io.ReadCloser
	progress *Progress
}

func (b progressBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if n > 0 {
		b.progress.note(n)
	}
	return n, err
}
