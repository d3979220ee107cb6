// Package admission decides whether and when a request may run.
//
// A Controller is a state machine without I/O: Step takes an event and the
// current time, and returns which requests to admit and which to refuse. Every
// request that arrives is admitted, refused or cancelled exactly once. Requests
// wait in weighted fair queues per customer, which are charged with estimated
// work, and in order of deadline within a customer. A request that can't meet
// its deadline is refused at once. A Controller is not safe for concurrent use.
package admission

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// promptTokensPerOutput is the number of prompt tokens that take as long to
// process as it takes to generate one output token.
const promptTokensPerOutput = 10

// Work returns the work of a request in output tokens. A prompt token counts for
// less because it is processed about ten times as fast as an output token is
// generated. Limits, queues and estimates all use this unit.
func Work(promptTokens, outputTokens int) int {
	prompt := (max(0, promptTokens) + promptTokensPerOutput - 1) / promptTokensPerOutput
	return prompt + max(0, outputTokens)
}

// Event is an input of Controller.Step.
type Event interface{ isEvent() }

// Arrived reports a new request. Its ID must be unique among unfinished requests;
// an Arrived with an ID in use is ignored.
type Arrived struct {
	ID       uint64
	Customer string
	Service  string
	// Short marks requests that must not wait behind long ones.
	Short bool
	// EstimatedTokens is the estimated work in the unit of Work. Values below
	// one count as one.
	EstimatedTokens int
	// FirstTokenBy is the time by which the latency target requires the first
	// token, or the whole answer of an application service; zero means no
	// target.
	FirstTokenBy time.Duration
	// Deadline is the time at which the request fails; zero means no deadline.
	Deadline time.Duration
	// QueueLimit lowers Options.QueueLimit for this request if positive.
	QueueLimit int
}

// FirstToken reports that an admitted request delivered its first token.
type FirstToken struct{ ID uint64 }

// Finished reports that an admitted request ended. Tokens is the work that it
// took, in the unit of Work.
type Finished struct {
	ID     uint64
	Tokens int
}

// Cancelled reports that a queued or admitted request was cancelled or failed.
type Cancelled struct{ ID uint64 }

// Capacity sets the part of a service that this entry may use.
type Capacity struct {
	Service string
	// Slots limits the requests in flight; zero allows none.
	Slots int
	// TokensPerSecond is an initial estimate of the rate with all slots in
	// use; zero if it is not known.
	TokensPerSecond float64
}

// Customers replaces the customers and their limits.
type Customers struct{ Customers []fleet.Customer }

// LiveEntries reports how many entries share the limits.
type LiveEntries struct {
	// Entries counts every entry that may still admit requests, this one
	// included. An unreachable entry counts until it is known to have
	// stopped.
	Entries int
	// Rank is this entry's position among them, counted from zero, in an order
	// that all entries agree on.
	Rank int
	// Confirmed is true if every entry that is not counted is known to have
	// stopped. Shares shrink in any case, but they start at zero and grow only
	// if Confirmed is set. A caller that can't know whether others have stopped
	// passes the largest number of entries there can be.
	Confirmed bool
}

// Tick reports the passage of time. Ticks must continue while requests wait.
type Tick struct{}

func (Arrived) isEvent()     {}
func (FirstToken) isEvent()  {}
func (Finished) isEvent()    {}
func (Cancelled) isEvent()   {}
func (Capacity) isEvent()    {}
func (Customers) isEvent()   {}
func (LiveEntries) isEvent() {}
func (Tick) isEvent()        {}

// Reason is why a request was refused.
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

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Admit admits a request, which runs now.
type Admit struct {
	ID uint64
	// Waited is the time since the request arrived.
	Waited time.Duration
}

// Refuse refuses a request without running it.
type Refuse struct {
	ID     uint64
	Reason Reason
	// RetryAfter is the delay after which a retry may succeed; zero if none
	// can.
	RetryAfter time.Duration
}

// Effects lists the actions that the caller of Step must carry out. The slices
// are valid until the next call of Step.
type Effects struct {
	Admit  []Admit
	Refuse []Refuse
}

// Options configures a Controller. Zero values select the defaults.
type Options struct {
	Seed uint64
	// QueueLimit limits the number of waiting requests.
	QueueLimit int
	// GrowAfter is the time within which every entry sees a change of the
	// live entries. Shares grow only after it, so a new entry has no share of
	// a customer's limits until then. If it is negative, shares grow at once.
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
