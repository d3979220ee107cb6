package replication

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Node is one replica of the log. It is not safe for concurrent use.
type Node struct {
	opts Options
	rand *rand.Rand

	// now is the time of the current step. It never decreases.
	now     time.Duration
	started bool

	term   uint64
	vote   NodeID
	role   Role
	leader NodeID
	log    entryLog

	// leaderContact is true if the node heard from a leader at leaderContactAt,
	// or may have done so before a restart. While that contact is recent, the
	// node grants no vote, since the leader's lease may depend on it.
	leaderContact   bool
	leaderContactAt time.Duration
	// leaseHolder is the leader that the node heard from last, and
	// leaseHolderTerm the term of that leader.
	leaseHolder     NodeID
	leaseHolderTerm uint64
	// restartRetryUntil is the end of the period in which a restarted leader
	// repeats its pre-vote requests at short intervals.
	restartRetryUntil time.Duration
	// electionAt is when the node campaigns unless a leader contacts it before.
	electionAt time.Duration
	// campaignsAsNonVoter is true once the node refused a candidate whose membership it votes by, but its own does not, for
	// want of entries that this node has. No other may be able to win, as long as no leader is elected.
	campaignsAsNonVoter bool
	// votes holds the nodes that granted their vote in the current election.
	votes map[NodeID]bool
	// answers holds the answers to the last request for votes, and nil before the first one since a leader was known.
	answers map[NodeID]VoteAnswer
	// leaderless is true while no leader is known, since leaderlessAt.
	leaderless   bool
	leaderlessAt time.Duration
	// leaving is true once the node received its own Leave or a Resign that says
	// so, and stopping once it received a Resign that says so.
	leaving  bool
	stopping bool
	// resignedTerm is the last term whose leader is known to have resigned, or 0.
	resignedTerm uint64

	// leaderState is set only while the node is the leader.
	leaderState *leadership
	// appendTimeouts counts the waits for the acknowledgement of appends that ended without one.
	appendTimeouts uint64

	// joinRequests holds the latest join request of each VM.
	joinRequests []joinRequest
	// heard holds the addresses that other nodes named, since the membership may lack them.
	heard map[NodeID]heardAddress
	// gone holds former voters on whose VMs another incarnation asked to join.
	gone map[NodeID]bool

	incomingSnapshot *incomingSnapshot
	writes           writes
	// emitted is the last index that was returned in Effects.Committed or
	// installed with a snapshot; applied is the last one that the state machine
	// has applied.
	emitted uint64
	applied uint64
	// seen is the roleView after the last step, and reported the RoleChange
	// that was returned last.
	seen     roleView
	reported RoleChange
	effects  Effects
}

// Default values of Options.
const (
	DefaultElectionTimeout   = 1000 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultLeaseDuration     = 800 * time.Millisecond
	DefaultReplaceAfter      = 30 * time.Second
	DefaultMaxBatchBytes     = 1 << 20
	DefaultMaxInflight       = 64
	DefaultMaxInflightBytes  = 4 << 20
	DefaultMinAppendRate     = 1 << 20
	DefaultMaxPendingBytes   = 64 << 20
	DefaultRetainEntries     = 4096
	DefaultRetainBytes       = 8 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.LeaseDuration, DefaultLeaseDuration)
	setDefault(&o.ReplaceAfter, DefaultReplaceAfter)
	setDefault(&o.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&o.MaxInflight, DefaultMaxInflight)
	setDefault(&o.MaxInflightBytes, DefaultMaxInflightBytes)
	setDefault(&o.MinAppendRate, DefaultMinAppendRate)
	setDefault(&o.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&o.RetainEntries, DefaultRetainEntries)
	setDefault(&o.RetainBytes, DefaultRetainBytes)
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (o Options) validate() error {
	if o.Self.ID.VM == "" || o.Self.ID.Incarnation == 0 {
		return errors.New("replication: Self has no VM or no incarnation")
	}
	if o.LeaseDuration >= o.ElectionTimeout {
		return fmt.Errorf("replication: lease duration %v is not shorter than the election timeout %v", o.LeaseDuration, o.ElectionTimeout)
	}
	if o.HeartbeatInterval*2 > o.LeaseDuration {
		return fmt.Errorf("replication: lease duration %v is shorter than two heartbeat intervals of %v", o.LeaseDuration, o.HeartbeatInterval)
	}
	if o.MaxClockDrift < 0 || o.MaxClockDrift >= 0.5 {
		return fmt.Errorf("replication: maximum clock drift %v is not in [0, 0.5)", o.MaxClockDrift)
	}
	return nil
}

func (r Restored) validate() error {
	next := uint64(1)
	if r.Snapshot != nil {
		next = r.Snapshot.Index + 1
	}
	for _, e := range r.Entries {
		if e.Index != next {
			return fmt.Errorf("replication: restored log has entry %d where %d is expected", e.Index, next)
		}
		next++
	}
	if r.HardState.Commit >= next {
		return fmt.Errorf("replication: restored log ends at index %d, before its commit index %d", next-1, r.HardState.Commit)
	}
	return nil
}

// New returns a node that continues from the restored state. The caller must
// have loaded restored.Snapshot into the state machine. The first steps return
// the committed entries after that snapshot.
func New(opts Options, restored Restored) (*Node, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	if err := restored.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		opts: opts,
		rand: rand.New(rand.NewPCG(opts.Seed, opts.Self.ID.Incarnation)),
		term: restored.HardState.Term,
		vote: restored.HardState.Vote,
		log:  newEntryLog(restored),

		heard: make(map[NodeID]heardAddress),
		gone:  make(map[NodeID]bool),

		leaseHolder:     restored.HardState.LeaseHolder,
		leaseHolderTerm: restored.HardState.LeaseHolderTerm,
	}
	// A crash after the sync of a snapshot and before that of the log leaves a
	// hard state with an older term.
	if last := n.log.lastTerm(); n.term < last {
		n.term = last
		n.vote = NodeID{}
	}
	n.writes.stableTerm = n.term
	n.writes.stableLeaseHolderTerm = n.leaseHolderTerm
	n.emitted = n.log.baseIndex
	n.applied = n.log.baseIndex
	return n, nil
}

