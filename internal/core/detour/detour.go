// Package detour decides whether an entry connects to backend servers directly or through
// other entries.
//
// Load pattern: some entries, at times most of a zone, lose their links to all backend
// servers for seconds, while callers and other entries still reach them. New connections time
// out, are reset, or are accepted by something in between and stay silent; those from before
// may live on. Servers that fail by themselves answer nobody. Therefore failures only raise a
// suspicion; then some servers are asked both directly and through another entry, and the
// entry is cut off if they answer only the latter.
//
// The package does no I/O and is not safe for concurrent use.
package detour

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evidenceTime is how long failures and comparisons count.
	evidenceTime = 2 * time.Second
	// failedWeight and silentWeight are the weights of failures, and suspectAt the sum without
	// a success between from which on servers are compared. Silence has less weight, since
	// loaded servers are silent for long.
	failedWeight, silentWeight, suspectAt = 2, 1, 4
	// cutOffAfter is the number of servers that answer only through other entries from which on
	// the entry counts as cut off.
	cutOffAfter = 2
	// compared is the number of servers of one comparison.
	compared = 3
	// minCompareInterval is the time until the next comparison, which doubles up to
	// maxCompareInterval while comparisons show no cut.
	minCompareInterval = 500 * time.Millisecond
	maxCompareInterval = 8 * time.Second
	// rejoinAfter is the number of direct answers in a row that end a detour, and
	// probeInterval how often one is tried for.
	rejoinAfter   = 2
	probeInterval = 250 * time.Millisecond
	// peerRetryTime is how long a peer that made no connection is asked after the others.
	peerRetryTime = 2 * time.Second
	// maxPeers is the number of peers that are asked for one connection.
	maxPeers = 3
	// maxEvidence bounds the servers and peers that are remembered.
	maxEvidence = 1024
)

// Path is how an entry connects to backend servers.
type Path string

// The paths.
const (
	// Direct means that the entry connects by itself.
	Direct Path = "direct"
	// Suspect means that the entry connects by itself and servers are being compared.
	Suspect Path = "suspect"
	// CutOff means that servers answer only through other entries, which make all connections.
	CutOff Path = "cut-off"
)

// Event is what a Decider learns.
type Event interface{ isEvent() }

// Connected reports that a server answered on a new direct connection.
type Connected struct{ Server string }

// Failed reports that no direct connection to a server could be made, or that it was broken
// off before the first byte of an answer.
type Failed struct{ Server string }

// Silent reports that a server has not answered a request for long, while no server answered
// another one.
type Silent struct{ Server string }

// Compared reports whether a server answered directly and through another entry.
type Compared struct {
	Server          string
	Direct, Through bool
}

// Probed reports whether a server answered directly during a detour.
type Probed struct{ Direct bool }

// PeerResult reports whether a peer made a connection.
type PeerResult struct {
	Peer string
	OK   bool
}

// Tick lets time pass.
type Tick struct{}

func (Connected) isEvent()  {}
func (Failed) isEvent()     {}
func (Silent) isEvent()     {}
func (Compared) isEvent()   {}
func (Probed) isEvent()     {}
func (PeerResult) isEvent() {}
func (Tick) isEvent()       {}

// Effects are what follows from an event.
type Effects struct {
	// Changed is true if the path changed to or from CutOff.
	Changed bool
	// Compare lists servers to ask both directly and through another entry; answered by Compared.
	Compare []string
	// Probe is a server to ask directly, or empty; answered by Probed.
	Probe string
}

// Decider chooses the path of one entry's connections.
type Decider struct {
	random  *rand.Rand
	path    Path
	servers []string
	// suspects holds the servers that failed or were silent since the last success, and weight
	// the sum of these failures, the last of which was at failedAt.
	suspects map[string]bool
	weight   int
	failedAt time.Duration
	// unreachable holds when a server last answered only through another entry.
	unreachable map[string]time.Duration
	// comparedAt is when the last comparison began, and interval the time to the next one.
	comparedAt, interval time.Duration
	// rejoined counts the direct answers in a row during a detour; probedAt is when the last
	// was tried for.
	rejoined int
	probedAt time.Duration
	// failedPeers holds when a peer last made no connection.
	failedPeers map[string]time.Duration
}

// New returns a Decider that connects directly.
func New(seed uint64) *Decider {
	return &Decider{
		random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), path: Direct,
		suspects: make(map[string]bool), unreachable: make(map[string]time.Duration),
		interval: minCompareInterval, comparedAt: -maxCompareInterval, failedPeers: make(map[string]time.Duration),
	}
}

