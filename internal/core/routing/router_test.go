package routing

import (
	"testing"

	"waxwingcart/internal/core/fleet"
)

func TestPickSkipsUnusableAndExcluded(t *testing.T) {
	for _, policy := range []fleet.RoutingPolicy{fleet.RouteExpectedCompletion, fleet.RouteRoundRobin, fleet.RouteLeastInFlight} {
		t.Run(string(policy), func(t *testing.T) {
			r := New(Options{Seed: 1})
			r.SetServers([]Server{
				{Name: "a", Service: "s", Slots: 1, TokensPerSecond: 10},
				{Name: "b", Service: "s", Slots: 1, TokensPerSecond: 10},
				{Name: "c", Service: "s", Slots: 1, TokensPerSecond: 10},
			})
			r.SetUsable("a", false)
			request := Request{Service: "s", OutputTokens: 10, Policy: &fleet.Policy{Routing: policy}, Exclude: []string{"b"}}
			for range 10 {
				d, ok := r.Pick(0, request)
				if !ok || d.Server != "c" {
					t.Fatalf("picked %+v", d)
				}
			}
			r.SetUsable("c", false)
			if d, ok := r.Pick(0, request); ok {
				t.Fatalf("picked %+v", d)
			}
		})
	}
}
