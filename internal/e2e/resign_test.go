package e2e

import (
	"context"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// heldFetches is the number of fetches that are held at a leader while it stops.
const heldFetches = 8

// A leader that stops resigns while other processes hold calls at it: it still
// learns which replica leads in a later term. The held calls end, and a change that
// another replica accepts right after comes into force at an entry.
func TestStoppingLeaderResigns(t *testing.T) {
	c := newCluster(t, 3, 1)
	old := c.leader("")
	before, err := c.dump(old)
	if err != nil {
		t.Fatal(err)
	}
	var held sync.WaitGroup
	stub := wire.NewReplicaProtobufClient("http://"+c.vms[old].peerAddress, rpc.NewClient(peerKey))
	for range heldFetches {
		held.Go(func() {
			response, err := stub.FetchConfig(context.Background(), &wire.FetchConfigRequest{HaveRevision: 1, WaitMs: 20_000})
			if err == nil && response.Confirmed {
				t.Errorf("a fetch held at the stopping leader got %v, want an error or an answer that is not confirmed", response)
			}
		})
	}
	if err := c.stop(old, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	held.Wait()
	for _, line := range c.linesWith(old, `step="resign"`) {
		t.Log(line)
	}
	term, role, leader := c.lastRole(old)
	if term <= before.Replica.Term || role != "follower" || leader == "" || leader == old {
		t.Errorf("the stopped leader of term %d last logged term %d, role %s, leader %q; want a follower of another leader in a later term", before.Replica.Term, term, role, leader)
	}
	c.mustApply("after", 1)
	c.eventually("revision 2 at the entry", func() bool {
		d, err := c.dump("e1")
		return err == nil && d.Entry.Config.Revision == 2
	})
}

// roleLine matches a line in which a replica logs its term, role and leader.
var roleLine = regexp.MustCompile(`step="role" term=([0-9]+) role="([^"]+)"(?: leader="([^"]+)")?`)

// lastRole returns the term, the role and the leader that a replica logged last.
func (c *cluster) lastRole(name string) (term uint64, role, leader string) {
	c.t.Helper()
	lines := c.linesWith(name, `step="role"`)
	if len(lines) == 0 {
		c.t.Fatalf("%s logged no role", name)
	}
	last := roleLine.FindStringSubmatch(lines[len(lines)-1])
	if last == nil {
		c.t.Fatalf("%s logged %q, want a term and a role", name, lines[len(lines)-1])
	}
	term, _ = strconv.ParseUint(last[1], 10, 64)
	return term, last[2], last[3]
}

// linesWith returns the lines of a process's log that contain a text.
func (c *cluster) linesWith(name, text string) (found []string) {
	c.t.Helper()
	data, err := os.ReadFile(c.vms[name].logPath)
	if err != nil {
		c.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
