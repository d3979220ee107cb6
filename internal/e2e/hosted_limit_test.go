package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// limitStability is the time after an engine first named its limit from which the limit
	// binds, limitWindow the length of the windows in which requests are counted, and limitFactor and
	// limitSlack what is allowed in one.
	limitStability = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	limitEngines   = 4
)

// limiter names a limit in the answers of an engine, and keeps when requests arrived.
type limiter struct {
	mu       sync.Mutex
	value    string
	named    time.Time
	arrivals []time.Time
}

func (l *limiter) set(value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = value
}

// name adds the limit to an answer, and counts the request.
func (l *limiter) name(w http.ResponseWriter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals = append(l.arrivals, now)
	if l.value == "" {
		return
	}
	if l.named.IsZero() {
		l.named = now
	}
	w.Header().Set("Server-Limit", l.value)
}

// arrivedBetween counts the requests between two times.
func (l *limiter) arrivedBetween(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// most returns the most requests in a window that begins limitStability after the engine
// first named its limit, and ends before a time.
func (l *limiter) most(before time.Time) int {
	most := 0
	if l.named.IsZero() {
		return 0
	}
	for from := l.named.Add(limitStability); !from.Add(limitWindow).After(before); from = from.Add(20 * time.Millisecond) {
		most = max(most, l.arrivedBetween(from, from.Add(limitWindow)))
	}
	return most
}

// limitedCluster is a deployment under load, with engines that can name limits.
type limitedCluster struct {
	h       *hostedCluster
	engines []*hostedEngine
	load    *crashLoad
}

func newLimitedCluster(t *testing.T) *limitedCluster {
	t.Helper()
	c := &limitedCluster{h: newHostedCluster(t, crashEntries)}
	for i := range limitEngines {
		e := c.h.platform.addEngine(t, fmt.Sprintf("i-m%d", i), "models")
		e.limiter = &limiter{}
		e.eventInterval.Set(10)
		c.engines = append(c.engines, e)
	}
	c.h.platform.addEngine(t, "i-a1", "ledger")
	c.h.applyDocument(document(7))
	c.load = startCrashLoad(c.h)
	c.load.send(30, "/dossiers/1", true, func() string { return fmt.Sprintf("f%x:400", rand.IntN(16)) })
	time.Sleep(2 * time.Second)
	return c
}

// checkLimit fails the test if an engine got more requests in a window than its limit allows.
func checkLimit(t *testing.T, e *hostedEngine, limit float64, before time.Time) {
	t.Helper()
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	most := e.limiter.most(before)
	if e.limiter.named.IsZero() {
		t.Errorf("%s got no request and named no limit", e.id)
	}
	t.Logf("%s: at most %d requests in %s under a limit of %v a second", e.id, most, limitWindow, limit)
	if most > allowed {
		t.Errorf("%s got %d requests in %s under a limit of %v a second, want at most %d", e.id, most, limitWindow, limit, allowed)
	}
}

// An engine that names a limit gets no more requests than it allows, all entries together;
// the others serve the rest. Once its answers name none, it gets as many as the others.
func TestHostedServerLimit(t *testing.T) {
	const (
		limit   = 1.2
		lasting = 12 * time.Second
	)
	c := newLimitedCluster(t)
	limited := c.engines[0]
	limited.limiter.set("1.2")
	began := time.Now()
	time.Sleep(lasting)
	limited.limiter.set("")
	lifted := time.Now()
	checkLimit(t, limited, limit, lifted)
	if got, half := limited.limiter.arrivedBetween(began.Add(limitStability), lifted), int(limit*(lasting-limitStability).Seconds()/2); got < half {
		t.Errorf("the limited engine got %d requests, want at least %d, half of what it takes", got, half)
	}
	time.Sleep(limitStability)
	from := time.Now()
	time.Sleep(limitWindow)
	c.load.end()
	if got := limited.limiter.arrivedBetween(from, time.Now()); float64(got) < 2*limit*limitWindow.Seconds() {
		t.Errorf("the engine got %d requests in %s after its limit had ended, want more than twice what it allowed", got, limitWindow)
	}
	if sent, begun := c.load.begunBetween(began, lifted); begun < sent {
		t.Errorf("%d of %d requests began while the other engines could take them, want all", begun, sent)
	}
}

// When all engines name limits, each gets no more than it allows and at least half of it.
// Other requests are refused at once as not run, with the time to come back.
func TestHostedAllServersLimited(t *testing.T) {
	const (
		limit   = 1.2
		lasting = 12 * time.Second
	)
	c := newLimitedCluster(t)
	for _, e := range c.engines {
		e.limiter.set("1.2")
	}
	began := time.Now()
	time.Sleep(limitStability)
	refused := 0
	for i := range 20 {
		at := time.Now()
		got := c.h.call("e1", "POST", "/dossiers/1", fmt.Sprintf("r-%d", i), callerKey, "prompt", "Waxwingcart-Token-Count", "450,20")
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		switch {
		case got.status == http.StatusOK:
		case got.status != http.StatusServiceUnavailable || err != nil || wait <= 0 || wait > 60:
			t.Errorf("got %+v, want an answer, or status 503 with a Retry-After of seconds", got)
		case time.Since(at) > time.Second:
			t.Errorf("a request was refused after %s, want at once", time.Since(at))
		default:
			refused++
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(lasting)))
	ended := time.Now()
	c.load.end()
	if refused == 0 {
		t.Error("no request was refused though all engines are over their limits")
	}
	for _, e := range c.engines {
		checkLimit(t, e, limit, ended)
		if got, half := e.limiter.arrivedBetween(began.Add(limitStability), ended), int(limit*(lasting-limitStability).Seconds()/2); got < half {
			t.Errorf("%s got %d requests, want at least %d, half of what it takes", e.id, got, half)
		}
	}
}

// A limit that can't be read changes nothing, and no entry ends.
func TestHostedUnreadableLimits(t *testing.T) {
	c := newLimitedCluster(t)
	for i, value := range []string{"0", "-1", "NaN", "1e308"} {
		c.engines[i].limiter.set(value)
	}
	from := time.Now()
	time.Sleep(limitWindow)
	c.load.end()
	if sent, begun := c.load.begunBetween(from, time.Now()); begun < sent {
		t.Errorf("%d of %d requests began, want all", begun, sent)
	}
}
