package intake

import (
	"io"
	"net/http"
	"time"

	"waxwingcart/internal/core/intake"
)

// Progress notes bytes that were read or written.
func (s *Share) Progress(bytes int) {
	if s == nil || bytes <= 0 {
		return
	}
	s.arrived.Add(int64(bytes))
	s.last.Store(int64(s.budget.now()))
}

// Finish notes that the body was read. It returns an error if the share has given way;
// after it returned nil the share no longer gives way.
func (s *Share) Finish() error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := causeError(s.cause); err != nil {
		return err
	}
	s.state = stateRunning
	return nil
}

// Write runs a write of bytes to the caller. While it lasts, the bytes are held, and
// it is ended if the caller reads none of them and the memory is used up.
func (s *Share) Write(bytes int, write func()) {
	if s == nil {
		write()
		return
	}
	s.mu.Lock()
	s.state = stateWriting
	s.last.Store(int64(s.budget.now()))
	s.mu.Unlock()
	// What has run is not refused, so its answer is held in any case.
	used := s.budget.used.Add(int64(bytes))
	s.bytes.Add(int64(bytes))
	if used > s.budget.size {
		s.budget.makeRoom(used - s.budget.size)
	}
	write()
	s.mu.Lock()
	s.state = stateRunning
	s.mu.Unlock()
	s.budget.used.Add(int64(-bytes))
	s.bytes.Add(int64(-bytes))
}

// WriteBody writes data in pieces within Write, so that a caller that reads slowly makes
// progress.
func (s *Share) WriteBody(w io.Writer, data []byte) {
	for len(data) > 0 {
		n := min(len(data), writeBytes)
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.Progress(n)
		data = data[n:]
	}
}

// Queue holds bytes of an answer that waits to be written, until Unqueue. Another
// goroutine than that of the request may call it, also after Close.
func (s *Share) Queue(bytes int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	used := s.budget.used.Add(int64(bytes))
	s.bytes.Add(int64(bytes))
	s.mu.Unlock()
	if used > s.budget.size {
		s.budget.makeRoom(used - s.budget.size)
	}
}

// Unqueue gives back what Queue holds.
func (s *Share) Unqueue(bytes int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Close has given back what was queued.
	if !s.closed {
		s.budget.used.Add(int64(-bytes))
		s.bytes.Add(int64(-bytes))
	}
}

// Close gives back what the share holds.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.state, s.closed = stateRunning, true
	s.mu.Unlock()
	s.budget.mu.Lock()
	delete(s.budget.shares, s.id)
	s.budget.mu.Unlock()
	s.release()
}

// release gives back what the share holds and keeps it open.
func (s *Share) release() {
	if s != nil {
		s.budget.used.Add(-s.bytes.Swap(0))
	}
}

func (s *Share) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return causeError(s.cause)
}

func causeError(cause intake.Cause) error {
	switch cause {
	case "":
		return nil
	case intake.CauseShare:
		return ErrFull
	}
	return ErrStalled
}

// giveWay ends the read or write under way and reports whether the share did not give
// way before.
func (s *Share) giveWay(cause intake.Cause) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == stateRunning || s.cause != "" {
		return false
	}
	s.cause = cause
	controller, now := http.NewResponseController(s.w), time.Now()
	if s.state == stateReading {
		_ = controller.SetReadDeadline(now)
	} else {
		_ = controller.SetWriteDeadline(now)
	}
	s.budget.shed.WithLabelValues(string(cause)).Inc()
	return true
}
