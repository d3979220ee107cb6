package e2e

import (
	"context"
	"encoding/json"
	"syscall"
	"testing"

	"waxwingcart/internal/wire"
)

// After the leader has changed, the new one still learns where a revision is in
// force.
func TestZonesInForceAfterLeaderChange(t *testing.T) {
	c := newCluster(t, 3, 3)
	old := c.leader("")
	if err := c.stop(old, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c.leader(old)
	c.start(old)
	c.eventually(old+" follows", func() bool {
		d, err := c.dump(old)
		return err == nil && d.Replica.Role == "follower"
	})
	data, err := json.Marshal(c.fleet)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.operator(old).ApplyConfig(context.Background(), &wire.ChangeConfigRequest{
		ChangeId: "after", BaseRevision: 1, Author: "test", ConfigJson: data, WaitMs: 20_000,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(response.ZonesInForce) != 3 || len(response.ZonesPending) != 0 {
		t.Errorf("in force in %v, pending in %v, expected three zones in force", response.ZonesInForce, response.ZonesPending)
	}
}
