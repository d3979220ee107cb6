package replica

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/observe"
)

// recordedLength is how much of a line a record of the logs keeps.
const recordedLength = 200

// longVMs have names as long as those on users' machines.
var longVMs = []string{"core-brasov-a-1", "core-sibiu-b-1", "core-cluj-c-1", "core-mures-d-1", "core-sighisoara-e-1"}

// cutReplica returns a replica that logs to logs and is the VM with the longest name.
func cutReplica(logs *bytes.Buffer) *Replica {
	return &Replica{logger: observe.NewLogger(logs, "info", "core-sighisoara-e-1", "sighisoara-e")}
}

func longID(i int) replication.NodeID {
	return replication.NodeID{VM: longVMs[i], Incarnation: 0xfedcba9876543210 + uint64(i)}
}

// expectCut checks that the first recordedLength characters of the line with a step contain a text.
func expectCut(t *testing.T, logs, step, want string) {
	t.Helper()
	for line := range strings.Lines(logs) {
		if strings.Contains(line, `step="`+step+`"`) {
			if cut := line[:min(len(line), recordedLength)]; !strings.Contains(cut, want) {
				t.Errorf("the first %d characters lack %q: %s", recordedLength, want, cut)
			}
			return
		}
	}
	t.Errorf("no line with step %s in %s", step, logs)
}

// A record of an outage cut each line at 200 characters, before it told who votes and what the voters answered.
func TestLinesOfLongNamesKeepTheirFactsWhenCut(t *testing.T) {
	var logs bytes.Buffer
	r := cutReplica(&logs)
	status := replication.Status{Self: replication.Member{ID: longID(4)}, Term: 12, LastIndex: 1234, MembershipIndex: 1200, Role: replication.RoleCandidate}
	status.Election = replication.ElectionStatus{Leaderless: 156300 * time.Millisecond, Kept: 2, Need: 3}
	for i := range longVMs {
		status.Membership.Voters = append(status.Membership.Voters, replication.Member{ID: longID(i), Zone: longVMs[i]})
		status.Election.Voters = append(status.Election.Voters, replication.VoterState{
			ID: longID(i), Asked: true, Answer: replication.VoteRefusedPrecedence, Gone: i == 1})
	}
	status.Election.Voters[0].Asked = false
	r.logLeaderless(status, 0)
	expectCut(t, logs.String(), "election", `leaderless_ms=156300 voter=true kept=2 need=3 role="candidate" term=12 last=1234 members=1200`)
	expectCut(t, logs.String(), "votes", `votes="brasov:unasked sibiu:gone cluj:precedence mures:precedence sighisoara:self"`)

	status.Role = replication.RolePreCandidate
	status.Membership.Voters = status.Membership.Voters[:4]
	for i, answer := range []replication.VoteAnswer{replication.VoteUnanswered, replication.VoteGranted, replication.VoteRefusedLease, replication.VoteRefusedLog} {
		status.Election.Voters[i] = replication.VoterState{ID: longID(i), Asked: true, Answer: answer}
	}
	status.Election.Voters[4].Answer, status.Election.Voters[4].ID.Incarnation = replication.VoteRefusedTerm, 1
	logs.Reset()
	r.logLeaderless(status, repeatInterval)
	expectCut(t, logs.String(), "election", `voter=false kept=2 need=3 role="pre" term=12 last=1234 members=1200`)
	expectCut(t, logs.String(), "votes", `votes="brasov:none sibiu:granted cluj:lease mures:log sighisoara:term"`)
	status.Election.Voters[4].Answer = replication.VoteRefusedOther
	logs.Reset()
	r.logLeaderless(status, 2*repeatInterval)
	expectCut(t, logs.String(), "votes", `sighisoara:other"`)
}

func TestShortNames(t *testing.T) {
	for _, test := range []struct{ vms, want string }{
		{"core-brasov-a-1 core-sibiu-b-1", "brasov sibiu"},
		{"r1 r2 r3", "r1 r2 r3"},
		{"core-a-1 core-a-2", "1 2"},
		{"core-a-1 core-a-2 core-b-1", "core-a-1 core-a-2 core-b-1"},
		{"core-a core-a-1", "core-a core-a-1"},
		{"core-a-1", "core-a-1"},
	} {
		vms := strings.Fields(test.vms)
		names := shortNames(vms)
		var got []string
		for _, vm := range vms {
			got = append(got, names[vm])
		}
		if strings.Join(got, " ") != test.want {
			t.Errorf("short names of %s: got %v, want %s", test.vms, got, test.want)
		}
	}
}

// waitingStatus is the status of a leader with a learner that waits for a reason.
func waitingStatus(wait replication.LearnerWait, waited time.Duration) replication.Status {
	return replication.Status{Role: replication.RoleLeader, Commit: 1234, Peers: []replication.PeerStatus{{
		Member: replication.Member{ID: longID(4)}, Match: 1000, Silent: 12345 * time.Millisecond,
		Learner: replication.LearnerStatus{Waited: waited, Wait: wait},
	}}}
}

