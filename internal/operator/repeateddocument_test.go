package operator_test

import (
	"context"
	"testing"
	"time"

	"waxwingcart/internal/operator"
	"waxwingcart/internal/rpc"
)

// A VM acknowledged a long document that it had applied, without a leader that knew how many disks were left.
func TestRepeatedDocumentIsNotAcknowledgedWithoutLeader(t *testing.T) {
	replicas, addresses := startReplicas(t, 0, 0, 0)
	put := func(i int, limit time.Duration) error {
		s := &operator.Service{Replica: replicas[i], Replicas: rpc.NewReplicas(rpc.NewClient("secret"), addresses)}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return s.PutDocument(ctx, document(2))
	}
	for i := range replicas {
		if err := put(i, callTimeout); err != nil {
			t.Fatalf("replica %d: %v", i, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for revision := uint64(1); ; time.Sleep(10 * time.Millisecond) {
		if document, err := replicas[1].NumberedDocument(ctx, revision); err != nil {
			t.Fatal(err)
		} else if document.Number == 2 {
			break
		}
	}
	stopped, stop := context.WithCancel(context.Background())
	stop()
	_ = replicas[0].Stop(stopped)
	_ = replicas[2].Stop(stopped)
	time.Sleep(2 * time.Second)
	if err := put(1, time.Second); err == nil {
		t.Error("the document was acknowledged without a leader")
	}
}
