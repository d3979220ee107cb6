package crashguard

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/wire"
)

// guardNet connects the guards of entries, whose clock a test sets.
type guardNet struct {
	mu     sync.Mutex
	now    time.Duration
	guards []*Guard
	ended  map[string]int
	// listens and leaving are what the guards hear of servers.
	listens, leaving bool
	// cut is true if no answer comes to an attempt to connect, resets if connections are
	// accepted and reset, and reachable if all entries but the first reach the servers.
	cut, resets, reachable bool
	probes                 int
	// onProbe is called before the first entry tries a connection, if set.
	onProbe func()
	// silent is the number of entries, from the first on, that don't answer questions.
	silent int
}

// serverAddress is the address at which the first entry's attempts are.
const serverAddress = "127.0.0.1:1"

// crashesUntilBarred is the number of ends, one after the other, that bar a part.
const crashesUntilBarred = 3

// netPeer is an entry as another one calls it.
type netPeer struct {
	wire.Peer
	net   *guardNet
	index int
}

var errNoAnswer = errors.New("no answer")

func (p *netPeer) Bars(context.Context, *wire.BarsRequest) (*wire.BarsResponse, error) {
	if p.index < p.net.silent {
		return nil, errNoAnswer
	}
	return p.net.guards[p.index].Bars(), nil
}

func (p *netPeer) Sight(ctx context.Context, req *wire.SightRequest) (*wire.SightResponse, error) {
	if p.index < p.net.silent {
		return nil, errNoAnswer
	}
	return p.net.guards[p.index].Sight(ctx, req.Instance), nil
}

func (n *guardNet) clock() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

func (n *guardNet) advance(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now += d
}

