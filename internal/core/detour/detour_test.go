package detour

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func newDecider(servers int) *Decider {
	d := New(1)
	var names []string
	for i := range servers {
		names = append(names, fmt.Sprint("s", i+1))
	}
	d.SetServers(names)
	return d
}

func steps(d *Decider, now time.Duration, events ...Event) Effects {
	var last Effects
	for _, ev := range events {
		last = d.Step(now, ev)
	}
	return last
}

// An entry whose links to all servers are cut goes through others once two servers answer only
// through them, and connects directly again after two direct answers.
func TestCutOffEntryTakesDetour(t *testing.T) {
	d := newDecider(12)
	steps(d, 0, Failed{"s1"})
	if d.Path() != Direct {
		t.Fatalf("got path %s after one failure, want %s", d.Path(), Direct)
	}
	effects := steps(d, 10*time.Millisecond, Failed{"s2"})
	if d.Path() != Suspect || len(effects.Compare) != compared || !slices.Contains(effects.Compare, "s1") || !slices.Contains(effects.Compare, "s2") {
		t.Fatalf("got path %s, %+v after two failures, want %s and a comparison of s1, s2 and another one", d.Path(), effects, Suspect)
	}
	steps(d, 20*time.Millisecond, Compared{Server: "s1", Through: true})
	if d.Path() != Suspect {
		t.Fatalf("got path %s after one server was compared, want %s", d.Path(), Suspect)
	}
	if effects := steps(d, 30*time.Millisecond, Compared{Server: "s2", Through: true}); d.Path() != CutOff || !effects.Changed {
		t.Fatalf("got path %s, %+v after two servers were compared, want %s and a change", d.Path(), effects, CutOff)
	}
	// An answer on a connection that was made before the cut, and a single one, don't end it.
	steps(d, time.Minute, Tick{}, Connected{"s1"}, Probed{true}, Probed{false}, Probed{true})
	if d.Path() != CutOff {
		t.Fatalf("got path %s without two direct answers in a row, want %s", d.Path(), CutOff)
	}
	if effects := steps(d, time.Minute, Probed{true}); d.Path() != Direct || !effects.Changed {
		t.Fatalf("got path %s, %+v after two direct answers, want %s and a change", d.Path(), effects, Direct)
	}
}

// Servers that are silent as well as those that fail raise a suspicion.
func TestSilence(t *testing.T) {
	d := newDecider(12)
	steps(d, 0, Silent{"s1"}, Silent{"s2"}, Silent{"s3"})
	if d.Path() != Direct {
		t.Errorf("got path %s after three silences, want %s", d.Path(), Direct)
	}
	steps(d, 0, Silent{"s1"})
	if d.Path() != Suspect {
		t.Errorf("got path %s after four silences, want %s", d.Path(), Suspect)
	}
}

// Servers that fail by themselves, and one that resets connections beyond its limit, are no cut.
func TestFailingServersAreNoCut(t *testing.T) {
	suspicion := []Event{Failed{"s1"}, Failed{"s2"}}
	for name, events := range map[string][]Event{
		"they answer nobody":        {Compared{Server: "s1"}, Compared{Server: "s2"}, Compared{Server: "s3"}},
		"one answers only others":   {Compared{Server: "s1", Through: true}, Compared{Server: "s1", Through: true}, Compared{Server: "s2"}},
		"one answers directly":      {Compared{Server: "s1", Through: true}, Compared{Server: "s2", Direct: true}, Compared{Server: "s3", Through: true}},
		"a direct answer meanwhile": {Connected{"s3"}, Compared{Server: "s1", Through: true}, Compared{Server: "s2", Through: true}},
	} {
		d := newDecider(12)
		if steps(d, 0, append(slices.Clone(suspicion), events...)...); d.Path() == CutOff {
			t.Errorf("%s: got path %s", name, d.Path())
		}
	}
}

