package e2e

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// crashesAllowed is the number of servers that a request may end before it counts as one
	// that crashes servers, and markServers the number of servers of each service.
	crashesAllowed = 3
	markServers    = 6
	// markEvery is the time between two repetitions of a crashing request.
	markEvery = 400 * time.Millisecond
)

// markedRequest is a kind of request that crashes servers, with sound ones beside it.
type markedRequest struct {
	name          string
	method, path  string
	body          string
	soundPath     func() string
	soundBody     string
	header        func(id string) []string
	wholeIsStream bool
}

// The mark stands in the path or the body, as both identify a request.
var markedRequests = []markedRequest{
	{name: "safe", method: "GET", path: "/records/7?%s", soundPath: func() string { return fmt.Sprintf("/records/%d", rand.IntN(1000)) }},
	{name: "public", method: "GET", path: "/notices/7?%s", soundPath: func() string { return fmt.Sprintf("/notices/%d", rand.IntN(1000)) }},
	{name: "unsafe", method: "POST", path: "/claims/9", body: "%s", soundPath: func() string { return "/claims/9" }, soundBody: "call"},
	{name: "stream", method: "POST", path: "/dossiers/1", body: "%s", soundPath: func() string { return "/dossiers/1" }, soundBody: "prompt", wholeIsStream: true,
		header: func(id string) []string {
			return []string{"Waxwingcart-Token-Count", "450,20", "Waxwingcart-Model", "m", "Waxwingcart-Prefix-Hash", "f1:300," + id + ":50"}
		}},
}

func newMarkCluster(t *testing.T, servers int) (*hostedCluster, *crashes, []*hostedEngine) {
	t.Helper()
	h := newHostedCluster(t, crashEntries)
	shared := &crashes{}
	var apps []*hostedEngine
	for i := range servers {
		h.platform.addCrashing(t, fmt.Sprintf("i-m%d", i), "models", shared).eventInterval.Set(10)
		apps = append(apps, h.platform.addCrashing(t, fmt.Sprintf("i-a%d", i), "ledger", shared))
	}
	h.applyDocument(document(7))
	return h, shared, apps
}

// marked sends a crashing request once more, as the n-th, and returns its answer.
func (k *markedRequest) marked(h *hostedCluster, entry, mark string, n int64) hostedAnswer {
	path, body := k.path, k.body
	if body != "" {
		body = mark
	} else {
		path = fmt.Sprintf(path, mark)
	}
	var header []string
	if k.header != nil {
		header = k.header("own")
	}
	return h.call(entry, k.method, path, fmt.Sprintf("%s-%d", mark, n), callerKey, body, header...)
}

// soundCalls are the sound requests of a kind, and their answers.
type soundCalls struct {
	calls sync.WaitGroup
	mu    sync.Mutex
	list  []soundCall
}

// soundLoad sends sound requests of a kind to all entries in turn until stop is closed.
func (k *markedRequest) soundLoad(h *hostedCluster, perSecond int, stop <-chan struct{}) *soundCalls {
	c := &soundCalls{}
	c.calls.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			c.calls.Go(func() {
				id, entry, sent := fmt.Sprintf("sound-%s-%d", k.name, n), fmt.Sprintf("e%d", 1+n%crashEntries), time.Now()
				var header []string
				if k.header != nil {
					header = k.header(id)
				}
				got := h.call(entry, k.method, k.soundPath(), id, callerKey, k.soundBody, header...)
				whole := got.status == 200 && got.complete && (!k.wholeIsStream || got.body == streamBody(0))
				c.mu.Lock()
				defer c.mu.Unlock()
				c.list = append(c.list, soundCall{entry: entry, sent: sent, whole: whole})
			})
		}
	})
	return c
}

// count counts the calls that were sent between two times, and those of them that got a whole
// answer. It is for use once the load has been stopped.
func (c *soundCalls) count(from, to time.Time) (sent, whole int) {
	return c.countAt(from, to, func(string) bool { return true })
}

// countAt counts calls at some entries.
func (c *soundCalls) countAt(from, to time.Time, at func(entry string) bool) (sent, whole int) {
	c.calls.Wait()
	for _, call := range c.list {
		if call.sent.Before(from) || call.sent.After(to) || !at(call.entry) {
			continue
		}
		sent++
		if call.whole {
			whole++
		}
	}
	return sent, whole
}