// Step processes one event and returns its effects. The time is monotonic and
// counted from an arbitrary start. After a long pause, Step first drops a lease
// that has expired in the meantime and then processes the event.
func (n *Node) Step(now time.Duration, ev Event) Effects {
	n.effects = Effects{}
	n.advanceTime(now)
	switch ev := ev.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.hear(ev.Message.From, ev.Address)
		n.receive(&ev.Message)
	case Undelivered:
		n.undelivered(ev.To)
	case Persisted:
		n.persisted(ev.Sequence)
	case Propose:
		n.propose(ev)
	case ProposeMembership:
		n.proposeMembership(ev.Token, ev.Membership)
	case Join:
		n.hear(ev.Member.ID, ev.Member.Address)
		n.noteJoiner(ev.Member.ID)
		n.join(ev)
	case Leave:
		n.leave(ev)
	case Resign:
		n.handleResign(ev)
	case Read:
		n.read(ev)
	case Applied:
		n.applied = max(n.applied, ev.Index)
	case Compacted:
		n.compact(&ev.Snapshot)
	}
	n.finishStep()
	return n.effects
}

// advanceTime sets the time of the step. A leader without contact to a quorum
// for an election timeout steps down.
func (n *Node) advanceTime(now time.Duration) {
	n.now = max(n.now, now)
	if !n.started {
		n.started = true
		n.initTimers()
	}
	if n.leaderState != nil && n.now-n.quorumContactAt() >= n.opts.ElectionTimeout {
		n.becomeFollower(n.term, NodeID{})
	}
}

// initTimers sets the timers in the first step after a start. A lease ends with
// the leader's process, so a node that was itself the last leader campaigns
// without waiting for its lease. Any other node may have acknowledged a leader
// just before it stopped and waits until that leader's lease has expired.
func (n *Node) initTimers() {
	if n.leaseHolder == n.self() {
		n.restartRetryUntil = n.now + 2*n.opts.ElectionTimeout
		n.electionAt = n.now
		return
	}
	leaseWait := min(n.voterLeaseDuration(), n.opts.ElectionTimeout)
	n.leaderContact = true
	n.leaderContactAt = n.now + leaseWait - n.opts.ElectionTimeout
	n.scheduleCampaign(leaseWait)
}

func (n *Node) tick() {
	if n.leaderState != nil {
		n.tickLeader()
		return
	}
	if n.now < n.electionAt {
		return
	}
	if !n.isVoter() && !n.campaignsAsNonVoter {
		n.forgetLeader()
		return
	}
	if !n.stopping {
		n.preCampaign()
	}
}

// finishStep adds the effects that depend on the state after the event.
func (n *Node) finishStep() {
	if n.leaderState != nil {
		n.serveReads()
		n.replicate()
	}
	n.emitCommitted()
	n.persist()
	n.noteLeader()
	n.reportRole()
}

// emitCommitted returns the entries that are committed and synced on this node.
func (n *Node) emitCommitted() {
	last := min(n.log.commit, n.log.stable)
	if last <= n.emitted || n.emitted < n.log.baseIndex {
		return
	}
	from := n.emitted - n.log.baseIndex
	to := last - n.log.baseIndex
	n.effects.Committed = n.log.entries[from:to:to]
	n.emitted = last
}

func (n *Node) compact(s *Snapshot) {
	if s.Index <= n.emitted {
		n.log.compact(s, n.opts.RetainEntries, n.opts.RetainBytes)
	}
}

// roleView holds the values that a RoleChange depends on. It is compared after
// each step, so that a RoleChange is built only after one of them changed.
type roleView struct {
	role            Role
	term            uint64
	leader          NodeID
	membershipIndex uint64
}

func (n *Node) reportRole() {
	seen := roleView{n.role, n.term, n.leader, n.log.membershipIndex()}
	if seen == n.seen {
		return
	}
	n.seen = seen
	change := RoleChange{Role: n.role, Term: n.term, Leader: n.leaderMember()}
	same := change.Role == n.reported.Role && change.Term == n.reported.Term
	if same && sameMember(change.Leader, n.reported.Leader) {
		return
	}
	n.reported = change
	n.effects.Role = &change
}

func sameMember(a, b *Member) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// leaderMember returns the current leader, or nil if it is unknown. Its zone is
// empty if the membership does not hold the leader yet.
func (n *Node) leaderMember() *Member {
	if n.leader.IsZero() {
		return nil
	}
	if member := n.log.membership().Find(n.leader); member != nil {
		found := *member
		return &found
	}
	return &Member{ID: n.leader, Address: n.AddressOf(n.leader)}
}

func (n *Node) self() NodeID { return n.opts.Self.ID }

func (n *Node) isVoter() bool { return n.log.membership().IsVoter(n.self()) }

func (n *Node) reject(token uint64, reason RejectReason) {
	rejection := Rejection{Token: token, Reason: reason, Leader: n.leaderMember()}
	n.effects.Rejected = append(n.effects.Rejected, rejection)
}

// SnapshotAt returns a snapshot with the given data and the term and membership
// in force at index. It returns false if the entry at index was not yet returned
// for applying or is already compacted.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, bool) {
	term, ok := n.log.termAt(index)
	if !ok || index > n.emitted {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Membership: n.log.membershipAt(index), Data: data}, true
}
