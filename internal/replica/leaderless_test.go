package replica

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/observe"
)

// An outage without a leader left no line that named the voters and their answers.
func TestLeaderlessOutageIsLogged(t *testing.T) {
	var logs bytes.Buffer
	r := &Replica{logger: observe.NewLogger(&logs, "info", "r0", "z0")}
	id := func(vm string) replication.NodeID { return replication.NodeID{VM: vm, Incarnation: 1} }
	status := replication.Status{
		Self:       replication.Member{ID: id("r0")},
		Membership: replication.Membership{Voters: []replication.Member{{ID: id("r0")}, {ID: id("r1")}, {ID: id("r2")}}},
	}
	lines := func(outage, now time.Duration) int {
		logs.Reset()
		status.Election = replication.ElectionStatus{Leaderless: outage}
		if outage > 0 {
			status.Election.Answers = []replication.VoterAnswer{{Voter: id("r1")}, {Voter: id("r2"), Answer: replication.VoteRefusedLease}}
		}
		r.logLeaderless(status, now)
		return strings.Count(logs.String(), `step="election"`)
	}
	if n := lines(time.Second, time.Second); n != 0 {
		t.Errorf("%d lines after one second", n)
	}
	if n := lines(2*time.Second, 2*time.Second); n != 1 {
		t.Fatalf("%d lines after two seconds, want one", n)
	}
	for _, want := range []string{"leaderless_ms=2000", id("r1").String() + " none", id("r2").String() + " refused: lease", "voter=true"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("the line lacks %q: %s", want, logs.String())
		}
	}
	if n := lines(6*time.Second, 6*time.Second); n != 0 {
		t.Errorf("%d more lines within the interval", n)
	}
	if n := lines(7*time.Second, 7*time.Second); n != 1 {
		t.Errorf("%d lines after the interval, want one", n)
	}
	if n := lines(0, 8*time.Second); n != 1 {
		t.Errorf("%d lines at the end of the outage, want one", n)
	}
	if n := lines(0, 9*time.Second); n != 0 {
		t.Errorf("%d lines after the end of the outage", n)
	}
}
