package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/observe"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/standin"
	"waxwingcart/internal/wire"
)

// Bearer keys of the customers heirs and clerks.
const (
	heirsKey  = "heirs-key"
	clerksKey = "clerks-key"
)

// testServer is a backend server of a test's configuration.
type testServer struct {
	service string
	handler http.Handler
}

// fakeReplica is a replica whose answers the test sets.
type fakeReplica struct {
	wire.Replica
	reserve func(*wire.ReserveRequest) (*wire.ReserveResponse, error)
	records chan *wire.RecordRequest
}

func (f *fakeReplica) Commit(_ context.Context, req *wire.CommitRequest) (*wire.CommitResponse, error) {
	response := &wire.CommitResponse{}
	for _, item := range req.Items {
		result := &wire.CommitResult{}
		if record := item.GetRecord(); record != nil {
			f.records <- record
			result.Body = &wire.CommitResult_Record{Record: &wire.RecordResponse{State: record.State}}
		} else if reserved, err := f.reserve(item.GetReserve()); err != nil {
			result.Body = &wire.CommitResult_Error{Error: err.Error()}
		} else {
			result.Body = &wire.CommitResult_Reserve{Reserve: reserved}
		}
		response.Results = append(response.Results, result)
	}
	return response, nil
}

func (f *fakeReplica) FetchConfig(context.Context, *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	return nil, twirp.NewError(twirp.Unavailable, "none")
}

// newTestEntry starts an entry with backend servers and without replicas. It
// returns the entry and the URL for its callers.
func newTestEntry(t *testing.T, servers ...testServer) (*Entry, string) {
	t.Helper()
	return newReplicaEntry(t, nil, servers...)
}

// newReplicaEntry is newTestEntry with a replica.
func newReplicaEntry(t *testing.T, replica *fakeReplica, servers ...testServer) (*Entry, string) {
	t.Helper()
	var replicas []string
	if replica != nil {
		server := httptest.NewServer(wire.NewReplicaServer(replica))
		t.Cleanup(server.Close)
		replicas = []string{strings.TrimPrefix(server.URL, "http://")}
	}
	e := New(Options{
		Replicas: rpc.NewReplicas(rpc.NewClient("secret"), replicas),
		VM:       "e1", Zone: "kochi-a", PeerAddress: "127.0.0.1:1", PeerSecret: "secret",
		BodyTimeout: 200 * time.Millisecond, WriteTimeout: 200 * time.Millisecond, BodyLimit: 8_192,
		Client:   rpc.NewClient("secret"),
		Logger:   observe.NewLogger(io.Discard, "error", "e1", "kochi-a"),
		Registry: prometheus.NewRegistry(),
	})
	config := testConfig(t, servers)
	// Skips the warm-up, during which a new entry has no share of the
	// customers' limits.
	e.shareLimits()
	e.startedAt -= time.Minute
	e.Start()
	t.Cleanup(e.Stop)
	e.policy.setConfiguration(config)
	e.config.current.Store(config)
	e.policy.updateUsable()
	router := mux.NewRouter()
	e.Routes(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return e, server.URL
}

func testConfig(t *testing.T, servers []testServer) *configuration {
	policy := fleet.DefaultPolicy()
	policy.DeadlineMS, policy.RetryBudgetRatio, policy.BodyLimitBytes = 5_000, 1, 4_096
	config := &fleet.Config{
		Defaults: policy,
		Zones:    []fleet.Zone{{Name: "kochi-a"}},
		Classes:  []fleet.MachineClass{{Name: "spot", PricesPerHour: map[string]float64{"kochi-a": 1}, TokensPerSecond: 1000, Slots: 8}},
		Services: []fleet.Service{
			{Name: "briefings", Kind: fleet.ServiceModel, Model: "briefing-70b"},
			{Name: "desk", Kind: fleet.ServiceApp, Repeatable: []string{"POST /searches"}},
		},
	}
	tight, wide, hedge := int64(2_048), int64(1<<20), 30.0
	config.Exceptions = []fleet.Exception{
		{Service: "desk", Reason: "small forms", Set: fleet.PolicyOverride{BodyLimitBytes: &tight, HedgeAfterMS: &hedge}},
		{Customer: "clerks", Service: "briefings", Reason: "long rulebooks", Set: fleet.PolicyOverride{BodyLimitBytes: &wide}},
	}
	for i, key := range []string{heirsKey, clerksKey} {
		hash := sha256.Sum256([]byte(key))
		config.Customers = append(config.Customers, fleet.Customer{
			Name: []string{"heirs", "clerks"}[i], KeyHashes: []string{hex.EncodeToString(hash[:])},
			Weight: 1, RequestsPerSecond: 1000, TokensPerSecond: 1e6, MaxInFlight: 100,
		})
	}
	for i, s := range servers {
		server := httptest.NewServer(s.handler)
		t.Cleanup(server.Close)
		name := string(rune('a'+i)) + "1"
		config.BackendServers = append(config.BackendServers, fleet.BackendServer{
			Name: name, VM: name, Service: s.service, Zone: "kochi-a", Class: "spot",
			Address: strings.TrimPrefix(server.URL, "http://"), Vendor: "alpha", Fencing: fleet.FencingChecked,
		})
	}
	return newConfiguration(config, 1)
}

// newTestEngine returns a simulated model engine.
func newTestEngine(t *testing.T) testServer {
	t.Helper()
	engine, err := standin.New(standin.DefaultOptions(standin.KindModel, standin.VendorAlpha))
	if err != nil {
		t.Fatal(err)
	}
	return testServer{"briefings", engine.Handler()}
}

// call sends a request and returns the answer with its body. Headers are pairs
// of name and value.
func call(t *testing.T, method, url, key, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}
