package entry

import (
	"context"
	"net/http"
	"time"

	"waxwingcart/internal/core/request"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Timing of reservations.
const (
	reserveTimeout  = 3 * time.Second
	recordTimeout   = 3 * time.Second
	recordRetryTime = time.Minute
	attemptTimeout  = time.Second
	inFlightRetry   = time.Second
)

// reservation is a request's claim to its idempotency key.
type reservation struct {
	key     *wire.RecordKey
	owner   *wire.NodeID
	request *wire.ReserveRequest
}

func newReservation(r *run, key string, digest [32]byte) *reservation {
	recordKey := &wire.RecordKey{Customer: r.customer.Name, Service: r.service.Name, Key: key}
	owner := &wire.NodeID{Vm: r.entry.opts.VM, Incarnation: r.entry.incarnation}
	return &reservation{
		key:   recordKey,
		owner: owner,
		request: &wire.ReserveRequest{
			Key:          recordKey,
			Digest:       digest[:],
			Owner:        owner,
			OwnerAddress: r.entry.opts.PeerAddress,
			RequestId:    r.id,
			RetentionMs:  milliseconds(r.policy.RetentionS * 1000).Milliseconds(),
		},
	}
}

// reserve commits the reservation and posts the answer. It never dispatches:
// the request does so only if the grant reaches it in time.
func (r *run) reserve() {
	ctx, cancel := context.WithTimeout(context.Background(), min(reserveTimeout, max(r.deadline-r.entry.now(), time.Millisecond)))
	defer cancel()
	began := time.Now()
	result := r.tryReserve(ctx)
	r.entry.metrics.reservation.WithLabelValues(reserveName(result.Result)).Observe(time.Since(began).Seconds())
	r.post(result)
}

func (r *run) tryReserve(ctx context.Context) request.Reserved {
	response, err := r.callReserve(ctx)
	if err != nil {
		r.entry.logger.Warn().Str("step", "reserve").Str("request", r.id).Err(err).Msg("no reservation")
		return request.Reserved{Result: request.ReserveFailed, RetryAfter: request.DefaultRetryAfter}
	}
	if response.State != wire.RecordState_RECORD_STATE_RESERVED || response.Granted || response.Mismatch {
		return r.reserved(response)
	}
	if r.resolveOwner(ctx, response) != ownerAbandoned {
		return r.afterOwner(ctx)
	}
	again, err := r.callReserve(ctx)
	if err != nil {
		return request.Reserved{Result: request.ReserveFailed, RetryAfter: request.DefaultRetryAfter}
	}
	return r.reserved(again)
}

// afterOwner reads the record again, for its owner may have ended meanwhile.
func (r *run) afterOwner(ctx context.Context) request.Reserved {
	response, err := r.callReserve(ctx)
	if err != nil {
		return request.Reserved{Result: request.ReserveInFlight, RetryAfter: inFlightRetry}
	}
	return r.reserved(response)
}

func (r *run) callReserve(ctx context.Context) (*wire.ReserveResponse, error) {
	return rpc.Call(ctx, r.entry.replicas, "reserve", func(ctx context.Context, stub wire.Replica) (*wire.ReserveResponse, error) {
		return stub.Reserve(ctx, r.reservation.request)
	})
}

func (r *run) reserved(response *wire.ReserveResponse) request.Reserved {
	switch {
	case response.Mismatch:
		return request.Reserved{Result: request.ReserveMismatch}
	case response.Granted:
		return request.Reserved{Result: request.ReserveGranted}
	}
	switch response.State {
	case wire.RecordState_RECORD_STATE_ANSWERED:
		r.replay = answerFromWire(response.Answer)
		if response.Answer.GetTruncated() {
			return request.Reserved{Result: request.ReserveUnknown}
		}
		return request.Reserved{Result: request.ReserveAnswered}
	case wire.RecordState_RECORD_STATE_UNKNOWN:
		return request.Reserved{Result: request.ReserveUnknown}
	case wire.RecordState_RECORD_STATE_EXPIRED:
		return request.Reserved{Result: request.ReserveExpired}
	default:
		return request.Reserved{Result: request.ReserveInFlight, RetryAfter: inFlightRetry}
	}
}

func reserveName(result request.ReserveResult) string {
	switch result {
	case request.ReserveGranted:
		return "granted"
	case request.ReserveAnswered:
		return "answered"
	case request.ReserveInFlight:
		return "in-flight"
	case request.ReserveMismatch:
		return "mismatch"
	case request.ReserveUnknown:
		return "unknown"
	case request.ReserveExpired:
		return "expired"
	default:
		return "failed"
	}
}

// ownerState is what became of a reservation's owner.
type ownerState uint8

const (
	// ownerBusy: the owner still works on it, or can't be reached.
	ownerBusy ownerState = iota
	// ownerAbandoned: the owner never dispatched and never will.
	ownerAbandoned
	// ownerGone: the owner's process ended, or forgot the request.
	ownerGone
)

// resolveOwner asks the owner of a reservation how far it got, and records
// what that settles.
func (r *run) resolveOwner(ctx context.Context, response *wire.ReserveResponse) ownerState {
	state := r.askOwner(ctx, response)
	record := &wire.RecordRequest{Key: r.reservation.key, Owner: response.Owner, RequestId: response.RequestId}
	switch state {
	case ownerAbandoned:
		record.State = wire.RecordState_RECORD_STATE_NOT_RUN
	case ownerGone:
		record.State = wire.RecordState_RECORD_STATE_UNKNOWN
	default:
		return state
	}
	if _, err := r.entry.callRecord(ctx, record); err != nil {
		return ownerBusy
	}
	return state
}

func (r *run) askOwner(ctx context.Context, response *wire.ReserveResponse) ownerState {
	call, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	ask := &wire.AttemptRequest{Key: r.reservation.key, RequestId: response.RequestId}
	stub := wire.NewPeerProtobufClient("http://"+response.OwnerAddress, r.entry.opts.Client)
	attempt, err := stub.Attempt(call, ask)
	if err != nil {
		return ownerBusy
	}
	if attempt.Owner.GetVm() != response.Owner.GetVm() {
		return ownerBusy
	}
	if attempt.Owner.GetIncarnation() != response.Owner.GetIncarnation() {
		return ownerGone
	}
	switch attempt.State {
	case wire.AttemptState_ATTEMPT_STATE_ABANDONED:
		return ownerAbandoned
	case wire.AttemptState_ATTEMPT_STATE_ABSENT:
		return ownerGone
	default:
		return ownerBusy
	}
}

// record commits the outcome. A success is answered only after the commit, but
// the caller is not kept waiting for a quorum that can't be had.
func (r *run) record(e request.Record) {
	record := &wire.RecordRequest{Key: r.reservation.key, Owner: r.reservation.owner, RequestId: r.id}
	switch e.Kind {
	case request.OutcomeAnswered:
		record.State = wire.RecordState_RECORD_STATE_ANSWERED
		record.Answer = answerToWire(r.answer, r.policy.AnswerLimitBytes)
	case request.OutcomeNotRun:
		record.State = wire.RecordState_RECORD_STATE_NOT_RUN
	default:
		record.State = wire.RecordState_RECORD_STATE_UNKNOWN
	}
	go r.commitRecord(record)
}

// commitRecord keeps trying after the caller was answered, so that a later
// duplicate finds the outcome.
func (r *run) commitRecord(record *wire.RecordRequest) {
	ctx, cancel := context.WithTimeout(r.entry.ctx, recordTimeout)
	_, err := r.entry.callRecord(ctx, record)
	cancel()
	r.post(request.Recorded{OK: err == nil})
	if err == nil {
		return
	}
	r.entry.logger.Warn().Str("step", "record").Str("request", r.id).Err(err).Msg("outcome not committed yet")
	ctx, cancel = context.WithTimeout(r.entry.ctx, recordRetryTime)
	defer cancel()
	if _, err := r.entry.callRecord(ctx, record); err != nil {
		r.entry.logger.Error().Str("step", "record").Str("request", r.id).Err(err).Msg("outcome lost; duplicates get unknown")
	}
}

func (e *Entry) callRecord(ctx context.Context, record *wire.RecordRequest) (*wire.RecordResponse, error) {
	return rpc.Call(ctx, e.replicas, "record", func(ctx context.Context, stub wire.Replica) (*wire.RecordResponse, error) {
		return stub.Record(ctx, record)
	})
}

func answerToWire(a *answer, limit int64) *wire.Answer {
	w := &wire.Answer{Status: int32(a.status), Body: a.body}
	for name, values := range a.header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			w.Headers = append(w.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	if int64(len(w.Body)) > limit {
		w.Body, w.Truncated = nil, true
	}
	return w
}

func answerFromWire(w *wire.Answer) *answer {
	a := &answer{status: int(w.GetStatus()), header: make(http.Header), body: w.GetBody()}
	for _, header := range w.GetHeaders() {
		a.header.Add(header.Name, header.Value)
	}
	return a
}