func (n *guardNet) add() *Guard {
	index := len(n.guards)
	g := New(Options{
		Now: n.clock, Seed: uint64(index) + 1, Logger: &log.Logger{Level: log.PanicLevel}, Address: fmt.Sprint("entry-", index),
		Send: func(news *wire.News) {
			for i, other := range n.guards {
				if i != index {
					other.Told(news)
				}
			}
		},
		Peers: func() []string {
			var peers []string
			for i := range n.guards {
				if i != index {
					peers = append(peers, fmt.Sprint("entry-", i))
				}
			}
			return peers
		},
		Peer: func(address string) wire.Peer {
			var i int
			_, _ = fmt.Sscanf(address, "entry-%d", &i)
			return &netPeer{net: n, index: i}
		},
		Server: func(string) (string, bool) { return fmt.Sprint("seen-by-", index), true },
		Listens: func(_ context.Context, address string, _ time.Duration) (bool, bool, bool) {
			if n.onProbe != nil && index == 0 {
				n.onProbe()
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.probes++
			if n.reachable && address != "seen-by-0" && address != serverAddress {
				return true, true, true
			}
			return n.listens, n.listens || n.resets, !n.cut
		},
		Leaving: func(string) bool { return n.leaving },
		Ended: func(instance string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.ended[instance]++
		},
	})
	n.guards = append(n.guards, g)
	return g
}

func newGuardNet() *guardNet {
	n := &guardNet{now: time.Hour, ended: make(map[string]int)}
	n.add()
	n.add()
	return n
}

func badRequest(id string) Request {
	return NewRequest(Call{ID: id, Service: "models", Model: "m", Customer: "heirs", Parts: []string{"f1", "bad0", id}, Body: []byte(id)})
}

// crash breaks an attempt off at the first entry, a second after the one before.
func (n *guardNet) crash(i int) {
	n.advance(time.Second)
	p, sound := badRequest(fmt.Sprint("id-", i)), NewRequest(Call{ID: "sound", Service: "models", Model: "m", Customer: "heirs", Parts: []string{"f1", "own"}, Body: []byte("sound")})
	for range 4 {
		n.guards[0].Begun(&sound, "v1")
	}
	a := Attempt{Instance: fmt.Sprint("i-", i), Address: serverAddress, Version: "v1", Placed: n.clock() - 50*time.Millisecond}
	n.guards[0].investigate(&p, a, true, n.clock())
}

func barred(g *Guard) bool {
	p := badRequest("new")
	v := g.Check(&p, []string{"v1"})
	return !v.Allows("v1")
}

// Three servers that end under a part bar it at all entries, also at one that starts later.
func TestBarReachesAllEntries(t *testing.T) {
	n := newGuardNet()
	for i := range 3 {
		if barred(n.guards[0]) || barred(n.guards[1]) {
			t.Fatalf("the part is barred after %d crashes", i)
		}
		n.crash(i)
	}
	if !barred(n.guards[0]) || !barred(n.guards[1]) || len(n.ended) != 3 {
		t.Errorf("barred: %t and %t; %d servers reported as ended, want the part barred at both and 3", barred(n.guards[0]), barred(n.guards[1]), len(n.ended))
	}
	later := n.add()
	for range 2 {
		n.advance(time.Second)
		n.guards[0].Repeat()
		n.guards[1].Repeat()
	}
	if !barred(later) {
		t.Error("the part is not barred at an entry that started after it was")
	}
	p := badRequest("goes-well")
	n.advance(time.Second)
	n.guards[1].Begun(&p, "v1")
	if barred(n.guards[0]) || barred(n.guards[1]) || barred(later) {
		t.Error("the part is barred though an answer has begun on it")
	}
}

// An entry that starts asks the others what is barred, and does not wait for a repetition. An
// entry that does not answer is no reason to know nothing.
func TestStartedEntryAsksForBars(t *testing.T) {
	for silent := range 3 {
		n := newGuardNet()
		for i := range 3 {
			n.crash(i)
		}
		n.silent = silent
		started := n.add()
		if barred(started) {
			t.Fatal("an entry that has just started bars the part")
		}
		started.CatchUp(context.Background())
		if got, want := barred(started), silent < 2; got != want {
			t.Errorf("%d of 2 entries silent: barred %t, want %t", silent, got, want)
		}
	}
}

// The leader keeps the bars for entries that start while no other one knows them, and forgets
// those that have ended, also if an entry that did not hear of the end repeats them.
func TestLeaderKeepsBars(t *testing.T) {
	n := newGuardNet()
	alone := Options{Now: n.clock, Logger: &log.Logger{Level: log.PanicLevel}, Send: func(*wire.News) {}, Ended: func(string) {}}
	leader, deaf := New(alone), New(alone)
	for i := range 3 {
		n.crash(i)
	}
	told := n.guards[0].Report()
	leader.Told(told)
	deaf.Told(told)
	deaf.Report()
	if again := n.guards[0].Report(); again != nil {
		t.Errorf("told %v twice", again)
	}

	n.silent = len(n.guards)
	started := n.add()
	started.LeaderBars(leader.Bars().Bars)
	started.CatchUp(context.Background())
	if !barred(started) {
		t.Error("the part is not barred at an entry that the leader told")
	}

	n.advance(time.Second)
	p := badRequest("goes-well")
	n.guards[1].Begun(&p, "v1")
	leader.Told(n.guards[1].Report())
	n.advance(2 * time.Second)
	deaf.Repeat()
	repeated := deaf.Report()
	if len(repeated.GetBars()) != 1 {
		t.Fatalf("the entry that did not hear of the end repeats %v, want one bar", repeated)
	}
	leader.Told(repeated)
	if bars := leader.Bars().Bars; len(bars) != 0 {
		t.Errorf("the leader keeps %v after the bar has ended", bars)
	}
}

// An attempt that a server breaks off is no evidence if the server still listens, or was known
// to leave.
func TestNoEvidence(t *testing.T) {
	for name, set := range map[string]func(*guardNet){
		"listens": func(n *guardNet) { n.listens = true },
		"leaving": func(n *guardNet) { n.leaving = true },
	} {
		n := newGuardNet()
		set(n)
		for i := range 10 {
			n.crash(i)
		}
		if barred(n.guards[0]) || len(n.ended) > 0 {
			t.Errorf("%s: the part is barred, or %d servers were reported as ended", name, len(n.ended))
		}
	}
}

// A server that neither accepts nor refuses a connection may be behind a cut link: it takes
// twice as many ends to bar a part.
func TestUnansweredProbeIsWeakEvidence(t *testing.T) {
	n := newGuardNet()
	n.cut = true
	for i := range 6 {
		if barred(n.guards[0]) {
			t.Fatalf("the part is barred after %d attempts at servers that may be behind a cut link", i)
		}
		n.crash(i)
	}
	if !barred(n.guards[0]) {
		t.Error("the part is not barred after 6 attempts")
	}
}

// An answer that began after a server had ended, but before this was confirmed, acquits its
// request at all entries, also those that did not hear of it.
func TestAnswerBeforeConfirmationAcquits(t *testing.T) {
	n := newGuardNet()
	popular := NewRequest(Call{ID: "popular", Service: "desk", Customer: "heirs", Target: "/records/1"})
	for i := range 9 {
		n.advance(time.Second)
		ended := n.clock()
		n.advance(50 * time.Millisecond)
		n.guards[0].Begun(&popular, "v1")
		n.advance(50 * time.Millisecond)
		again := NewRequest(Call{ID: fmt.Sprint("again-", i), Service: "desk", Customer: "heirs", Target: "/records/1"})
		n.guards[0].investigate(&again, Attempt{Instance: fmt.Sprint("i-", i), Version: "v1", Placed: ended - 10*time.Millisecond}, false, ended)
		for _, g := range n.guards {
			if v := g.Check(&popular, []string{"v1"}); !v.Allows("v1") {
				t.Fatalf("a popular request is barred after %d ends, each with an answer since", i+1)
			}
		}
	}
}

// An entry that is cut off from servers sees them refuse or reset its connections. Others reach
// them, or get answers: that is no evidence, here or there.
func TestCutOffEntryBarsNothing(t *testing.T) {
	for name, set := range map[string]func(n *guardNet, i int){
		"refused, others reach the server":    func(n *guardNet, _ int) { n.reachable = true },
		"reset, others reach the server":      func(n *guardNet, _ int) { n.reachable, n.resets = true, true },
		"no answer, others reach the server":  func(n *guardNet, _ int) { n.reachable, n.cut = true, true },
		"refused, answers on old connections": func(n *guardNet, i int) { n.answerLater(0, i) },
		"refused, others get answers": func(n *guardNet, i int) {
			n.onProbe = func() {
				n.advance(time.Second)
				n.guards[1].Answered(fmt.Sprint("i-", i))
			}
		},
	} {
		n := newGuardNet()
		for i := range 10 {
			set(n, i+1)
			n.crash(i + 1)
		}
		if barred(n.guards[0]) || barred(n.guards[1]) || len(n.ended) > 0 {
			t.Errorf("%s: the part is barred, or %d servers were reported as ended", name, len(n.ended))
		}
	}
}

// answerLater lets the server of the i-th crash answer an entry after that crash.
func (n *guardNet) answerLater(entry, i int) {
	n.advance(2 * time.Second)
	n.guards[entry].Answered(fmt.Sprint("i-", i))
	n.advance(-2 * time.Second)
}

// Something may still accept the connections of a server that has ended, and reset them. All
// entries see that, and none of them gets an answer.
func TestEndedBehindProxyCounts(t *testing.T) {
	n := newGuardNet()
	n.resets = true
	for i := range crashesUntilBarred {
		if barred(n.guards[0]) {
			t.Fatalf("the part is barred after %d crashes", i)
		}
		n.crash(i)
	}
	if !barred(n.guards[0]) || !barred(n.guards[1]) {
		t.Error("the part is not barred though the servers reset all connections")
	}
}

// An entry that is told of the end of a server takes it for none if the server has answered
// it since.
func TestToldEndIsContradicted(t *testing.T) {
	n := newGuardNet()
	n.silent = len(n.guards)
	for i := range crashesUntilBarred {
		n.answerLater(1, i)
		n.advance(time.Second)
		p := badRequest(fmt.Sprint("id-", i))
		n.guards[0].investigate(&p, Attempt{Instance: fmt.Sprint("i-", i), Version: "v1", Placed: n.clock()}, true, n.clock())
	}
	if barred(n.guards[1]) {
		t.Error("an entry bars a part for ends of servers that have answered it since")
	}
}

// Attempts that one server breaks off together cost one connection of this entry, and one of
// the other entry, which is asked once.
func TestOneProbeForAServer(t *testing.T) {
	n := newGuardNet()
	for i := range 20 {
		p := badRequest(fmt.Sprint("id-", i))
		n.guards[0].investigate(&p, Attempt{Instance: "i-1", Version: "v1", Placed: n.now}, false, n.now)
	}
	if n.probes != 2 {
		t.Errorf("%d connections, want 2", n.probes)
	}
}

// Of a prompt with many parts the first and the last are kept.
func TestLongPrompts(t *testing.T) {
	var names []string
	for i := range 1000 {
		names = append(names, fmt.Sprint("part-", i))
	}
	p := NewRequest(Call{ID: "id", Service: "models", Model: "m", Customer: "heirs", Parts: append(names, "own")})
	last := quarantine.NewPart("models", "part-999")
	if len(p.request.Parts) != quarantine.MaxParts || p.request.Parts[0] != quarantine.NewPart("models", "part-0") || p.request.Parts[len(p.request.Parts)-1] != last {
		t.Errorf("got %d parts, want %d, the first and the last ones", len(p.request.Parts), quarantine.MaxParts)
	}
}
