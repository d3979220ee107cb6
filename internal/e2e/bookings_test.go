package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/standin"
)

const bookingPath = "/services/desk/bookings"

// booking is one booking request and all answers that its callers received.
type booking struct {
	key, body string

	mu      sync.Mutex
	replies []reply
}

func newBookings(label string, count int) []*booking {
	var list []*booking
	for i := range count {
		key := fmt.Sprintf("%s-%d", label, i)
		list = append(list, &booking{key: key, body: `{"slot": "` + key + `"}`})
	}
	return list
}

// send sends the booking to an entry and stores the answer. It returns an error
// if the connection breaks before the answer, as when the entry is killed.
func (b *booking) send(c *cluster, entry string) (reply, error) {
	answer, err := c.call(entry, http.MethodPost, bookingPath, b.key, b.body)
	if err != nil {
		return answer, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replies = append(b.replies, answer)
	return answer, nil
}

// settle resends the booking until an answer is final, that is, has no
// Retry-After header.
func (b *booking) settle(c *cluster, entry string) reply {
	c.t.Helper()
	var last reply
	c.eventually("a final answer for "+b.key, func() bool {
		answer, err := b.send(c, entry)
		last = answer
		return err == nil && answer.header.Get("Retry-After") == ""
	})
	return last
}

// hasOutcome reports whether any answer had the outcome.
func (b *booking) hasOutcome(outcome string) bool {
	for _, answer := range b.replies {
		if answer.outcome == outcome {
			return true
		}
	}
	return false
}

// runsByBody returns the number of runs started at a stand-in for each body
// digest.
func (c *cluster) runsByBody(server string) map[string]int {
	c.t.Helper()
	var result struct {
		Bodies map[string]int `json:"bodies"`
	}
	c.getStandin(server, "runs", &result)
	return result.Bodies
}

// checkRuns compares the runs at the app server with the answers of the callers:
// each booking ran at most once, and exactly once if it was answered; all callers
// got the same answer; and, with firstRound, no booking ran whose caller was told
// "not-run". After the first round a resent booking may run after such an answer.
func (c *cluster) checkRuns(when string, list []*booking, firstRound bool) {
	c.t.Helper()
	runs := c.runsByBody("a1")
	for _, b := range list {
		digest := standin.BodyDigest([]byte(b.body))
		if runs[digest] > 1 {
			c.t.Errorf("%s: %s ran %d times, want at most once", when, b.key, runs[digest])
		}
		if firstRound && b.hasOutcome("not-run") && runs[digest] > 0 {
			c.t.Errorf("%s: %s ran although its caller was told not-run", when, b.key)
		}
		answered := ""
		for _, answer := range b.replies {
			if answer.outcome != "" {
				continue
			}
			if answer.status != http.StatusCreated || (answered != "" && answer.body != answered) {
				c.t.Errorf("%s: %s got status %d with %q, want 201 and the same answer as earlier callers: %q", when, b.key, answer.status, answer.body, answered)
			}
			answered = answer.body
		}
		if answered != "" && runs[digest] != 1 {
			c.t.Errorf("%s: %s was answered after %d runs, want one", when, b.key, runs[digest])
		}
	}
}

// sendTwice sends each booking through two entries at once, after a random delay
// of less than spread. The returned group is done when every caller has its answer
// or lost its connection.
func (c *cluster) sendTwice(random *rand.Rand, list []*booking, first, second string, spread time.Duration) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for _, b := range list {
		delay := time.Duration(random.Int64N(int64(spread)))
		for _, entry := range []string{first, second} {
			group.Go(func() {
				time.Sleep(delay)
				_, _ = b.send(c, entry)
			})
		}
	}
	return group
}

// restartApp replaces the app server by one with 64 slots and the given flags.
func (c *cluster) restartApp(flags ...string) {
	c.t.Helper()
	_ = c.stop("a1", syscall.SIGKILL)
	c.startServer("a1", append([]string{"--kind", "app", "--vendor", "gamma", "--slots", "64"}, flags...)...)
	c.eventually("a1 answers", func() bool {
		response, err := http.Get("http://" + c.servers["a1"] + "/status")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	})
}

