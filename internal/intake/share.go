package intake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"waxwingcart/internal/answers"
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

// answerBytes is the part of an answer that is held with its running request.
const answerBytes = 16 << 10

// Begin notes that a request whose body was read is about to run. It returns ErrBusy if it must not.
func (s *Share) Begin() error {
	if s == nil {
		return nil
	}
	if !s.budget.begin() {
		return ErrBusy
	}
	s.begun.Store(true)
	return nil
}

// Answer is what an answer of a backend server holds of the memory for long answers, until it is set to 0 or the
// share of its request is closed. It is not safe for concurrent use.
type Answer struct {
	share *Share
	held  int64
}

// Answer returns an account that holds nothing.
func (s *Share) Answer() *Answer { return &Answer{share: s} }

// Set changes the bytes that are held. If there is no room, answers that nobody reads give way, and it waits until
// they have. It returns an *answers.Error, and changes nothing, if that takes too long: answers that are read at
// the same time could wait for each other.
func (a *Answer) Set(bytes int64) error {
	s := a.share
	held := max(bytes-answerBytes, 0)
	more := held - a.held
	if more > 0 && !s.budget.takeAnswer(more, s) {
		return &answers.Error{Kind: answers.KindMemory, Detail: fmt.Sprintf("all long answers hold %d bytes, and this one needs %d more", s.budget.answers.Load(), more)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		// Close has given back what was held.
		s.budget.answers.Add(-max(more, 0))
		return errClosed
	}
	s.answers.Add(more)
	s.budget.answers.Add(min(more, 0))
	a.held = held
	return nil
}

// errClosed is the error of an answer whose request has ended.
var errClosed = errors.New("the request has ended")

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
func (s *Share) WriteBody(w io.Writer, data []byte) { _, _ = s.writePieces(w, data) }

func (s *Share) writePieces(w io.Writer, data []byte) (written int, err error) {
	for written < len(data) {
		n, err := w.Write(data[written:min(len(data), written+writeBytes)])
		written += n
		s.Progress(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
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
	s.budget.answers.Add(-s.answers.Swap(0))
	s.mu.Unlock()
	s.budget.mu.Lock()
	delete(s.budget.shares, s.id)
	s.budget.mu.Unlock()
	s.release()
	if s.begun.Swap(false) {
		s.budget.running.Add(-1)
	}
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
