package backend

import (
	"sync"
	"time"
)

const (
	// timerSlack is how late a timer fires at most in a process that runs.
	timerSlack = 20 * time.Millisecond
	// catchUpTime is the time to read what arrived while the process stood still.
	catchUpTime = 250 * time.Millisecond
)

// silenceTimer calls expire after a time without a sign of the peer. A timer that
// fires late shows that this process stood still, and signs may lie unread: it waits
// for catchUpTime more. It is safe for concurrent use.
type silenceTimer struct {
	expire func()
	// repeats is true if the timer starts anew whenever it expires.
	repeats bool

	mu    sync.Mutex
	timer *time.Timer
	// due is when the timer should fire, and armed is false while it is stopped.
	due   time.Time
	armed bool
	// timeout is the time with which the timer was last started.
	timeout time.Duration
}

// newSilenceTimer returns a timer that has been started.
func newSilenceTimer(timeout time.Duration, repeats bool, expire func()) *silenceTimer {
	s := &silenceTimer{expire: expire, repeats: repeats, timeout: timeout}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due, s.armed = time.Now().Add(timeout), true
	s.timer = time.AfterFunc(timeout, func() { s.fire(time.Now()) })
	return s
}

// start starts the time anew.
func (s *silenceTimer) start(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeout = timeout
	s.arm(time.Now(), timeout)
}

// stop stops the timer. A call of expire may be in progress.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = false
	s.timer.Stop()
}

// arm sets the timer. The caller holds mu.
func (s *silenceTimer) arm(now time.Time, timeout time.Duration) {
	s.due, s.armed = now.Add(timeout), true
	s.timer.Reset(timeout)
}

// fire ends the time, or extends it if the process stood still.
func (s *silenceTimer) fire(now time.Time) {
	s.mu.Lock()
	late := now.Sub(s.due)
	if !s.armed || late < 0 {
		// Stopped or started anew meanwhile.
		s.mu.Unlock()
		return
	}
	if late > timerSlack {
		s.arm(now, catchUpTime)
		s.mu.Unlock()
		return
	}
	s.armed = false
	if s.repeats {
		s.arm(now, s.timeout)
	}
	s.mu.Unlock()
	s.expire()
}