// Each booking is sent through two entries in two zones at once while one of them
// is killed. The kill times cover the stages of a booking: before its reservation,
// before its dispatch, before its outcome is recorded, and afterwards. No booking
// may run twice or after "not-run", and all callers must get the same answer.
func TestBookingsWhileOwnersAreKilled(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.restartApp("--run-time", "25ms")
	random := rand.New(rand.NewPCG(4, 5))
	killDelays := []time.Duration{8 * time.Millisecond, 30 * time.Millisecond, 55 * time.Millisecond, 90 * time.Millisecond}
	var all []*booking
	ran := 0
	for round, killDelay := range killDelays {
		owner := fmt.Sprintf("e%d", round+1)
		c.fault("a1", fmt.Sprintf(`{"delay_ms": 20, "drop_after_run": %t}`, round == 2))
		list := newBookings(owner, 16)
		callers := c.sendTwice(random, list, owner, "e5", 60*time.Millisecond)
		time.Sleep(killDelay)
		_ = c.stop(owner, syscall.SIGKILL)
		callers.Wait()
		c.checkRuns(fmt.Sprintf("round %d, before resending", round), list, true)
		all = append(all, list...)
	}
	c.fault("a1", `{"delay_ms": 0, "drop_after_run": false}`)
	for _, b := range all {
		b.settle(c, "e6")
	}
	c.checkRuns("after resending", all, false)
	unknown := 0
	for _, b := range all {
		first, again := b.settle(c, "e6"), b.settle(c, "e5")
		if first.status != again.status || first.outcome != again.outcome {
			t.Errorf("%s: got %d %s at one entry and %d %s at another, want the same", b.key, first.status, first.outcome, again.status, again.outcome)
		}
		if first.outcome == "unknown" {
			unknown++
		}
	}
	c.checkRuns("after the last answers", all, false)
	for _, count := range c.runsByBody("a1") {
		ran += count
	}
	t.Logf("%d bookings, %d runs, %d with unknown outcome", len(all), ran, unknown)
	if ran == 0 || ran-unknown < len(all)/4 {
		t.Errorf("%d of %d bookings ran and were answered, want at least a quarter", ran-unknown, len(all))
	}
}

// A booking sent through two entries at once is answered at both on the first
// call, without a retry.
func TestConcurrentDuplicatesAreAnswered(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.restartApp("--run-time", "150ms")
	list := newBookings("twice", 12)
	c.sendTwice(rand.New(rand.NewPCG(1, 1)), list, "e1", "e2", 50*time.Millisecond).Wait()
	c.checkRuns("sent twice", list, true)
	for _, b := range list {
		if len(b.replies) != 2 {
			t.Fatalf("%s: got %d answers, want 2", b.key, len(b.replies))
		}
		for _, answer := range b.replies {
			if answer.status != http.StatusCreated {
				t.Errorf("%s: got %d %s %s, want status 201", b.key, answer.status, answer.outcome, answer.body)
			}
		}
	}
}

// An answer longer than answer_limit_bytes is not stored with the idempotency
// record. A duplicate gets an error that says that the request ran and with which
// status.
func TestAnswerNotKept(t *testing.T) {
	c := newCluster(t, 1, 1)
	limit := int64(0)
	c.fleet.Defaults.AnswerLimitBytes = limit
	c.mustApply("short-answers", 1)
	c.eventually("revision 2 at e1", func() bool {
		d, err := c.dump("e1")
		return err == nil && d.Entry.Config.Revision == 2
	})
	b := newBookings("long", 1)[0]
	if answer, err := b.send(c, "e1"); err != nil || answer.status != http.StatusCreated {
		t.Fatalf("the booking got %+v, %v, want status 201", answer, err)
	}
	again, err := c.call("e1", http.MethodPost, bookingPath, b.key, b.body)
	if err != nil {
		t.Fatal(err)
	}
	var body struct {
		Error struct {
			Reason   string `json:"reason"`
			Answered struct {
				Status int `json:"status"`
			} `json:"answered"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(again.body), &body); err != nil {
		t.Fatal(err)
	}
	if again.status != http.StatusConflict || body.Error.Reason != "answer-not-kept" || body.Error.Answered.Status != http.StatusCreated {
		t.Fatalf("got %d %s, want status 409 with reason answer-not-kept and the status 201 of the first answer", again.status, again.body)
	}
	if runs := c.totalRuns("a1"); runs != 1 {
		t.Fatalf("%d runs, want 1", runs)
	}
}

// The leader is frozen and resumed while bookings are sent through two entries
// each: all are answered eventually, none runs twice, and answers do not change.
func TestBookingsWhileLeaderFreezes(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.restartApp("--run-time", "10ms")
	list := newBookings("freeze", 40)
	callers := c.sendTwice(rand.New(rand.NewPCG(7, 7)), list, "e1", "e2", 600*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	frozen := c.leader("")
	c.signal(frozen, syscall.SIGSTOP)
	c.leader(frozen)
	c.signal(frozen, syscall.SIGCONT)
	callers.Wait()
	for _, b := range list {
		if answer := b.settle(c, "e1"); answer.status != http.StatusCreated {
			t.Errorf("%s: got %d %s, want status 201", b.key, answer.status, answer.body)
		}
		b.settle(c, "e2")
	}
	c.checkRuns("after the freeze", list, false)
	refused := 0
	for _, b := range list {
		if b.hasOutcome("not-run") {
			refused++
		}
	}
	t.Logf("%d bookings, %d refused at least once", len(list), refused)
}
