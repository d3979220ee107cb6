package entry

import (
	"context"
	"net/http"
	"time"

	"waxwingcart/internal/core/membership"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/wire"
)

// Timing of reservations.
const (
	reserveTimeout = 3 * time.Second
	// noQuorumTimeout replaces reserveTimeout once no quorum has confirmed
	// anything for quorumLostAfter.
	noQuorumTimeout = 300 * time.Millisecond
	quorumLostAfter = 8 * time.Second
	recordTimeout   = 3 * time.Second
	// recordRetryTimeout bounds the second try to commit an outcome, after the
	// caller has been answered.
	recordRetryTimeout = time.Minute
	// A call to the owner's entry waits there up to ownerWait for the end of
	// the request, and may take attemptTimeout in addition. ownerPollDelay is
	// the delay before the next call.
	attemptTimeout     = time.Second
	ownerWait          = time.Second
	ownerPollDelay     = 10 * time.Millisecond
	inFlightRetryAfter = time.Second
)

// reservation is a request's reservation of its idempotency key.
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

// reserve requests the reservation and posts the result. The request itself
// dispatches, and only if the grant arrives in time.
func (r *run) reserve() {
	ctx, cancel := context.WithTimeout(r.callerCtx, max(r.deadline-r.entry.now(), time.Millisecond))
	defer cancel()
	began := time.Now()
	result := r.tryReserve(ctx)
	r.entry.metrics.reservation.WithLabelValues(reserveName(result.Result)).Observe(time.Since(began).Seconds())
	r.post(result)
}

// tryReserve reserves the key or reads its recorded outcome. While another
// request owns the key it waits for that request's end and then tries again.
func (r *run) tryReserve(ctx context.Context) request.Reserved {
	awaitedRequest := ""
	for {
		response, err := r.callReserve(ctx)
		if err != nil {
			r.entry.logger.Warn().Str("step", "reserve").Str("request", r.id).Err(err).Msg("reserving the idempotency key failed")
			return request.Reserved{Result: request.ReserveFailed, RetryAfter: request.DefaultRetryAfter}
		}
		if !ownedElsewhere(response) {
			return r.reserved(response)
		}
		r.post(request.Duplicate{})
		if response.RequestId == awaitedRequest {
			return request.Reserved{Result: request.ReserveInFlight, RetryAfter: inFlightRetryAfter}
		}
		awaitedRequest = response.RequestId
		r.trace.Add(time.Now(), "the key is reserved by request %s at %s", response.RequestId, response.Owner.GetVm())
		state := r.resolveOwner(ctx, response)
		r.trace.Add(time.Now(), "the owner of the key is %s", state)
	}
}

// ownedElsewhere reports whether another request holds the reservation.
func ownedElsewhere(response *wire.ReserveResponse) bool {
	return response.State == wire.RecordState_RECORD_STATE_RESERVED && !response.Granted && !response.Mismatch
}

func (r *run) callReserve(ctx context.Context) (*wire.ReserveResponse, error) {
	timeout := reserveTimeout
	if r.entry.config.unconfirmed() > quorumLostAfter {
		timeout = noQuorumTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.entry.batcher.Reserve(ctx, r.reservation.request)
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
			return request.Reserved{Result: request.ReserveNotKept}
		}
		return request.Reserved{Result: request.ReserveAnswered}
	case wire.RecordState_RECORD_STATE_UNKNOWN:
		return request.Reserved{Result: request.ReserveUnknown}
	case wire.RecordState_RECORD_STATE_EXPIRED:
		return request.Reserved{Result: request.ReserveExpired}
	default:
		return request.Reserved{Result: request.ReserveInFlight, RetryAfter: inFlightRetryAfter}
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
	case request.ReserveNotKept:
		return "not-kept"
	case request.ReserveExpired:
		return "expired"
	default:
		return "failed"
	}
}

// ownerState is the state of the request that owns a reservation.
type ownerState uint8

const (
	// ownerBusy means that the request is still in progress, or that its entry
	// can't be reached.
	ownerBusy ownerState = iota
	// ownerEnded means that the request has ended; its entry records the
	// outcome.
	ownerEnded
	// ownerAbandoned means that the request was never dispatched and will not
	// be.
	ownerAbandoned
	// ownerGone means that the owner's process has ended, or no longer knows
	// the request.
	ownerGone
)

// String returns the state's name for operators.
func (s ownerState) String() string {
	switch s {
	case ownerEnded:
		return "done with it"
	case ownerAbandoned:
		return "done without having dispatched it"
	case ownerGone:
		return "gone"
	default:
		return "busy or out of reach"
	}
}