// playMarked sends one crashing request again and again, beside sound ones, and checks how
// many of them reach servers once three servers have ended.
func (k *markedRequest) playMarked(t *testing.T, h *hostedCluster, shared *crashes) {
	const (
		calm  = 2 * time.Second
		judge = 4 * time.Second
	)
	stop := make(chan struct{})
	sound := k.soundLoad(h, 20, stop)
	began := time.Now()
	time.Sleep(calm)
	mark := fmt.Sprintf("mark-%s-%d", k.name, rand.IntN(1<<30))
	shared.setMark(mark)
	struck := time.Now()
	var repeats sync.WaitGroup
	var third time.Time
	for n := int64(0); third.IsZero() || time.Since(third) < crashStability+judge; n++ {
		repeats.Go(func() { k.marked(h, fmt.Sprintf("e%d", 1+n%crashEntries), mark, n) })
		time.Sleep(markEvery)
		if ends, _ := shared.counts(); third.IsZero() && (ends >= crashesAllowed || time.Since(struck) > 2*crashStability) {
			third = time.Now()
		}
	}
	ended := time.Now()
	close(stop)
	repeats.Wait()
	ends, reached := shared.counts()
	after := shared.reachedAfter(crashesAllowed, crashStability)
	calmSent, calmWhole := sound.count(began, struck)
	sent, whole := sound.count(ended.Add(-judge), ended)
	t.Logf("%d servers ended, the request reached servers %d times, %d of them later than %s after the third end; sound ones: %d of %d whole before, %d of %d in the last %s",
		ends, reached, after, crashStability, calmWhole, calmSent, whole, sent, judge)
	if after > allowedCrashTrials {
		t.Errorf("the request reached servers %d times later than %s after the third end, want at most %d", after, crashStability, allowedCrashTrials)
	}
	if 2*whole*calmSent < calmWhole*sent {
		t.Errorf("%d of %d sound requests were whole, and %d of %d before; want at least half as often", whole, sent, calmWhole, calmSent)
	}
	shared.setMark("")
	time.Sleep(crashDown)
}

// One request crashes each server that begins to run it, and is sent again and again at all
// entries.
func TestHostedCrashingRequest(t *testing.T) {
	h, shared, _ := newMarkCluster(t, markServers)
	for i := range markedRequests {
		k := &markedRequests[i]
		t.Run(k.name, func(t *testing.T) { k.playMarked(t, h, shared) })
	}
}

// The same where something still accepts the connections of a server that has ended, and
// resets them.
func TestHostedCrashingRequestBehindProxy(t *testing.T) {
	h, shared, _ := newMarkCluster(t, markServers)
	shared.behindProxy = true
	for _, i := range []int{0, 3} {
		k := &markedRequests[i]
		t.Run(k.name, func(t *testing.T) { k.playMarked(t, h, shared) })
	}
}

// All entries are killed at once, after a request has crashed servers, and start again: the
// request is still barred.
func TestHostedAllEntriesRestartKnowingCrashingRequest(t *testing.T) {
	const asked = 2500 * time.Millisecond
	h, shared, _ := newMarkCluster(t, markServers)
	k, mark := &markedRequests[0], "mark-restart"
	stop := make(chan struct{})
	sound := k.soundLoad(h, 20, stop)
	shared.setMark(mark)
	var number atomic.Int64
	for began := time.Now(); time.Since(began) < 2*crashStability; time.Sleep(markEvery) {
		n := number.Add(1)
		k.marked(h, fmt.Sprintf("e%d", 1+n%crashEntries), mark, n)
	}
	close(stop)
	sound.count(time.Time{}, time.Time{})
	time.Sleep(crashDown)
	_, before := shared.counts()
	for n := range crashEntries {
		_ = h.stop(fmt.Sprintf("e%d", n+1), syscall.SIGKILL)
	}
	var asking sync.WaitGroup
	for n := range crashEntries {
		name := fmt.Sprintf("e%d", n+1)
		h.start(name)
		asking.Go(func() {
			for end := time.Now().Add(asked); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				k.marked(h, name, mark, number.Add(1))
			}
		})
	}
	asking.Wait()
	if _, reached := shared.counts(); reached-before > allowedCrashTrials {
		t.Errorf("the request reached servers %d times after all entries restarted, want at most %d", reached-before, allowedCrashTrials)
	}
}

// Servers of a small service that end in series for another reason bar no request: neither
// a popular one nor others.
func TestHostedEndsWithoutCrashingRequest(t *testing.T) {
	const (
		smallService = 4
		ends         = 12
	)
	h, shared, apps := newMarkCluster(t, smallService)
	popular := markedRequests[0]
	popular.soundPath = func() string { return "/records/popular" }
	stop := make(chan struct{})
	began := time.Now()
	lookups, claims := popular.soundLoad(h, 20, stop), markedRequests[2].soundLoad(h, 20, stop)
	for i := range ends {
		time.Sleep(crashDown / 3)
		apps[i%smallService].crasher.end()
	}
	time.Sleep(crashDown)
	close(stop)
	sent, whole := lookups.count(began, time.Now())
	unsafeSent, unsafeWhole := claims.count(began, time.Now())
	ended, _ := shared.counts()
	t.Logf("%d servers ended; %d of %d lookups of one record and %d of %d claims were answered whole", ended, whole, sent, unsafeWhole, unsafeSent)
	for n := range crashEntries {
		name := fmt.Sprintf("e%d", n+1)
		if lines := h.linesWith(name, `change="barred"`); len(lines) > 0 {
			t.Errorf("%s bars a sound request: %s", name, lines[0])
		}
	}
}
