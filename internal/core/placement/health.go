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
	// assumedResults is the number of results, with the service's share of failures, that each
	// application server counts with beside its own.
	assumedResults = 5.0
	// usualExcess is the difference of a server's share of failures from its service's that
	// chance explains.
	usualExcess = 0.1
)

// health tracks the results of attempts at a server, independently of the server's
// own health checks.
type health struct {
	// failures is the decaying share of failed attempts.
	failures float64
	at       time.Duration
	// results and failed are the decaying numbers of results and of failures, at
	// the time countedAt.
	results, failed float64
	countedAt       time.Duration
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
	decay := h.decay(now)
	h.results = h.results*decay + 1
	h.failed = h.failed*decay + failed
	h.countedAt = max(h.countedAt, now)
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

// Load pattern: calls that fail now and then at all servers of a service alike. All entries learn of each
// failure at the same moment. If one failure made a server avoided, all of them would
// send their calls to the same other server, which then has more calls than slots.

// decay returns the factor by which the counted results have decayed.
func (h *health) decay(now time.Duration) float64 {
	return math.Exp2(-float64(max(now-h.countedAt, 0)) / float64(failureHalfLife))
}

// failureShare returns the share of failures among the recent results of a service's servers.
func failureShare(now time.Duration, servers []*server) float64 {
	results, failed := 0.0, 0.0
	for _, s := range servers {
		decay := s.health.decay(now)
		results += s.health.results * decay
		failed += s.health.failed * decay
	}
	if results == 0 {
		return 0
	}
	return math.Min(failed/results, 1)
}

// excessPenalty returns the addition to the score of an application server, in milliseconds. It grows
// with the square of the share of failures beyond that of the service.
func (h *health) excessPenalty(now time.Duration, ofService float64) float64 {
	decay := h.decay(now)
	share := (h.failed*decay + assumedResults*ofService) / (h.results*decay + assumedResults)
	excess := math.Min(math.Max(share-ofService-usualExcess, 0), 1)
	return failurePenalty * excess * excess
}
