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

// health is what attempts say about a server, whatever its own checks say.
type health struct {
	// failures is the share of failed attempts, decaying.
	failures float64
	at       time.Duration
}

func (h *health) decayed(now time.Duration) float64 {
	return h.failures * math.Exp2(-float64(max(now-h.at, 0))/float64(forgiveTime))
}

// note takes the result of an attempt in. One failure is no proof: a few in a
// row are.
func (h *health) note(now time.Duration, result Result) {
	failed := 0.0
	switch result {
	case ResultUnreachable:
		failed = 3
	case ResultFailed:
		failed = 1
	case ResultLeft, ResultRefused:
		return
	}
	h.failures = math.Min(h.decayed(now)+failureWeight*(failed-h.decayed(now)), 1)
	h.at = now
}

// Counts sums up how attempts ended that are not told one by one.
type Counts struct {
	Answered, Failed, Unreachable int
}

// noteAll takes several results in, as if they had come in turns.
func (h *health) noteAll(now time.Duration, counts Counts) {
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
