package replica

import (
	"context"
	"testing"
	"time"

	"waxwingcart/internal/core/replication"
	core "waxwingcart/internal/core/rollout"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

func startRollout(t *testing.T, leader *Replica, target string) *wire.StartRolloutResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := leader.Service().StartRollout(ctx, &wire.StartRolloutRequest{Service: "models", Target: target, DurationMs: 60_000})
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// The log has no record of roll-outs before the first order. An order is read back by another leader, is
// idempotent, and conflicts with another target.
func TestRolloutInTheLog(t *testing.T) {
	voters := startVoters(t, 3)
	leader := leaderOf(t, voters)
	if n := leader.machineRecords(t); n != 0 {
		t.Errorf("got %d records before the first order, expected none", n)
	}
	first := startRollout(t, leader, "v2")
	if again := startRollout(t, leader, "v2"); again.Conflict || again.Number != first.Number {
		t.Errorf("the same order: got %v, expected number %d", again, first.Number)
	}
	if other := startRollout(t, leader, "v3"); !other.Conflict {
		t.Errorf("another target: got %v, expected a conflict", other)
	}
	if n := leader.machineRecords(t); n != 1 {
		t.Errorf("got %d records, expected 1", n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	leader.PrepareDrain(ctx)
	next := leaderOf(t, voters)
	got, err := next.Service().GetRollout(ctx, &wire.GetRolloutRequest{Service: "models"})
	if err != nil || !got.Found || got.State != string(core.StateActive) || got.Target != "v2" {
		t.Errorf("at the next leader: got %v, %v", got, err)
	}
	if got, err := next.Service().GetRollout(ctx, &wire.GetRolloutRequest{Service: "ledger"}); err != nil || got.Found {
		t.Errorf("a service without a roll-out: got %v, %v", got, err)
	}
}

// Of two changes of one table one is refused, so that an order that was acknowledged is never overwritten.
func TestRolloutTableChangedMeanwhile(t *testing.T) {
	leader := startReplicas(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	one, two := &rolloutStore{replica: leader}, &rolloutStore{replica: leader}
	for _, store := range []*rolloutStore{one, two} {
		if _, _, err := store.load(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if err := one.save(ctx, core.Table{Last: 1}); err != nil {
		t.Fatal(err)
	}
	if err := two.save(ctx, core.Table{Last: 2}); err != errRolloutsChanged {
		t.Errorf("got %v, expected the second change to be refused", err)
	}
	if table, _, err := two.load(ctx); err != nil || table.Last != 1 {
		t.Errorf("got %+v, %v, expected the first change", table, err)
	}
}

// The table outlives the retention of its records: it is found in the record of an earlier day and
// written again before records are dropped.
func TestRolloutOutlivesRetention(t *testing.T) {
	leader := startReplicas(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	today := time.Now().UnixMilli() / dayMS
	table := `{"last":5,"rollouts":{"models":{"number":5,"service":"models","target":"v2","state":"complete"}}}`
	if err := leader.commitRollouts(ctx, rolloutKey(today-9, 1), []byte(table)); err != nil {
		t.Fatal(err)
	}
	if err := leader.renewRollouts(ctx); err != nil {
		t.Fatal(err)
	}
	var renewed state.RecordView
	if err := leader.runInLoop(ctx, func() {
		renewed = leader.machine.Lookup(rolloutKey(today, 1))
		if renewed.State == state.RecordNone {
			renewed = leader.machine.Lookup(rolloutKey(today+1, 1))
		}
	}); err != nil || renewed.State != state.RecordAnswered {
		t.Fatalf("got state %d, %v, expected the table in a record of today", renewed.State, err)
	}
	if read, _, _, _, err := leader.readRollouts(ctx); err != nil || read.Rollouts["models"].Number != 5 {
		t.Errorf("got %+v, %v", read, err)
	}
}

func (r *Replica) machineRecords(t *testing.T) int {
	t.Helper()
	n := 0
	if err := r.runInLoop(context.Background(), func() { n = r.machine.Records() }); err != nil {
		t.Fatal(err)
	}
	return n
}

// leaderOf waits for the replica that leads.
func leaderOf(t *testing.T, voters []*Replica) *Replica {
	t.Helper()
	for range 1_000 {
		for _, r := range voters {
			if status := r.status(); status.Role == replication.RoleLeader && status.Lease.Leads && status.Lease.Until > r.now() {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no replica leads")
	return nil
}
