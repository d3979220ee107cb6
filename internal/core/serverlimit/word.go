// Package serverlimit divides the requests that a backend server in need takes from all
// entries together.
//
// A server names a limit of requests a second in its answers, for as long as it is in need.
// The leader holds a bucket for each such server and grants whole requests from it to the
// entries that would send some, ahead of their need. An entry sends a request to the server
// only if it holds one. What an entry doesn't use within a moment goes back, so that the
// requests follow the demand. An entry that hears nothing of a server from a leader uses
// its part of half of the limit.
//
// Answers overtake each other. A stricter word of a server counts at once; a milder one, or
// an answer without the word, counts only if its request was sent after the stricter one
// was read.
//
// Load pattern: one or all of a service's servers take 1 or 2 requests a second where they
// took 20, while the entries' shares of the callers differ by a factor of 10.
//
// All times are durations since an arbitrary start, in the clock of one process; processes
// tell each other ages. The package does no I/O and is not safe for concurrent use.
package serverlimit

import "time"

const (
	// minRate is the lowest rate at which a server gets requests, so that the end of a limit
	// is noticed, in requests a second.
	minRate = 0.25
	// refreshed is the difference by which the same word must be newer to replace one: a
	// told time is late by the way of the message.
	refreshed = 500 * time.Millisecond
	// wordKept is how long a word is kept without another answer.
	wordKept = 10 * time.Minute
	// maxWords bounds the servers of which a process keeps a word.
	maxWords = 4096
)

// Word is what a server last said of its limit.
type Word struct {
	// PerSecond is the number of requests a second from all entries together, or 0 if the
	// server names no limit.
	PerSecond float64
	// Brittle is true if the server falls over when it turns too many requests away. PerSecond is then
	// the rate of requests for which it has room.
	Brittle bool
	// Sent is when the request of the answer was sent, Read when its head was read.
	Sent, Read time.Duration
}

// stricterThan reports whether the word limits more than another one.
func (w Word) stricterThan(other Word) bool {
	return w.PerSecond > 0 && (other.PerSecond == 0 || w.PerSecond < other.PerSecond)
}

// replaces reports whether the word counts in place of a known one.
func (w Word) replaces(known Word) bool {
	switch {
	case w.PerSecond == known.PerSecond && w.Brittle == known.Brittle:
		return w.Read > known.Read+refreshed
	case w.stricterThan(known):
		return w.Read > known.Sent
	default:
		return w.Sent > known.Read
	}
}

// rate returns the rate of requests that the word allows, for a server that names a limit.
func (w Word) rate() float64 { return max(w.PerSecond, minRate) }
