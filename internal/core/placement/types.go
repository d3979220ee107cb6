// Package placement chooses the backend server for each attempt from what all
// entries have placed, and not only this one.
//
// Entries tell each other at once which request went where, when its answer
// began and when it ended. A Placer adds that up to the work that waits at each
// server, the requests that run there and the prompt parts that its cache holds.
// Reports of a server's load are older than that when they arrive, and many
// entries that read the same report go to the same server.
//
// Load pattern: prompts whose lengths differ by a factor of a hundred, in clumps,
// from many entries. A long one holds back whatever is sent to its server behind
// it; the others have to go elsewhere until it has been read.
//
// The package does no I/O and is not safe for concurrent use.
package placement

import "time"

// Server is a backend server that may get work.
type Server struct {
	Name    string
	Service string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts;
	// zero for servers that read no prompts.
	CacheTokens int
	// Delay is the one-way network delay from this entry's zone.
	Delay time.Duration
	// Leaving is true if the server must get no new work.
	Leaving bool
}

// Part is a leading part of a prompt that other requests share.
type Part struct {
	// Chain is a hash over this part and all before it.
	Chain uint64
	// Tokens is the length of this part.
	Tokens int
}

// Load is the size of a request.
type Load struct {
	PromptTokens int
	OutputTokens int
	// Parts are the shared parts in order.
	Parts []Part
}

// sharedTokens is the length of the shared parts.
func (l *Load) sharedTokens() int {
	tokens := 0
	for _, part := range l.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// Request describes an attempt to place.
type Request struct {
	Service string
	Load    Load
	// Exclude names servers that must not be picked.
	Exclude []string
}

// Decision is the chosen server.
type Decision struct {
	Server string
	// First is when the answer is expected to begin, measured from now.
	First time.Duration
	// Fresh is the number of prompt tokens that the server has to read.
	Fresh int
	// Waiting is the work that waits at the server already, in tokens.
	Waiting float64
	// Running is the number of requests known to run there.
	Running int
}

// JobID names an attempt over all entries.
type JobID struct {
	// Origin is the number of the entry's run that placed it.
	Origin uint64
	Number uint64
}

// Job is a placed attempt.
type Job struct {
	ID     JobID
	Server string
	// Work is what has to be done before its answer begins, in tokens.
	Work float64
	// Memory is the tokens that it keeps in the server's memory while it runs.
	Memory int
	Parts  []Part
	// Fresh is the number of prompt tokens that were not expected in the cache.
	Fresh int
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	ResultAnswered Result = iota
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable
	// ResultFailed means that the server failed or broke off.
	ResultFailed
	// ResultRefused means that the server did not run it: it is full.
	ResultRefused
	// ResultLeft means that the caller or the entry gave it up.
	ResultLeft
	// ResultReplaced means that another server answers at its address.
	ResultReplaced
)
