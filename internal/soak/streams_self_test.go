package soak

import (
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"testing"
	"time"
)

// streamAt returns a whole stream that begins at a time and lasts a second.
func streamAt(at time.Duration) StreamAttempt {
	a := StreamAttempt{ID: at.String(), Entry: "e1", Path: pathDossier, From: at, To: at + time.Second,
		Status: http.StatusOK, End: EndWhole, Versions: []string{"v1"}, Sent: true}
	for i := range streamEvents {
		a.Events = append(a.Events, i)
	}
	return a
}

// takenUp returns the take-up of a stream of version v1 after some events, which goes on
// at a version.
func takenUp(begin StreamAttempt, events int, version string) StreamAttempt {
	a := streamAt(begin.From + time.Second)
	a.ID, a.Resumes, a.Version, a.Events, a.Versions = begin.ID+"-up", begin.ID, "v1", a.Events[events:], []string{version}
	return a
}

// left returns a stream whose caller leaves after some events.
func left(begin StreamAttempt, events int) StreamAttempt {
	begin.Events, begin.End = begin.Events[:events], EndLeft
	return begin
}

// unanswered returns a client attempt without an answer.
func unanswered(at time.Duration, sent bool) StreamAttempt {
	a := streamAt(at)
	a.Status, a.End, a.Events, a.Versions, a.Sent = 0, EndNone, nil, nil, sent
	return a
}

// takeUps returns as many streams that are taken up, of which some are refused.
func takeUps(n, refused int) []StreamAttempt {
	var list []StreamAttempt
	for i := range n {
		begin := left(streamAt(20*time.Second+time.Duration(i)*time.Millisecond), 6)
		begin.Entry = fmt.Sprintf("e%d", i)
		up := takenUp(begin, 6, "v1")
		if i < refused {
			up.Status, up.End, up.Events, up.Versions = http.StatusServiceUnavailable, EndOther, nil, nil
		}
		list = append(list, begin, up)
	}
	return list
}