// SetServers replaces the known servers.
func (d *Decider) SetServers(servers []string) { d.servers = slices.Clone(servers) }

// Path returns the path in use.
func (d *Decider) Path() Path { return d.path }

// Step applies an event.
func (d *Decider) Step(now time.Duration, ev Event) Effects {
	before := d.path
	d.expire(now)
	switch ev := ev.(type) {
	case Connected:
		if d.path != CutOff {
			d.reset()
		}
	case Failed:
		d.failed(now, ev.Server, failedWeight)
	case Silent:
		d.failed(now, ev.Server, silentWeight)
	case Compared:
		d.compared(now, ev)
	case Probed:
		d.probed(ev.Direct)
	case PeerResult:
		if ev.OK {
			delete(d.failedPeers, ev.Peer)
		} else if len(d.failedPeers) < maxEvidence {
			d.failedPeers[ev.Peer] = now
		}
	case Tick:
	}
	effects := Effects{Changed: (d.path == CutOff) != (before == CutOff)}
	switch {
	case d.path == Suspect && now-d.comparedAt >= d.interval:
		d.interval = min(2*d.interval, maxCompareInterval)
		d.comparedAt, effects.Compare = now, d.toCompare()
	case d.path == CutOff && now-d.probedAt >= probeInterval && len(d.servers) > 0:
		d.probedAt, effects.Probe = now, d.servers[d.random.IntN(len(d.servers))]
	}
	return effects
}

// toCompare returns the servers that failed, and others if they are few.
func (d *Decider) toCompare() []string {
	var chosen []string
	for _, i := range d.random.Perm(len(d.servers)) {
		chosen = append(chosen, d.servers[i])
	}
	slices.SortStableFunc(chosen, func(a, b string) int { return rank(!d.suspects[a]) - rank(!d.suspects[b]) })
	return chosen[:min(len(chosen), compared)]
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

func (d *Decider) reset() {
	d.path, d.weight, d.rejoined = Direct, 0, 0
	clear(d.suspects)
	clear(d.unreachable)
}

func (d *Decider) failed(now time.Duration, server string, weight int) {
	if len(d.suspects) < maxEvidence {
		d.suspects[server] = true
	}
	d.weight += weight
	d.failedAt = now
	if d.path == Direct && d.weight >= suspectAt {
		d.path = Suspect
	}
}

// compared counts a server that answers only through other entries. One that answers directly
// shows that there is no cut.
func (d *Decider) compared(now time.Duration, ev Compared) {
	if d.path != Suspect {
		return
	}
	if ev.Direct {
		d.reset()
		return
	}
	if !ev.Through {
		return
	}
	d.unreachable[ev.Server] = now
	if len(d.unreachable) >= min(cutOffAfter, len(d.servers)) {
		d.path, d.rejoined, d.probedAt, d.interval = CutOff, 0, now, minCompareInterval
	}
}

func (d *Decider) probed(direct bool) {
	if d.path != CutOff {
		return
	}
	if !direct {
		d.rejoined = 0
		return
	}
	if d.rejoined++; d.rejoined >= rejoinAfter {
		d.reset()
	}
}

// expire forgets old evidence. Only direct answers end a detour.
func (d *Decider) expire(now time.Duration) {
	maps.DeleteFunc(d.failedPeers, func(_ string, at time.Duration) bool { return now-at >= peerRetryTime })
	if d.path == CutOff {
		return
	}
	maps.DeleteFunc(d.unreachable, func(_ string, at time.Duration) bool { return now-at >= evidenceTime })
	if d.weight > 0 && now-d.failedAt >= evidenceTime {
		d.reset()
	}
	if now-d.comparedAt >= 2*maxCompareInterval {
		d.interval = minCompareInterval
	}
}

// Peers returns the peers to ask for a connection, in order: at random, those that made none
// lately after the others.
func (d *Decider) Peers(now time.Duration, peers []string) []string {
	d.expire(now)
	chosen := slices.Clone(peers)
	d.random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	failed := func(peer string) bool { _, failed := d.failedPeers[peer]; return failed }
	slices.SortStableFunc(chosen, func(a, b string) int { return rank(failed(a)) - rank(failed(b)) })
	return chosen[:min(len(chosen), maxPeers)]
}
