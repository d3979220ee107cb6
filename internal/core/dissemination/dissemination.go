// Package dissemination selects the recipients of the updates that an entry
// publishes, so that every other entry receives them.
//
// It is designed for many entries with little processor time, each of which
// publishes a few updates per second. From a few dozen entries on, a datagram from
// each entry to every other one costs more than the requests that the datagrams
// report, and most datagrams cross zones. Therefore one entry of each zone, the
// collector, gathers the updates of its zone and of the other zones and forwards
// them in batches. The role rotates by the time of day. While a dead entry is still
// listed, the updates sent to it in its turns are lost; in return no failure
// detection is needed.
//
// A collector that sent all updates to fifty entries would fill a slow link and hold up
// the callers at its own VM. In a large zone it sends them to one entry of each block, which
// forwards them within its block. Blocks are about as many as a block has entries, and turns
// are short, so that no link is busy for long.
//
// The package does no I/O and is not safe for concurrent use.
package dissemination

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// fullMeshLimit is the number of entries up to which each sends directly to
	// all others: with so few, forwarding saves too little to justify its delay.
	fullMeshLimit = 16
	// collectorTurn is how long an entry is the collector of its zone, or forwards in its block.
	// Clock skew only causes two entries to collect at the same time.
	collectorTurn = 50 * time.Millisecond
	// blockLimit is the number of entries of a zone up to which the collector sends to all.
	blockLimit = 16
)

// Scope is how far the receiver of updates forwards them.
type Scope uint8

// The scopes.
const (
	// ScopeReceiver means that the receiver does not forward them.
	ScopeReceiver Scope = iota
	// ScopeZone means that the receiver forwards them within its own zone.
	ScopeZone
	// ScopeAll means that the receiver forwards them within its own zone and to
	// the other zones.
	ScopeAll
	// ScopeBlock means that the receiver forwards them within its own block. A previous
	// version takes it for ScopeZone.
	ScopeBlock
)

// Peer is an entry.
type Peer struct {
	Address string
	Zone    string
}

// Topology holds the entries that one entry knows, including itself.
type Topology struct {
	self Peer
	// zones holds the sorted addresses of the entries by zone.
	zones map[string][]string
	// zoneNames holds the sorted names of the zones.
	zoneNames []string
	// count is the number of entries.
	count int
}

// New returns the topology of an entry that knows no other entry.
func New(self Peer) *Topology {
	t := &Topology{self: self}
	t.SetPeers(nil)
	return t
}

// SetPeers replaces the known entries. The entry itself may be one of them.
func (t *Topology) SetPeers(peers []Peer) {
	t.zones = map[string][]string{t.self.Zone: {t.self.Address}}
	for _, peer := range peers {
		if !slices.Contains(t.zones[peer.Zone], peer.Address) {
			t.zones[peer.Zone] = append(t.zones[peer.Zone], peer.Address)
		}
	}
	t.zoneNames, t.count = nil, 0
	for zone, addresses := range t.zones {
		slices.Sort(addresses)
		t.zoneNames = append(t.zoneNames, zone)
		t.count += len(addresses)
	}
	slices.SortFunc(t.zoneNames, strings.Compare)
}

// Alone reports whether no other entry is known.
func (t *Topology) Alone() bool { return t.count <= 1 }

// Hops returns how many times an update is sent on until the last entry has it.
func (t *Topology) Hops() int {
	if t.count <= fullMeshLimit {
		return 1
	}
	hops := 2
	if len(t.zones) > 1 {
		hops++
	}
	for _, addresses := range t.zones {
		if len(addresses) > blockLimit {
			return hops + 1
		}
	}
	return hops
}

// Destination is a receiver of updates, with the scope in which it forwards them.
type Destination struct {
	// To is the address of the receiver.
	To    string
	Scope Scope
}

// OwnDestinations returns the destinations of the entry's own updates. The entry
// itself is one of them if it is the collector; it then forwards the updates as their
// receiver.
func (t *Topology) OwnDestinations(timeOfDay time.Duration) []Destination {
	if t.count > fullMeshLimit {
		return []Destination{{To: t.collector(t.self.Zone, timeOfDay), Scope: ScopeAll}}
	}
	var destinations []Destination
	for _, zone := range t.zoneNames {
		for _, address := range t.zones[zone] {
			if address != t.self.Address {
				destinations = append(destinations, Destination{To: address})
			}
		}
	}
	return destinations
}

// ZoneDestinations returns the destinations of updates that the entry forwards
// within its zone.
func (t *Topology) ZoneDestinations(timeOfDay time.Duration) []Destination {
	destinations := t.BlockDestinations()
	for _, block := range t.blocks() {
		if !slices.Contains(block, t.self.Address) {
			destinations = append(destinations, Destination{To: inTurn(block, timeOfDay), Scope: ScopeBlock})
		}
	}
	return destinations
}

// BlockDestinations returns the destinations of updates that the entry forwards within its
// block.
func (t *Topology) BlockDestinations() []Destination {
	var destinations []Destination
	for _, block := range t.blocks() {
		if !slices.Contains(block, t.self.Address) {
			continue
		}
		for _, address := range block {
			if address != t.self.Address {
				destinations = append(destinations, Destination{To: address})
			}
		}
	}
	return destinations
}

// blocks divides the entries of the zone.
func (t *Topology) blocks() [][]string {
	addresses := t.zones[t.self.Zone]
	if len(addresses) <= blockLimit {
		return [][]string{addresses}
	}
	return slices.Collect(slices.Chunk(addresses, int(math.Ceil(math.Sqrt(float64(len(addresses)))))))
}

// OtherZoneDestinations returns the destinations of updates that the entry forwards
// to the other zones.
func (t *Topology) OtherZoneDestinations(timeOfDay time.Duration) []Destination {
	var destinations []Destination
	for _, zone := range t.zoneNames {
		if zone != t.self.Zone {
			destinations = append(destinations, Destination{To: t.collector(zone, timeOfDay), Scope: ScopeZone})
		}
	}
	return destinations
}

// collector returns the address of the current collector of a zone.
func (t *Topology) collector(zone string, timeOfDay time.Duration) string {
	return inTurn(t.zones[zone], timeOfDay)
}

func inTurn(addresses []string, timeOfDay time.Duration) string {
	return addresses[int(uint64(timeOfDay/collectorTurn)%uint64(len(addresses)))]
}
