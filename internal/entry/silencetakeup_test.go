package entry

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/core/routes"
)

type freeRetrier struct{}

func (freeRetrier) Retry(time.Duration, request.FailedAttempt) (time.Duration, bool) { return 0, true }

// A stream that a caller takes up goes on at its server from the start, so that it does not
// stay at two servers before its first event either.
func TestTakenUpStreamIsNotAtTwoServers(t *testing.T) {
	e := newLeavingEntry()
	config := &configuration{
		routes:   routes.NewIndex(&routes.Table{Services: []routes.Service{{Name: "models"}}}),
		services: map[string]*fleet.Service{"models": {Name: "models", Kind: fleet.ServiceModel}},
	}
	route := &routes.Route{
		Stream: true, Repeatable: true, MaxAttempts: 2, Timeout: time.Minute, Targets: []routes.Target{{Service: "models", Weight: 1}},
	}
	call := Call{RequestID: "id-1", Resumes: true, LastEvent: 4}
	spec := e.newRouted(httptest.NewRequest(http.MethodPost, "/", nil), call, config, route, nil, 0).spec
	r := request.New(spec, freeRetrier{})
	var effects []request.Effect
	for _, ev := range []request.Event{
		request.Start{}, request.Admitted{}, request.Picked{Server: "a"}, request.Silence{Attempt: 1},
		request.ReplacementPicked{Attempt: 1, Server: "b"},
	} {
		effects = r.Step(0, ev)
	}
	if !slices.Contains(effects, request.Effect(request.LimitOverlap{Attempt: 2})) {
		t.Errorf("got %+v for the replacement, expected a limit on the time at two servers", effects)
	}
}
