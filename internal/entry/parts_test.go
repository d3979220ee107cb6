package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/configdelta"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// partsReplica is a leader whose document is sent in parts.
type partsReplica struct {
	fakeReplica
	store *configdelta.Store
	item  []byte
	calls atomic.Int64
	parts atomic.Int64
}

func newPartsReplica(t testing.TB) *partsReplica {
	const elements = 10_000
	padding := strings.TrimSuffix(strings.Repeat(`"an element of the document that has no effect, but must be sent",`, elements), ",")
	return &partsReplica{
		store: configdelta.NewStore(prometheus.NewRegistry()),
		item:  fmt.Appendf(nil, `{"number":5,"content":{"N":5,"padding":[%s]}}`, padding),
	}
}

func (r *partsReplica) FetchConfig(_ context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	if len(req.PartDigest) > 0 {
		r.parts.Add(1)
		return r.store.Part(req)
	}
	r.calls.Add(1)
	response := revisionResponse(5, string(r.item))
	return response, r.store.Fill(req, response)
}

// cutConnection closes the connection in the middle of an answer.
type cutConnection struct{ http.ResponseWriter }

func (c cutConnection) Write(data []byte) (int, error) {
	_, _ = c.ResponseWriter.Write(data[:len(data)/2])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// A connection that is lost in the middle of a part doesn't begin the transfer anew: another replica sends the
// parts that are missing. Without that, an entry on a slow link that loses connections never gets a long document.
func TestConnectionLostInMiddleOfPart(t *testing.T) {
	const cutAt = 2
	first, second := newPartsReplica(t), newPartsReplica(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if first.parts.Load() >= cutAt {
			w = cutConnection{w}
		}
		wire.NewReplicaServer(first).ServeHTTP(w, req)
	}))
	t.Cleanup(server.Close)
	e := newStartingEntry(rpc.NewClient(""), strings.TrimPrefix(server.URL, "http://"), serveReplica(t, second))
	e.opts.Routed.Decode = decodeTestDocument
	e.config.fetchFirst(context.Background())
	if config := e.config.inForce(); config == nil || config.routes.Number != 5 {
		t.Fatal("document 5 is not in force")
	}
	const partBytes = 256 << 10
	all := int64((len(first.item) + partBytes - 1) / partBytes)
	if got := second.parts.Load(); got == 0 || got > all-cutAt {
		t.Errorf("the second replica sent %d parts of %d, want those that the first one had not sent", got, all)
	}
}

// An entry that starts asks one replica, and no other one while that answers in time: it got the whole document from
// each of them.
func TestStartingEntryAsksReplicasInTurn(t *testing.T) {
	replicas := []*countingReplica{{}, {}, {}, {}}
	var addresses []string
	for _, replica := range replicas {
		addresses = append(addresses, serveReplica(t, replica))
	}
	e := newStartingEntry(rpc.NewClient(""), addresses...)
	e.config.answerOverdue = time.Hour
	e.config.fetchFirst(context.Background())
	if e.config.inForce() == nil {
		t.Fatal("no configuration is in force")
	}
	total := int64(0)
	for _, replica := range replicas {
		total += replica.calls.Load()
	}
	if total != 1 {
		t.Errorf("got %d calls to replicas, want 1", total)
	}
}
