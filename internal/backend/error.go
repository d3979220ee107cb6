package backend

import "fmt"

// Phase says how far an attempt got before it failed.
type Phase int

// The phases. Only PhaseDial and PhaseRefused prove that a request did not run.
const (
	// PhaseDial: no byte of the request was handed to the network.
	PhaseDial Phase = iota + 1
	// PhaseRefused: the server said that it did not start the request.
	PhaseRefused
	// PhaseHandedOver: bytes were handed over and no answer began.
	PhaseHandedOver
	// PhaseSilent: bytes were handed over and then nothing came for too long.
	PhaseSilent
	// PhaseTruncated: the answer began and ended before it was complete.
	PhaseTruncated
	// PhaseInvalid: the answer breaks the protocol, is too large, or belongs
	// to another request.
	PhaseInvalid
	// PhaseAnswered: the server answered with an error status of its own.
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

// String names the phase.
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

// Error is a failed call. It names the step, the server and how far it got.
type Error struct {
	Step  string
	Peer  string
	Phase Phase
	// Status is the HTTP status, if the server gave one.
	Status int
	// RetryAfter is the server's Retry-After header, if it gave one.
	RetryAfter string
	// Highest is the highest fencing number that the server has seen, when it
	// refuses an older order.
	Highest uint64
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %s: %v", e.Step, e.Peer, e.Phase, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
