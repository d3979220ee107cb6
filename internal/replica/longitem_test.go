package replica

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/replication"
)

// A replica that stored a document longer than a part of a snapshot could not read its next snapshot, and ended at
// each start. Such a document is refused, and the longest one that is accepted is read from the snapshot.
func TestLongestDocumentIsReadFromSnapshot(t *testing.T) {
	const partOfSnapshot, accepted = 16 << 20, 8 << 20
	before := SetCompaction(replication.CompactionLimits{Entries: 1, MinBytes: 4 << 20, MaxBytes: 64 << 20})
	t.Cleanup(func() { SetCompaction(before) })
	for _, length := range []int{partOfSnapshot, accepted} {
		peers, listeners := newPeers(t, 1)
		opts := replicaOptions(t, peers, 0)
		r, server := serveReplica(t, opts, listeners[0])
		awaitVoters(t, r, 1)
		first := r.status().SnapshotIndex
		content := `"` + strings.Repeat("x", length-len(`""`)) + `"`
		if _, err := putDocument(t, r, 1, content); (err == nil) != (length == accepted) {
			t.Errorf("a document of %d bytes: got %v", length, err)
		} else if err != nil {
			continue
		}
		for end := time.Now().Add(20 * time.Second); r.status().SnapshotIndex == first; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no snapshot with the document was saved")
			}
		}
		_ = server.Close()
		if err := r.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		opts.Registry = prometheus.NewRegistry()
		restarted, err := New(opts)
		if err != nil {
			t.Fatalf("after a document of %d bytes, the replica does not start: %v", length, err)
		}
		if revision := restarted.machine.Revision(); revision != 1 {
			t.Errorf("got revision %d from the snapshot, expected 1", revision)
		}
		_ = restarted.log.Close()
	}
}
