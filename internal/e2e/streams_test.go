package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/standin"
)

// startStreams starts streams through the first entry; clients whose stream ends
// early resume at the next one. It waits until each client has received a token and the
// engines have generated two tokens per stream on average, and fails the test if one of
// them has generated none.
func (c *cluster) startStreams(count, tokens int, entries ...string) ([]*streamClient, *sync.WaitGroup) {
	c.t.Helper()
	group := &sync.WaitGroup{}
	var list []*streamClient
	for i := range count {
		client := newStreamClient(c, chatRequest{prompt: fmt.Sprintf("Briefing of convoy %d over the pass", i), tokens: tokens})
		list = append(list, client)
		group.Go(func() { client.readToEnd(entries...) })
	}
	c.eventually("all streams have begun", func() bool {
		for _, client := range list {
			if !client.begun.Load() {
				return false
			}
		}
		return c.stats("m1")["decoded_tokens"]+c.stats("m2")["decoded_tokens"] >= int64(2*count)
	})
	if c.stats("m1")["decoded_tokens"] == 0 || c.stats("m2")["decoded_tokens"] == 0 {
		c.t.Fatal("the streams are not spread over both engines")
	}
	return list, group
}

func checkAll(t *testing.T, list []*streamClient) {
	t.Helper()
	for _, client := range list {
		client.check(t)
	}
}

// An entry is killed during its streams: the callers resume them at another entry,
// and no token is generated twice.
func TestStreamsSurviveEntryKill(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startStreams(8, 40, "e1", "e2")
	_ = c.stop("e1", syscall.SIGKILL)
	c.fault("m1", `{"hold_after": 0}`)
	c.fault("m2", `{"hold_after": 0}`)
	group.Wait()
	checkAll(t, list)
	for _, client := range list {
		if client.resumed == 0 {
			t.Errorf("%q: its caller did not have to resume, although its entry was killed", client.request.prompt)
		}
	}
	if decoded := c.stats("m1")["decoded_tokens"] + c.stats("m2")["decoded_tokens"]; decoded != 8*40 {
		t.Errorf("%d tokens decoded, want %d", decoded, 8*40)
	}
}

// An engine is killed during its streams: the entry has the answers generated again
// at the other engine, and no caller has to resume.
func TestStreamsSurviveEngineKill(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startStreams(8, 40, "e1")
	_ = c.stop("m1", syscall.SIGKILL)
	c.fault("m2", `{"hold_after": 0}`)
	group.Wait()
	checkAll(t, list)
	for _, client := range list {
		if client.resumed > 0 {
			t.Errorf("%q: its caller had to resume: %v", client.request.prompt, client.failures)
		}
	}
}

// Open connections to the engines stop delivering data while new ones work: the
// streams are resumed over new connections, and no token is generated twice.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startStreams(8, 40, "e1")
	for _, engine := range []string{"m1", "m2"} {
		c.fault(engine, `{"silent": true}`)
		c.fault(engine, `{"hold_after": 0}`)
	}
	group.Wait()
	checkAll(t, list)
	m1, m2 := c.stats("m1"), c.stats("m2")
	if decoded := m1["decoded_tokens"] + m2["decoded_tokens"]; decoded != 8*40 {
		t.Errorf("%d tokens decoded, want %d", decoded, 8*40)
	}
	if resumed := m1["resumed"] + m2["resumed"]; resumed < 8 {
		t.Errorf("%d streams resumed at their engine, want 8 or more", resumed)
	}
}

// Open connections to an app server stop delivering data: lookups are answered
// over new connections before their deadline.
func TestSilentLookups(t *testing.T) {
	c := newCluster(t, 1, 1)
	lookUp := func() {
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() {
				answer, err := c.call("e1", http.MethodGet, fmt.Sprintf("/services/desk/records/%d", i), "", "")
				if err != nil || answer.status != http.StatusOK || !strings.Contains(answer.body, standin.RecordDigest(fmt.Sprint(i))) {
					t.Errorf("got %+v, %v, want status 200 and the digest of the record", answer, err)
				}
			})
		}
		group.Wait()
	}
	lookUp()
	c.fault("a1", `{"silent": true}`)
	lookUp()
}

// A frozen engine accepts connections but sends nothing: its streams move to the
// other engine before their attempts are used up.
func TestFrozenEngine(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startStreams(6, 30, "e1")
	c.signal("m1", syscall.SIGSTOP)
	c.fault("m2", `{"hold_after": 0}`)
	group.Wait()
	c.signal("m1", syscall.SIGCONT)
	checkAll(t, list)
	for _, client := range list {
		if client.resumed > 0 {
			t.Errorf("%q: its caller had to resume: %v", client.request.prompt, client.failures)
		}
	}
}

