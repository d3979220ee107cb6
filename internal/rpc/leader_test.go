package rpc

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/wire"
)

const (
	// unlimited is longer than any test.
	unlimited = time.Hour
	// answerTimeout ends a test whose call gets no answer.
	answerTimeout = 10 * time.Second
)

// scriptedReplica answers puts as answer says. Without answer it is silent.
type scriptedReplica struct {
	wire.Replica
	answer func() (*wire.PutDocumentResponse, error)
	calls  atomic.Int64
}

func (s *scriptedReplica) PutDocument(ctx context.Context, _ *wire.PutDocumentRequest) (*wire.PutDocumentResponse, error) {
	s.calls.Add(1)
	if s.answer != nil {
		return s.answer()
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func serve(tb testing.TB, replica wire.Replica) string {
	server := httptest.NewServer(wire.NewReplicaServer(replica))
	tb.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func put(ctx context.Context, r *Replicas) (*wire.PutDocumentResponse, error) {
	return Call(ctx, r, "put document", func(ctx context.Context, stub wire.Replica) (*wire.PutDocumentResponse, error) {
		return stub.PutDocument(ctx, &wire.PutDocumentRequest{Number: 1})
	})
}

func accepted() (*wire.PutDocumentResponse, error) { return &wire.PutDocumentResponse{Number: 1}, nil }

// A leader that goes silent with its connections open, and further silent
// replicas, must not delay the answer of the next leader.
func TestSilentReplicaDelaysNoCall(t *testing.T) {
	for silent := 1; silent <= 3; silent++ {
		t.Run(fmt.Sprintf("%d silent", silent), func(t *testing.T) {
			var quiet []*scriptedReplica
			var addresses []string
			for range silent {
				quiet = append(quiet, &scriptedReplica{})
				addresses = append(addresses, serve(t, quiet[len(quiet)-1]))
			}
			former := addresses[0]
			follower := &scriptedReplica{answer: func() (*wire.PutDocumentResponse, error) { return nil, NotLeader(former) }}
			addresses = append(addresses, serve(t, follower), serve(t, &scriptedReplica{answer: accepted}))
			r := NewReplicas(NewClient(""), addresses)
			r.callTimeout = unlimited
			r.SetLeader(former)
			ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
			defer cancel()
			if _, err := put(ctx, r); err != nil {
				t.Fatalf("no answer while calls to silent replicas are pending: %v", err)
			}
			if leader := r.Leader(); leader != addresses[len(addresses)-1] {
				t.Errorf("%q is called first next time, want the replica that answered", leader)
			}
			for i, replica := range quiet {
				if calls := replica.calls.Load(); calls > 1 {
					t.Errorf("silent replica %d was called %d times, want at most once", i, calls)
				}
			}
		})
	}
}

// A call whose leader answers is sent to no other replica.
func TestHealthyLeaderIsCalledAlone(t *testing.T) {
	leader, other := &scriptedReplica{answer: accepted}, &scriptedReplica{answer: accepted}
	address := serve(t, leader)
	r := NewReplicas(NewClient(""), []string{serve(t, other), address})
	r.callTimeout, r.overdueAfter = unlimited, unlimited
	r.SetLeader(address)
	for range 20 {
		if _, err := put(context.Background(), r); err != nil {
			t.Fatal(err)
		}
	}
	if leader.calls.Load() != 20 || other.calls.Load() != 0 {
		t.Errorf("the leader got %d calls and the other replica %d, want 20 and 0", leader.calls.Load(), other.calls.Load())
	}
}

// A former leader that answers sends the call to its successor alone.
func TestHintedLeaderIsCalled(t *testing.T) {
	next := serve(t, &scriptedReplica{answer: accepted})
	former := serve(t, &scriptedReplica{answer: func() (*wire.PutDocumentResponse, error) { return nil, NotLeader(next) }})
	r := NewReplicas(NewClient(""), []string{former})
	r.SetLeader(former)
	if _, err := put(context.Background(), r); err != nil {
		t.Fatal(err)
	}
	if r.Leader() != next {
		t.Errorf("%q is called first next time, want %q", r.Leader(), next)
	}
}

// A call ends with the caller's context and reports a replica's failure, or that no
// replica is known.
func TestCallEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := put(ctx, NewReplicas(NewClient(""), nil)); !errors.Is(err, ErrNoLeader) {
		t.Errorf("without an address: got error %v, want ErrNoLeader", err)
	}
	address := serve(t, &scriptedReplica{})
	if _, err := put(ctx, NewReplicas(NewClient(""), []string{address})); err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("with a silent replica: got error %v, want one that names it", err)
	}
}

// An invalid call is not repeated.
func TestInvalidCallIsNotRepeated(t *testing.T) {
	replica := &scriptedReplica{answer: func() (*wire.PutDocumentResponse, error) {
		return nil, twirp.InvalidArgumentError("content", "must be JSON")
	}}
	_, err := put(context.Background(), NewReplicas(NewClient(""), []string{serve(t, replica)}))
	if !IsPermanent(err) || replica.calls.Load() != 1 {
		t.Errorf("got error %v after %d calls, want the replica's error after 1", err, replica.calls.Load())
	}
}

// BenchmarkSilentReplicas measures a call with silent replicas at the front.
func BenchmarkSilentReplicas(b *testing.B) {
	for silent := range 4 {
		b.Run(fmt.Sprintf("silent=%d", silent), func(b *testing.B) {
			var addresses []string
			for range silent {
				addresses = append(addresses, serve(b, &scriptedReplica{}))
			}
			addresses = append(addresses, serve(b, &scriptedReplica{answer: accepted}))
			for range b.N {
				r := NewReplicas(NewClient(""), addresses)
				r.SetLeader(addresses[0])
				if _, err := put(context.Background(), r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
