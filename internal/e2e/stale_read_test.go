package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Numbers of rounds and of reads in each.
const (
	staleReadRounds  = 4
	staleReadReaders = 4
	readsPerReader   = 40
)

// A leader is frozen and resumed after another one has committed a document. No read that
// starts after that, through any replica, returns an older document, and an entry that
// has served by the document once never serves by an older one.
func TestResumedLeaderReadsNothingOld(t *testing.T) {
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	for round := range staleReadRounds {
		old := h.leader("")
		h.signal(old, syscall.SIGSTOP)
		through := h.leader(old)
		version := 8 + round
		path := fmt.Sprintf("/added-%d/", version)
		content := document(version, map[string]any{
			"name": "added", "host": "desk.example", "path_prefix": path, "type": "safe", "timeout_ms": 1000, "attempts": 1, "service": "ledger",
		})
		h.eventually(fmt.Sprintf("version %d is acknowledged", version), func() bool { return h.put(through, content) == http.StatusOK })
		revision := h.confirmedRevision(through)
		h.signal(old, syscall.SIGCONT)
		var readers sync.WaitGroup
		for reader := range staleReadReaders {
			readers.Go(func() { h.readRepeatedly(reader, old, version, revision) })
		}
		readers.Go(func() { h.callRepeatedly(path) })
		readers.Wait()
	}
}

// confirmedRevision returns the revision that a quorum confirms at a replica.
func (h *hostedCluster) confirmedRevision(replica string) (revision uint64) {
	h.t.Helper()
	h.eventually("a confirmed revision at "+replica, func() bool {
		response, err := h.fetch(replica)
		if err != nil || !response.Confirmed {
			return false
		}
		revision = response.Revision
		return true
	})
	return revision
}

func (h *hostedCluster) fetch(replica string) (*wire.FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stub := wire.NewReplicaProtobufClient("http://"+h.vms[replica].peerAddress, rpc.NewClient(""))
	return stub.FetchConfig(ctx, &wire.FetchConfigRequest{})
}

// readRepeatedly reads the configuration through the resumed leader and the other replicas
// in turn. A read may fail, but must not return less than what was acknowledged.
func (h *hostedCluster) readRepeatedly(reader int, resumed string, version int, revision uint64) {
	replicas := []string{resumed, "r1", resumed, "r2", resumed, "r3"}
	for i := range readsPerReader {
		replica := replicas[(reader+i)%len(replicas)]
		if got := h.version(replica); got != 0 && got < version {
			h.t.Errorf("%s returned version %d after version %d was acknowledged", replica, got, version)
		}
		response, err := h.fetch(replica)
		if err == nil && response.Confirmed && response.Revision < revision {
			h.t.Errorf("%s confirmed revision %d after revision %d was acknowledged", replica, response.Revision, revision)
		}
	}
}

// callRepeatedly waits until the entry serves a route and then calls it again and again.
func (h *hostedCluster) callRepeatedly(path string) {
	served := func(id string) bool {
		return h.call("e1", "GET", path+"1", id, callerKey, "").status == http.StatusOK
	}
	for end := time.Now().Add(waitTimeout); !served("wait"); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			h.t.Errorf("the entry does not serve %s", path)
			return
		}
	}
	for i := range readsPerReader {
		if got := h.call("e1", "GET", path+"1", fmt.Sprintf("again-%d", i), callerKey, ""); got.status == http.StatusNotFound {
			h.t.Errorf("the entry no longer serves %s", path)
		}
	}
}
