package backend

import (
	"testing"
	"time"
)

// newTestSilence returns a timer whose time is driven by the test through fire.
func newTestSilence(timeout time.Duration) (timer *silenceTimer, due time.Time, expired *int) {
	expired = new(int)
	timer = newSilenceTimer(time.Hour, false, func() { *expired++ })
	timer.timer.Stop()
	timer.due = time.Now().Add(timeout)
	return timer, timer.due, expired
}

// A timer that fires in time expires once, and not after it was stopped or started
// anew.
func TestSilenceTimerExpires(t *testing.T) {
	timer, due, expired := newTestSilence(time.Second)
	timer.fire(due)
	timer.fire(due.Add(time.Second))
	if *expired != 1 {
		t.Errorf("expired %d times, want once", *expired)
	}
	for name, act := range map[string]func(*silenceTimer){
		"stopped":       (*silenceTimer).stop,
		"started again": func(s *silenceTimer) { s.start(time.Hour) },
	} {
		timer, due, expired := newTestSilence(time.Second)
		act(timer)
		timer.fire(due)
		timer.stop()
		if *expired != 0 {
			t.Errorf("%s: expired, want not", name)
		}
	}
}

// The time for which the process stood still is not the peer's silence: a timer that
// fires late waits for catchUpTime, in which a sign starts it anew.
func TestStandstillIsNoSilence(t *testing.T) {
	timer, due, expired := newTestSilence(time.Second)
	resumed := due.Add(1500 * time.Millisecond)
	timer.fire(resumed)
	if *expired != 0 || !timer.due.Equal(resumed.Add(catchUpTime)) {
		t.Fatalf("expired %d times, due %s after the standstill, want %s", *expired, timer.due.Sub(resumed), catchUpTime)
	}
	timer.fire(timer.due)
	if *expired != 1 {
		t.Errorf("expired %d times after a standstill and more silence, want once", *expired)
	}
	timer.stop()
}
