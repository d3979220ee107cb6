package observe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes limits the total size of the lines that wait to be written.
	bufferBytes = 512 << 10
	// bytesPerSecond limits the sustained rate of the log, after a burst of up to
	// bufferBytes. It is several times the rate of a busy entry.
	bytesPerSecond = 256 << 10
	// flushInterval is how long a line is held so that further lines are written
	// together with it.
	flushInterval = 100 * time.Millisecond
)

// Buffer writes log lines in the background, so that a slow reader of the log
// never delays a request. Lines that exceed the size of the buffer or the rate are
// dropped and counted.
type Buffer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	// tokens is the number of bytes that the rate limit still allows, as of
	// refilledAt.
	tokens     float64
	refilledAt time.Time
}

// NewBuffer returns a buffer that writes to out.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), tokens: bufferBytes, refilledAt: time.Now()}
	go b.run()
	return b
}

// Write adds a line to the buffer. It never waits for the writer and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.closed || len(b.pending)+len(line) > bufferBytes || b.tokens < float64(len(line)) {
		b.dropped++
		return len(line), nil
	}
	b.tokens -= float64(len(line))
	b.pending = append(b.pending, line...)
	if len(b.pending) == len(line) {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// refill adds the tokens for the time since the last call. The caller must hold mu.
func (b *Buffer) refill() {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*bytesPerSecond, bufferBytes)
	b.refilledAt = now
}

// run flushes the buffer each time Write or Close wakes it, until it is closed.
func (b *Buffer) run() {
	defer close(b.done)
	for range b.wake {
		b.mu.Lock()
		closed := b.closed
		b.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		b.flush()
		if closed {
			return
		}
	}
}

// flush writes the pending lines, followed by the number of dropped ones if any.
func (b *Buffer) flush() {
	b.mu.Lock()
	lines, dropped := b.pending, b.dropped
	b.pending, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn step=log dropped=%d msg=\"log lines dropped\"\n", dropped)
	}
	if len(lines) > 0 {
		// A failed write of the log can't be logged.
		_, _ = b.out.Write(lines)
	}
}

// Close flushes the buffer. It gives up after one second if the writer blocks.
func (b *Buffer) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-b.done:
	case <-time.After(time.Second):
	}
}
