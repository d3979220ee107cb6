// Package placement picks the backend server for each attempt from the attempts
// that all entries have placed, not only those of this entry.
//
// Entries tell each other immediately where an attempt was sent, when its answer
// began and when it ended. From these events a Placer computes the work queued at
// each server, the requests running there and the prompt parts in its cache. Load
// reports of the servers are older than these events when they arrive, and entries
// that act on the same report send their requests to the same server.
//
// Load pattern: bursts of prompts from many entries, with lengths that differ by a
// factor of 100. A long prompt delays the requests queued behind it, so the others
// must go to other servers until it has been read.
//
// The package does no I/O and is not safe for concurrent use.
package placement

import "time"

// Server is a backend server that attempts can be placed on.
type Server struct {
	Name    string
	Service string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// CacheTokens is the server's memory for running requests and cached prompt
	// parts. It is zero for servers that read no prompts.
	CacheTokens int
	// Delay is the one-way network delay from this entry's zone.
	Delay time.Duration
	// Leaving is true if the list says that the server must not get new requests.
	Leaving bool
	// Version is the version of the server's software.
	Version string
}

// Part is a segment at the beginning of a prompt that other requests share.
type Part struct {
	// Chain is a hash of this part and all parts before it.
	Chain uint64
	// Tokens is the length of this part alone.
	Tokens int
}

// RequestSize is the size of a request in tokens.
type RequestSize struct {
	PromptTokens int
	OutputTokens int
	// Parts are the shared parts in prompt order.
	Parts []Part
}

// sharedTokens returns the total length of the shared parts.
func (s *RequestSize) sharedTokens() int {
	tokens := 0
	for _, part := range s.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// Request describes an attempt to place.
type Request struct {
	Service string
	Size    RequestSize
	// Exclude lists the servers that must not be picked.
	Exclude []string
	// Pinned is true if only servers of Version may be picked: the request goes on
	// with a stream that began there.
	Pinned  bool
	Version string
	// Barred lists the versions at whose servers the request must not be placed.
	Barred []string
	// Limiter, if set, limits the servers' requests, and Rank is the request's rank there.
	Limiter Limiter
	Rank    int
	// Begins is true if a stream begins that may go on at another server of the
	// version at which it began.
	Begins bool
	// Contended is true while requests of the service lack room. Servers are then compared by when they serve
	// requests of the rank, and not all entries choose the same one.
	Contended bool
}

// Limiter tells which servers may get a request now, beside those that leave or pause.
type Limiter interface {
	// Takes reports whether a request of a rank may be sent to a server; 0 is the most urgent
	// rank.
	Takes(now time.Duration, instance string, rank int) bool
	// Want records a request that would be sent to a server.
	Want(now time.Duration, instance string, rank int)
}

// Decision is the picked server with the prediction for it.
type Decision struct {
	Server string
	// Version is the version of the server's software.
	Version string
	// StartDelay is the predicted time from now until the answer begins.
	StartDelay time.Duration
	// UncachedTokens is the number of prompt tokens that the server has to read
	// because they are not expected in its cache.
	UncachedTokens int
	// Waiting is the work already queued at the server, in tokens.
	Waiting float64
	// Running is the number of requests known to run at the server.
	Running int
}

// JobID identifies an attempt among those of all entries.
type JobID struct {
	// Origin is the incarnation of the entry process that placed the attempt.
	Origin uint64
	Number uint64
}

// Job is a placed attempt.
type Job struct {
	ID     JobID
	Server string
	// Work is the work that precedes the beginning of the answer, in tokens.
	Work float64
	// Memory is the number of tokens that the job occupies in the server's memory
	// while it runs.
	Memory int
	Parts  []Part
	// UncachedTokens is the number of prompt tokens that were not expected in the cache.
	UncachedTokens int
	// Rank is the attempt's rank at its server; 0 is the most urgent and the one of attempts of
	// entries that don't announce it.
	Rank int
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultAnswered Result = iota
	// ResultUnreachable means that no connection was made.
	ResultUnreachable
	// ResultFailed means that the server failed or ended the answer early.
	ResultFailed
	// ResultRefused means that the server refused the request without running it.
	ResultRefused
	// ResultAbandoned means that the caller or the entry abandoned the attempt.
	ResultAbandoned
)
