package orders

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// Kind identifies the condition that an order sets.
type Kind string

// The kinds of order that model engines accept.
const (
	SetModel   Kind = "set-model"
	SetAdapter Kind = "set-adapter"
	SetVersion Kind = "set-version"
	SetRole    Kind = "set-role"
	SetLeaving Kind = "set-leaving"
)

// Event is an input of the dispatcher.
type Event interface{ isEvent() }

// BecameLeader reports that this replica was elected leader of a term.
type BecameLeader struct{ Term uint64 }

// Leased reports that the lease of a term is valid until a time on this
// replica's clock. The lease must be counted from the time when the heartbeats
// were sent, not from their acknowledgements.
type Leased struct {
	Term  uint64
	Until time.Duration
}

// SteppedDown reports that this replica is no longer leader.
type SteppedDown struct{}

// Desired sets the desired conditions of a backend server. Kinds that are
// missing from Conditions are not managed.
type Desired struct {
	Server     string
	Fencing    fleet.Fencing
	Conditions map[Kind]string
}

// Removed tells the dispatcher to stop managing a backend server.
type Removed struct{ Server string }

// SendResult is the result of a Send.
type SendResult struct {
	Server   string
	Sequence uint64
	Result   Result
	// Highest is the highest fencing number that the backend server has seen,
	// if it refused the order.
	Highest uint64
}

// Result is the outcome of an order.
type Result uint8

// The results. An order with ResultFailed may still have been applied.
const (
	ResultFailed Result = iota
	ResultApplied
	ResultRefused
)

// ReadResult is the result of a Read.
type ReadResult struct {
	Server   string
	Sequence uint64
	// OK is false if the read failed.
	OK bool
	// Highest is the highest fencing number that the backend server has seen.
	Highest    uint64
	Conditions map[Kind]string
}

// Tick lets the dispatcher act on timeouts. It must be passed regularly.
type Tick struct{}

func (BecameLeader) isEvent() {}
func (Leased) isEvent()       {}
func (SteppedDown) isEvent()  {}
func (Desired) isEvent()      {}
func (Removed) isEvent()      {}
func (SendResult) isEvent()   {}
func (ReadResult) isEvent()   {}
func (Tick) isEvent()         {}

// Effects is the output of a step. The caller must carry it out at once.
type Effects struct {
	Reads []Read
	Sends []Send
	// StepDown is not zero if a backend server has seen a fencing number that
	// is higher than this leader's term. It is that number; the replica must
	// step down.
	StepDown uint64
}

// Read asks a backend server for its conditions.
type Read struct {
	Server   string
	Sequence uint64
	Deadline time.Duration
}

// Send is one order. It must not be sent after Deadline, and must be cancelled
// by then.
type Send struct {
	Server   string
	Sequence uint64
	// Fencing is the leader's term.
	Fencing  uint64
	Kind     Kind
	Value    string
	Deadline time.Duration
}
