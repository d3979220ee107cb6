package observe

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks until it is released, as if the reader of the log stalled.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(data)
}

// TestBlockedWriterDoesNotBlockBuffer checks that Buffer.Write returns while the
// underlying writer blocks, and that the log reports the dropped lines.
func TestBlockedWriterDoesNotBlockBuffer(t *testing.T) {
	to := &blockedWriter{release: make(chan struct{})}
	buffer := NewBuffer(to)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * bufferBytes / len(line) {
		if n, err := buffer.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v, expected the length of the line and no error", n, err)
		}
	}
	close(to.release)
	buffer.Close()
	to.mu.Lock()
	defer to.mu.Unlock()
	if !strings.Contains(to.got.String(), `msg="log lines dropped"`) {
		t.Error("dropped lines are not reported")
	}
}

// TestBufferLimitsRate checks that lines above the rate limit are dropped even if
// the underlying writer is fast.
func TestBufferLimitsRate(t *testing.T) {
	var to bytes.Buffer
	buffer := NewBuffer(&to)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	started := time.Now()
	for range 16 * bufferBytes / len(line) {
		_, _ = buffer.Write(line)
	}
	maxBytes := bufferBytes + bytesPerSecond*time.Since(started).Seconds() + 1024
	buffer.Close()
	if n := float64(to.Len()); n > maxBytes || !strings.Contains(to.String(), "dropped=") {
		t.Errorf("%g bytes written, at most %g expected", n, maxBytes)
	}
}

func TestCloseFlushesBuffer(t *testing.T) {
	var to bytes.Buffer
	buffer := NewBuffer(&to)
	_, _ = buffer.Write([]byte("a\n"))
	_, _ = buffer.Write([]byte("b\n"))
	buffer.Close()
	if to.String() != "a\nb\n" {
		t.Errorf("got %q, expected both lines in order", to.String())
	}
}
