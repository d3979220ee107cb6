package bootclock

import (
	"testing"
	"time"
)

// The clock never runs backwards, and it counts the time that passes.
func TestNowAdvances(t *testing.T) {
	first := Now()
	last := first
	for range 1000 {
		next := Now()
		if next < last {
			t.Fatalf("the clock went from %v back to %v", last, next)
		}
		last = next
	}
	time.Sleep(10 * time.Millisecond)
	if passed := Now() - first; passed < 10*time.Millisecond {
		t.Fatalf("the clock counted %v while at least 10ms passed", passed)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}

// BenchmarkSince measures the clock that stands still while the VM is suspended.
func BenchmarkSince(b *testing.B) {
	for b.Loop() {
		_ = sinceStart()
	}
}
