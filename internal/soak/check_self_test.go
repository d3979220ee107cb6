package soak

import (
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// The history of these tests: document 10 is acknowledged at 1 s, document 12 at 10 s.
const (
	firstAck  = time.Second
	secondAck = 10 * time.Second
)

func newHistory() *History {
	h := &History{
		Entries: []string{"e1"}, Replicas: []string{"r1", "r2", "r3", "r4"}, Runs: make(map[string]int), End: 30 * time.Second,
		Documents: []*Document{
			{Label: "10", Version: 10},
			{Label: "12", Version: 12, Kept: []string{"10"}},
			{Label: "12b", Version: 12, Kept: []string{"10"}},
			{Label: "13x", Version: 13, Kept: []string{"10"}, Flaw: FlawTimeout},
		},
		Acks:     []Ack{{"10", firstAck}, {"12", secondAck}},
		Listings: []Listing{{Service: serviceBase}, {Service: "s10"}, {Service: "s12", From: secondAck}},
	}
	for i, label := range []string{"10", "12", "12b", "13x"} {
		h.Sendings = append(h.Sendings, Sending{Label: label, Replica: "r1", From: firstAck + time.Duration(i)*time.Second, Status: http.StatusOK})
	}
	h.Sendings[3].Status = http.StatusBadRequest
	for _, replica := range h.Replicas {
		h.Reads = append(h.Reads, Read{Replica: replica, From: h.End, Status: http.StatusOK, Label: "12"})
	}
	return h
}

// withoutTwin returns the sendings without that of the second document of version 12.
func withoutTwin(sendings []Sending) []Sending {
	return slices.DeleteFunc(sendings, func(s Sending) bool { return s.Label == "12b" })
}

func observed(at time.Duration, path, key string, status int, service string) Observation {
	return Observation{ID: at.String() + path, Entry: "e1", Incarnation: 1, Method: http.MethodGet, Path: path, Key: key,
		From: at, To: at + time.Millisecond, Status: status, Service: service}
}

// TestCheckDetects checks that each broken promise is found, and that the same
// behaviour is none where the promise does not hold.
func TestCheckDetects(t *testing.T) {
	const ok = http.StatusOK
	away := func(target string, from, to time.Duration) Disturbance {
		return Disturbance{Target: target, What: "pause", Effect: EffectAway, From: from, To: to}
	}
	late := secondAck + applyBound + time.Millisecond
	old := observed(late, pathCurrent, keyBase, ok, "s10")
	for _, test := range []struct {
		name   string
		change func(h *History)
		want   []string
	}{
		{"kept", func(h *History) {
			h.Observations = []Observation{observed(late-2*time.Millisecond, pathCurrent, keyBase, ok, "s10"), observed(late, pathCurrent, keyBase, ok, "s12")}
		}, nil},
		{"late", func(h *History) { h.Observations = []Observation{old} }, []string{promiseBound}},
		{"late, added route unknown", func(h *History) {
			h.Observations = []Observation{observed(late, "/v12/", keyBase, http.StatusNotFound, "")}
		}, []string{promiseBound}},
		{"late, added key unknown", func(h *History) {
			h.Sendings = withoutTwin(h.Sendings)
			h.Observations = []Observation{observed(late, pathBase, keyOf("12"), http.StatusUnauthorized, "")}
		}, []string{promiseBound}},
		{"late at an entry that was paused", func(h *History) {
			h.Observations = []Observation{old}
			h.Disturbances = []Disturbance{away("e1", late-stability, late-stability+time.Millisecond)}
		}, nil},
		{"late long after a pause", func(h *History) {
			h.Observations = []Observation{old}
			h.Disturbances = []Disturbance{away("e1", 0, late-stability-time.Millisecond)}
		}, []string{promiseBound}},
		{"late while another entry is paused", func(h *History) {
			h.Observations = []Observation{old}
			h.Disturbances = []Disturbance{away("e2", late-time.Second, 0)}
		}, []string{promiseBound}},
		{"late while a replica has been away", func(h *History) {
			h.Observations = []Observation{old}
			h.Disturbances = []Disturbance{away("r1", late-stability-time.Millisecond, 0)}
		}, []string{promiseBound}},
		{"late just after a replica went away", func(h *History) {
			h.Observations = []Observation{old}
			h.Disturbances = []Disturbance{away("r1", late-time.Second, 0)}
		}, nil},
		{"later than an unstable core explains", func(h *History) {
			at := late + outerBound
			h.Observations = []Observation{observed(at, pathCurrent, keyBase, ok, "s10")}
			h.Disturbances = []Disturbance{away("r1", at-time.Second, 0)}
		}, []string{promiseBound}},
		{"without a majority", func(h *History) {
			at := late + outerBound
			h.Observations = []Observation{observed(at, pathCurrent, keyBase, ok, "s10")}
			h.Disturbances = []Disturbance{away("r1", secondAck, 0), away("r2", secondAck+time.Second, 0)}
		}, nil},
		{"goes back", func(h *History) {
			h.Observations = []Observation{observed(secondAck, pathCurrent, keyBase, ok, "s12"), observed(secondAck+time.Second, pathCurrent, keyBase, ok, "s10")}
		}, []string{promiseForward}},
		{"goes back after a restart", func(h *History) {
			h.Observations = []Observation{observed(secondAck, pathCurrent, keyBase, ok, "s12"), observed(secondAck+time.Second, pathCurrent, keyBase, ok, "s10")}
			h.Observations[1].Incarnation = 2
		}, nil},
		{"obeys an invalid document", func(h *History) {
			h.Observations = []Observation{observed(secondAck, "/v13x/", keyBase, ok, "s13x")}
		}, []string{promiseValid}},
		{"acknowledges an invalid document", func(h *History) { h.Sendings[3].Status = ok }, []string{promiseValid}},
		{"refuses a valid document", func(h *History) {
			h.Sendings = append(h.Sendings, Sending{Label: "12", Replica: "r2", From: secondAck + time.Second, Status: http.StatusConflict})
		}, []string{promiseAccepted}},
		{"obeys both documents of a version", func(h *History) {
			h.Observations = []Observation{observed(secondAck, pathCurrent, keyBase, ok, "s12"), observed(secondAck+time.Second, pathCurrent, keyBase, ok, "s12b")}
		}, []string{promiseOne}},
		{"does not serve an added route", func(h *History) {
			h.Sendings = withoutTwin(h.Sendings)
			h.Observations = []Observation{observed(late, pathBase, keyBase, ok, serviceBase), observed(late+time.Millisecond, "/v12/", keyBase, http.StatusServiceUnavailable, "")}
		}, []string{promiseServed}},
		{"does not serve a route without a server", func(h *History) {
			h.Sendings = withoutTwin(h.Sendings)
			h.Listings[2].From = secondAck + time.Second
			h.Observations = []Observation{observed(late, pathBase, keyBase, ok, serviceBase), observed(late+time.Millisecond, "/v12/", keyBase, http.StatusServiceUnavailable, "")}
		}, nil},
		{"reads an older document", func(h *History) {
			h.Reads = append(h.Reads, Read{Replica: "r2", From: late, Status: ok, Label: "10"})
			h.Disturbances = []Disturbance{away("r2", late-time.Second, late)}
		}, []string{promiseRead}},
		{"reads an older document within the bound", func(h *History) {
			h.Reads = append(h.Reads, Read{Replica: "r2", From: late - 2*time.Millisecond, Status: ok, Label: "10"})
		}, nil},
		{"reads an unknown document", func(h *History) {
			h.Reads = append(h.Reads, Read{Replica: "r2", From: late, Status: ok})
		}, []string{promiseValid}},
		{"has lost the newest document", func(h *History) { h.Reads = h.Reads[:3] }, []string{promiseLast}},
		{"ran a refused request", func(h *History) {
			o := observed(secondAck, pathBase, keyBase, http.StatusServiceUnavailable, "")
			h.Observations, h.Runs[o.ID] = []Observation{o}, 1
		}, []string{promiseOnce}},
		{"ran a request twice", func(h *History) {
			o := observed(secondAck, pathOnce, keyBase, 0, "")
			h.Observations, h.Runs[o.ID] = []Observation{o}, 2
		}, []string{promiseOnce, promiseAnswered}},
		{"ends by itself", func(h *History) { h.Ends = []string{"e1"} }, []string{promiseRuns}},
	} {
		h := newHistory()
		test.change(h)
		var got []string
		for _, v := range h.Check() {
			got = append(got, v.Promise)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got violations %q, want %q", test.name, got, test.want)
		}
	}
}

// TestPlan checks that a plan depends on its options alone, that all its documents but
// those with a flaw are distinct, and that it has what a soak needs.
func TestPlan(t *testing.T) {
	options := Options{Seed: 7, Duration: time.Minute, Entries: 6, Replicas: 4}
	plan := NewPlan(options)
	if !reflect.DeepEqual(plan, NewPlan(options)) {
		t.Error("the same options gave two different plans")
	}
	options.Seed++
	if reflect.DeepEqual(plan.Events, NewPlan(options).Events) {
		t.Error("two seeds gave the same events")
	}
	labels, contents := make(map[string]bool), make(map[string]string)
	for _, d := range plan.Documents {
		if labels[d.Label] {
			t.Errorf("two documents with label %s", d.Label)
		}
		labels[d.Label] = true
		if other := contents[string(d.content())]; other != "" {
			t.Errorf("the content of document %s is that of %s", d.Label, other)
		}
		contents[string(d.content())] = d.Label
	}
	kinds := make(map[Kind]int)
	for _, e := range plan.Events {
		kinds[e.Kind]++
		if e.Kind == KindPut && len(e.Replicas) != options.Replicas {
			t.Errorf("event %s names %d replicas, want all", strings.TrimSpace(e.String()), len(e.Replicas))
		}
	}
	for _, kind := range []Kind{KindPut, KindList, KindEngine, KindPause, KindBusy} {
		if kinds[kind] == 0 {
			t.Errorf("the plan has no event of the kind %s", kind)
		}
	}
}
