// Package configsource keeps track of the replica that last confirmed an entry's configuration.
package configsource

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/twitchtv/twirp"
)

// Results of calls to replicas for the configuration.
const (
	FetchConfirmed   = "confirmed"
	FetchUnconfirmed = "unconfirmed"
	FetchTimedOut    = "timeout"
	FetchUnreachable = "unreachable"
	FetchRefused     = "refused"
)

// ErrUnconfirmed is the failure of a replica that answered, but not as a leader
// that a quorum confirms.
var ErrUnconfirmed = errors.New("answered without a quorum's confirmation")

// None is the source's address before the first confirmation, and
// ErrNone the failure of an entry that starts without one.
const None = ""

var ErrNone = errors.New("no replica confirmed the first configuration in time")

// Source is the replica that last confirmed the configuration by a
// quorum. It produces one line in the log when the entry loses the source and
// one when it has a source again. The zero value has no source. It is safe for concurrent use.
type Source struct {
	mu      sync.Mutex
	address string
	// lost is true while no replica has confirmed since the source failed.
	lost bool
	// confirmedAt is when a replica last confirmed, as time since the entry's
	// start; zero if none ever did.
	confirmedAt time.Duration
}

// Current returns the address of the source, or None if it failed or there
// was none yet.
func (s *Source) Current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return None
	}
	return s.address
}

// Confirmed records that a replica confirmed the configuration.
func (s *Source) Confirmed(logger *log.Logger, now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		logger.Info().Str("step", "fetch config").Str("peer", address).Str("previous", s.address).
			Int64("unconfirmed_ms", (now - s.confirmedAt).Milliseconds()).Msg("a replica confirms the configuration again")
	}
	s.address, s.lost, s.confirmedAt = address, false, now
}

// Failed records that a replica did not confirm the configuration. It has
// an effect only if that replica is the source.
func (s *Source) Failed(logger *log.Logger, now time.Duration, address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || s.address != address {
		return
	}
	s.lost = true
	logger.Warn().Str("step", "fetch config").Str("peer", address).
		Int64("unconfirmed_ms", (now - s.confirmedAt).Milliseconds()).Err(err).Msg("the replica that confirmed the configuration no longer does")
}

// Result returns the kind of a call's result.
func Result(confirmed bool, err error) string {
	var twerr twirp.Error
	switch {
	case err == nil && confirmed:
		return FetchConfirmed
	case err == nil:
		return FetchUnconfirmed
	case errors.Is(err, context.DeadlineExceeded):
		return FetchTimedOut
	case errors.As(err, &twerr) && twerr.Code() != twirp.Internal:
		return FetchRefused
	default:
		return FetchUnreachable
	}
}
