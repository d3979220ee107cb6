package replica

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/wire"
)

// A peer may call while the replica starts: the call waits for the event loop.
func TestCallBeforeStart(t *testing.T) {
	peers, listeners := newPeers(t, 1)
	_ = listeners[0].Close()
	r, err := New(replicaOptions(t, peers, 0))
	if err != nil {
		t.Fatal(err)
	}
	self := r.self()
	request := &wire.JoinRequest{
		Id:      &wire.NodeID{Vm: self.ID.VM, Incarnation: self.ID.Incarnation},
		Zone:    self.Zone,
		Address: self.Address,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	joined := make(chan error, 1)
	go func() {
		_, err := r.Service().Join(ctx, request)
		joined <- err
	}()
	for len(r.inbox) == 0 {
		time.Sleep(time.Millisecond)
	}
	r.Start()
	t.Cleanup(func() {
		stopped, stop := context.WithCancel(context.Background())
		stop()
		_ = r.Stop(stopped)
	})
	// Whether it leads by now decides what it answers.
	var twerr twirp.Error
	if err := <-joined; err != nil && !(errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition) {
		t.Fatalf("a call before the start got no answer of the running replica: %v", err)
	}
}
