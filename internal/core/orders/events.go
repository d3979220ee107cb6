package orders

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// Kind names what an order sets.
type Kind string

// The kinds of order that model engines take.
const (
	SetModel   Kind = "set-model"
	SetAdapter Kind = "set-adapter"
	SetVersion Kind = "set-version"
	SetRole    Kind = "set-role"
	SetLeaving Kind = "set-leaving"
)

// Event is something that happened to the dispatcher.
type Event interface{ isEvent() }

// Led reports that this replica was elected leader of a term.
type Led struct{ Term uint64 }

// Leased reports that the lease of a term holds until a time on this
// replica's clock. It must be counted from when the heartbeats were sent.
type Leased struct {
	Term  uint64
	Until time.Duration
}

// SteppedDown reports that this replica no longer leads.
type SteppedDown struct{}

// Desired gives the conditions that a backend server shall have. Kinds that
// are missing are left as they are.
type Desired struct {
	Server     string
	Fencing    fleet.Fencing
	Conditions map[Kind]string
}

// Removed ends the dispatcher's interest in a backend server.
type Removed struct{ Server string }

// Answer is the result of a Send.
type Answer struct {
	Server   string
	Sequence uint64
	Result   Result
	// Highest is the fencing number that refused the order.
	Highest uint64
}

// Result says how a backend server answered an order.
type Result uint8

// The results. After a failure the order may have been applied.
const (
	ResultFailed Result = iota
	ResultApplied
	ResultRefused
)

// Current is the answer to a Read.
type Current struct {
	Server   string
	Sequence uint64
	OK       bool
	// Highest is the highest fencing number that the server has seen.
	Highest    uint64
	Conditions map[Kind]string
}

// Tick lets the dispatcher act on the passing of time.
type Tick struct{}

func (Led) isEvent()         {}
func (Leased) isEvent()      {}
func (SteppedDown) isEvent() {}
func (Desired) isEvent()     {}
func (Removed) isEvent()     {}
func (Answer) isEvent()      {}
func (Current) isEvent()     {}
func (Tick) isEvent()        {}

// Effects is what the caller must do after a step, at once.
type Effects struct {
	Reads []Read
	Sends []Send
	// StepDown is the higher fencing number that a backend server has seen.
	// Zero means none. The replica must give up leading.
	StepDown uint64
}

// Read asks a backend server for its conditions.
type Read struct {
	Server   string
	Sequence uint64
	Deadline time.Duration
}

// Send is one order. It must not be handed over after Deadline, and it must be
// cancelled by then.
type Send struct {
	Server   string
	Sequence uint64
	// Fencing is the leader's term.
	Fencing  uint64
	Kind     Kind
	Value    string
	Deadline time.Duration
}
