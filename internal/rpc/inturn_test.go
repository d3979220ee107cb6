package rpc

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/wire"
)

// namedReplica notes its name when it is called, and answers as answer says.
// Without answer it is silent.
type namedReplica struct {
	wire.Replica
	name   string
	order  *[]string
	answer func() (*wire.PutDocumentResponse, error)
}

func (n *namedReplica) PutDocument(ctx context.Context, _ *wire.PutDocumentRequest) (*wire.PutDocumentResponse, error) {
	*n.order = append(*n.order, n.name)
	if n.answer != nil {
		return n.answer()
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func putInTurn(r *Replicas) error {
	_, err := CallInTurn(context.Background(), r, "put document", func(ctx context.Context, stub wire.Replica) (*wire.PutDocumentResponse, error) {
		return stub.PutDocument(ctx, &wire.PutDocumentRequest{Number: 1})
	})
	return err
}

// namedReplicas returns Replicas of which each address has a namedReplica. They are
// called in the order of names.
func namedReplicas(order *[]string, names ...string) (*Replicas, map[string]*namedReplica) {
	r := NewReplicas(NewClient(""), names)
	r.callTimeout = time.Millisecond
	replicas := make(map[string]*namedReplica)
	for _, name := range names {
		replicas[name] = &namedReplica{name: name, order: order, answer: accepted}
		r.stubs[name] = replicas[name]
	}
	return r, replicas
}

// A replica that was silent is called after the others until it answers again.
func TestSilentReplicaIsCalledLast(t *testing.T) {
	var order []string
	r, replicas := namedReplicas(&order, "a", "b", "c")
	expect := func(step string, want ...string) {
		t.Helper()
		order = nil
		if err := putInTurn(r); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		if !slices.Equal(order, want) {
			t.Errorf("%s: calls went to %v, want %v", step, order, want)
		}
	}
	replicas["a"].answer = nil
	expect("the first call", "a", "b")
	r.SetLeader("")
	expect("a call without a known leader", "b")

	replicas["b"].answer = func() (*wire.PutDocumentResponse, error) { return nil, NotLeader("a") }
	replicas["a"].answer = accepted
	r.SetLeader("")
	expect("a hint of the replica that was silent", "b", "a")
	r.SetLeader("")
	expect("after the replica answered", "a")
}

// Only a replica that gave no answer in time is silent: neither one that refused, nor
// one whose call was cut off by the caller.
func TestSilence(t *testing.T) {
	var order []string
	r, replicas := namedReplicas(&order, "a", "b")
	call := func(ctx context.Context) {
		_, _, _ = callOnce(ctx, r, "a", func(ctx context.Context, stub wire.Replica) (*wire.PutDocumentResponse, error) {
			return stub.PutDocument(ctx, &wire.PutDocumentRequest{})
		})
	}
	ended, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer cancel()
	replicas["a"].answer = nil
	call(ended)
	if got := r.candidates(); got[0] != "a" {
		t.Errorf("after a call that the caller cut off: got order %v, want a first", got)
	}
	replicas["a"].answer = func() (*wire.PutDocumentResponse, error) {
		return nil, twirp.NewError(twirp.DeadlineExceeded, "refused")
	}
	call(context.Background())
	if got := r.candidates(); got[0] != "a" {
		t.Errorf("after a refusal: got order %v, want a first", got)
	}
	// The client's error for a silent replica, as made by its stub.
	r.stubs["a"] = wire.NewReplicaProtobufClient("http://"+serve(t, &scriptedReplica{}), NewClient(""))
	call(context.Background())
	if got := r.candidates(); got[0] != "b" {
		t.Errorf("after a call without an answer: got order %v, want b first", got)
	}
}
