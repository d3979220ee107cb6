package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A replica whose disk was lost must get the state instead of a long log, from which it took longer to catch up
// than until the next disk may be lost. A replica that restarts must read its snapshot.
func TestLongLogIsReplacedByTheState(t *testing.T) {
	const documents, documentBytes = 60, 300 << 10
	peers, listeners := newPeers(t, 3)
	options := make([]Options, len(peers))
	replicas := make([]*Replica, len(peers))
	servers := make([]*http.Server, len(peers))
	for i := range peers {
		options[i] = replicaOptions(t, peers, i)
		options[i].ReplaceAfter = time.Second
		replicas[i], servers[i] = serveReplica(t, options[i], listeners[i])
	}
	leader := replicas[0]
	awaitVoters(t, leader, len(peers))
	for number := range uint64(documents) {
		content := fmt.Sprintf(`{"version":%d,"padding":%q}`, number+1, strings.Repeat("x", documentBytes))
		if _, err := putDocument(t, leader, number+1, content); err != nil {
			t.Fatal(err)
		}
	}
	want := leader.status().Commit
	for i, lost := range map[int]bool{1: true, 2: false} {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = replicas[i].Stop(ctx)
		_ = servers[i].Close()
		opts := replicaOptions(t, peers, i)
		if !lost {
			opts.DataDir = options[i].DataDir
		}
		restarted, _ := serveReplica(t, opts, listen(t, peers[i].Address))
		for end := time.Now().Add(time.Minute); restarted.status().Applied < want; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("replica %d, disk lost %t: applied %d entries, expected %d", i, lost, restarted.status().Applied, want)
			}
		}
		status := restarted.status()
		if status.SnapshotIndex == 0 || status.LogBytes >= documents*documentBytes/2 {
			t.Errorf("replica %d, disk lost %t: the snapshot ends at index %d and the log has %d bytes, expected the state and at most half of the log",
				i, lost, status.SnapshotIndex, status.LogBytes)
		}
		awaitVoters(t, leader, len(peers))
	}
}

// listen listens again at an address at which a server was closed.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}
