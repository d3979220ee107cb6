package lineage

import (
	"testing"
	"time"
)

// An entry asks twice after its start and after each gap in its history, and once more
// if the answers don't reach back far enough.
func TestCatchUpIsDue(t *testing.T) {
	var c CatchUp
	if c.Due(0, false, 0) {
		t.Error("due before the first list")
	}
	for question := range maxCatchUps {
		now := time.Duration(question) * catchUpRepeat
		if !c.Due(now, false, 1) {
			t.Errorf("question %d is not due", question)
		}
		if question == 2 && c.Due(now, true, 1) {
			t.Error("a third question is due although the history is complete")
		}
		c.Answered(now, 0, &Snapshot{Reach: time.Minute, Bound: time.Minute})
		if c.Due(now+catchUpRepeat-1, false, 1) {
			t.Errorf("due again right after answer %d", question)
		}
	}
	if c.Due(time.Hour, false, 1) {
		t.Errorf("due after %d answers", maxCatchUps)
	}
	if !c.Due(time.Hour, false, 2) {
		t.Error("not due after a gap")
	}
	now := time.Hour
	for range 20 {
		c.Failed(now)
		if wait := c.next - now; wait > catchUpRepeat || c.Due(now, false, 2) {
			t.Fatalf("due %s after a question without an answer", wait)
		}
		now = c.next
	}
	if !c.Due(now, false, 2) || c.delay != catchUpRepeat {
		t.Errorf("after 20 questions without an answer the delay is %s, expected %s", c.delay, catchUpRepeat)
	}
}

// An entry that has started lately as well, and knows no more, counts as no answer: another
// one is asked soon, until the history is complete.
func TestYoungEntriesAreNoAnswer(t *testing.T) {
	var c CatchUp
	young := &Snapshot{Reach: 2 * time.Second, Bound: 20 * time.Second}
	now := time.Duration(0)
	for question := range 3 {
		if !c.Due(now, false, 1) {
			t.Fatalf("question %d is not due", question)
		}
		c.Answered(now, time.Second, young)
		now += catchUpRepeat / 10
	}
	if c.Answers() != 0 || c.Due(now, true, 1) {
		t.Errorf("got %d answers, or a question is due with a complete history; want none", c.Answers())
	}
	for _, older := range []*Snapshot{{Reach: 20 * time.Second, Bound: 20 * time.Second}, {Reach: 9 * time.Second, Bound: 20 * time.Second}} {
		c = CatchUp{}
		c.Due(0, false, 1)
		if c.Answered(0, time.Second, older); c.Answers() != 1 {
			t.Errorf("an answer that reaches back %s counts as none", older.Reach)
		}
	}
}
