package replica

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"waxwingcart/internal/bootclock"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

// stoppableClock is a clock that a test stops and moves, as a suspension of the VM
// does to a clock that doesn't count it.
type stoppableClock struct {
	mu      sync.Mutex
	stopped bool
	at      time.Duration
}

func (c *stoppableClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return c.at
	}
	return bootclock.Now()
}

func (c *stoppableClock) stop() {
	at := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped, c.at = true, at
}

func (c *stoppableClock) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = false
}

func (c *stoppableClock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at += by
}

// stopWithinLease stops the clock of a replica at a moment at which its lease is
// valid, and returns how long it is valid from then on.
func stopWithinLease(t *testing.T, r *Replica, clock *stoppableClock) (left time.Duration) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Millisecond) {
		valid := false
		_ = r.runInLoop(context.Background(), func() {
			clock.stop()
			r.step(replication.Tick{})
			r.publish()
			until, leased := r.node.LeaseUntil()
			left = until - r.now()
			if valid = leased && left > 0; !valid {
				clock.start()
			}
		})
		if valid {
			return left
		}
	}
	t.Fatal("the leader's lease was never valid")
	return 0
}

// confirms reports whether a replica answers a fetch as confirmed by a quorum.
func confirms(t *testing.T, r *Replica) bool {
	t.Helper()
	response, err := r.Service().FetchConfig(context.Background(), &wire.FetchConfigRequest{})
	if err != nil {
		t.Fatal(err)
	}
	return response.Confirmed
}

// holdFetch starts a fetch that a leader holds, and returns whether it was confirmed once
// it has ended.
func holdFetch(t *testing.T, r *Replica) <-chan bool {
	t.Helper()
	var revision uint64
	_ = r.runInLoop(context.Background(), func() { revision = r.machine.Revision() })
	confirmed := make(chan bool, 1)
	go func() {
		response, err := r.Service().FetchConfig(context.Background(), &wire.FetchConfigRequest{HaveRevision: revision, WaitMs: 1000, Process: "held"})
		confirmed <- err == nil && response.Confirmed
	}()
	for _, arrived := r.acks.state(time.Now())["held"]; !arrived; _, arrived = r.acks.state(time.Now())["held"] {
		time.Sleep(time.Millisecond)
	}
	// Meanwhile the fetch gets its first confirmation.
	confirms(t, r)
	return confirmed
}

// grants reports whether a replica grants units to an entry.
func grants(r *Replica) bool {
	_, err := r.Service().Draw(context.Background(), &wire.DrawRequest{Process: "e1"})
	return err == nil
}

func holdsDuties(r *Replica) bool {
	r.duties.mu.Lock()
	defer r.duties.mu.Unlock()
	_, ok := r.duties.holder()
	return ok
}

// A leader that was suspended wakes up after others have elected a leader and
// committed a change. It must confirm no read, grant nothing and hold no duties.
// With a clock that stands still during the suspension it would do all of these.
func TestSuspendedLeader(t *testing.T) {
	clock := &stoppableClock{}
	suspended, others, server := startSuspendable(t, clock)
	left := stopWithinLease(t, suspended, clock)
	_ = server.Close()
	successor := awaitLeader(t, others)
	if _, err := successor.Service().PutDocument(context.Background(), &wire.PutDocumentRequest{Number: 2, Content: []byte(`{"version":2}`)}); err != nil {
		t.Fatal(err)
	}
	if !confirms(t, suspended) || !grants(suspended) || !holdsDuties(suspended) {
		t.Fatal("with a clock that stands still the replica does not act as leader, so that the test shows nothing")
	}
	held := holdFetch(t, suspended)
	clock.advance(left)
	if grants(suspended) {
		t.Error("the leader granted units after its lease")
	}
	if holdsDuties(suspended) {
		t.Error("the leader held duties after its lease")
	}
	if confirms(t, suspended) {
		t.Error("the leader confirmed a read after its lease")
	}
	if <-held {
		t.Error("a fetch that was held meanwhile was answered with the confirmation from before")
	}
	clock.advance(10 * electionTimeout)
	if confirms(t, suspended) || grants(suspended) || holdsDuties(suspended) {
		t.Error("a replica that was suspended for long acts as leader")
	}
}

// startSuspendable starts three replicas that carry out duties. The first one leads by
// the given clock and serves peers with the server.
func startSuspendable(t *testing.T, clock *stoppableClock) (leader *Replica, others []*Replica, server *http.Server) {
	t.Helper()
	peers, listeners := newPeers(t, 3)
	var replicas []*Replica
	for i := range peers {
		opts := replicaOptions(t, peers, i)
		opts.Duties = &DutyOptions{Discover: func(context.Context) ([]discovery.Server, error) { return nil, nil }}
		if i == 0 {
			opts.Clock = clock.now
		}
		r, s := serveReplica(t, opts, listeners[i])
		if i == 0 {
			server = s
		}
		replicas = append(replicas, r)
	}
	awaitVoters(t, replicas[0], len(peers))
	return replicas[0], replicas[1:], server
}

// awaitLeader returns the one of the replicas that leads with a lease.
func awaitLeader(t *testing.T, replicas []*Replica) *Replica {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, r := range replicas {
			if r.status().Lease.Valid {
				return r
			}
		}
	}
	t.Fatal("no other replica leads")
	return nil
}
