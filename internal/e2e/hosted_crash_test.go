package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// crashStability is the time after the fifth end from which requests with the part must
	// not reach engines, and allowedCrashTrials the number that may.
	crashStability     = 3 * time.Second
	allowedCrashTrials = 3
	crashingPart       = "bad0"
	crashEngines       = 10
	crashEntries       = 3
)

// soundCall is one client attempt that does not hold the crashing part.
type soundCall struct {
	// entry is set if it matters.
	entry        string
	sent         time.Time
	begun, whole bool
}

// crashLoad sends requests to all entries in turn until it is stopped.
type crashLoad struct {
	h     *hostedCluster
	stop  chan struct{}
	calls sync.WaitGroup

	mu    sync.Mutex
	sent  int
	sound []soundCall
}

func startCrashLoad(h *hostedCluster) *crashLoad {
	return &crashLoad{h: h, stop: make(chan struct{})}
}

// send sends requests at a rate until the load is stopped. The parts of a prompt are made for each.
func (l *crashLoad) send(perSecond int, path string, sound bool, parts func() string) {
	l.calls.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
				l.calls.Go(func() { l.call(path, sound, parts()) })
			}
		}
	})
}

func (l *crashLoad) call(path string, sound bool, parts string) {
	l.mu.Lock()
	l.sent++
	id := fmt.Sprintf("c-%d", l.sent)
	entry := fmt.Sprintf("e%d", 1+l.sent%crashEntries)
	l.mu.Unlock()
	sent := time.Now()
	got := l.h.call(entry, "POST", path, id, callerKey, "prompt", "Waxwingcart-Token-Count", "450,20",
		"Waxwingcart-Model", "m", "Waxwingcart-Prefix-Hash", fmt.Sprintf("%s,%s:50", parts, id))
	if !sound {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound = append(l.sound, soundCall{
		sent: sent, begun: got.status == 200 && strings.HasPrefix(got.body, "id: 0\n"), whole: got.complete && got.body == streamBody(0),
	})
}

// end stops the load and waits for the calls under way.
func (l *crashLoad) end() {
	close(l.stop)
	l.calls.Wait()
}

// begunBetween counts the sound calls sent between two times, and those that began.
func (l *crashLoad) begunBetween(from, to time.Time) (sent, begun int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, call := range l.sound {
		if call.sent.Before(from) || call.sent.After(to) {
			continue
		}
		sent++
		if call.begun {
			begun++
		}
	}
	return sent, begun
}

// soundParts returns parts that sound requests share with each other, and the first one with
// those that crash engines.
func soundParts() string { return fmt.Sprintf("f1:300,5%x:100", rand.IntN(16)) }

func newCrashCluster(t *testing.T) (*hostedCluster, *crashes, []*hostedEngine) {
	t.Helper()
	h := newHostedCluster(t, crashEntries)
	shared := &crashes{}
	var engines []*hostedEngine
	for i := range crashEngines {
		e := h.platform.addCrashing(t, fmt.Sprintf("i-m%d", i), "models", shared)
		e.eventInterval.Set(10)
		engines = append(engines, e)
	}
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	return h, shared, engines
}

// playCrashingPart sends sound requests and, after some seconds, requests with a part that
// ends each engine which begins to write an answer on it.
func playCrashingPart(t *testing.T, path string, bad func() string) {
	const (
		calm      = 4 * time.Second
		afterward = 2*crashStability + 4*time.Second
	)
	h, shared, _ := newCrashCluster(t)
	load := startCrashLoad(h)
	load.send(20, path, true, soundParts)
	began := time.Now()
	time.Sleep(calm)
	shared.set(crashingPart)
	struck := time.Now()
	load.send(5, path, false, bad)
	deadline := time.After(afterward + crashStability)
	var fifth time.Time
	for fifth.IsZero() {
		select {
		case <-deadline:
			fifth = time.Now()
		case <-time.After(pollInterval):
			if ends, _ := shared.counts(); ends >= 5 {
				fifth = time.Now()
			}
		}
	}
	time.Sleep(time.Until(fifth.Add(afterward)))
	ended := time.Now()
	load.end()

	ends, reached := shared.counts()
	after := shared.reachedAfter(5, crashStability)
	calmSent, calmBegun := load.begunBetween(began, struck)
	sent, begun := load.begunBetween(fifth.Add(2*crashStability), ended)
	t.Logf("%d engines ended under %d requests with the part, %d of them %s after the fifth end; sound ones begun at once: %d of %d before, %d of %d at the end",
		ends, reached, after, crashStability, calmBegun, calmSent, begun, sent)
	if after > allowedCrashTrials {
		t.Errorf("%d requests with the part reached engines later than %s after the fifth end, want at most %d", after, crashStability, allowedCrashTrials)
	}
	if 2*begun*calmSent < calmBegun*sent {
		t.Errorf("%d of %d sound requests began at once, and %d of %d before; want at least half as often", begun, sent, calmBegun, calmSent)
	}
}

// A part of a prompt crashes each engine that begins an answer on it. Its requests are sent
// at all entries, no two alike, beside sound ones with the same caller and first part.
func TestHostedCrashingPart(t *testing.T) {
	playCrashingPart(t, "/dossiers/1", func() string {
		return fmt.Sprintf("f1:300,%s:%d,7%x:60", crashingPart, 80+rand.IntN(20), rand.IntN(1<<20))
	})
}

// The same on a route that may not run twice, with the part as the first one.
func TestHostedCrashingFirstPart(t *testing.T) {
	playCrashingPart(t, "/replies/1", func() string {
		return fmt.Sprintf("%s:100,5%x:100", crashingPart, rand.IntN(16))
	})
}

// Engines that end for another reason bar no part: all sound requests are answered.
func TestHostedEndsWithoutCrashingPart(t *testing.T) {
	const ends = 12
	h, shared, engines := newCrashCluster(t)
	load := startCrashLoad(h)
	load.send(40, "/dossiers/1", true, soundParts)
	for i := range ends {
		time.Sleep(crashDown / 3)
		engines[i%crashEngines].crasher.end()
	}
	time.Sleep(crashDown)
	load.end()
	whole := len(slices.DeleteFunc(slices.Clone(load.sound), func(c soundCall) bool { return !c.whole }))
	ended, _ := shared.counts()
	t.Logf("%d engines ended, %d of %d requests were answered whole", ended, whole, len(load.sound))
	if whole < len(load.sound) {
		t.Errorf("%d of %d requests were answered whole, want all", whole, len(load.sound))
	}
}

// restartsBarred bars the crashing part at all entries, lets restart end entries and start them
// again, and reports how many requests with the part reach engines from then on. The restart
// is given a function that asks an entry for the part for a while.
func restartsBarred(t *testing.T, restart func(h *hostedCluster, ask func(entry string))) int {
	const asked = 2500 * time.Millisecond
	h, shared, _ := newCrashCluster(t)
	load := startCrashLoad(h)
	load.send(20, "/dossiers/1", true, soundParts)
	shared.set(crashingPart)
	bad := fmt.Sprintf("f1:300,%s:90", crashingPart)
	load.send(5, "/dossiers/1", false, func() string { return bad })
	for n := range crashEntries {
		name := fmt.Sprintf("e%d", n+1)
		h.eventually(name+" bars the part", func() bool { return len(h.linesWith(name, `step="quarantine"`)) > 0 })
	}
	load.end()
	time.Sleep(crashDown)
	_, before := shared.counts()
	restart(h, func(entry string) {
		answers := make(map[int]int)
		for end := time.Now().Add(asked); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			id := fmt.Sprintf("again-%s-%d", entry, time.Now().UnixNano())
			got := h.call(entry, "POST", "/dossiers/1", id, callerKey, "prompt", "Waxwingcart-Token-Count", "450,20",
				"Waxwingcart-Model", "m", "Waxwingcart-Prefix-Hash", bad+","+id+":50")
			answers[got.status]++
		}
		_, reached := shared.counts()
		t.Logf("%s: %d requests with the part reached engines since the first restart; answers by status: %v", entry, reached-before, answers)
	})
	_, reached := shared.counts()
	return reached - before
}

