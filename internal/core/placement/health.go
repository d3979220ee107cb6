package placement

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one result in the share of failures.
	failureWeight = 0.15
	// failurePenalty is added to the score of a server all of whose attempts
	// fail, in milliseconds. It is more than any usual wait, and finite: if all
	// servers fail, they are still used.
	failurePenalty = 3000.0
	// forgiveTime is the time after which half of the failures are forgotten,
	// so that a server is tried again.
	forgiveTime = 2 * time.Second
)

const (
	// firstDown and maxDown bound how long a server that can't be reached is left
	// alone; the time doubles with each try that fails too. The first one is short,
	// as a lost packet looks the same.
	firstDown = 300 * time.Millisecond
	maxDown   = 4 * time.Second
	// fullTime is how long a server that refused work as full is left alone: some
	// answers end meanwhile.
	fullTime = 150 * time.Millisecond
	// replacedTime is how long a server is left alone at whose address another one
	// answers. The list drops it before that.
	replacedTime = 15 * time.Second
)

// health is what attempts say about a server, whatever its own checks say.
//
// Load pattern: a tenth of the servers crash, and the list goes on naming them for
// seconds. Some come back at the same addresses under other names. While the others
// have work waiting, a server without any looks best.
type health struct {
	// failures is the share of failed attempts, decaying.
	failures float64
	at       time.Duration
	// down is how long the server was left alone last, and closedUntil when it may
	// be tried again.
	down        time.Duration
	closedUntil time.Duration
}

func (h *health) decayed(now time.Duration) float64 {
	return h.failures * math.Exp2(-float64(max(now-h.at, 0))/float64(forgiveTime))
}

// note takes the result of an attempt in. One failure is no proof: a few in a
// row are.
func (h *health) note(now time.Duration, result Result) {
	failed := 0.0
	switch result {
	case ResultAnswered:
		h.down = 0
	case ResultUnreachable:
		failed = 3
		h.unreachable(now)
	case ResultFailed:
		failed = 1
	case ResultRefused:
		h.closedUntil = max(h.closedUntil, now+fullTime)
		return
	case ResultReplaced:
		h.closedUntil = max(h.closedUntil, now+replacedTime)
		return
	case ResultLeft:
		return
	}
	h.failures = math.Min(h.decayed(now)+failureWeight*(failed-h.decayed(now)), 1)
	h.at = now
}

// unreachable leaves the server alone for a while. Tries that began before that
// count once.
func (h *health) unreachable(now time.Duration) {
	if now < h.closedUntil {
		return
	}
	h.down = min(max(2*h.down, firstDown), maxDown)
	h.closedUntil = now + h.down
}

// closed reports whether the server is left alone while there are others.
func (h *health) closed(now time.Duration) bool { return now < h.closedUntil }

// Counts sums up how attempts ended that are not told one by one.
type Counts struct {
	Answered, Failed, Unreachable, Refused, Replaced int
}

// noteAll takes several results in, as if they had come in turns.
func (h *health) noteAll(now time.Duration, counts Counts) {
	if counts.Refused > 0 {
		h.note(now, ResultRefused)
	}
	if counts.Replaced > 0 {
		h.note(now, ResultReplaced)
	}
	rest := map[Result]int{ResultAnswered: counts.Answered, ResultFailed: counts.Failed, ResultUnreachable: counts.Unreachable}
	for left := min(counts.Answered+counts.Failed+counts.Unreachable, maxCounted); left > 0; {
		for _, result := range []Result{ResultUnreachable, ResultFailed, ResultAnswered} {
			if rest[result] > 0 {
				rest[result]--
				left--
				h.note(now, result)
			}
		}
	}
}

// maxCounted bounds the results that count at a time; earlier ones have no
// weight any more.
const maxCounted = 64

// penalty grows with the square of the share of failures.
func (h *health) penalty(now time.Duration) float64 {
	share := h.decayed(now)
	return failurePenalty * share * share
}
