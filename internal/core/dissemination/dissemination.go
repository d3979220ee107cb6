// Package dissemination decides to whom an entry sends its news, so that all
// entries hear of it.
//
// Load pattern: many entries with little processor time, each of which has a few
// pieces of news a second for all others. A datagram from each to each costs more
// than the requests that it tells of from some dozen entries on, and most of them
// cross zones. So one entry of each zone collects what its zone and the other
// zones have, and hands it on together. The part goes round by the time of day:
// an entry that died loses the news of its turns, and nobody has to find it out.
//
// The package does no I/O and is not safe for concurrent use.
package dissemination

import (
	"slices"
	"strings"
	"time"
)

const (
	// directEntries is the number of entries up to which each sends to all others
	// itself: below it, passing on saves less than it delays.
	directEntries = 16
	// turn is how long an entry collects for its zone before the next one does.
	// Clocks that differ only make two entries collect at a time.
	turn = 250 * time.Millisecond
)

// Scope says how far the receiver of news hands them on.
type Scope uint8

// The scopes of news.
const (
	// ScopeReceiver: the receiver keeps them to itself.
	ScopeReceiver Scope = iota
	// ScopeZone: the receiver hands them on in its own zone.
	ScopeZone
	// ScopeAll: the receiver hands them on in its zone and to the other zones.
	ScopeAll
)

// Peer is an entry.
type Peer struct {
	Address string
	Zone    string
}

// Topology holds the entries as one of them sees them.
type Topology struct {
	self  Peer
	zones map[string][]string
	// names lists the zones, the own one included, in order.
	names []string
	count int
}

// New returns the topology of an entry that knows no other.
func New(self Peer) *Topology {
	t := &Topology{self: self}
	t.SetPeers(nil)
	return t
}

// SetPeers replaces the known entries. The entry itself may be among them.
func (t *Topology) SetPeers(peers []Peer) {
	t.zones = map[string][]string{t.self.Zone: {t.self.Address}}
	for _, peer := range peers {
		if !slices.Contains(t.zones[peer.Zone], peer.Address) {
			t.zones[peer.Zone] = append(t.zones[peer.Zone], peer.Address)
		}
	}
	t.names, t.count = nil, 0
	for zone, addresses := range t.zones {
		slices.Sort(addresses)
		t.names = append(t.names, zone)
		t.count += len(addresses)
	}
	slices.SortFunc(t.names, strings.Compare)
}

// Alone reports whether no other entry is known.
func (t *Topology) Alone() bool { return t.count <= 1 }

// Message is news to send.
type Message struct {
	To    string
	Scope Scope
}

// Own returns where the entry's own news go. The entry itself may be among the
// receivers; it hands them on then.
func (t *Topology) Own(timeOfDay time.Duration) []Message {
	if t.count > directEntries {
		return []Message{{To: t.collector(t.self.Zone, timeOfDay), Scope: ScopeAll}}
	}
	var messages []Message
	for _, zone := range t.names {
		for _, address := range t.zones[zone] {
			if address != t.self.Address {
				messages = append(messages, Message{To: address})
			}
		}
	}
	return messages
}

// InZone returns where news go that the entry hands on in its zone.
func (t *Topology) InZone() []Message {
	var messages []Message
	for _, address := range t.zones[t.self.Zone] {
		if address != t.self.Address {
			messages = append(messages, Message{To: address})
		}
	}
	return messages
}

// ToOthers returns where news go that the entry hands on to the other zones.
func (t *Topology) ToOthers(timeOfDay time.Duration) []Message {
	var messages []Message
	for _, zone := range t.names {
		if zone != t.self.Zone {
			messages = append(messages, Message{To: t.collector(zone, timeOfDay), Scope: ScopeZone})
		}
	}
	return messages
}

// collector is the entry of a zone whose turn it is.
func (t *Topology) collector(zone string, timeOfDay time.Duration) string {
	addresses := t.zones[zone]
	return addresses[int(uint64(timeOfDay/turn)%uint64(len(addresses)))]
}
