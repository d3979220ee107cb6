// Package admission decides when, and whether, a request may run.
//
// A Controller is a state machine without I/O: events go into Step with the
// current time, and Step returns which requests to admit and which to refuse.
// Every request that arrived is admitted, refused or cancelled exactly once.
// Requests wait in weighted fair queues per customer, by estimated tokens, and
// in order of deadline within a customer. A request that can't meet its
// deadline is refused at once. It is not safe for concurrent use.
package admission

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// promptTokensPerOutput is how many prompt tokens take as long as one token of
// the answer.
const promptTokensPerOutput = 10

// Work returns a request's work in tokens of the answer: a prompt token is
// worked through about ten times as fast. Limits, queues and estimates count in
// this unit.
func Work(promptTokens, outputTokens int) int {
	prompt := (max(0, promptTokens) + promptTokensPerOutput - 1) / promptTokensPerOutput
	return prompt + max(0, outputTokens)
}

// Event is something that happened. The types below implement it.
type Event interface{ isEvent() }

// Arrive is a new request. IDs must be unique among the requests that have not
// finished; an Arrive with an ID in use is ignored.
type Arrive struct {
	ID       uint64
	Customer string
	Service  string
	// Short marks requests that must not wait behind long ones.
	Short bool
	// EstimatedTokens is the estimated work as Work gives it. It counts as at
	// least one.
	EstimatedTokens int
	// FirstTokenBy is when the first token is due for the latency target, or
	// the whole answer of an application service; zero means no target.
	FirstTokenBy time.Duration
	// Deadline is when the caller gives up; zero means no deadline.
	Deadline time.Duration
	// QueueLimit lowers Options.QueueLimit for this request if positive.
	QueueLimit int
}

// FirstToken says that an admitted request delivered its first token.
type FirstToken struct{ ID uint64 }

// Finished says that an admitted request ended after the given work, as Work
// gives it.
type Finished struct {
	ID     uint64
	Tokens int
}

// Cancelled says that the request is no longer wanted or that it failed. It
// may be queued or admitted.
type Cancelled struct{ ID uint64 }

// Capacity sets what this entry may use of a service at a time.
type Capacity struct {
	Service string
	// Slots is the number of requests in flight; zero means none.
	Slots int
	// TokensPerSecond is the rate with all slots in use, as a first estimate;
	// zero if it is not known.
	TokensPerSecond float64
}

// Customers replaces the customers and their limits.
type Customers struct{ Customers []fleet.Customer }

// LiveEntries says how many entries share the limits.
type LiveEntries struct {
	// Entries counts every entry that may still admit requests, this one
	// included. An unreachable entry counts until it is known to have ended.
	Entries int
	// Rank is this entry's position among them, in an order that all entries
	// agree on, from zero.
	Rank int
	// Confirmed is true if every entry that does not count is known to have
	// stopped. Shares shrink in any case; they grow, from nothing at the
	// start, only if it is set. A caller that can't know passes the largest
	// number of entries that there can be.
	Confirmed bool
}

// Tick lets time pass. Ticks must go on while requests wait.
type Tick struct{}

func (Arrive) isEvent()      {}
func (FirstToken) isEvent()  {}
func (Finished) isEvent()    {}
func (Cancelled) isEvent()   {}
func (Capacity) isEvent()    {}
func (Customers) isEvent()   {}
func (LiveEntries) isEvent() {}
func (Tick) isEvent()        {}

// Reason says why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonUnknownCustomer Reason = iota + 1
	ReasonRequestLimit
	ReasonTokenLimit
	ReasonInFlightLimit
	ReasonQueueFull
	ReasonNoCapacity
	ReasonDeadline
	ReasonTarget
)

var reasonNames = [...]string{"", "unknown-customer", "request-limit", "token-limit", "in-flight-limit", "queue-full", "no-capacity", "deadline", "latency-target"}

// String returns the reason as it is logged and counted.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Admit lets a request run now.
type Admit struct {
	ID uint64
	// Waited is the time since it arrived.
	Waited time.Duration
}

// Refuse ends a request that did not run.
type Refuse struct {
	ID     uint64
	Reason Reason
	// RetryAfter is when another try may succeed; zero if none can.
	RetryAfter time.Duration
}

// Effects is what the caller must carry out. The slices are valid until the
// next call of Step.
type Effects struct {
	Admit  []Admit
	Refuse []Refuse
}

// Options configures a Controller. Zero values select the defaults.
type Options struct {
	Seed uint64
	// QueueLimit bounds the requests that wait.
	QueueLimit int
	// GrowAfter is the time in which every entry has seen a change of the
	// live entries. Shares grow only after it; a new entry's limited
	// customers have no share until then. Negative means at once.
	GrowAfter time.Duration
}

// The defaults of Options.
const (
	DefaultQueueLimit = 1024
	DefaultGrowAfter  = 2 * time.Second
)

// The bounds of Refuse.RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)
