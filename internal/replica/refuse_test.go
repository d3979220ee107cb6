package replica

import (
	"context"
	"testing"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// A replica that doesn't lead refuses a document without reading it: a caller may send
// the same large document to all replicas.
func TestFollowerRefusesDocumentUnread(t *testing.T) {
	peers, listeners := newPeers(t, 2)
	// Without a majority, no replica leads.
	r, _ := serveReplica(t, replicaOptions(t, peers, 1), listeners[1])
	_, err := r.Service().PutDocument(context.Background(), &wire.PutDocumentRequest{Number: 1, Content: []byte("unreadable")})
	if _, notLeader := rpc.LeaderOf(err); !notLeader {
		t.Errorf("got error %v, want one that says that the replica does not lead", err)
	}
}
