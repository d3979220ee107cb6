package entry

import (
	"context"

	"waxwingcart/internal/wire"
)

// maxReleases bounds the queue of reservations to release. One that is dropped
// is settled when a duplicate request asks this entry about it.
const maxReleases = 1024

// releaser releases reservations that may have been committed for requests
// that ended without being dispatched, so that their keys can be used again.
type releaser struct {
	entry *Entry
	queue chan *wire.RecordRequest
}

func newReleaser(e *Entry) *releaser {
	return &releaser{entry: e, queue: make(chan *wire.RecordRequest, maxReleases)}
}

// release queues a record that the request did not run.
func (l *releaser) release(reservation *reservation, requestID string) {
	record := &wire.RecordRequest{
		Key: reservation.key, Owner: reservation.owner, RequestId: requestID,
		State: wire.RecordState_RECORD_STATE_NOT_RUN,
	}
	select {
	case l.queue <- record:
	default:
	}
}

// run commits the queued records one after another, each for as long as it
// takes to reach a quorum.
func (l *releaser) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case record := <-l.queue:
			if _, err := l.entry.callRecord(ctx, record); err != nil {
				l.entry.logger.Warn().Str("step", "release").Str("request", record.RequestId).Err(err).Msg("releasing the reservation of an idempotency key failed")
			}
		}
	}
}
