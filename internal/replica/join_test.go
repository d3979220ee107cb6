package replica

import (
	"context"
	"testing"
	"time"

	"waxwingcart/internal/wire"
)

// A replica that is a member already, such as one that restarted, may ask to join. The
// answer comes although no entry of the log follows.
func TestJoinOfMember(t *testing.T) {
	replicas := startVoters(t, 3)
	self := replicas[1].self()
	request := &wire.JoinRequest{
		Id:      &wire.NodeID{Vm: self.ID.VM, Incarnation: self.ID.Incarnation},
		Zone:    self.Zone,
		Address: self.Address,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := replicas[0].Service().Join(ctx, request); err != nil {
		t.Fatalf("the leader did not answer a member's join request: %v", err)
	}
}