// Entries that are killed and start again, one after the other, ask what is barred before they
// serve.
func TestHostedRestartedEntryKnowsBars(t *testing.T) {
	reached := restartsBarred(t, func(h *hostedCluster, ask func(string)) {
		for n := range crashEntries {
			name := fmt.Sprintf("e%d", n+1)
			_ = h.stop(name, syscall.SIGKILL)
			h.start(name)
			ask(name)
		}
	})
	if reached > allowedCrashTrials {
		t.Errorf("%d requests with a barred part reached engines while entries restarted, want at most %d", reached, allowedCrashTrials)
	}
}

// All entries are killed at once and start again: the leader knows what was barred.
func TestHostedAllEntriesRestartKnowingBars(t *testing.T) {
	reached := restartsBarred(t, func(h *hostedCluster, ask func(string)) {
		for n := range crashEntries {
			_ = h.stop(fmt.Sprintf("e%d", n+1), syscall.SIGKILL)
		}
		var asking sync.WaitGroup
		for n := range crashEntries {
			name := fmt.Sprintf("e%d", n+1)
			h.start(name)
			asking.Go(func() { ask(name) })
		}
		asking.Wait()
	})
	if reached > allowedCrashTrials {
		t.Errorf("%d requests with a barred part reached engines after all entries restarted, want at most %d", reached, allowedCrashTrials)
	}
}
