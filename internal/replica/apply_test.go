package replica

import (
	"context"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/core/replication"
)

// A replica that can't decode a committed entry must stop with an error instead
// of skipping the entry and going on with a different state.
func TestUnreadableEntryStopsTheReplica(t *testing.T) {
	leader := startReplicas(t, 1)
	failed := make(chan error, 1)
	leader.opts.Fail = func(err error) { failed <- err }
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() { _, _ = leader.await(ctx, replication.Propose{Data: []byte{0xff}}) }()
	select {
	case err := <-failed:
		if !strings.Contains(err.Error(), "decode entry") {
			t.Fatal(err)
		}
	case <-ctx.Done():
		t.Fatal("the replica did not stop at an entry that it can't decode")
	}
}
