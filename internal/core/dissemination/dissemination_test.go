package dissemination

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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

// entries is a deployment in which every entry knows all others.
type entries struct {
	all  map[string]*Topology
	dead map[string]bool
	// sent and crossed count messages, and those between zones.
	sent, crossed int
}

func deployment(zones, perZone int) *entries {
	e := &entries{all: make(map[string]*Topology), dead: make(map[string]bool)}
	var peers []Peer
	for z := range zones {
		for i := range perZone {
			peers = append(peers, Peer{Address: fmt.Sprintf("10.%d.0.%d:1", z, i), Zone: fmt.Sprint("zone-", z)})
		}
	}
	for _, peer := range peers {
		topology := New(peer)
		topology.SetPeers(peers)
		e.all[peer.Address] = topology
	}
	return e
}

// tell carries one piece of news and returns how often each entry heard it.
func (e *entries) tell(from string, at time.Duration) map[string]int {
	heard := make(map[string]int)
	var deliver func(by string, message Message)
	hand := func(by string, messages []Message) {
		for _, message := range messages {
			deliver(by, message)
		}
	}
	deliver = func(by string, message Message) {
		to := message.To
		if to != by {
			e.sent++
			if e.all[to].self.Zone != e.all[by].self.Zone {
				e.crossed++
			}
		}
		if e.dead[to] {
			return
		}
		if to != from {
			heard[to]++
		}
		t := e.all[to]
		if message.Scope >= ScopeZone {
			hand(to, t.InZone())
		}
		if message.Scope == ScopeAll {
			hand(to, t.ToOthers(at))
		}
	}
	hand(from, e.all[from].Own(at))
	return heard
}

// Every other entry hears each piece of news, and few messages cross zones.
func TestAllHear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, perZone := rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 30).Draw(t, "entries")
		e := deployment(zones, perZone)
		at := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "time"))
		from := fmt.Sprintf("10.%d.0.%d:1", rapid.IntRange(0, zones-1).Draw(t, "zone"), rapid.IntRange(0, perZone-1).Draw(t, "entry"))
		heard := e.tell(from, at)
		for address := range e.all {
			if address != from && heard[address] == 0 {
				t.Fatalf("%s did not hear of %s", address, from)
			}
		}
		if zones*perZone > directEntries && e.crossed > zones-1 {
			t.Fatalf("%d messages crossed zones", e.crossed)
		}
		if e.sent > zones*perZone+zones {
			t.Fatalf("%d messages for %d entries", e.sent, zones*perZone)
		}
	})
}

// Load pattern: an entry dies and is still listed. The others miss what was told
// in its turns, and no more.
func TestDeadCollectorLosesItsTurns(t *testing.T) {
	e := deployment(4, 20)
	e.dead["10.1.0.7:1"] = true
	missed, told := 0, 0
	for n := range 400 {
		heard := e.tell("10.2.0.3:1", time.Duration(n)*turn/2)
		for z := range 4 {
			told++
			if heard[fmt.Sprintf("10.%d.0.11:1", z)] == 0 {
				missed++
			}
		}
	}
	if missed == 0 || missed > told/20 {
		t.Errorf("%d of %d missed", missed, told)
	}
}

// An entry that knows nobody tells nobody.
func TestAlone(t *testing.T) {
	topology := New(Peer{Address: "a", Zone: "z"})
	if !topology.Alone() || len(topology.Own(0)) != 0 {
		t.Errorf("got %+v", topology.Own(0))
	}
}
