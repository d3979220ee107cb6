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
// The package does no I/O and is not safe for concurrent use.
package dissemination

import (
	"slices"
	"strings"
	"time"
)

const (
	// fullMeshLimit is the number of entries up to which each sends directly to
	// all others: with so few, forwarding saves too little to justify its delay.
	fullMeshLimit = 16
	// collectorTurn is how long an entry is the collector of its zone. Clock skew
	// only causes two entries to collect at the same time.
	collectorTurn = 250 * time.Millisecond
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
func (t *Topology) ZoneDestinations() []Destination {
	var destinations []Destination
	for _, address := range t.zones[t.self.Zone] {
		if address != t.self.Address {
			destinations = append(destinations, Destination{To: address})
		}
	}
	return destinations
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
	addresses := t.zones[zone]
	return addresses[int(uint64(timeOfDay/collectorTurn)%uint64(len(addresses)))]
}