// TestStreamCheckDetects checks that each broken promise of streams is found, and that the
// same behaviour is none where the promise does not hold.
func TestStreamCheckDetects(t *testing.T) {
	const at = 20 * time.Second
	begin := left(streamAt(at), 6)
	cut := streamAt(at)
	cut.Events, cut.End = cut.Events[:6], EndCut
	ended := func(kind Kind, from time.Duration) Disturbance {
		return Disturbance{Target: "e1", What: string(kind), Effect: EffectAway, From: from, To: from + time.Second}
	}
	two := []Listing{{Version: "v1", Engine: "i-1"}, {Version: "v1", Engine: "i-2"}, {Version: "v2", Engine: "i-3"}}
	for _, test := range []struct {
		name         string
		attempts     []StreamAttempt
		disturbances []Disturbance
		listings     []Listing
		runs         map[string]int
		want         []string
	}{
		{name: "whole", attempts: []StreamAttempt{streamAt(at)}},
		{name: "taken up at its version", attempts: []StreamAttempt{begin, takenUp(begin, 6, "v1")}},
		{name: "taken up at another version", attempts: []StreamAttempt{begin, takenUp(begin, 6, "v2")}, want: []string{promiseVersion}},
		{name: "two versions in one answer", attempts: []StreamAttempt{func() StreamAttempt {
			a := streamAt(at)
			a.Versions = []string{"v1", "v2"}
			return a
		}()}, want: []string{promiseVersion}},
		{name: "an event is missing", attempts: []StreamAttempt{begin, takenUp(begin, 7, "v1")}, want: []string{promiseOrder}},
		{name: "an event comes twice", attempts: []StreamAttempt{begin, takenUp(begin, 5, "v1")}, want: []string{promiseOrder}},
		{name: "cut off", attempts: []StreamAttempt{cut}, want: []string{promiseWhole}},
		{name: "cut off by the end of its entry", attempts: []StreamAttempt{cut}, disturbances: []Disturbance{ended(KindKill, at+time.Second/2)}},
		{name: "cut off long after the start of its entry", attempts: []StreamAttempt{cut}, disturbances: []Disturbance{ended(KindKill, at-2*time.Second)}, want: []string{promiseWhole}},
		{name: "cut off while its entry stops", attempts: []StreamAttempt{cut}, disturbances: []Disturbance{ended(KindTerm, at+time.Second/2)}, want: []string{promiseWhole}},
		{name: "cut off after its entry was to stop", attempts: []StreamAttempt{cut}, disturbances: []Disturbance{ended(KindTerm, at-time.Second/2)}},
		{name: "cut off while the machine is starved", attempts: []StreamAttempt{cut}, disturbances: []Disturbance{{Target: anyTarget, Effect: EffectSlowed, From: at, To: at + time.Second}}},
		{name: "not answered", attempts: []StreamAttempt{unanswered(at, true)}, want: []string{promiseAnswered}},
		{name: "crossed the close of its connection", attempts: []StreamAttempt{unanswered(at, false)}},
		{name: "ran and is not answered", attempts: []StreamAttempt{unanswered(at, false)}, runs: map[string]int{at.String(): 1}, want: []string{promiseAnswered}},
		{name: "refused and ran", attempts: takeUps(1, 1), runs: map[string]int{takeUps(1, 1)[1].ID: 1}, want: []string{promiseOnce}},
		{name: "half go on", attempts: takeUps(enoughTakeUps, enoughTakeUps/2), listings: two},
		{name: "less than half go on", attempts: takeUps(enoughTakeUps, enoughTakeUps/2+1), listings: two, want: []string{promiseGoesOn}},
		{name: "few are taken up", attempts: takeUps(enoughTakeUps-1, enoughTakeUps-1), listings: two},
		{name: "one server of the version is left", attempts: takeUps(enoughTakeUps, enoughTakeUps), listings: two[1:]},
		{name: "a server of the version pauses", attempts: takeUps(enoughTakeUps, enoughTakeUps), listings: two,
			disturbances: []Disturbance{{Target: "i-2", What: string(KindRefuse), From: at, To: 0}}},
	} {
		h := newHistory()
		h.Attempts, h.Disturbances = test.attempts, test.disturbances
		h.Listings = append(h.Listings, test.listings...)
		for id, runs := range test.runs {
			h.Runs[id] = runs
		}
		var got []string
		for _, v := range h.Check() {
			got = append(got, v.Promise)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got violations %q, want %q", test.name, got, test.want)
		}
	}
}

// TestAnswerCheckDetects checks that a plain request without an answer is found.
func TestAnswerCheckDetects(t *testing.T) {
	for _, sent := range []bool{true, false} {
		h := newHistory()
		o := observed(20*time.Second, pathBase, keyBase, 0, "")
		o.Sent = sent
		h.Observations = []Observation{o}
		if got := h.Check(); (len(got) == 1 && got[0].Promise == promiseAnswered) != sent {
			t.Errorf("sent over a new connection %t: got %v", sent, got)
		}
	}
}

// TestStreamPlan checks that streams leave a plan's other events as they are, and that
// backend servers do all that a soak needs.
func TestStreamPlan(t *testing.T) {
	options := Options{Seed: 7, Duration: time.Minute, Entries: 6, Replicas: 4}
	without := NewPlan(options)
	options.Streams = true
	with := NewPlan(options)
	if !reflect.DeepEqual(with, NewPlan(options)) {
		t.Error("the same options gave two different plans")
	}
	kinds := make(map[Kind]int)
	for _, e := range with.Events {
		kinds[e.Kind]++
	}
	for _, kind := range []Kind{KindQuiet, KindRefuse, KindLeave, KindRelease} {
		if kinds[kind] == 0 {
			t.Errorf("the plan has no event of the kind %s", kind)
		}
	}
	for _, e := range without.Events {
		if !slices.ContainsFunc(with.Events, func(other Event) bool { return reflect.DeepEqual(e, other) }) {
			t.Errorf("the plan with streams lacks %s", e)
		}
	}
}
