package replication

// maxHeardAddresses bounds the nodes whose addresses are kept beside the membership.
const maxHeardAddresses = 64

// heardAddress is the address that a node named in a message or a join request, and the index of
// this node's membership at that time.
type heardAddress struct {
	address         string
	membershipIndex uint64
}

// hear records the address that a node named. A node answers whoever sends it a message,
// although its own membership may be older or newer than that of the sender: the membership
// of a learner that catches up is that at the end of its log so far.
func (n *Node) hear(id NodeID, address string) {
	heard := heardAddress{address: address, membershipIndex: n.log.membershipIndex()}
	if address == "" || n.heard[id] == heard {
		return
	}
	if _, known := n.heard[id]; !known && len(n.heard) >= maxHeardAddresses {
		// Nodes that still exist are heard of again.
		clear(n.heard)
	}
	n.heard[id] = heard
}

// AddressOf returns the address of a node, or "" if it is unknown: what the node named since
// the membership last changed, else what the membership says, else what the node named before.
// A node that is still unknown may be another incarnation of a member, which lost its disk and
// restarted on the same VM.
func (n *Node) AddressOf(id NodeID) string {
	membership := n.log.membership()
	heard := n.heard[id]
	member := membership.Find(id)
	switch {
	case member != nil && (heard.address == "" || heard.membershipIndex < n.log.membershipIndex()):
		return member.Address
	case heard.address != "":
		return heard.address
	}
	for _, members := range [][]Member{membership.Voters, membership.Learners} {
		for _, other := range members {
			if other.ID.VM == id.VM {
				return other.Address
			}
		}
	}
	return ""
}
