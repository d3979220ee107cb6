package lineage

import "time"

const (
	// firstCatchUpDelay is the delay before the next question after a first one without
	// an answer. It doubles with each.
	firstCatchUpDelay = 50 * time.Millisecond
	// catchUpRepeat is the delay before the second question. The streams that begin
	// until the other entries know this one are told to it by nobody.
	catchUpRepeat = 5 * time.Second
	// olderBy is how much further back than this entry's an incomplete history has to reach, so
	// that its entry can know of streams that this one does not.
	olderBy = 5 * time.Second
	// maxCatchUps is the number of answers after which an entry asks no more.
	maxCatchUps = 3
)

// CatchUp is the progress of an entry that lacks records of streams: after its start,
// and after a time in which it read no list.
type CatchUp struct {
	// resets is the count of the history's beginnings that the answers belong to.
	resets  uint64
	answers int
	next    time.Duration
	// delay is the time until the next question after one without an answer.
	delay time.Duration
	// young is true if the latest answer came from an entry that has started lately as well.
	young bool
}

// Due reports whether to ask another entry now.
func (c *CatchUp) Due(now time.Duration, complete bool, resets uint64) bool {
	if resets != c.resets {
		*c = CatchUp{resets: resets, delay: firstCatchUpDelay}
	}
	if resets == 0 || now < c.next || c.answers >= maxCatchUps {
		return false
	}
	return c.answers < 2 && !(c.young && complete) || !complete
}

// Answered records an answer, and how far the history of this entry reached back before it.
// An entry that has started lately may know no more than this one, so that another one is
// asked soon.
func (c *CatchUp) Answered(now, reach time.Duration, answer *Snapshot) {
	if c.young = answer.Reach < answer.Bound && answer.Reach < reach+olderBy; c.young {
		c.Failed(now)
		return
	}
	c.answers++
	c.next = now + catchUpRepeat
}

// Failed delays the next question, for longer each time: the other entries may be of a build
// that can't answer.
func (c *CatchUp) Failed(now time.Duration) {
	c.next = now + c.delay
	c.delay = min(2*c.delay, catchUpRepeat)
}

// Answers returns the number of answers since the history last began.
func (c *CatchUp) Answers() int { return c.answers }
