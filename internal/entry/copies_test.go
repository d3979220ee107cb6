package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// keptServices is the number of documents in which a service stays.
	keptServices = 50
	// parallelRounds is the number of documents in tests of parallel work.
	parallelRounds = 2000
)

// newDocumentEntry returns an entry, not started, for documents of
// documentResponse.
func newDocumentEntry() *Entry {
	e := newStartingEntry(rpc.NewClient(""))
	e.opts.Routed.Decode = decodeTestDocument
	return e
}

// decodeTestDocument returns the table of document n: it adds a service and has
// one customer, with a limit of n.
func decodeTestDocument(content []byte) (*routes.Table, error) {
	var document struct{ N int }
	if err := json.Unmarshal(content, &document); err != nil {
		return nil, err
	}
	if document.N == 0 {
		return nil, fmt.Errorf("document without a number")
	}
	table := &routes.Table{
		Number:    uint64(document.N),
		Customers: []routes.Customer{{Name: "heirs", Rate: float64(document.N), Burst: 1}},
	}
	for n := max(document.N-keptServices, 0) + 1; n <= document.N; n++ {
		table.Services = append(table.Services, routes.Service{Name: testService(n)})
	}
	return table, nil
}

func testService(n int) string { return fmt.Sprintf("service-%d", n) }

// documentResponse is a leader's response with document n, at revision n.
func documentResponse(n int) *wire.FetchConfigResponse {
	return revisionResponse(n, fmt.Sprintf(`{"number":%d,"content":{"N":%d}}`, n, n))
}

func revisionResponse(revision int, item string) *wire.FetchConfigResponse {
	return &wire.FetchConfigResponse{
		Revision: uint64(revision), Confirmed: true,
		Deltas: []*wire.ConfigDelta{{Revision: uint64(revision), Complete: true, Items: []*wire.ConfigItem{
			{Path: "numbered", Json: []byte(item)},
		}}},
	}
}

// listOf returns a list with a server of each service that documents first to
// last add.
func listOf(first, last int) []discovery.Server {
	var list []discovery.Server
	for n := first; n <= last; n++ {
		list = append(list, discovery.Server{Instance: fmt.Sprintf("i-%d", n), Service: testService(n), Zone: "kochi-a", Slots: 1})
	}
	return list
}

// checkParts checks that all parts of the entry hold document n.
func checkParts(t *testing.T, e *Entry, n int) {
	t.Helper()
	if config := e.config.inForce(); config == nil || config.routes.Number != uint64(n) {
		t.Errorf("document %d is not in force", n)
	}
	e.policy.mu.Lock()
	_, ok := e.policy.placer.Pick(e.now(), &placement.Request{Service: testService(n)})
	e.policy.mu.Unlock()
	if !ok {
		t.Errorf("document %d is in force, and the service that it adds has no server", n)
	}
	e.quota.mu.Lock()
	renewal := e.quota.limiter.Renewal(e.now())
	e.quota.mu.Unlock()
	if renewal.Number != uint64(n) || renewal.Limits["heirs"].Rate != float64(n) {
		t.Errorf("document %d is in force, and the limits are those of document %d", n, renewal.Number)
	}
}

// awaitBlocked waits until a goroutine that runs the function waits for a
// mutex.
func awaitBlocked(t *testing.T, function string) {
	t.Helper()
	buffer := make([]byte, 1<<20)
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		stacks := string(buffer[:runtime.Stack(buffer, true)])
		for _, stack := range strings.Split(stacks, "\n\n") {
			header, frames, _ := strings.Cut(stack, "\n")
			if strings.Contains(header, "[sync.Mutex.Lock") && strings.Contains(frames, function) {
				return
			}
		}
	}
	t.Fatalf("%s does not wait for a mutex", function)
}

