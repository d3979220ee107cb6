package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/wire"
)

// Values of the label result of config_fetches_total.
const (
	fetchConfirmed   = "confirmed"
	fetchUnconfirmed = "unconfirmed"
	fetchTimedOut    = "timeout"
	fetchUnreachable = "unreachable"
	fetchRefused     = "refused"
)

// errUnconfirmed is the failure of a replica that answered, but not as a leader
// that a quorum confirms.
var errUnconfirmed = errors.New("answered without a quorum's confirmation")

// noSource is the source's address before the first confirmation, and
// errNoSource the failure of an entry that starts without one.
const noSource = ""

var errNoSource = errors.New("no replica confirmed the first configuration in time")

// configSource is the replica that last confirmed the configuration by a
// quorum. It produces one line in the log when the entry loses the source and
// one when it has a source again.
type configSource struct {
	mu      sync.Mutex
	address string
	// lost is true while no replica has confirmed since the source failed.
	lost bool
	// confirmedAt is when a replica last confirmed, as time since the entry's
	// start; zero if none ever did.
	confirmedAt time.Duration
}

// current returns the address of the source, or noSource if it failed or there
// was none yet.
func (s *configSource) current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return noSource
	}
	return s.address
}

// sourceConfirmed records that a replica confirmed the configuration.
func (h *configHolder) sourceConfirmed(address string) {
	s := &h.source
	s.mu.Lock()
	defer s.mu.Unlock()
	now := h.entry.now()
	if s.lost {
		h.entry.logger.Info().Str("step", "fetch config").Str("peer", address).Str("previous", s.address).
			Int64("unconfirmed_ms", (now - s.confirmedAt).Milliseconds()).Msg("a replica confirms the configuration again")
	}
	s.address, s.lost, s.confirmedAt = address, false, now
}

// sourceFailed records that a replica did not confirm the configuration. It has
// an effect only if that replica is the source.
func (h *configHolder) sourceFailed(address string, err error) {
	s := &h.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost || s.address != address {
		return
	}
	s.lost = true
	h.entry.logger.Warn().Str("step", "fetch config").Str("peer", address).
		Int64("unconfirmed_ms", (h.entry.now() - s.confirmedAt).Milliseconds()).Err(err).Msg("the replica that confirmed the configuration no longer does")
}

// fetchResult returns the kind of a call's result.
func fetchResult(response *wire.FetchConfigResponse, err error) string {
	var twerr twirp.Error
	switch {
	case err == nil && response.Confirmed:
		return fetchConfirmed
	case err == nil:
		return fetchUnconfirmed
	case errors.Is(err, context.DeadlineExceeded):
		return fetchTimedOut
	case errors.As(err, &twerr) && twerr.Code() != twirp.Internal:
		return fetchRefused
	default:
		return fetchUnreachable
	}
}
