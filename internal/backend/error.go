package backend

import "fmt"

// Phase is how far an attempt got before it failed.
type Phase int

// The phases. Only PhaseDial and PhaseRefused prove that a request did not run.
const (
	// PhaseDial means that no byte of the request was written to the network.
	PhaseDial Phase = iota + 1
	// PhaseRefused means that the server reported that it did not start the
	// request.
	PhaseRefused
	// PhaseHandedOver means that bytes were written, but no valid response
	// header arrived.
	PhaseHandedOver
	// PhaseSilent means that bytes were written, and then there was no progress
	// within the timeout.
	PhaseSilent
	// PhaseTruncated means that the response ended before it was complete.
	PhaseTruncated
	// PhaseInvalid means that the response violates the protocol, is too large,
	// or belongs to another request.
	PhaseInvalid
	// PhaseAnswered means that the server responded with an error status.
	PhaseAnswered
)

var phaseNames = map[Phase]string{
	PhaseDial:       "dial",
	PhaseRefused:    "refused",
	PhaseHandedOver: "handed-over",
	PhaseSilent:     "silent",
	PhaseTruncated:  "truncated",
	PhaseInvalid:    "invalid",
	PhaseAnswered:   "answered",
}

// String returns the name of the phase.
func (p Phase) String() string {
	if name := phaseNames[p]; name != "" {
		return name
	}
	return fmt.Sprintf("phase-%d", int(p))
}

// NotRun reports whether the phase proves that the request did not run.
func (p Phase) NotRun() bool {
	return p == PhaseDial || p == PhaseRefused
}

// Error is the error of a failed call.
type Error struct {
	Step  string
	Peer  string
	Phase Phase
	// Status is the HTTP status, if there was a response.
	Status int
	// RetryAfter is the Retry-After header of the response, if any.
	RetryAfter string
	// Highest is the highest fencing number that the server has seen, if it
	// refused an order with a lower one.
	Highest uint64
	Err     error
}

// Error returns the step, the server, the phase and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %s: %v", e.Step, e.Peer, e.Phase, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
