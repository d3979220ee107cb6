package placement

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one result in the share of failed attempts.
	failureWeight = 0.15
	// failurePenalty is added to the score of a server whose attempts all fail, in
	// milliseconds. It exceeds any usual wait and is finite, so that servers are
	// still used if all of them fail.
	failurePenalty = 3000.0
	// failureHalfLife is the half-life of the share of failed attempts. It lets a
	// failing server be tried again.
	failureHalfLife = 2 * time.Second
)

// health tracks the results of attempts at a server, independently of the server's
// own health checks.
type health struct {
	// failures is the decaying share of failed attempts.
	failures float64
	at       time.Duration
}

func (h *health) decayed(now time.Duration) float64 {
	return h.failures * math.Exp2(-float64(max(now-h.at, 0))/float64(failureHalfLife))
}

// record adds the result of an attempt. A single failure has little weight; a few
// in a row make the server avoided.
func (h *health) record(now time.Duration, result Result) {
	failed := 0.0
	switch result {
	case ResultUnreachable:
		failed = 3
	case ResultFailed:
		failed = 1
	case ResultAbandoned, ResultRefused:
		return
	}
	h.failures = math.Min(h.decayed(now)+failureWeight*(failed-h.decayed(now)), 1)
	h.at = now
}

// Counts holds the numbers of attempts by result, for attempts that another entry
// does not report individually.
type Counts struct {
	Answered, Failed, Unreachable int
}

// recordCounts adds several results, alternating between the kinds of result as
// their order is not known.
func (h *health) recordCounts(now time.Duration, counts Counts) {
	remaining := map[Result]int{ResultAnswered: counts.Answered, ResultFailed: counts.Failed, ResultUnreachable: counts.Unreachable}
	for left := min(counts.Answered+counts.Failed+counts.Unreachable, maxRecorded); left > 0; {
		for _, result := range []Result{ResultUnreachable, ResultFailed, ResultAnswered} {
			if remaining[result] > 0 {
				remaining[result]--
				left--
				h.record(now, result)
			}
		}
	}
}

// maxRecorded bounds the results that one call of recordCounts adds; results before
// the last 64 would have no noticeable weight.
const maxRecorded = 64

// penalty returns the addition to the server's score, in milliseconds. It grows
// with the square of the share of failed attempts.
func (h *health) penalty(now time.Duration) float64 {
	share := h.decayed(now)
	return failurePenalty * share * share
}
