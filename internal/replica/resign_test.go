package replica

import (
	"context"
	"net"
	"sync"
	"testing"

	"waxwingcart/internal/wire"
)

// reserveOnce commits one reservation at a replica. It returns the result, or the
// error of the call or of the item.
func reserveOnce(r *Replica, key uint64, requestID string) (*wire.ReserveResponse, string) {
	request := reserveRequest(key)
	request.RequestId = requestID
	item := &wire.CommitItem{Body: &wire.CommitItem_Reserve{Reserve: request}}
	response, err := r.Service().Commit(context.Background(), &wire.CommitRequest{Items: []*wire.CommitItem{item}})
	if err != nil {
		return nil, err.Error()
	}
	return response.Results[0].GetReserve(), response.Results[0].GetError()
}

// A leader that resigns knows its successor afterwards. Each proposal in flight
// gets a truthful answer: one that was granted is committed, one that was refused
// was not run, and any other is answered as in doubt.
func TestResignWithProposalsInFlight(t *testing.T) {
	replicas := startVoters(t, 3)
	old := replicas[0]
	const proposals = 200
	var mu sync.Mutex
	answers := make(map[uint64]string)
	var group sync.WaitGroup
	for key := range uint64(proposals) {
		group.Go(func() {
			granted, failure := reserveOnce(old, key, "first")
			if failure == "" && granted.Granted {
				failure = "granted"
			}
			mu.Lock()
			defer mu.Unlock()
			answers[key] = failure
		})
	}
	term := old.status().Term
	old.PrepareDrain(context.Background())
	group.Wait()
	status := old.status()
	if status.Term <= term || status.Leader == nil || status.Leader.ID == status.Self.ID {
		t.Fatalf("after resigning in term %d: got term %d and leader %v, want another leader in a later term", term, status.Term, status.Leader)
	}
	successor := replicas[1]
	if successor.self().ID != status.Leader.ID {
		successor = replicas[2]
	}
	for key, answer := range answers {
		again, failure := reserveOnce(successor, key, "second")
		if failure != "" {
			t.Fatalf("reservation %d at the successor: %s", key, failure)
		}
		switch {
		case answer == "granted" && again.Granted:
			t.Errorf("reservation %d was granted twice", key)
		case answer == errNotLeader.Error() && !again.Granted:
			t.Errorf("reservation %d was refused and committed", key)
		}
	}
}

// A leader that stops is followed by another replica before PrepareStop returns.
func TestStopAwaitsSuccessor(t *testing.T) {
	old := startReplicas(t, 3)
	term := old.status().Term
	if err := old.PrepareStop(context.Background()); err != nil {
		t.Fatal(err)
	}
	status := old.status()
	if status.Term <= term || status.Leader == nil || status.Leader.ID == status.Self.ID {
		t.Fatalf("after the stop in term %d: got term %d and leader %v, want another leader in a later term", term, status.Term, status.Leader)
	}
}

// A sole voter keeps leading while its entry drains, and steps down when it stops.
func TestSoleReplicaLeadsUntilStop(t *testing.T) {
	r := startReplicas(t, 1)
	r.PrepareDrain(context.Background())
	if granted, failure := reserveOnce(r, 1, "during-drain"); failure != "" || !granted.Granted {
		t.Fatalf("got %v, %q during the drain, want the reservation granted", granted, failure)
	}
	if err := r.PrepareStop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, failure := reserveOnce(r, 2, "after-stop"); failure == "" {
		t.Fatal("a reservation was committed after PrepareStop")
	}
}

// A fetch that waits for a leader ends when the replica stops.
func TestStopEndsHeldFetch(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The peer's address has no listener, so that no log is started.
	peers := []Peer{{Address: "127.0.0.1:1"}, {VM: "r1", Zone: "z1", Address: listener.Addr().String()}}
	r, _ := serveReplica(t, replicaOptions(t, peers, 1), listener)
	held := make(chan error)
	go func() {
		_, err := r.Service().FetchConfig(context.Background(), &wire.FetchConfigRequest{AwaitLeader: true, WaitMs: 20_000})
		held <- err
	}()
	if err := r.PrepareStop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := <-held; err == nil {
		t.Error("the held fetch waited for its whole time, want an error when the replica stops")
	}
}
