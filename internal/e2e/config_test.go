package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"waxwingcart/internal/wire"
)

// Two operators send changes with the same base revision through two replicas at
// once: exactly one is accepted, and a resent change gets its first answer again.
func TestConcurrentConfigChanges(t *testing.T) {
	c := newCluster(t, 3, 1)
	base := uint64(1)
	for round := range 5 {
		answers := c.applyConcurrently(round, base)
		winners := 0
		for id, answer := range answers {
			if !answer.Conflict {
				winners++
			}
			again, err := c.apply(context.Background(), "r3", id, base)
			if err != nil {
				t.Fatal(err)
			}
			if again.Conflict != answer.Conflict || again.Revision != answer.Revision {
				t.Fatalf("change %s: answer after resending %v, first answer %v", id, again, answer)
			}
		}
		if winners != 1 {
			t.Fatalf("round %d: %d changes were accepted, want 1", round, winners)
		}
		base++
	}
}

// applyConcurrently sends two changes with one base revision through r1 and r2 at
// once and returns the answers by change ID.
func (c *cluster) applyConcurrently(round int, base uint64) map[string]*wire.ChangeConfigResponse {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := make(map[string]*wire.ChangeConfigResponse)
	for _, through := range []string{"r1", "r2"} {
		id := fmt.Sprintf("race-%d-%s", round, through)
		group.Go(func() {
			answer, err := c.apply(context.Background(), through, id, base)
			if err != nil {
				c.t.Errorf("change %s: %v", id, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[id] = answer
		})
	}
	group.Wait()
	return answers
}

// A leader that is frozen, and resumed after another was elected, at first still
// considers itself the leader. It must accept no change, and the change accepted
// meanwhile must stay.
func TestResumedLeaderRejectsChange(t *testing.T) {
	c := newCluster(t, 3, 1)
	old := c.leader("")
	c.signal(old, syscall.SIGSTOP)
	c.leader(old)
	c.mustApplyExcept(old, "while-frozen", 1)
	c.signal(old, syscall.SIGCONT)
	answer, err := c.apply(context.Background(), old, "after-resuming", 1)
	if err != nil {
		t.Fatal(err)
	}
	if !answer.Conflict || answer.Revision != 2 || answer.WinnerChangeId != "while-frozen" {
		t.Fatalf("the resumed leader answered %v, want a conflict with the change while-frozen, revision 2", answer)
	}
	c.eventually("revision 2 at the entry", func() bool {
		d, err := c.dump("e1")
		return err == nil && d.Entry.Config.Revision == 2
	})
}

// mustApplyExcept is mustApply without one of the replicas.
func (c *cluster) mustApplyExcept(except, changeID string, base uint64) {
	c.t.Helper()
	v := c.vms[except]
	cmd := v.cmd
	v.cmd = nil
	defer func() { v.cmd = cmd }()
	c.mustApply(changeID, base)
}

// A replica whose data directory is lost rejoins as a new node. No committed change is
// lost if another voter is killed as soon as the new node votes.
func TestLostDiskThenKilledVoter(t *testing.T) {
	c := newCluster(t, 3, 1)
	for revision := uint64(1); revision < 20; revision++ {
		c.mustApply(fmt.Sprintf("change-%d", revision), revision)
	}
	_ = c.stop("r2", syscall.SIGKILL)
	if err := os.RemoveAll(c.vms["r2"].dataDir); err != nil {
		t.Fatal(err)
	}
	c.start("r2")
	c.eventually("the new r2 is a voter", func() bool {
		d, err := c.dump("r2")
		return err == nil && d.Replica.Applied > 0 && len(d.Replica.Voters) == 3 && d.isVoter()
	})
	_ = c.stop("r3", syscall.SIGKILL)
	answer := c.mustApply("after-losses", 20)
	if answer.Revision != 21 {
		t.Fatalf("revision %d after the losses, want 21", answer.Revision)
	}
}

// votes reports whether any incarnation of a VM is a voter.
func (d dump) votes(vm string) bool {
	return slices.ContainsFunc(d.Replica.Voters, func(voter string) bool {
		return strings.HasPrefix(voter, vm+"/")
	})
}

// isVoter reports whether the replica's current incarnation is a voter.
func (d dump) isVoter() bool {
	self := d.Replica.VM + "/" + d.Replica.Incarnation + "@"
	return slices.ContainsFunc(d.Replica.Voters, func(voter string) bool {
		return strings.HasPrefix(voter, self)
	})
}

// A replica with the bootstrap setting that lost its disk joins the existing log
// instead of starting a second one.
func TestBootstrapReplicaLosesDisk(t *testing.T) {
	c := newCluster(t, 3, 1)
	_ = c.stop("r1", syscall.SIGKILL)
	if err := os.RemoveAll(c.vms["r1"].dataDir); err != nil {
		t.Fatal(err)
	}
	c.start("r1")
	c.eventually("r1 has joined the log again", func() bool {
		d, err := c.dump("r1")
		return err == nil && d.isVoter() && len(d.Replica.Voters) == 3 && d.Replica.Applied > 0
	})
	if answer := c.mustApply("second", 1); answer.Revision != 2 {
		t.Fatalf("revision %d, want 2", answer.Revision)
	}
}

// A replica and an entry that were down for 500 changes catch up, and the entry is
// not ready with an older revision.
func TestCatchUpAfterManyChanges(t *testing.T) {
	c := newCluster(t, 3, 2)
	_ = c.stop("e2", syscall.SIGKILL)
	_ = c.stop("r3", syscall.SIGKILL)
	const changes = 500
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	for base := uint64(1); base <= changes; base++ {
		if _, err := c.apply(ctx, "r1", fmt.Sprintf("many-%d", base), base); err != nil {
			t.Fatal(err)
		}
	}
	c.start("r3")
	c.start("e2")
	c.eventually("e2 is ready", func() bool {
		d, err := c.dump("e2")
		if err == nil && d.Entry.Ready && d.Entry.Config.Revision != changes+1 {
			t.Fatalf("e2 is ready at revision %d, want %d", d.Entry.Config.Revision, changes+1)
		}
		return err == nil && d.Entry.Ready
	})
}

// An entry that starts while no replica can be reached takes the newest revision
// from the entries of its zone. It serves lookups and refuses bookings.
func TestEntryStartsInCutOffZone(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.mustApply("second", 1)
	c.eventually("revision 2 at e1", func() bool {
		d, err := c.dump("e1")
		return err == nil && d.Entry.Config.Revision == 2
	})
	// e4 is in the zone of e1.
	_ = c.stop("e4", syscall.SIGKILL)
	for _, name := range []string{"r1", "r2", "r3"} {
		c.signal(name, syscall.SIGSTOP)
	}
	c.start("e4")
	c.waitReady("e4")
	d, err := c.dump("e4")
	if err != nil || d.Entry.Config.Revision != 2 {
		t.Fatalf("e4 is at revision %d, %v; want 2", d.Entry.Config.Revision, err)
	}
	answer, err := c.call("e4", "GET", "/services/desk/records/7", "", "")
	if err != nil || answer.status != 200 {
		t.Fatalf("lookup in the cut-off zone: got %v, %v, want status 200", answer, err)
	}
	refused, err := c.call("e4", "POST", "/services/desk/bookings", "key-1", "{}")
	if err != nil || refused.outcome != "not-run" || refused.header.Get("Retry-After") == "" {
		t.Fatalf("booking in the cut-off zone: got %+v, %v, want outcome not-run and a Retry-After header", refused, err)
	}
	if runs := c.totalRuns("a1"); runs != 0 {
		t.Fatalf("the refused booking ran %d times, want none", runs)
	}
}

// An entry that restarts while it can reach no replica and no other entry uses the
// revision that it had before and reports that no quorum has confirmed it.
func TestEntryRestartsWithoutQuorum(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.mustApply("second", 1)
	c.eventually("revision 2 at e1", func() bool {
		d, err := c.dump("e1")
		return err == nil && d.Entry.Config.Revision == 2
	})
	for _, name := range []string{"r1", "r2", "r3"} {
		c.signal(name, syscall.SIGSTOP)
	}
	_ = c.stop("e1", syscall.SIGKILL)
	c.start("e1")
	c.waitReady("e1")
	d, err := c.dump("e1")
	if err != nil || d.Entry.Config.Revision != 2 || d.Entry.Config.UnconfirmedS != -1 {
		t.Fatalf("e1 is at %+v, %v; want revision 2, never confirmed", d.Entry.Config, err)
	}
}

// After a change of leader the entries acknowledge revisions to the new leader, so
// that a change is reported as in force in every zone.
func TestAcknowledgedAfterLeaderChange(t *testing.T) {
	c := newCluster(t, 3, 3)
	old := c.leader("")
	if err := c.stop(old, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c.start(old)
	through := c.leader(old)
	data, err := json.Marshal(c.fleet)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.operator(through).ApplyConfig(context.Background(), &wire.ChangeConfigRequest{
		ChangeId: "after", BaseRevision: 1, Author: "test", ConfigJson: data, WaitMs: 30_000,
	})
	if err != nil || len(response.ZonesPending) > 0 {
		t.Fatalf("got %v, %v, want a change in force in every zone", response, err)
	}
}
