package entry

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/observe"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// seedReplica answers without a quorum's confirmation and names the leader.
type seedReplica struct {
	fakeReplica
	leader string
}

func (s *seedReplica) FetchConfig(context.Context, *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	return &wire.FetchConfigResponse{Replicas: []string{s.leader}, Leader: s.leader}, nil
}

// leaderReplica answers with a confirmed document.
type leaderReplica struct{ fakeReplica }

func (*leaderReplica) FetchConfig(context.Context, *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	return &wire.FetchConfigResponse{
		Revision: 1, Confirmed: true,
		Deltas: []*wire.ConfigDelta{{Revision: 1, Complete: true, Items: []*wire.ConfigItem{
			{Path: "numbered", Json: []byte(`{"number":5,"content":{}}`)},
		}}},
	}, nil
}

func serveReplica(t testing.TB, replica wire.Replica) string {
	server := httptest.NewServer(wire.NewReplicaServer(replica))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newStartingEntry(client *rpc.Client, replicas ...string) *Entry {
	return New(Options{
		VM: "e1", Zone: "kochi-a", PeerAddress: "127.0.0.1:0", Client: client, Replicas: rpc.NewReplicas(client, replicas),
		Logger: observe.NewLogger(io.Discard, "error", "e1", "kochi-a"), Registry: prometheus.NewRegistry(),
		Routed: &RoutedOptions{
			Decode:   func([]byte) (*routes.Table, error) { return &routes.Table{Number: 5}, nil },
			Discover: func(context.Context) ([]discovery.Server, error) { return nil, nil },
		},
	})
}

// silentReplica does not answer until the leader has been asked.
type silentReplica struct {
	fakeReplica
	t     *testing.T
	asked chan struct{}
}

func (m *silentReplica) FetchConfig(ctx context.Context, _ *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	select {
	case <-m.asked:
	case <-ctx.Done():
		m.t.Error("the leader was asked only after the call to the silent replica had timed out")
	}
	return nil, twirp.NewError(twirp.Unavailable, "no answer")
}

type signalingReplica struct {
	leaderReplica
	once  sync.Once
	asked chan struct{}
}

func (a *signalingReplica) FetchConfig(ctx context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	a.once.Do(func() { close(a.asked) })
	return a.leaderReplica.FetchConfig(ctx, req)
}

// A replica that does not answer yet must not delay the first configuration.
// This happens when all VMs restart and some come up later than others.
func TestSilentReplicaDoesNotDelayFirstConfiguration(t *testing.T) {
	asked := make(chan struct{})
	leader := serveReplica(t, &signalingReplica{asked: asked})
	silent := serveReplica(t, &silentReplica{t: t, asked: asked})
	seed := serveReplica(t, &seedReplica{leader: leader})
	e := newStartingEntry(rpc.NewClient(""), silent, seed)
	e.config.fetchFirst(context.Background())
	if config := e.config.inForce(); config == nil || config.routes.Number != 5 {
		t.Fatal("document 5 is not in force")
	}
}

// A call that arrives before the first configuration waits for it and is
// served.
func TestCallsWaitForFirstConfiguration(t *testing.T) {
	e := newStartingEntry(rpc.NewClient(""), serveReplica(t, &leaderReplica{}))
	waiting := make(chan *configuration)
	go func() { waiting <- e.awaitInitialized(context.Background(), time.Hour) }()
	e.applyList(nil, 1, 0)
	e.config.fetchFirst(context.Background())
	if config := <-waiting; config == nil || config.routes.Number != 5 {
		t.Errorf("got configuration %+v, want document 5", config)
	}
}

// A call with a short timeout is not held until the first configuration.
func TestShortTimeoutCallGetsNoConfiguration(t *testing.T) {
	e := newStartingEntry(rpc.NewClient(""))
	if config := e.awaitInitialized(context.Background(), time.Millisecond); config != nil {
		t.Errorf("got configuration %+v, want none", config)
	}
}

// A starting entry finds the leader through a replica that does not lead, and
// puts the configuration in force before the timeout for unconfirmed ones.
func TestFirstConfigurationFromLeaderOutsideSeeds(t *testing.T) {
	leader := serveReplica(t, &leaderReplica{})
	seed := serveReplica(t, &seedReplica{leader: leader})
	client := rpc.NewClient("")
	e := newStartingEntry(client, seed)
	started := time.Now()
	e.config.fetchFirst(context.Background())
	if config := e.config.inForce(); config == nil || config.routes.Number != 5 {
		t.Fatal("document 5 is not in force")
	}
	if took := time.Since(started); took >= confirmTimeout {
		t.Errorf("took %s, as long as without a quorum's confirmation", took)
	}
}
