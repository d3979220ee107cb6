package entry

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/membership"
	"waxwingcart/internal/observe"
	"waxwingcart/internal/rpc"
)

// newFleetEntry returns an entry, not started, without a configuration.
func newFleetEntry() *Entry {
	client := rpc.NewClient("")
	return New(Options{
		VM: "e1", Zone: "kochi-a", PeerAddress: "127.0.0.1:0", Client: client, Replicas: rpc.NewReplicas(client, nil),
		Logger: observe.NewLogger(io.Discard, "error", "e1", "kochi-a"), Registry: prometheus.NewRegistry(),
	})
}

// fleetConfiguration returns a configuration of one service with servers a1,
// a2 and so on.
func fleetConfiguration(revision uint64, servers int) *configuration {
	config := &fleet.Config{
		Defaults: fleet.DefaultPolicy(),
		Zones:    []fleet.Zone{{Name: "kochi-a"}},
		Classes:  []fleet.MachineClass{{Name: "spot", TokensPerSecond: 1000, Slots: 1}},
		Services: []fleet.Service{{Name: "briefings", Kind: fleet.ServiceModel, Model: "briefing-70b"}},
	}
	for i := range servers {
		name := fmt.Sprintf("a%d", i+1)
		config.BackendServers = append(config.BackendServers, fleet.BackendServer{
			Name: name, VM: name, Service: "briefings", Zone: "kochi-a", Class: "spot", Address: "127.0.0.1:1",
		})
	}
	return newConfiguration(config, revision)
}

func (e *Entry) setInForce(config *configuration) {
	e.policy.setConfiguration(config)
	e.config.current.Store(config)
}

// checkSlots checks the number of usable servers, each of which has one slot.
func checkSlots(t *testing.T, e *Entry, want int) {
	t.Helper()
	if got := e.policy.state().Slots["briefings"]; got != want {
		t.Errorf("%d servers are usable, want %d", got, want)
	}
}

// A server that a configuration adds on a VM that is known to leave gets no
// calls, not even until the next load report.
func TestAddedServerOnLeavingVMIsNotUsable(t *testing.T) {
	e := newFleetEntry()
	e.setInForce(fleetConfiguration(1, 1))
	e.stepMembership(membership.Report{VM: "a2", Incarnation: "i", Leaving: true})
	e.stepMembership(membership.Notice{VM: "a2", TimeLeft: time.Minute})
	e.setInForce(fleetConfiguration(2, 2))
	checkSlots(t, e, 1)
}

// A VM that begins to leave while the usable servers are applied gets no more
// calls, whatever the order.
func TestLeavingServerStaysUnusable(t *testing.T) {
	const servers = 400
	e := newFleetEntry()
	e.setInForce(fleetConfiguration(1, servers))
	for i := 1; i <= servers && !t.Failed(); i++ {
		vm := fmt.Sprintf("a%d", i)
		var group sync.WaitGroup
		for range 4 {
			group.Go(e.policy.updateUsable)
		}
		group.Go(func() { e.stepMembership(membership.Notice{VM: vm, TimeLeft: time.Minute}) })
		group.Wait()
		checkSlots(t, e, servers-i)
	}
}
