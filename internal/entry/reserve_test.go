package entry

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/core/request"
	"waxwingcart/internal/wire"
)

const bookingsPath = "/services/desk/bookings"

func newFakeReplica(response *wire.ReserveResponse, err error) *fakeReplica {
	return &fakeReplica{
		reserve: func(*wire.ReserveRequest) (*wire.ReserveResponse, error) { return response, err },
		records: make(chan *wire.RecordRequest, 16),
	}
}

func awaitRecord(t *testing.T, replica *fakeReplica) *wire.RecordRequest {
	t.Helper()
	select {
	case record := <-replica.records:
		return record
	case <-time.After(time.Minute):
		t.Fatal("nothing was recorded")
		return nil
	}
}

// A reservation that may have been committed after its request gave up is
// released, so that the caller, who was told that the request has not run, can
// use the key again.
func TestReservationInDoubtIsReleased(t *testing.T) {
	replica := newFakeReplica(nil, errors.New("no quorum"))
	server := &busyServer{}
	_, address := newReplicaEntry(t, replica, testServer{"desk", server})
	response, body := call(t, http.MethodPost, address+bookingsPath, heirsKey, "{}", headerIdempotencyKey, "k", headerDeadline, "200")
	if response.Header.Get(headerOutcome) != outcomeNotRun || response.Header.Get(headerRetryAfter) == "" {
		t.Fatalf("got status %d, body %s; want the outcome not-run and a Retry-After", response.StatusCode, body)
	}
	record := awaitRecord(t, replica)
	if record.State != wire.RecordState_RECORD_STATE_NOT_RUN || record.RequestId != response.Header.Get(headerRequestID) {
		t.Fatalf("got record %v, want the request recorded as not run", record)
	}
	if calls := server.calls.Load(); calls != 0 {
		t.Fatalf("got %d runs, want none", calls)
	}
}

// A recorded outcome of a key is returned to the caller, and nothing is run.
func TestRecordedKeys(t *testing.T) {
	tests := []struct {
		response *wire.ReserveResponse
		status   int
		outcome  string
		text     string
	}{
		{&wire.ReserveResponse{Mismatch: true}, 422, outcomeNotRun, string(request.ReasonMismatch)},
		{&wire.ReserveResponse{State: wire.RecordState_RECORD_STATE_UNKNOWN}, 409, outcomeUnknown, string(request.ReasonKeyUnknown)},
		{&wire.ReserveResponse{State: wire.RecordState_RECORD_STATE_EXPIRED}, 409, outcomeUnknown, string(request.ReasonKeyExpired)},
		{&wire.ReserveResponse{
			State:  wire.RecordState_RECORD_STATE_ANSWERED,
			Answer: &wire.Answer{Status: 201, Body: []byte("booked"), Headers: []*wire.Header{{Name: "Location", Value: "/b/1"}}},
		}, 201, "", "booked"},
		{&wire.ReserveResponse{
			State:  wire.RecordState_RECORD_STATE_ANSWERED,
			Answer: &wire.Answer{Status: 201, Truncated: true, Headers: []*wire.Header{{Name: "Location", Value: "/b/1"}}},
		}, 409, outcomeUnknown, `"answered":{"status":201,"header":{"Location":["/b/1"]}}`},
	}
	for _, test := range tests {
		server := &busyServer{}
		_, address := newReplicaEntry(t, newFakeReplica(test.response, nil), testServer{"desk", server})
		response, body := call(t, http.MethodPost, address+bookingsPath, heirsKey, "{}", headerIdempotencyKey, "k")
		if response.StatusCode != test.status || response.Header.Get(headerOutcome) != test.outcome || !strings.Contains(body, test.text) {
			t.Errorf("%v: got status %d, outcome %q, body %s", test.response, response.StatusCode, response.Header.Get(headerOutcome), body)
		}
		if calls := server.calls.Load(); calls != 0 {
			t.Errorf("%v: got %d runs, want none", test.response, calls)
		}
	}
}
