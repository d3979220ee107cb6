package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// rolloutSeconds is the duration of a roll-out in these tests. Elections of a busy machine must not
	// take most of it.
	rolloutSeconds = 12
	// rolloutEventMS makes streams last half a second.
	rolloutEventMS = 25
	// rolloutCallers is the number of callers that read one stream after the other.
	rolloutCallers = 12
)

// orderRollout sends an order to a replica and returns the status, or 0 without an answer.
func (h *hostedCluster) orderRollout(replica, service, target string, seconds float64) int {
	body, err := json.Marshal(map[string]any{"service": service, "target": target, "duration_s": seconds})
	if err != nil {
		h.t.Fatal(err)
	}
	response, err := h.client.Post(h.control(replica)+"/v1/rollouts/start", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// rolloutState returns the state of a service's roll-out at a replica, "" without one, and the status.
func (h *hostedCluster) rolloutState(replica, service string) (string, int) {
	response, err := h.client.Get(h.control(replica) + "/v1/rollouts/" + service + "/get")
	if err != nil {
		return "", 0
	}
	defer response.Body.Close()
	var content struct{ State, Target string }
	if json.NewDecoder(response.Body).Decode(&content) != nil {
		return "", response.StatusCode
	}
	return content.State, response.StatusCode
}

// newRolloutCluster starts a deployment with two engines of the older version, and callers that read
// streams until the test ends. It returns the function that counts all streams, and those that failed.
func newRolloutCluster(t *testing.T) (h *hostedCluster, streams func() (all, failed int64)) {
	h, engines := newVersionCluster(t, 2, 2, 0)
	for _, engine := range engines {
		engine.eventInterval.Set(rolloutEventMS)
	}
	var all, failed atomic.Int64
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for i := range rolloutCallers {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				got := h.call(fmt.Sprintf("e%d", 1+i%2), "POST", "/dossiers/1", fmt.Sprintf("roll-%d-%d", i, n), callerKey, "stream")
				all.Add(1)
				if got.status != http.StatusOK || !got.complete {
					failed.Add(1)
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	t.Cleanup(func() { close(stop); callers.Wait() })
	return h, func() (int64, int64) { return all.Load(), failed.Load() }
}

// addTarget lists engines of the newer version.
func (h *hostedCluster) addTarget(t *testing.T) []*versionedEngine {
	var engines []*versionedEngine
	for i := range 2 {
		engine := h.platform.addVersioned(t, fmt.Sprintf("i-target-%d", i), newerVersion)
		engine.eventInterval.Set(rolloutEventMS)
		engines = append(engines, engine)
	}
	return engines
}

func arrivals(engines []*versionedEngine) (sum int) {
	for _, engine := range engines {
		sum += engine.arrived()
	}
	return sum
}

// awaitRollout waits until a roll-out has ended and returns its state.
func (h *hostedCluster) awaitRollout(service string) string {
	state := ""
	h.eventually("the roll-out has ended", func() bool {
		state, _ = h.rolloutState("r1", service)
		return state == "complete" || state == "reverted"
	})
	return state
}

// A good version gets all requests within the duration, and no stream fails. Orders that are invalid or in
// conflict are refused, the same order is accepted at every replica, also after the end and after all processes
// were killed.
func TestHostedRolloutCompletes(t *testing.T) {
	h, streams := newRolloutCluster(t)
	for what, status := range map[string]int{
		"unknown service": h.orderRollout("r1", "nobody", newerVersion, rolloutSeconds),
		"no target":       h.orderRollout("r1", "models", "", rolloutSeconds),
		"no duration":     h.orderRollout("r1", "models", newerVersion, 0),
	} {
		if status != http.StatusBadRequest {
			t.Errorf("%s: got status %d, expected 400", what, status)
		}
	}
	if _, status := h.rolloutState("r2", "models"); status != http.StatusNotFound {
		t.Errorf("before the first order: got status %d, expected 404", status)
	}
	h.eventually("the order is committed", func() bool { return h.orderRollout("r1", "models", newerVersion, rolloutSeconds) == http.StatusOK })
	ordered := time.Now()
	time.Sleep(2 * time.Second)
	engines := h.addTarget(t)
	for _, replica := range []string{"r1", "r2", "r3"} {
		if status := h.orderRollout(replica, "models", newerVersion, rolloutSeconds); status != http.StatusOK {
			t.Errorf("%s, the order again: got status %d, expected 200", replica, status)
		}
		if status := h.orderRollout(replica, "models", "v3", rolloutSeconds); status != http.StatusConflict {
			t.Errorf("%s, another target: got status %d, expected 409", replica, status)
		}
	}
	if state := h.awaitRollout("models"); state != "complete" {
		h.printRollout(t)
		t.Fatalf("got %q, expected the good version to complete", state)
	}
	if took := time.Since(ordered); took > rolloutSeconds*time.Second {
		t.Errorf("complete after %s, expected it within %d s", took, rolloutSeconds)
	}
	all, failed := streams()
	t.Logf("complete after %s: %d streams, %d failed, %d requests at the target", time.Since(ordered).Round(time.Millisecond), all, failed, arrivals(engines))
	if failed > 0 {
		t.Errorf("%d of %d streams failed", failed, all)
	}
	h.powerOff("")
	for _, replica := range []string{"r1", "r2", "r3"} {
		h.eventually(replica+" reads the roll-out back", func() bool {
			state, status := h.rolloutState(replica, "models")
			if status == http.StatusNotFound || status == http.StatusOK && state != "complete" {
				t.Fatalf("%s: got status %d, state %q, expected the acknowledged roll-out", replica, status, state)
			}
			return status == http.StatusOK
		})
	}
	if status := h.orderRollout("r2", "models", newerVersion, rolloutSeconds); status != http.StatusOK {
		t.Errorf("the order after the end: got status %d, expected 200", status)
	}
}

// A version that fails is reverted with few requests, and callers get answers of the old version.
func TestHostedRolloutReverts(t *testing.T) {
	h, streams := newRolloutCluster(t)
	h.eventually("the order is committed", func() bool { return h.orderRollout("r3", "models", newerVersion, rolloutSeconds) == http.StatusOK })
	before, _ := streams()
	var engines []*versionedEngine
	for _, engine := range h.addTarget(t) {
		engine.fail.Set(true)
		engines = append(engines, engine)
	}
	state := h.awaitRollout("models")
	all, failed := streams()
	got := arrivals(engines)
	t.Logf("%s: %d streams, %d failed, %d requests at the target", state, all-before, failed, got)
	if state != "reverted" || got == 0 {
		h.printRollout(t)
		t.Fatalf("got %q after %d requests at the target, expected the bad version to be reverted after some", state, got)
	}
	// What was granted may still be sent until the lease is over.
	time.Sleep(2 * time.Second)
	settled := arrivals(engines)
	if limit := int(all-before)/10 + 50; settled > limit {
		t.Errorf("%d requests at the bad version, expected at most %d", settled, limit)
	}
	time.Sleep(time.Second)
	if later := arrivals(engines); later != settled {
		t.Errorf("%d requests reached the bad version after it was reverted", later-settled)
	}
	if failed > 0 {
		for _, entry := range []string{"e1", "e2"} {
			for _, line := range h.linesWith(entry, `step="request"`) {
				if !strings.Contains(line, `outcome="answered" reason="" at="" attempts=1`) {
					t.Log(entry, line)
				}
			}
		}
		t.Errorf("%d of %d callers of a repeatable route got no answer of the old version", failed, all)
	}
}

// printRollout prints what the processes logged of the roll-out.
func (h *hostedCluster) printRollout(t *testing.T) {
	for name := range h.vms {
		for _, line := range h.linesWith(name, `step="rollout"`) {
			t.Log(name, line)
		}
	}
}

// The leader is killed in the middle of the roll-out of a good version. The next one goes on: the roll-out
// completes before its deadline and no stream fails.
func TestHostedRolloutLeaderLost(t *testing.T) {
	// Long enough that an election on a busy machine leaves time for the steps.
	const seconds = 24
	h, streams := newRolloutCluster(t)
	h.eventually("the replicas are complete", h.repaired)
	h.eventually("the order is committed", func() bool { return h.orderRollout("r1", "models", newerVersion, seconds) == http.StatusOK })
	ordered := time.Now()
	engines := h.addTarget(t)
	h.eventually("the target gets requests", func() bool { return arrivals(engines) > 10 })
	lost := h.leader("")
	_ = h.stop(lost, syscall.SIGKILL)
	asked := "r1"
	if lost == asked {
		asked = "r2"
	}
	state := ""
	h.eventually("the roll-out has ended", func() bool {
		state, _ = h.rolloutState(asked, "models")
		return state == "complete" || state == "reverted"
	})
	took := time.Since(ordered)
	all, failed := streams()
	t.Logf("%s after %s: %d streams, %d failed, %d requests at the target", state, took.Round(time.Millisecond), all, failed, arrivals(engines))
	if state != "complete" || took > seconds*time.Second {
		h.printRollout(t)
		t.Errorf("got %q after %s, expected it to complete within %d s", state, took, seconds)
	}
	if failed > 0 {
		t.Errorf("%d of %d streams failed", failed, all)
	}
}
