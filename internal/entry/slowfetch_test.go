package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// slowLink passes answers in pieces.
type slowLink struct {
	http.ResponseWriter
	pieces int
	pause  time.Duration
}

func (l slowLink) Write(data []byte) (int, error) {
	size := max(len(data)/l.pieces, 1)
	for sent := 0; sent < len(data); sent += size {
		if _, err := l.ResponseWriter.Write(data[sent:min(sent+size, len(data))]); err != nil {
			return sent, err
		}
		_ = http.NewResponseController(l.ResponseWriter).Flush()
		time.Sleep(l.pause)
	}
	return len(data), nil
}

// longDocument is the length of a countingReplica's document in bytes.
const longDocument = 40 << 10

// countingReplica counts the calls of a leaderReplica, and answers with a long document.
type countingReplica struct {
	leaderReplica
	calls atomic.Int64
}

func (r *countingReplica) FetchConfig(ctx context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	r.calls.Add(1)
	response, err := r.leaderReplica.FetchConfig(ctx, req)
	if err == nil {
		item := response.Deltas[0].Items[0]
		item.Json = append(item.Json, strings.Repeat(" ", longDocument)...)
	}
	return response, err
}

// A document whose transfer takes longer than the bounds on a silent call is fetched with a
// single call, and no other replica is asked meanwhile. Each call that was cut off began the
// transfer again.
func TestSlowTransferIsNotCutOff(t *testing.T) {
	const (
		pieces = 10
		pause  = 100 * time.Millisecond
	)
	leader, other := &countingReplica{}, &countingReplica{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		wire.NewReplicaServer(leader).ServeHTTP(slowLink{w, pieces, pause}, req)
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	e := newStartingEntry(rpc.NewClient(""), address, serveReplica(t, other))
	e.config.replicaTimeout, e.config.overdueAfter = 3*pause, 3*pause
	e.config.sourceConfirmed(address)
	ctx, cancel := context.WithTimeout(context.Background(), 5*pieces*pause)
	defer cancel()
	e.config.follow(ctx)
	if e.config.inForce() == nil || leader.calls.Load() != 1 || other.calls.Load() != 0 {
		t.Errorf("in force: %t, after %d calls to the source and %d to another replica; want it in force after one call", e.config.inForce() != nil, leader.calls.Load(), other.calls.Load())
	}
}

// A transfer that stops is given up, and another replica is asked.
func TestStoppedTransferIsGivenUp(t *testing.T) {
	stopped := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte{0})
		_ = http.NewResponseController(w).Flush()
		<-req.Context().Done()
	}))
	t.Cleanup(stopped.Close)
	address := strings.TrimPrefix(stopped.URL, "http://")
	e := newStartingEntry(rpc.NewClient(""), address, serveReplica(t, &leaderReplica{}))
	e.config.replicaTimeout, e.config.overdueAfter = 200*time.Millisecond, 100*time.Millisecond
	e.config.sourceConfirmed(address)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e.config.follow(ctx)
	if e.config.inForce() == nil {
		t.Error("the document of the other replica is not in force")
	}
}

// A transfer whose bytes trickle in is given up as one that stops. It held up the configuration
// for fetchLongest.
func TestTricklingTransferIsGivenUp(t *testing.T) {
	trickling := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		w.Header().Set("Content-Length", "100000")
		for req.Context().Err() == nil {
			_, _ = w.Write([]byte{0})
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}))
	t.Cleanup(trickling.Close)
	address := strings.TrimPrefix(trickling.URL, "http://")
	e := newStartingEntry(rpc.NewClient(""), address, serveReplica(t, &leaderReplica{}))
	e.config.replicaTimeout, e.config.overdueAfter = 200*time.Millisecond, 100*time.Millisecond
	e.config.sourceConfirmed(address)
	ctx, cancel := context.WithTimeout(context.Background(), fetchLongest/2)
	defer cancel()
	e.config.follow(ctx)
	if e.config.inForce() == nil {
		t.Error("the document of the other replica is not in force")
	}
}
