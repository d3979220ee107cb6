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

// startListeners begins streams through an entry, which go to the other
// entries when they end early. It returns once all engines have begun.
func (c *cluster) startListeners(count, tokens int, entries ...string) ([]*listener, *sync.WaitGroup) {
	c.t.Helper()
	group := &sync.WaitGroup{}
	var list []*listener
	for i := range count {
		l := newListener(c, question{prompt: fmt.Sprintf("Briefing of convoy %d over the pass", i), tokens: tokens})
		list = append(list, l)
		group.Go(func() { l.follow(entries...) })
	}
	c.eventually("all streams have begun", func() bool {
		return c.stats("m1")["decoded_tokens"]+c.stats("m2")["decoded_tokens"] >= int64(2*count)
	})
	if c.stats("m1")["decoded_tokens"] == 0 || c.stats("m2")["decoded_tokens"] == 0 {
		c.t.Fatal("the streams are not spread over both engines")
	}
	return list, group
}

func checkAll(t *testing.T, list []*listener) {
	t.Helper()
	for _, l := range list {
		l.check(t)
	}
}

// An entry is killed in the middle of its streams: another one goes on with
// each, without a token generated twice.
func TestStreamsOutliveTheirEntry(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startListeners(8, 40, "e1", "e2")
	_ = c.stop("e1", syscall.SIGKILL)
	c.fault("m1", `{"hold_after": 0}`)
	c.fault("m2", `{"hold_after": 0}`)
	group.Wait()
	checkAll(t, list)
	for _, l := range list {
		if l.resumed == 0 {
			t.Errorf("%q was not cut off", l.question.prompt)
		}
	}
	if decoded := c.stats("m1")["decoded_tokens"] + c.stats("m2")["decoded_tokens"]; decoded != 8*40 {
		t.Errorf("%d tokens decoded, want %d", decoded, 8*40)
	}
}

// An engine is killed in the middle of its streams: the callers see nothing of
// it, for the entry has the answers generated again elsewhere.
func TestStreamsOutliveTheirEngine(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startListeners(8, 40, "e1")
	_ = c.stop("m1", syscall.SIGKILL)
	c.fault("m2", `{"hold_after": 0}`)
	group.Wait()
	checkAll(t, list)
	for _, l := range list {
		if l.resumed > 0 {
			t.Errorf("%q: its caller had to resume: %v", l.question.prompt, l.failures)
		}
	}
}

// Open connections to the engines go silent for good while new ones work:
// streams go on over new connections, without a token generated twice.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startListeners(8, 40, "e1")
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

// Open connections to an app server go silent: lookups are answered over new
// ones, well before their deadline.
func TestSilentLookups(t *testing.T) {
	c := newCluster(t, 1, 1)
	lookUp := func() {
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() {
				answer, err := c.call("e1", http.MethodGet, fmt.Sprintf("/services/desk/records/%d", i), "", "")
				if err != nil || answer.status != http.StatusOK || !strings.Contains(answer.body, standin.RecordDigest(fmt.Sprint(i))) {
					t.Errorf("%+v, %v", answer, err)
				}
			})
		}
		group.Wait()
	}
	lookUp()
	c.fault("a1", `{"silent": true}`)
	lookUp()
}

// A frozen engine accepts connections and says nothing: its streams go
// elsewhere before their attempts are used up.
func TestFrozenEngine(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 10}`)
	c.fault("m2", `{"hold_after": 10}`)
	list, group := c.startListeners(6, 30, "e1")
	c.signal("m1", syscall.SIGSTOP)
	c.fault("m2", `{"hold_after": 0}`)
	group.Wait()
	c.signal("m1", syscall.SIGCONT)
	checkAll(t, list)
	for _, l := range list {
		if l.resumed > 0 {
			t.Errorf("%q: its caller had to resume: %v", l.question.prompt, l.failures)
		}
	}
}

// A stream that its engine cuts short again and again never looks complete.
func TestTruncatedAnswer(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"truncate_after": 3}`)
	c.fault("m2", `{"truncate_after": 3}`)
	q := question{prompt: "Rulebook", tokens: 60}
	l := newListener(c, q)
	if err := l.listen("e1"); err == nil || l.done {
		t.Fatalf("a cut answer looks complete after %d tokens of %d", l.tokens, q.tokens)
	}
	if !strings.HasPrefix(q.answer(), l.text.String()) {
		t.Fatalf("the caller got %q", l.text.String())
	}
	whole, err := c.call("e1", http.MethodPost, chatPath, "", q.body(false))
	if err != nil || whole.status == http.StatusOK || whole.outcome != "unknown" {
		t.Fatalf("%+v, %v", whole, err)
	}
	c.fault("m1", `{"truncate_after": 0}`)
	c.fault("m2", `{"truncate_after": 0}`)
	l.follow("e1")
	l.check(t)
}

// A caller that closes its connection has its stream cancelled at the engine.
func TestCallerGone(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.fault("m1", `{"hold_after": 5}`)
	c.fault("m2", `{"hold_after": 5}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.vms["e1"].callers+chatPath,
		strings.NewReader(question{prompt: "Gone", tokens: 50}.body(true)))
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

// A backend server that says it is leaving gets no new work, also while no
// replica can be reached.
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
		answer, err := c.call(entry, http.MethodPost, chatPath, "", question{prompt: fmt.Sprint("late ", i), tokens: 4}.body(false))
		if err != nil || answer.status != http.StatusOK {
			t.Fatalf("%+v, %v", answer, err)
		}
	}
	if offered := c.stats("m1")["refused_leaving"] - before; offered != 0 {
		t.Errorf("%d requests went to the leaving server", offered)
	}
}

// leavingBound is the time after which a leaving server gets no new work.
const leavingBound = 2 * time.Second

// A graceful shutdown cuts off no stream and no booking in flight. New requests
// meanwhile are told to go to another entry at once.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.restartApp("--run-time", "600ms")
	c.fault("m1", `{"hold_after": 5}`)
	c.fault("m2", `{"hold_after": 5}`)
	list, group := c.startListeners(6, 30, "e1")
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
		t.Errorf("the entry ended with %v", err)
	}
	c.vms["e1"].cmd = nil
	checkAll(t, list)
	for _, l := range list {
		if l.resumed > 0 {
			t.Errorf("%q was cut off: %v", l.question.prompt, l.failures)
		}
	}
	c.checkRuns("after the shutdown", bookings, true)
	for _, b := range bookings {
		if len(b.replies) != 1 || b.replies[0].status != http.StatusCreated {
			t.Errorf("%s: %+v", b.key, b.replies)
		}
	}
}

// The time that an engine takes for a long prompt is not mistaken for silence:
// the prompt is computed once.
func TestLongPrompt(t *testing.T) {
	c := newCluster(t, 1, 1)
	q := question{prompt: strings.Repeat("Rulebook of the pass. ", 9_000), tokens: 8}
	l := newListener(c, q)
	l.follow("e1")
	if !l.done || l.text.String() != q.answer() || l.resumed > 0 {
		t.Errorf("done %t, %d tokens, resumed %d times: %v", l.done, l.tokens, l.resumed, l.failures)
	}
	m1, m2 := c.stats("m1"), c.stats("m2")
	if computed := m1["prefill_tokens"] + m2["prefill_tokens"]; computed != int64(standin.PromptTokens(q.prompt)) {
		t.Errorf("%d prompt tokens computed of %d", computed, standin.PromptTokens(q.prompt))
	}
}
