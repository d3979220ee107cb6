package entry

import (
	"context"
	"testing"
	"time"

	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// checkRequest checks the revision that the next call has and whether it
// acknowledges it.
func checkRequest(t *testing.T, e *Entry, have uint64, acknowledges bool) {
	t.Helper()
	request := e.config.request(fetchWait)
	if request.HaveRevision != have || (request.Process != "") != acknowledges {
		t.Errorf("got a call with revision %d, process %q; want revision %d, acknowledged: %v", request.HaveRevision, request.Process, have, acknowledges)
	}
}

// A revision that was received is acknowledged only once it is in force.
func TestStagedRevisionIsNotAcknowledged(t *testing.T) {
	e := newDocumentEntry()
	checkRequest(t, e, 0, false)
	e.config.stage("replica", documentResponse(1))
	checkRequest(t, e, 1, false)
	e.config.publish()
	checkRequest(t, e, 1, true)
}

// A revision that can't be decoded is never acknowledged. The entry does not
// ask for it again either, because the leader would answer at once each time.
func TestUndecodableRevisionIsNotAcknowledged(t *testing.T) {
	e := newDocumentEntry()
	e.config.apply("leader", documentResponse(1))
	checkRequest(t, e, 1, true)
	e.config.apply("leader", revisionResponse(2, `{"number":2,"content":{}}`))
	if number := e.config.inForce().routes.Number; number != 1 {
		t.Fatalf("document %d is in force, want 1", number)
	}
	checkRequest(t, e, 2, false)
	e.config.apply("leader", documentResponse(3))
	checkRequest(t, e, 3, true)
}

// An entry that can't decode a revision still acknowledges the one in force
// now and then, so that its zone stays pending.
func TestRevisionInForceIsAcknowledgedAgain(t *testing.T) {
	e := newDocumentEntry()
	e.config.apply("leader", documentResponse(1))
	checkRequest(t, e, 1, true)
	e.config.apply("leader", revisionResponse(2, `{"number":2,"content":{}}`))
	e.startedAt -= time.Minute
	checkRequest(t, e, 1, true)
	checkRequest(t, e, 2, false)
}

// A revision that can't be decoded is decoded and logged once, not at every
// answer.
func TestUndecodableRevisionIsDecodedOnce(t *testing.T) {
	e := newDocumentEntry()
	decoded := 0
	e.opts.Routed.Decode = func(content []byte) (*routes.Table, error) {
		decoded++
		return decodeTestDocument(content)
	}
	e.config.apply("leader", revisionResponse(1, `{"number":1,"content":{}}`))
	for range 3 {
		e.config.apply("leader", &wire.FetchConfigResponse{Revision: 1, Confirmed: true})
	}
	if decoded != 1 {
		t.Errorf("decoded %d times, want 1", decoded)
	}
}

// rejectedReplica answers each call at once with a change that this build can't
// apply.
type rejectedReplica struct{ fakeReplica }

func (*rejectedReplica) FetchConfig(context.Context, *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	response := documentResponse(2)
	response.Deltas[0].Items[0].Path = "unknown"
	return response, nil
}

// A leader answers at once as long as the entry lacks a revision. An entry that
// can't apply it waits before it asks again.
func TestRejectedRevisionIsNotFetchedAtOnce(t *testing.T) {
	client := rpc.NewClient("")
	e := newStartingEntry(client, serveReplica(t, &rejectedReplica{}))
	if delay := e.config.fetchNext(context.Background()); delay != fetchRetry {
		t.Errorf("the entry asks again after %s, want %s", delay, fetchRetry)
	}
	checkRequest(t, e, 0, false)
	e.config.apply("leader", documentResponse(2))
	e.replicas = rpc.NewReplicas(client, []string{serveReplica(t, &leaderReplica{})})
	if delay := e.config.fetchNext(context.Background()); delay != 0 {
		t.Errorf("the entry asks again after %s, want at once", delay)
	}
}

// The state dump shows the revision in force, not one that was only received: it may
// not have been saved yet, and a restart would lose it.
func TestDumpShowsRevisionInForce(t *testing.T) {
	e := newDocumentEntry()
	e.config.stage("leader", documentResponse(1))
	if revision := e.config.state().Revision; revision != 0 {
		t.Errorf("got revision %d before one is in force, want 0", revision)
	}
	e.config.publish()
	e.config.stage("leader", documentResponse(2))
	if revision := e.config.state().Revision; revision != 1 {
		t.Errorf("got revision %d, want the one in force, 1", revision)
	}
}
