// Package answers holds the bounds on what is read from other systems: backend
// servers, the platform and other processes of the deployment. An answer that exceeds
// a bound in bytes, time or memory is treated as one without end.
package answers

import (
	"errors"
	"fmt"
	"time"
)

// Bounds on one answer. Those in bytes count what the reader keeps or skips.
const (
	// MaxHeadBytes bounds the head, together with the interim (1xx) responses
	// before it.
	MaxHeadBytes = 16 << 10
	// MaxHeadLines bounds the header lines of a head.
	MaxHeadLines = 256
	// MaxInterim bounds the interim responses before a head.
	MaxInterim = 16
	// MaxBodyBytes bounds a body that is read as a whole.
	MaxBodyBytes = 16 << 20
	// MaxStreamBytes bounds a stream of events, of which only one is kept.
	MaxStreamBytes = 64 << 20
	// MinRate is the rate in bytes per second at which a part of an answer, which is
	// a head, an event or a body, has to arrive once it has taken SlowTime.
	MinRate = 1 << 10
	// SlowTime is the time that a part may take at any rate.
	SlowTime = 5 * time.Second
	// MaxCountedPause is the longest time without a byte that counts against a
	// part. A server may fall silent and go on: that is bounded by other timeouts.
	MaxCountedPause = 2 * time.Second
)

// Kind names the bound that an answer exceeded.
type Kind string

// The kinds.
const (
	// KindHead is a head that is too long.
	KindHead Kind = "head"
	// KindInterim is a head after too many interim responses.
	KindInterim Kind = "interim"
	// KindFraming is a body whose chunk extensions or trailers are too long.
	KindFraming Kind = "framing"
	// KindEvent is an event that is too long.
	KindEvent Kind = "event"
	// KindBody is a body or stream that is too long.
	KindBody Kind = "body"
	// KindSlow is a part that arrives too slowly.
	KindSlow Kind = "slow"
	// KindMemory is a body or event that is among the longest while all answers
	// together exceed their memory.
	KindMemory Kind = "memory"
)

// Error reports an answer that exceeded a bound.
type Error struct {
	Kind Kind
	// Detail is the bound with its unit.
	Detail string
}

// Error returns the kind and the bound.
func (e *Error) Error() string {
	return fmt.Sprintf("answer without end (%s): %s", e.Kind, e.Detail)
}

// KindOf returns the kind of an answer that exceeded a bound, or "".
func KindOf(err error) Kind {
	var exceeded *Error
	if !errors.As(err, &exceeded) {
		return ""
	}
	return exceeded.Kind
}

// TooLong returns the error of an answer that exceeds a bound in bytes.
func TooLong(kind Kind, limit int64) error {
	return &Error{Kind: kind, Detail: fmt.Sprintf("more than %d bytes", limit)}
}
