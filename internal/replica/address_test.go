package replica

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/storage"
)

// formerMember is a member of a former membership, which is gone.
func formerMember(vm string) replication.Member {
	return replication.Member{ID: replication.NodeID{VM: vm, Incarnation: 1}, Zone: "former", Address: "127.0.0.1:1"}
}

// prepareDisk creates the data directory of a replica.
func prepareDisk(tb testing.TB, opts Options) (*storage.Log, replication.Member) {
	tb.Helper()
	disk, err := storage.Open(filepath.Join(opts.DataDir, "replica"), storage.Options{})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = disk.Close() })
	id := replication.NodeID{VM: opts.Self.VM, Incarnation: disk.Incarnation()}
	return disk, replication.Member{ID: id, Zone: opts.Self.Zone, Address: opts.Self.Address}
}

// writeLog writes a log of term 1 that starts with a membership and consists of entries.
func writeLog(tb testing.TB, disk *storage.Log, first replication.Membership, entries []replication.Entry) {
	tb.Helper()
	if err := disk.SaveSnapshot(replication.Snapshot{Membership: first}); err != nil {
		tb.Fatal(err)
	}
	for i := range entries {
		entries[i].Index, entries[i].Term = uint64(i+1), 1
	}
	persist := replication.Persist{HardState: replication.HardState{Term: 1, Commit: uint64(len(entries))}, Entries: entries}
	if err := disk.Write(&persist); err != nil {
		tb.Fatal(err)
	}
	if err := disk.Close(); err != nil {
		tb.Fatal(err)
	}
}

// seedOptions returns the options of replicas that know each other's addresses at most,
// as seeds, and no names.
func seedOptions(tb testing.TB, count int) ([]Options, []net.Listener) {
	tb.Helper()
	peers, listeners := newPeers(tb, count)
	all := make([]Options, count)
	for i := range all {
		all[i] = replicaOptions(tb, peers, i)
		all[i].Bootstrap = false
		all[i].Voters = 1
		all[i].ReplaceAfter = 2 * time.Second
		for j := range all[i].Peers {
			all[i].Peers[j] = Peer{Address: all[i].Peers[j].Address}
		}
	}
	return all, listeners
}

// A replica with an empty disk, whose log is that of former members until it has caught
// up, answers a leader that none of them knows.
func TestLearnerAnswersLeaderOutsideItsMembership(t *testing.T) {
	opts, listeners := seedOptions(t, 2)
	disk, leader := prepareDisk(t, opts[0])
	former := replication.Membership{Voters: []replication.Member{formerMember("r8")}}
	var entries []replication.Entry
	// The log takes several messages.
	for range 3 * maxBatchBytes / 8192 {
		entries = append(entries, replication.Entry{Kind: replication.EntryNoop, Data: make([]byte, 8192)})
	}
	current := replication.Membership{Voters: []replication.Member{leader}}
	writeLog(t, disk, former, append(entries, replication.Entry{Kind: replication.EntryMembership, Membership: &current}))
	leading, _ := serveReplica(t, opts[0], listeners[0])
	learner, _ := serveReplica(t, opts[1], listeners[1])
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		status := learner.status()
		if status.Commit > uint64(len(entries)) && status.Membership.IsLearner(learner.self().ID) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the learner has committed entry %d of %d and is at %v; the leader's members are %v",
				status.Commit, leading.status().Commit, status.Membership, leading.status().Membership)
		}
	}
}

// A voter whose log ends before the membership that made the candidate a voter answers it.
func TestVoterAnswersCandidateOutsideItsMembership(t *testing.T) {
	opts, listeners := seedOptions(t, 2)
	candidateDisk, candidate := prepareDisk(t, opts[0])
	voterDisk, voter := prepareDisk(t, opts[1])
	// The candidate replaced r8. r9 is gone.
	former := replication.Membership{Voters: []replication.Member{voter, formerMember("r8"), formerMember("r9")}}
	current := replication.Membership{Voters: []replication.Member{voter, candidate, formerMember("r9")}}
	noop := replication.Entry{Kind: replication.EntryNoop}
	writeLog(t, voterDisk, former, []replication.Entry{noop})
	writeLog(t, candidateDisk, former, []replication.Entry{noop, {Kind: replication.EntryMembership, Membership: &current}})
	for i := range opts {
		opts[i].Voters = 3
	}
	elected, _ := serveReplica(t, opts[0], listeners[0])
	other, _ := serveReplica(t, opts[1], listeners[1])
	for end := time.Now().Add(15 * time.Second); elected.status().Role != replication.RoleLeader; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no leader: the candidate is at %+v, the voter at %+v", elected.status(), other.status())
		}
	}
}
