package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"waxwingcart/internal/bootclock"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// An entry whose configuration no quorum has confirmed lately does not know whether a newer one has the
// route or the key of a call. It refused such calls for good, though another entry may serve them.
func TestDenialByUnconfirmedConfiguration(t *testing.T) {
	e := newTakeUpEntry(t, &versionEngine{version: "v1"})
	statuses := func() (noRoute, noKey *http.Response) {
		return e.call("/unknown").Result(), e.call("/charged/1").Result()
	}
	noRoute, noKey := statuses()
	if noRoute.StatusCode != http.StatusNotFound || noKey.StatusCode != http.StatusUnauthorized {
		t.Errorf("with a confirmed configuration: got %d without a route and %d without a key, expected 404 and 401", noRoute.StatusCode, noKey.StatusCode)
	}
	e.clock = func() time.Duration { return bootclock.Now() + 3*time.Second }
	noRoute, noKey = statuses()
	for _, response := range []*http.Response{noRoute, noKey} {
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("without a confirmation for 3 s: got %d and Retry-After %q, expected 503 with a delay", response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
	e.config.apply("leader", documentResponse(2))
	if noRoute, _ = statuses(); noRoute.StatusCode != http.StatusNotFound {
		t.Errorf("after the next confirmation: got %d, expected 404", noRoute.StatusCode)
	}
}

// lateReplica confirms a configuration, and its response arrives after a time.
type lateReplica struct {
	fakeReplica
	late func()
}

func (r *lateReplica) FetchConfig(context.Context, *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	r.late()
	return documentResponse(2), nil
}

// A response that arrives late confirms nothing of the time since it was made.
func TestLateResponseDoesNotConfirm(t *testing.T) {
	for late, confirmed := range map[time.Duration]bool{time.Second: true, 5 * time.Second: false} {
		e := newTakeUpEntry(t, &versionEngine{version: "v1"})
		replica := &lateReplica{late: func() { e.clock = func() time.Duration { return bootclock.Now() + late } }}
		e.replicas = rpc.NewReplicas(rpc.NewClient(""), nil)
		response, err := e.config.fetchFromReplica(t.Context(), serveReplica(t, replica), e.config.request(0), rpc.NewProgress())
		if err != nil || response.Confirmed != confirmed {
			t.Errorf("after %v: got confirmed %t, %v, expected %t", late, response.GetConfirmed(), err, confirmed)
		}
	}
}