// A stream that the engines truncate on every attempt must not look complete to its
// caller.
func TestTruncatedAnswer(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"truncate_after": 3}`)
	c.fault("m2", `{"truncate_after": 3}`)
	chat := chatRequest{prompt: "Rulebook", tokens: 60}
	client := newStreamClient(c, chat)
	if err := client.readStream("e1"); err == nil || client.done {
		t.Fatalf("a truncated answer looks complete after %d tokens of %d", client.tokens, chat.tokens)
	}
	if !strings.HasPrefix(chat.answer(), client.text.String()) {
		t.Fatalf("the caller got %q, want a beginning of the answer", client.text.String())
	}
	plain, err := c.call("e1", http.MethodPost, chatPath, "", chat.body(false))
	if err != nil || plain.status == http.StatusOK || plain.outcome != "unknown" {
		t.Fatalf("got %+v, %v, want a refusal with outcome unknown", plain, err)
	}
	c.fault("m1", `{"truncate_after": 0}`)
	c.fault("m2", `{"truncate_after": 0}`)
	client.readToEnd("e1")
	client.check(t)
}

// When a caller closes its connection, its stream is cancelled at the engine.
func TestCallerDisconnects(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 5}`)
	c.fault("m2", `{"hold_after": 5}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.vms["e1"].callerAddress+chatPath,
		strings.NewReader(chatRequest{prompt: "Gone", tokens: 50}.body(true)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	c.eventually("the stream is cancelled at its engine", func() bool {
		return c.stats("m1")["cancelled"]+c.stats("m2")["cancelled"] == 1
	})
}

// A backend server that reports that it is leaving gets no new work after
// leavingBound, even while no replica can be reached.
func TestNoWorkForLeavingServer(t *testing.T) {
	c := newCluster(t, 3, 2)
	for _, name := range []string{"r1", "r2", "r3"} {
		c.signal(name, syscall.SIGSTOP)
	}
	c.fault("m1", `{"leaving": true}`)
	time.Sleep(leavingBound)
	before := c.stats("m1")["refused_leaving"]
	for i := range 20 {
		entry := []string{"e1", "e2"}[i%2]
		answer, err := c.call(entry, http.MethodPost, chatPath, "", chatRequest{prompt: fmt.Sprint("late ", i), tokens: 4}.body(false))
		if err != nil || answer.status != http.StatusOK {
			t.Fatalf("got %+v, %v, want status 200", answer, err)
		}
	}
	if offered := c.stats("m1")["refused_leaving"] - before; offered != 0 {
		t.Errorf("%d requests went to the leaving server, want none", offered)
	}
}

// leavingBound is the time after which a leaving server gets no new work.
const leavingBound = 2 * time.Second

// A graceful shutdown cuts off no stream and no booking in flight. New requests are
// refused meanwhile with Retry-After 0, so that callers go to another entry at once.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.restartApp("--run-time", "600ms")
	c.fault("m1", `{"hold_after": 5}`)
	c.fault("m2", `{"hold_after": 5}`)
	list, group := c.startStreams(6, 30, "e1")
	bookings := newBookings("shutdown", 6)
	var callers sync.WaitGroup
	for _, b := range bookings {
		callers.Go(func() { _, _ = b.send(c, "e1") })
	}
	c.eventually("all bookings run", func() bool { return c.totalRuns("a1") == len(bookings) })
	c.signal("e1", syscall.SIGTERM)
	c.eventually("the entry drains", func() bool {
		answer, err := c.call("e1", http.MethodPost, bookingPath, "late", "{}")
		return err == nil && answer.status == http.StatusServiceUnavailable &&
			answer.outcome == "not-run" && answer.header.Get("Retry-After") == "0"
	})
	c.fault("m1", `{"hold_after": 0}`)
	c.fault("m2", `{"hold_after": 0}`)
	group.Wait()
	callers.Wait()
	if err := c.vms["e1"].cmd.Wait(); err != nil {
		t.Errorf("the entry exited with %v, want no error", err)
	}
	c.vms["e1"].cmd = nil
	checkAll(t, list)
	for _, client := range list {
		if client.resumed > 0 {
			t.Errorf("%q was cut off: %v", client.request.prompt, client.failures)
		}
	}
	c.checkRuns("after the shutdown", bookings, true)
	for _, b := range bookings {
		if len(b.replies) != 1 || b.replies[0].status != http.StatusCreated {
			t.Errorf("%s: got %+v, want one answer with status 201", b.key, b.replies)
		}
	}
}

// The time that an engine needs for a long prompt is not taken for a stalled
// connection: the prompt is computed once.
func TestLongPrompt(t *testing.T) {
	c := newCluster(t, 1, 1)
	chat := chatRequest{prompt: strings.Repeat("Rulebook of the pass. ", 9_000), tokens: 8}
	client := newStreamClient(c, chat)
	client.readToEnd("e1")
	if !client.done || client.text.String() != chat.answer() || client.resumed > 0 {
		t.Errorf("got done %t, %d tokens, resumed %d times (%v), want the complete answer without resuming", client.done, client.tokens, client.resumed, client.failures)
	}
	m1, m2 := c.stats("m1"), c.stats("m2")
	if computed := m1["prefill_tokens"] + m2["prefill_tokens"]; computed != int64(standin.PromptTokens(chat.prompt)) {
		t.Errorf("%d prompt tokens were computed, want %d", computed, standin.PromptTokens(chat.prompt))
	}
}