func TestWaitOfLearnerIsLogged(t *testing.T) {
	var logs bytes.Buffer
	r := cutReplica(&logs)
	lines := func(status replication.Status, now time.Duration) int {
		logs.Reset()
		r.logLearners(status, now)
		return strings.Count(logs.String(), `step="learner"`)
	}
	if n := lines(waitingStatus(replication.WaitBehind, 900*time.Millisecond), 0); n != 0 {
		t.Errorf("%d lines after 0.9 s", n)
	}
	if n := lines(waitingStatus(replication.WaitBehind, time.Second), time.Second); n != 1 {
		t.Fatalf("%d lines after 1 s, want one", n)
	}
	expectCut(t, logs.String(), "learner", `vm="core-sighisoara-e-1" waited_ms=1000 reason="behind" behind=234 `)
	if n := lines(waitingStatus(replication.WaitQuorum, 5*time.Second), 5*time.Second); n != 0 {
		t.Errorf("%d more lines within the interval", n)
	}
	for wait, name := range learnerWaitNames {
		r.waits = waitLog{}
		if n := lines(waitingStatus(wait, 56300*time.Millisecond), time.Minute); wait != replication.WaitNone && n != 1 {
			t.Errorf("%d lines for %q, want one", n, name)
		} else if n == 1 {
			expectCut(t, logs.String(), "learner", `waited_ms=56300 reason="`+name+`"`)
		}
	}
	r.waits = waitLog{}
	// A spare learner is not a fault.
	spare := waitingStatus(replication.WaitNoPlace, time.Minute)
	if lines(spare, time.Minute) != 1 || lines(spare, 2*time.Minute) != 0 {
		t.Error("a spare learner did not get exactly one line")
	}
	spare.Peers = append(spare.Peers, replication.PeerStatus{Member: replication.Member{ID: longID(0)}, Voter: true, Silent: electionTimeout})
	if lines(spare, 3*time.Minute) != 1 || lines(spare, 4*time.Minute) != 1 {
		t.Error("a learner without a place beside a silent voter did not get its lines")
	}
}

// A write that never returned left no line.
func TestOutstandingWriteIsLogged(t *testing.T) {
	var logs bytes.Buffer
	r := cutReplica(&logs)
	lines := func(stalled, now time.Duration) int {
		logs.Reset()
		r.logStalledWrite(replication.Status{WriteStalled: stalled, LastIndex: 1234, StableIndex: 1200}, now)
		return strings.Count(logs.String(), `step="write"`)
	}
	if n := lines(0, 0); n != 0 {
		t.Errorf("%d lines without a stalled write", n)
	}
	if n := lines(1800*time.Millisecond, 2*time.Second); n != 1 {
		t.Fatalf("%d lines, want one", n)
	}
	expectCut(t, logs.String(), "write", `outstanding_ms=1800 role="follower" last=1234 synced=1200 `)
	if n := lines(6*time.Second, 6*time.Second); n != 0 {
		t.Errorf("%d more lines within the interval", n)
	}
	if n := lines(7*time.Second, 7*time.Second); n != 1 {
		t.Errorf("%d lines after the interval, want one", n)
	}
	if lines(0, 8*time.Second) != 0 || lines(1800*time.Millisecond, 9*time.Second) != 1 {
		t.Error("the next stalled write did not get its line")
	}
}

// Whether a process found its disk empty, and votes by what it found, could not be told after an outage.
func TestStartTellsWhatTheDiskHeld(t *testing.T) {
	var logs bytes.Buffer
	peers, listeners := newPeers(t, 1)
	_ = listeners[0].Close()
	opts := replicaOptions(t, peers, 0)
	opts.Logger = observe.NewLogger(&logs, "warn", "core-sighisoara-e-1", "sighisoara-e")
	expectStart := func(disk *replication.Persist, want string) {
		t.Helper()
		logs.Reset()
		opts.Registry = prometheus.NewRegistry()
		r, err := New(opts)
		if err != nil {
			t.Fatal(err)
		}
		expectCut(t, logs.String(), "restore", want)
		if disk != nil {
			if err := r.log.Write(disk); err != nil {
				t.Fatal(err)
			}
		}
		r.stop()
		_ = r.log.Close()
	}
	entry := func(index uint64, members replication.Membership) *replication.Persist {
		return &replication.Persist{Sequence: index, HardState: replication.HardState{Term: 8, Commit: index},
			Entries: []replication.Entry{{Index: index, Term: 8, Kind: replication.EntryMembership, Membership: &members}}}
	}
	r, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	self := []replication.Member{r.self()}
	r.stop()
	_ = r.log.Close()
	other := []replication.Member{{ID: longID(0), Zone: "brasov-a"}}
	expectStart(entry(1, replication.Membership{Voters: other, Learners: self}), `disk="empty" last=0 term=0 member="none" `)
	expectStart(entry(2, replication.Membership{Voters: append(other, self...)}), `disk="used" last=1 term=8 member="learner" `)
	expectStart(nil, `disk="used" last=2 term=8 member="voter" `)
}
