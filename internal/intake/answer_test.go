package intake

import (
	"errors"
	"testing"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/core/intake"
)

// Guards against callers that read none of their long answers: the answers take no more than their own memory, and
// other requests run beside them.
func TestLongAnswersLeaveRoomForRequests(t *testing.T) {
	const size = 1 << 20
	b := newTestBudget(size)
	first, second := b.Open("crowd", newDeadlines(), testRequest), b.Open("crowd", newDeadlines(), testRequest)
	if err := first.Answer().Set(4 * size); err != nil {
		t.Errorf("an answer that is alone: %v", err)
	}
	if err := second.Answer().Set(answerBytes); err != nil {
		t.Errorf("a short answer beside a long one: %v", err)
	}
	b.waitingAnswers.Store(maxWaitingAnswers)
	if err := second.Answer().Set(size); answers.KindOf(err) != answers.KindMemory {
		t.Errorf("a second long answer: got %v, want it to be refused", err)
	}
	first.Close()
	if err := errors.Join(second.Answer().Set(size/2), second.Begin()); err != nil {
		t.Errorf("an answer and a request after the first answer: %v", err)
	}
	second.Close()
	if used, running := b.Used(), b.running.Load(); used != 0 || running != 0 {
		t.Errorf("%d bytes are held and %d requests run after all were closed", used, running)
	}
}

// Guards against requests that run in such numbers that a process has neither the memory nor the descriptors: further
// ones are refused, and run once others have ended or answers that nobody reads have been cut off.
func TestRunningRequestsAreBounded(t *testing.T) {
	const size = 1 << 20
	b := newTestBudget(size)
	var running []*Share
	for {
		s := b.Open("crowd", newDeadlines(), testRequest)
		if err := errors.Join(s.Finish(), s.Begin()); err != nil {
			if !errors.Is(err, ErrBusy) {
				t.Errorf("got %v, want ErrBusy", err)
			}
			break
		}
		running = append(running, s)
	}
	if want := int(intake.TotalSize(size) / intake.RequestMemory); len(running) != want {
		t.Errorf("%d requests run, want %d", len(running), want)
	}
	w := newDeadlines()
	stalled := b.Open("crowd", w, testRequest)
	running[0].Close()
	if err := errors.Join(stalled.Finish(), stalled.Begin()); err != nil {
		t.Fatalf("a request in place of one that has ended: %v", err)
	}
	written := make(chan struct{})
	began := make(chan struct{})
	go func() {
		defer close(written)
		stalled.Write(1, func() { close(began); <-w.written })
		stalled.Close()
	}()
	<-began
	stalled.last.Add(-int64(2 * intake.StallTime))
	if err := b.Open("heirs", newDeadlines(), testRequest).Begin(); err != nil {
		t.Fatalf("a request beside an answer that nobody reads: %v", err)
	}
	<-written
	b.LimitRequests(1)
	if err := b.Open("heirs", newDeadlines(), testRequest).Begin(); !errors.Is(err, ErrBusy) {
		t.Errorf("beyond the limit of requests: got %v, want ErrBusy", err)
	}
}