// In a deployment of one server, one comparison is enough.
func TestOnlyServer(t *testing.T) {
	d := newDecider(1)
	steps(d, 0, Failed{"s1"}, Failed{"s1"}, Compared{Server: "s1", Through: true})
	if d.Path() != CutOff {
		t.Errorf("got path %s, want %s", d.Path(), CutOff)
	}
}

// Failures count for a time, and a suspicion ends with them.
func TestEvidenceExpires(t *testing.T) {
	d := newDecider(12)
	steps(d, 0, Failed{"s1"}, Failed{"s2"}, Compared{Server: "s1", Through: true})
	steps(d, evidenceTime, Tick{})
	if d.Path() != Direct {
		t.Errorf("got path %s after %s, want %s", d.Path(), evidenceTime, Direct)
	}
	steps(d, evidenceTime, Failed{"s1"}, Failed{"s2"}, Compared{Server: "s2", Through: true})
	if d.Path() == CutOff {
		t.Errorf("got path %s from old evidence", d.Path())
	}
}

// Servers that fail for long by themselves are compared less and less often: each comparison
// costs them requests.
func TestComparisonsBackOff(t *testing.T) {
	d, comparisons := newDecider(12), 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		if effects := steps(d, now, Failed{"s1"}); len(effects.Compare) > 0 {
			comparisons++
		}
	}
	if comparisons < 6 || comparisons > 12 {
		t.Errorf("%d comparisons in a minute of failures, want 6 to 12", comparisons)
	}
}

// During a detour direct answers are tried for at an interval.
func TestProbes(t *testing.T) {
	d := newDecider(12)
	if steps(d, 0, Tick{}).Probe != "" {
		t.Error("a probe without a detour")
	}
	steps(d, 0, Failed{"s1"}, Failed{"s2"}, Compared{Server: "s1", Through: true}, Compared{Server: "s2", Through: true})
	probes := 0
	for now := time.Duration(0); now <= 2*time.Second; now += 10 * time.Millisecond {
		if steps(d, now, Tick{}).Probe != "" {
			probes++
		}
	}
	if want := int(2 * time.Second / probeInterval); probes != want {
		t.Errorf("%d probes in 2 s, want %d", probes, want)
	}
}

// Of 300 entries, a zone of which is cut off, those that made no connection are asked last and the
// load is spread over the others.
func TestPeersAreSpread(t *testing.T) {
	d, asked := newDecider(12), make(map[string]int)
	var peers []string
	for i := range 300 {
		peers = append(peers, fmt.Sprint("p", i))
	}
	for _, peer := range peers[:50] {
		d.Step(0, PeerResult{Peer: peer})
	}
	for range 1000 {
		chosen := d.Peers(time.Second, peers)
		if len(chosen) != maxPeers {
			t.Fatalf("got %d peers, want %d", len(chosen), maxPeers)
		}
		for _, peer := range chosen {
			asked[peer]++
			if slices.Contains(peers[:50], peer) {
				t.Fatalf("%s was asked, which made no connection", peer)
			}
		}
	}
	for peer, n := range asked {
		if n > 50 {
			t.Errorf("%s was asked %d times of 3000, want a spread over 250 peers", peer, n)
		}
	}
	if len(d.Peers(time.Second, peers[:2])) != 2 {
		t.Error("want peers that made no connection, if there are no others")
	}
}

// What is remembered doesn't grow without limit.
func TestBounds(t *testing.T) {
	d := newDecider(1)
	for i := range 3 * maxEvidence {
		d.Step(0, Failed{fmt.Sprint("s", i)})
		d.Step(0, PeerResult{Peer: fmt.Sprint("p", i)})
	}
	if len(d.suspects) > maxEvidence || len(d.failedPeers) > maxEvidence {
		t.Errorf("%d servers and %d peers are remembered, want at most %d", len(d.suspects), len(d.failedPeers), maxEvidence)
	}
}
