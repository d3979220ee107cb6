package state

import (
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"waxwingcart/internal/core/fleet"
)

// smallJSON returns a valid configuration with the given queue limit.
func smallJSON(t testing.TB, queueLimit int) []byte {
	t.Helper()
	data, err := os.ReadFile("../fleet/testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	return []byte(strings.Replace(string(data), `"deadline_ms": 30000`, `"queue_limit": `+strconv.Itoa(queueLimit), 1))
}

// change submits a change of the queue limit.
func (s *script) change(id string, base uint64, author string, queueLimit int) ChangeResult {
	return s.send(ChangeRequest{ChangeID: id, BaseRevision: base, Author: author, JSON: smallJSON(s.t, queueLimit)})
}

func (s *script) send(request ChangeRequest) ChangeResult {
	return s.apply(s.machine.Prepare(request)).(ChangeResult)
}

// assembled returns the machine's current configuration.
func (s *script) assembled() *fleet.Config {
	s.t.Helper()
	c, err := fleet.Assemble(s.machine.Items())
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// Of two changes with the same base revision the first one is accepted, and the
// second one is told the winner. A repeated change gets its first result.
func TestConcurrentChanges(t *testing.T) {
	s := newScript(t, Options{})
	s.change("c0", 0, "setup", 1)
	winner := s.change("c1", 1, "anjali", 2)
	loser := s.change("c2", 1, "ion", 3)
	if want := (ChangeResult{Accepted: true, Revision: 2}); winner != want {
		t.Fatalf("first: got %+v, expected %+v", winner, want)
	}
	if want := (ChangeResult{Conflict: true, Revision: 2, WinnerChangeID: "c1", WinnerAuthor: "anjali"}); loser != want {
		t.Fatalf("second: got %+v, expected %+v", loser, want)
	}
	s.change("c3", 2, "ion", 4)
	if got := s.change("c1", 1, "anjali", 2); got != winner {
		t.Fatalf("first repeated: got %+v, expected %+v", got, winner)
	}
	// A caller that lost the response may no longer know the base revision.
	for _, base := range []uint64{1, 3} {
		if got := s.change("c2", base, "ion", 3); got != loser {
			t.Fatalf("second repeated on base %d: got %+v, expected %+v", base, got, loser)
		}
	}
	if got := s.assembled().Defaults.QueueLimit; got != 4 {
		t.Fatalf("queue limit is %d, expected 4", got)
	}
}

// An invalid change leaves the configuration unchanged, also when it is repeated.
func TestInvalidChangeIsRejected(t *testing.T) {
	s := newScript(t, Options{})
	s.change("c1", 0, "ion", 7)
	for id, json := range map[string]string{
		"range":  string(smallJSON(t, -1)),
		"syntax": `{"zones": `,
		"field":  `{"zonen": []}`,
	} {
		request := ChangeRequest{ChangeID: id, BaseRevision: 1, JSON: []byte(json)}
		rejected := s.send(request)
		if rejected.Accepted || rejected.Invalid == "" || rejected.Revision != 1 {
			t.Errorf("%s: got %+v, expected a rejection", id, rejected)
		}
		if got := s.send(request); got != rejected {
			t.Errorf("%s repeated: got %+v, expected %+v", id, got, rejected)
		}
	}
	if got := s.assembled().Defaults.QueueLimit; got != 7 || s.machine.Revision() != 1 {
		t.Errorf("revision %d with queue limit %d, expected 1 with 7", s.machine.Revision(), got)
	}
}

// Results are stored in the state, so a rejection lists a limited number of
// problems.
func TestInvalidResultIsBounded(t *testing.T) {
	s := newScript(t, Options{})
	zones := strings.Repeat(`{"name": "!"},`, 100)
	got := s.send(ChangeRequest{ChangeID: "c1", JSON: []byte(`{"zones": [` + strings.TrimSuffix(zones, ",") + `]}`)})
	if n := strings.Count(got.Invalid, "\n"); n != maxProblems || !strings.HasSuffix(got.Invalid, "and 80 more") {
		t.Errorf("got %d line ends in %q, expected maxProblems and the number of further problems", n, got.Invalid)
	}
	got = s.send(ChangeRequest{ChangeID: "c2", JSON: []byte(`{"` + strings.Repeat("ü", 10_000) + `": 1}`)})
	if n := len(got.Invalid); n == 0 || n > maxInvalidBytes || !utf8.ValidString(got.Invalid) {
		t.Errorf("got %d bytes, expected valid UTF-8 of at most maxInvalidBytes", n)
	}
}

func TestChangeIDs(t *testing.T) {
	s := newScript(t, Options{ChangeAnswerLimit: 2})
	s.change("c1", 0, "ion", 1)
	if got := s.change("c1", 0, "ion", 2); got.Accepted || !strings.Contains(got.Invalid, "another change") {
		t.Errorf("other content: got %+v, expected a rejection of the change ID", got)
	}
	for _, id := range []string{"", strings.Repeat("x", MaxChangeIDBytes+1)} {
		if got := s.change(id, 1, "ion", 2); got.Accepted || got.Invalid == "" {
			t.Errorf("ID of %d bytes: got %+v, expected a rejection", len(id), got)
		}
	}
	if got := s.change("c2", 1, strings.Repeat("x", MaxAuthorBytes+1), 2); got.Accepted || got.Invalid == "" {
		t.Errorf("long author: got %+v, expected a rejection", got)
	}
	s.change("c2", 1, "ion", 2)
	s.change("c3", 2, "ion", 3)
	// The result of c1 is no longer stored, but its outdated base revision
	// prevents a second application.
	if got := s.change("c1", 0, "ion", 1); !got.Conflict || got.Accepted {
		t.Errorf("c1 repeated: got %+v, expected a conflict", got)
	}
}

// A leader that has not applied the base revision yet prepares a complete change.
func TestPrepareBehindBaseRevision(t *testing.T) {
	s := newScript(t, Options{})
	behind := New(Options{})
	s.change("c1", 0, "ion", 1)
	prepared := behind.Prepare(ChangeRequest{ChangeID: "c2", BaseRevision: 1, JSON: smallJSON(t, 2)})
	if got := s.apply(prepared).(ChangeResult); !got.Accepted || got.Revision != 2 {
		t.Fatalf("got %+v, expected revision 2", got)
	}
	deltas, _ := s.machine.DeltasSince(1)
	if len(deltas) != 1 || len(deltas[0].Items) != 1 || deltas[0].Items[0].Path != "defaults" {
		t.Fatalf("got %+v, expected a delta with only the defaults", deltas)
	}
}

func TestDeltasSince(t *testing.T) {
	s := newScript(t, Options{HistoryLimit: 3})
	for i := range 6 {
		s.change("c"+strconv.Itoa(i), uint64(i), "ion", i)
	}
	tests := []struct {
		have     uint64
		complete bool
		want     []uint64
	}{
		{0, true, []uint64{6}},
		{2, true, []uint64{6}},
		{3, false, []uint64{4, 5, 6}},
		{5, false, []uint64{6}},
		{6, false, nil},
		{9, false, nil},
	}
	for _, test := range tests {
		deltas, complete := s.machine.DeltasSince(test.have)
		var got []uint64
		for _, delta := range deltas {
			got = append(got, delta.Revision)
		}
		if complete != test.complete || !reflect.DeepEqual(got, test.want) {
			t.Errorf("since %d: got %v, complete %t, expected %v, %t", test.have, got, complete, test.want, test.complete)
		}
	}
	if history := s.machine.History(2); len(history) != 2 || history[0].Revision != 6 || history[1].Revision != 5 {
		t.Errorf("got history %+v, expected revisions 6 and 5", history)
	}
	if zones := s.machine.Zones(); !reflect.DeepEqual(zones, []string{"cluj-c", "mures-d"}) {
		t.Errorf("got zones %v, expected cluj-c and mures-d", zones)
	}
	if n := len(s.machine.History(100)); n != 3 {
		t.Errorf("history has %d changes, expected 3", n)
	}
}

func TestHistoryBytes(t *testing.T) {
	s := newScript(t, Options{HistoryBytes: 1_000})
	for i := range 6 {
		s.change("c"+strconv.Itoa(i), uint64(i), "ion", i)
	}
	if got := s.machine.config.historyBytes; got > 1_000 {
		t.Errorf("history has %d bytes, expected at most 1000", got)
	}
	if deltas, complete := s.machine.DeltasSince(0); !complete || deltas[0].Revision != 6 {
		t.Errorf("got %+v, complete %t, expected the complete configuration at revision 6", deltas, complete)
	}
}
