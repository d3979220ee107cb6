package entry

import (
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/placement"
)

// A pause is kept for the instance that asked for it; values that can't be read, and
// those that ask for none, suspend nothing.
func TestServerPauses(t *testing.T) {
	for _, test := range []struct {
		value, treatment string
		paused           bool
	}{
		{"30", pauseKept, true},
		{"1e300", pauseLimited, true},
		{"-1", pauseIgnored, false},
		{"soon", pauseIgnored, false},
		{"0", "", false},
	} {
		e := newLeavingEntry()
		registry := prometheus.NewRegistry()
		e.metrics = newMetrics(registry)
		e.serverPause(backend.Call{Instance: "a"}, http.Header{"Retry-After": {test.value}})
		got, ok := e.policy.placer.Pick(e.now(), &placement.Request{Service: "models", Exclude: []string{"b"}})
		if ok == test.paused {
			t.Errorf("%q: picked %q, want a pause: %t", test.value, got.Server, test.paused)
		}
		if _, ok := e.policy.placer.Pick(e.now(), &placement.Request{Service: "models"}); !ok {
			t.Errorf("%q: the other server was not picked", test.value)
		}
		if test.treatment == "" {
			continue
		}
		if got := countedPauses(t, registry); len(got) != 1 || got[test.treatment] != 1 {
			t.Errorf("%q: counted %v, want once as %s", test.value, got, test.treatment)
		}
	}
}

// countedPauses returns the numbers of pauses by treatment.
func countedPauses(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counted := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "waxwingcart_entry_server_pauses_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counted[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	return counted
}
