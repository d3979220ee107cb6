package e2e

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/settings"
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

// A process with a replica that leads and an entry resigns when its drain begins, not when
// it ends. A booking that runs meanwhile is recorded at the successor and answered.
func TestDrainingLeaderResigns(t *testing.T) {
	c := newCluster(t, 3, 0)
	for _, name := range []string{"r1", "r2", "r3"} {
		c.addEntryRole(name)
	}
	old := c.leader("")
	c.waitReady(old)
	c.fault("a1", `{"delay_ms": 5000}`)
	booked := make(chan reply, 1)
	go func() {
		answer, err := c.call(old, "POST", "/services/desk/bookings", "key-1", "{}")
		if err != nil {
			t.Error(err)
		}
		booked <- answer
	}()
	c.eventually("the booking is in flight", func() bool { return c.hasMetric(old, "waxwingcart_entry_requests_in_flight 1") })
	if err := c.stop(old, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if answer := <-booked; answer.status/100 != 2 {
		t.Errorf("booking during the drain: got %+v, want a 2xx status", answer)
	}
	var steps []string
	for _, line := range c.linesWith(old, "msg=") {
		for _, step := range []string{"resigning the leadership", "another replica leads", "drain finished"} {
			if strings.Contains(line, step) {
				steps = append(steps, step)
			}
		}
	}
	if got := strings.Join(steps[max(0, len(steps)-3):], ", "); got != "resigning the leadership, another replica leads, drain finished" {
		t.Errorf("the stopped process logged last: %s; want the resignation and the successor before the end of the drain", got)
	}
	// The reservation and its result are known to the successor.
	again, err := c.call(c.leader(old), "POST", "/services/desk/bookings", "key-1", "{}")
	if err != nil || again.status/100 != 2 || c.totalRuns("a1") != 1 {
		t.Errorf("the repeated booking: got %+v, %v and %d runs, want a 2xx status and one run", again, err, c.totalRuns("a1"))
	}
}

// hasMetric reports whether a process serves a line among its metrics.
func (c *cluster) hasMetric(name, line string) bool {
	response, err := http.Get("http://" + c.vms[name].adminAddress + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(data), "\n"+line+"\n")
}

// addEntryRole restarts a replica with the role of an entry in addition.
func (c *cluster) addEntryRole(name string) {
	c.t.Helper()
	v := c.vms[name]
	data, err := os.ReadFile(v.settingsPath)
	if err != nil {
		c.t.Fatal(err)
	}
	var process settings.Process
	if err := json.Unmarshal(data, &process); err != nil {
		c.t.Fatal(err)
	}
	process.Roles = append(process.Roles, settings.RoleEntry)
	process.Listen.Callers = v.callerAddress
	if data, err = json.Marshal(process); err != nil {
		c.t.Fatal(err)
	}
	c.writeFile(name+".json", string(data))
	if err := c.stop(name, syscall.SIGTERM); err != nil {
		c.t.Fatal(err)
	}
	c.start(name)
	c.waitReady(name)
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
