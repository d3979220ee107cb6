package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// unlimited is longer than any test: a call with this limit ends only if
	// the entry gives it up.
	unlimited = time.Hour
	// inForceTimeout ends a test whose revision does not come into force.
	inForceTimeout = 10 * time.Second
)

// scriptedReplica answers as answer says, and holds a call for which answer
// returns nil until the call's end.
type scriptedReplica struct {
	fakeReplica
	answer func(*wire.FetchConfigRequest) *wire.FetchConfigResponse
	// later counts the calls of an entry that has revision 1 or a newer one.
	later atomic.Int64
}

func (s *scriptedReplica) FetchConfig(ctx context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	if req.HaveRevision > 0 {
		s.later.Add(1)
	}
	if response := s.answer(req); response != nil {
		return response, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// documentAt is a response with a complete document.
func documentAt(revision uint64, confirmed bool) *wire.FetchConfigResponse {
	response := revisionResponse(int(revision), fmt.Sprintf(`{"number":%d,"content":{}}`, revision))
	response.Confirmed = confirmed
	return response
}

// newSilentReplica returns a replica that answers no call.
func newSilentReplica() *scriptedReplica {
	return &scriptedReplica{answer: func(*wire.FetchConfigRequest) *wire.FetchConfigResponse { return nil }}
}

// newSilencedLeader returns a replica that confirms revision 1 and answers no
// call of an entry that has it.
func newSilencedLeader() *scriptedReplica {
	return &scriptedReplica{answer: func(req *wire.FetchConfigRequest) *wire.FetchConfigResponse {
		if req.HaveRevision > 0 {
			return nil
		}
		return documentAt(1, true)
	}}
}

// newNextLeader returns a replica that does not lead for entries without a
// configuration, and confirms revision 2 to others.
func newNextLeader() *scriptedReplica {
	return &scriptedReplica{answer: func(req *wire.FetchConfigRequest) *wire.FetchConfigResponse {
		switch req.HaveRevision {
		case 0:
			return &wire.FetchConfigResponse{}
		case 1:
			return documentAt(2, true)
		default:
			return nil
		}
	}}
}

// follow runs an entry's fetching until the test ends.
func follow(tb testing.TB, e *Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.config.run(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
	})
}

// awaitRevision waits until a revision is in force.
func awaitRevision(tb testing.TB, e *Entry, revision uint64) {
	tb.Helper()
	for end := time.Now().Add(inForceTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if config := e.config.inForce(); config != nil && config.revision >= revision {
			return
		}
	}
	tb.Fatalf("revision %d is not in force, while calls to silent processes are pending", revision)
}

// A leader that goes silent, with connections that stay open, must not delay the
// answer of the next leader, and neither must other silent replicas. No replica
// is asked again while a call to it is pending.
func TestSilentLeaderDelaysNoConfiguration(t *testing.T) {
	for _, silent := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("%d more silent", silent), func(t *testing.T) {
			replicas := []*scriptedReplica{newSilencedLeader()}
			for range silent {
				replicas = append(replicas, newSilentReplica())
			}
			replicas = append(replicas, newNextLeader())
			var addresses []string
			for _, replica := range replicas {
				addresses = append(addresses, serveReplica(t, replica))
			}
			e := newStartingEntry(rpc.NewClient(""), addresses...)
			e.config.replicaTimeout = unlimited
			follow(t, e)
			awaitRevision(t, e, 2)
			for i, replica := range replicas[:len(replicas)-1] {
				if calls := replica.later.Load(); calls > 1 {
					t.Errorf("silent replica %d was asked %d times, want at most once", i, calls)
				}
			}
		})
	}
}

// An entry whose leader answers asks no other replica.
func TestHealthyLeaderIsAskedAlone(t *testing.T) {
	const revisions = 30
	leader := &scriptedReplica{answer: func(req *wire.FetchConfigRequest) *wire.FetchConfigResponse {
		if req.HaveRevision == revisions {
			return nil
		}
		return documentAt(req.HaveRevision+1, true)
	}}
	other := &scriptedReplica{answer: func(*wire.FetchConfigRequest) *wire.FetchConfigResponse { return &wire.FetchConfigResponse{} }}
	e := newStartingEntry(rpc.NewClient(""), serveReplica(t, other), serveReplica(t, leader))
	e.config.replicaTimeout, e.config.overdueAfter = unlimited, unlimited
	follow(t, e)
	awaitRevision(t, e, revisions)
	if calls := other.later.Load(); calls != 0 {
		t.Errorf("the replica that does not lead was asked %d times, want none", calls)
	}
	if calls := leader.later.Load(); calls > revisions {
		t.Errorf("the leader was asked %d times for %d revisions", calls, revisions)
	}
}

// A response of a former leader that arrives after one of the next leader does
// not move the configuration back, whether it is confirmed or not.
func TestLateResponseMovesNothingBack(t *testing.T) {
	e := newStartingEntry(rpc.NewClient(""))
	e.config.apply("next", documentAt(2, true))
	for _, confirmed := range []bool{false, true} {
		e.config.apply("former", documentAt(1, confirmed))
		if config := e.config.inForce(); config.revision != 2 || e.config.state().Revision != 2 {
			t.Errorf("after a late response with revision 1: revision %d is in force and %d known, want 2", config.revision, e.config.state().Revision)
		}
	}
}

// silentPeer is an entry that answers no call.
type silentPeer struct {
	wire.Peer
	// asked is set by a call of an entry that has a configuration.
	asked atomic.Bool
}

func (s *silentPeer) Config(ctx context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	if req.HaveRevision > 0 {
		s.asked.Store(true)
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// An entry of the zone that goes silent must not delay asking the replicas
// again.
func TestSilentPeerDelaysNoConfiguration(t *testing.T) {
	peer := &silentPeer{}
	server := httptest.NewServer(wire.NewPeerServer(peer))
	t.Cleanup(server.Close)
	replica := &scriptedReplica{}
	replica.answer = func(req *wire.FetchConfigRequest) *wire.FetchConfigResponse {
		switch {
		case req.HaveRevision == 0:
			return documentAt(1, true)
		case req.HaveRevision == 1 && peer.asked.Load():
			return documentAt(2, true)
		case req.HaveRevision == 1:
			return &wire.FetchConfigResponse{Revision: 1}
		default:
			return nil
		}
	}
	e := newStartingEntry(rpc.NewClient(""), serveReplica(t, replica))
	e.opts.Peers = []Peer{{VM: "e2", Zone: e.opts.Zone, Address: strings.TrimPrefix(server.URL, "http://")}}
	e.config.peerTimeout = unlimited
	follow(t, e)
	awaitRevision(t, e, 2)
}

// BenchmarkSilentLeader measures the time from the moment at which the next
// leader has a newer revision until it is in force, with a silent leader and a
// number of further silent replicas.
func BenchmarkSilentLeader(b *testing.B) {
	for _, silent := range []int{0, 1, 2} {
		b.Run(fmt.Sprintf("silent=%d", silent), func(b *testing.B) {
			var total time.Duration
			for range b.N {
				total += timeToNextLeader(b, silent)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s/in-force")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func timeToNextLeader(b *testing.B, silent int) time.Duration {
	addresses := []string{serveReplica(b, newSilencedLeader())}
	for range silent {
		addresses = append(addresses, serveReplica(b, newSilentReplica()))
	}
	addresses = append(addresses, serveReplica(b, newNextLeader()))
	e := newStartingEntry(rpc.NewClient(""), addresses...)
	follow(b, e)
	awaitRevision(b, e, 1)
	started := time.Now()
	awaitRevision(b, e, 2)
	return time.Since(started)
}
