package replica

import (
	"net/http"
	"testing"
	"time"

	"waxwingcart/internal/core/replication"
)

// A process that hears of a new leader may call it at once: the leader's own view shows its
// role before its first message is sent.
func TestRoleIsKnownBeforeItIsAnnounced(t *testing.T) {
	peers, listeners := newPeers(t, 2)
	r, err := New(replicaOptions(t, peers, 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.stop()
		r.wg.Wait()
		_ = r.log.Close()
	})
	seen := make(chan replication.Status, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen <- r.status() })}
	go func() { _ = server.Serve(listeners[1]) }()
	t.Cleanup(func() { _ = server.Close() })

	// The effects take until the answer to a waiting call is read.
	waiting := make(chan result)
	r.waiting[1] = waiter{done: waiting}
	executed := make(chan struct{})
	go func() {
		defer close(executed)
		r.executeEffects(replication.Effects{
			Send:     []replication.Message{{Kind: replication.MessageHeartbeat, To: replication.NodeID{VM: peers[1].VM}}},
			Rejected: []replication.Rejection{{Token: 1}},
			Role:     &replication.RoleChange{Role: replication.RoleLeader},
		})
	}()
	select {
	case status := <-seen:
		if status.Self.ID != r.self().ID {
			t.Errorf("the peer got a message while the replica's view was still %+v", status)
		}
	case <-time.After(20 * time.Second):
		t.Error("the peer got no message")
	}
	<-waiting
	<-executed
}