// A list of backend servers that is applied while a newer configuration is put
// in force must not put placement and limits back to the older one.
func TestNewListKeepsNewerConfiguration(t *testing.T) {
	e := newDocumentEntry()
	e.config.apply("leader", documentResponse(1))
	e.applyList(listOf(1, 2), 1, 1)

	// Both wait for the policy's lock, which is given in the order in which
	// they came.
	e.policy.mu.Lock()
	var group sync.WaitGroup
	group.Go(func() { e.config.apply("leader", documentResponse(2)) })
	awaitBlocked(t, "(*configHolder).publish")
	group.Go(func() { e.applyList(listOf(1, 3), 2, 2) })
	awaitBlocked(t, "(*Entry).applyList")
	e.policy.mu.Unlock()
	group.Wait()
	checkParts(t, e, 2)
}

// All parts hold the newest document after changes and lists that arrive in
// parallel, whatever their order.
func TestParallelListsAndConfigurations(t *testing.T) {
	e := newDocumentEntry()
	for n := 1; n <= parallelRounds && !t.Failed(); n++ {
		var group sync.WaitGroup
		group.Go(func() { e.config.apply("leader", documentResponse(n)) })
		group.Go(func() { e.applyList(listOf(n, n+1), uint64(n), time.Duration(n)) })
		group.Wait()
		checkParts(t, e, n)
	}
}

// A list counts as known, which makes the entry ready, only once placement
// holds its servers.
func TestKnownListIsPlaced(t *testing.T) {
	e := newDocumentEntry()
	e.config.apply("leader", documentResponse(1))
	e.policy.mu.Lock()
	var group sync.WaitGroup
	group.Go(func() { e.applyList(listOf(1, 2), 1, 1) })
	awaitBlocked(t, "(*Entry).applyList")
	known := e.directory.Known()
	e.policy.mu.Unlock()
	group.Wait()
	if known {
		t.Error("the list is known before placement holds its servers")
	}
	checkParts(t, e, 1)
}

// A configuration that is handed over after a newer one changes nothing.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	e := newDocumentEntry()
	e.config.apply("leader", documentResponse(1))
	older := e.config.inForce()
	e.applyList(listOf(1, 2), 1, 1)
	e.config.apply("leader", documentResponse(2))
	e.policy.setConfiguration(older)
	checkParts(t, e, 2)
}

// A new route is served at once: at any moment, the service that the
// configuration in force adds has a server.
func TestAddedServiceHasServerAtOnce(t *testing.T) {
	e := newDocumentEntry()
	e.applyList(listOf(1, keptServices), 1, 1)
	e.config.apply("leader", documentResponse(1))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			service := testService(int(e.config.inForce().routes.Number))
			e.policy.mu.Lock()
			_, ok := e.policy.placer.Pick(e.now(), &placement.Request{Service: service})
			e.policy.mu.Unlock()
			if !ok {
				t.Errorf("%s is in force and has no server", service)
				return
			}
		}
	})
	for n := 2; n <= keptServices; n++ {
		e.config.apply("leader", documentResponse(n))
	}
	cancel()
	group.Wait()
}

// A list that was read before the one in use replaces neither the list nor
// placement, whichever arrives first. The leader's confirmation of a list that
// is not in use has no effect.
func TestOlderListIsIgnored(t *testing.T) {
	e := newDocumentEntry()
	e.config.apply("leader", documentResponse(1))
	e.applyList(listOf(1, 2), 0, 5*time.Second)
	e.applyList(nil, 7, 4*time.Second)
	checkParts(t, e, 1)
	if e.directory.Confirm(7, 6*time.Second) || e.directory.ListVersion() != 0 {
		t.Error("the older list is in use")
	}
	for range parallelRounds {
		_, readAt := e.directory.List()
		older, newer := readAt+1, readAt+2
		var group sync.WaitGroup
		group.Go(func() { e.applyList(nil, 0, older) })
		group.Go(func() { e.applyList(listOf(1, 2), 8, newer) })
		group.Wait()
		checkParts(t, e, 1)
	}
}
