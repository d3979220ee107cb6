package dissemination

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of property tests and keeps them from writing files on
// failure, unless the command line sets these flags.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// deployment simulates entries that all know each other.
type deployment struct {
	// topologies holds the topology of each entry by its address.
	topologies map[string]*Topology
	dead       map[string]bool
	// sent counts all messages, and crossZone those between zones.
	sent, crossZone int
	// sentBy counts the messages by sender.
	sentBy map[string]int
}

func newDeployment(zones, perZone int) *deployment {
	d := &deployment{topologies: make(map[string]*Topology), dead: make(map[string]bool), sentBy: make(map[string]int)}
	var peers []Peer
	for z := range zones {
		for i := range perZone {
			peers = append(peers, Peer{Address: fmt.Sprintf("10.%d.0.%d:1", z, i), Zone: fmt.Sprint("zone-", z)})
		}
	}
	for _, peer := range peers {
		topology := New(peer)
		topology.SetPeers(peers)
		d.topologies[peer.Address] = topology
	}
	return d
}

// publish sends one update and returns how often each entry received it.
func (d *deployment) publish(from string, at time.Duration) map[string]int {
	received := make(map[string]int)
	var deliver func(sender string, destination Destination)
	deliverAll := func(sender string, destinations []Destination) {
		for _, destination := range destinations {
			deliver(sender, destination)
		}
	}
	deliver = func(sender string, destination Destination) {
		to := destination.To
		if to != sender {
			d.sent++
			d.sentBy[sender]++
			if d.topologies[to].self.Zone != d.topologies[sender].self.Zone {
				d.crossZone++
			}
		}
		if d.dead[to] {
			return
		}
		if to != from {
			received[to]++
		}
		t := d.topologies[to]
		switch destination.Scope {
		case ScopeBlock:
			deliverAll(to, t.BlockDestinations())
		case ScopeAll:
			deliverAll(to, t.OtherZoneDestinations(at))
			fallthrough
		case ScopeZone:
			deliverAll(to, t.ZoneDestinations(at))
		}
	}
	deliverAll(from, d.topologies[from].OwnDestinations(at))
	return received
}

// Every other entry receives each update, and the numbers of messages and of those
// between zones stay within their limits.
func TestAllEntriesReceiveUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, perZone := rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 30).Draw(t, "entries")
		d := newDeployment(zones, perZone)
		at := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "time"))
		from := fmt.Sprintf("10.%d.0.%d:1", rapid.IntRange(0, zones-1).Draw(t, "zone"), rapid.IntRange(0, perZone-1).Draw(t, "entry"))
		received := d.publish(from, at)
		for address := range d.topologies {
			if address != from && received[address] == 0 {
				t.Fatalf("%s received no update from %s", address, from)
			}
		}
		if zones*perZone > fullMeshLimit && d.crossZone > zones-1 {
			t.Fatalf("%d messages crossed zones, expected at most one for each other zone", d.crossZone)
		}
		if d.sent > zones*perZone+zones {
			t.Fatalf("%d messages for %d entries, expected at most one for each entry and each zone", d.sent, zones*perZone)
		}
	})
}

// A dead entry that is still listed loses only the updates sent in its turns as
// collector.
func TestDeadCollectorLosesOnlyItsTurns(t *testing.T) {
	d := newDeployment(4, 20)
	d.dead["10.1.0.7:1"] = true
	missed, expected := 0, 0
	for n := range 400 {
		received := d.publish("10.2.0.3:1", time.Duration(n)*collectorTurn/2)
		for z := range 4 {
			expected++
			if received[fmt.Sprintf("10.%d.0.11:1", z)] == 0 {
				missed++
			}
		}
	}
	if missed == 0 || missed > expected/20 {
		t.Errorf("%d of %d updates missed, expected some but at most 1 in 20", missed, expected)
	}
}

// The number of hops is that of the longest way of an update.
func TestHops(t *testing.T) {
	for _, test := range []struct{ zones, perZone, hops int }{{1, 1, 1}, {4, 4, 1}, {1, 30, 3}, {4, 5, 3}, {4, 18, 4}, {6, 49, 4}} {
		d := newDeployment(test.zones, test.perZone)
		if got := d.topologies["10.0.0.0:1"].Hops(); got != test.hops {
			t.Errorf("%d zones of %d entries: got %d hops, want %d", test.zones, test.perZone, got, test.hops)
		}
	}
}

// An entry without peers has no destinations.
func TestAlone(t *testing.T) {
	topology := New(Peer{Address: "a", Zone: "z"})
	if !topology.Alone() || len(topology.OwnDestinations(0)) != 0 {
		t.Errorf("got destinations %+v, expected an entry that is alone and has none", topology.OwnDestinations(0))
	}
}

// In zones of fifty entries no entry sends an update to so many others that it fills a slow link, each gets
// it once, and within some seconds all entries have forwarded about as much.
func TestForwardingIsShared(t *testing.T) {
	const (
		zones, perZone = 6, 49
		// mostSends is twice the square root of a zone's entries, and one for each other zone.
		mostSends = 2*7 + zones
		length    = 10 * time.Second
	)
	d := newDeployment(zones, perZone)
	total := make(map[string]int)
	for at := time.Duration(0); at < length; at += 7 * time.Millisecond {
		clear(d.sentBy)
		received := d.publish("10.2.0.3:1", at)
		for address := range d.topologies {
			if address != "10.2.0.3:1" && received[address] != 1 {
				t.Fatalf("%s received an update %d times, want once", address, received[address])
			}
		}
		for address, n := range d.sentBy {
			total[address] += n
			if n > mostSends {
				t.Fatalf("%s sent an update to %d others, want at most %d", address, n, mostSends)
			}
		}
	}
	sum := 0
	for _, n := range total {
		sum += n
	}
	for address, n := range total {
		if n*zones*perZone > 4*sum {
			t.Errorf("%s sent %d of %d messages, want at most four times an equal part", address, n, sum)
		}
	}
}
