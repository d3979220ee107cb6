package placement

import "time"

const (
	// A caller of a stream leaves if no event arrives for the longest of
	// minPatience, targetFactor times the target of the answer's beginning, and
	// gapFactor times the longest allowed gap between events.
	minPatience  = 2 * time.Second
	targetFactor = 4
	gapFactor    = 8
	// patienceMargin is the part of the caller's patience that a prediction may use
	// up, as predictions are inexact.
	patienceMargin = 0.8
	// minRetryAfter and maxRetryAfter bound the result of RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Patience returns the latest predicted beginning of an answer, measured from now,
// at which its request is still worth sending. After that the caller is expected to
// have left, and the work would only delay other requests. The argument left is the
// time until the caller's deadline.
func Patience(stream bool, target, gap, left time.Duration) time.Duration {
	patience := left
	if stream {
		patience = min(left, max(minPatience, targetFactor*target, gapFactor*gap))
	}
	return time.Duration(patienceMargin * float64(patience))
}

// RetryAfter returns the time after which an answer that is now predicted to begin
// after expected could begin within its target if no other requests arrived.
func RetryAfter(expected, target time.Duration) time.Duration {
	return min(max(expected-target, minRetryAfter), maxRetryAfter)
}