// resolveOwner waits for the end of the request that holds the reservation,
// and records the outcome if its entry will not.
func (r *run) resolveOwner(ctx context.Context, response *wire.ReserveResponse) ownerState {
	state := r.awaitOwner(ctx, response)
	record := &wire.RecordRequest{Key: r.reservation.key, Owner: response.Owner, RequestId: response.RequestId}
	switch state {
	case ownerAbandoned:
		record.State = wire.RecordState_RECORD_STATE_NOT_RUN
	case ownerGone:
		record.State = wire.RecordState_RECORD_STATE_UNKNOWN
	default:
		return state
	}
	call, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if _, err := r.entry.callRecord(call, record); err != nil {
		return ownerBusy
	}
	return state
}

// awaitOwner asks the owner's entry repeatedly until the request has ended or
// the context ends. Each call waits only briefly, so that the end of the
// owner's process is noticed.
func (r *run) awaitOwner(ctx context.Context, response *wire.ReserveResponse) ownerState {
	for ctx.Err() == nil {
		attempt, err := r.askOwner(ctx, response)
		if err != nil {
			return r.unreachableOwner(response.Owner)
		}
		if state := stateOfOwner(attempt, response.Owner); state != ownerBusy {
			return state
		}
		wait(ctx, ownerPollDelay)
	}
	return ownerBusy
}

func (r *run) askOwner(ctx context.Context, response *wire.ReserveResponse) (*wire.AttemptResponse, error) {
	call, cancel := context.WithTimeout(ctx, ownerWait+attemptTimeout)
	defer cancel()
	stub := wire.NewPeerProtobufClient("http://"+response.OwnerAddress, r.entry.opts.Client)
	return stub.Attempt(call, &wire.AttemptRequest{
		Key:       r.reservation.key,
		RequestId: response.RequestId,
		WaitMs:    ownerWait.Milliseconds(),
	})
}

// stateOfOwner interprets the answer of the process at the owner's address.
func stateOfOwner(attempt *wire.AttemptResponse, owner *wire.NodeID) ownerState {
	if attempt.Owner.GetVm() != owner.GetVm() || attempt.Owner.GetIncarnation() != owner.GetIncarnation() {
		return ownerGone
	}
	switch attempt.State {
	case wire.AttemptState_ATTEMPT_STATE_ABANDONED:
		return ownerAbandoned
	case wire.AttemptState_ATTEMPT_STATE_FINISHED:
		return ownerEnded
	case wire.AttemptState_ATTEMPT_STATE_ABSENT:
		return ownerGone
	default:
		return ownerBusy
	}
}

// unreachableOwner returns ownerGone once the entries consider the owner's VM
// dead. If it is alive after all, the key's outcome stays unknown, which never
// lets the request run twice.
func (r *run) unreachableOwner(owner *wire.NodeID) ownerState {
	for _, member := range r.entry.memberList() {
		if member.Kind == membership.KindEntry && member.VM == owner.GetVm() && member.State == membership.StateDead {
			return ownerGone
		}
	}
	return ownerBusy
}

func (e *Entry) memberList() []membership.Member {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	return e.members.table.Members()
}

// record starts committing the outcome. A success is answered only after the
// commit, but the caller does not wait longer than recordTimeout for a quorum.
func (r *run) record(e request.RecordOutcome) {
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

// commitRecord commits the outcome. It keeps trying after the caller has been
// answered, so that a later duplicate finds the outcome.
func (r *run) commitRecord(record *wire.RecordRequest) {
	ctx, cancel := context.WithTimeout(r.entry.ctx, recordTimeout)
	_, err := r.entry.callRecord(ctx, record)
	cancel()
	r.post(request.Recorded{OK: err == nil})
	if err == nil {
		return
	}
	r.entry.logger.Warn().Str("step", "record").Str("request", r.id).Err(err).Msg("committing the request's outcome failed; retrying")
	ctx, cancel = context.WithTimeout(r.entry.ctx, recordRetryTimeout)
	defer cancel()
	if _, err := r.entry.callRecord(ctx, record); err != nil {
		r.entry.logger.Error().Str("step", "record").Str("request", r.id).Err(err).Msg("committing the request's outcome failed; duplicates of the request get the outcome unknown")
	}
}

func (e *Entry) callRecord(ctx context.Context, record *wire.RecordRequest) (*wire.RecordResponse, error) {
	return e.batcher.Record(ctx, record)
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
