package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/scaling"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

// readTimeout ends a test in which the list is not read.
const readTimeout = 10 * time.Second

// An order that the platform does not answer must not keep the leader from reading
// the list of backend servers, from which all entries learn of new servers.
func TestPendingOrderDelaysNoList(t *testing.T) {
	var reads atomic.Int64
	var first sync.Once
	delayed := make(chan bool, 1)
	peers, listeners := newPeers(t, 1)
	opts := replicaOptions(t, peers, 0)
	opts.Duties = &DutyOptions{
		Discover: func(context.Context) ([]discovery.Server, error) {
			reads.Add(1)
			return nil, nil
		},
		Decode: func([]byte) (*routes.Table, error) {
			return &routes.Table{Number: 1, Services: []routes.Service{{
				Name: "m", Engine: &routes.Engine{Slots: 1},
				Scaling: &routes.Scaling{Min: 1, Max: 1, ZonePrices: map[string]float64{"z1": 1}},
			}}}, nil
		},
		SendScaleOrder: func(context.Context, DutyHolder, scaling.Order) error {
			first.Do(func() {
				before := reads.Load()
				for end := time.Now().Add(readTimeout); reads.Load() == before && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				delayed <- reads.Load() == before
			})
			return nil
		},
	}
	r, _ := serveReplica(t, opts, listeners[0])
	awaitVoters(t, r, 1)
	awaitLeader(t, []*Replica{r})
	if _, err := r.Service().PutDocument(context.Background(), &wire.PutDocumentRequest{Number: 1, Content: []byte(`{"version":1}`)}); err != nil {
		t.Fatal(err)
	}
	select {
	case late := <-delayed:
		if late {
			t.Error("the list was not read while an order was pending")
		}
	case <-time.After(2 * readTimeout):
		t.Fatal("no order was sent")
	}
}

// The leader decodes a document once, however often it plans.
func TestCommittedDocumentIsDecodedOnce(t *testing.T) {
	var decoded, reads atomic.Int64
	peers, listeners := newPeers(t, 1)
	opts := replicaOptions(t, peers, 0)
	opts.Duties = &DutyOptions{
		Discover: func(context.Context) ([]discovery.Server, error) {
			reads.Add(1)
			return nil, nil
		},
		Decode: func([]byte) (*routes.Table, error) {
			decoded.Add(1)
			return &routes.Table{Number: 1}, nil
		},
		SendScaleOrder: func(context.Context, DutyHolder, scaling.Order) error { return nil },
	}
	r, _ := serveReplica(t, opts, listeners[0])
	awaitVoters(t, r, 1)
	awaitLeader(t, []*Replica{r})
	if _, err := r.Service().PutDocument(context.Background(), &wire.PutDocumentRequest{Number: 1, Content: []byte(`{"version":1}`)}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(readTimeout); decoded.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	const plans = 3
	for last, end := reads.Load(), time.Now().Add(readTimeout); reads.Load() < last+plans && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := decoded.Load(); n != 1 {
		t.Errorf("decoded %d times, want once", n)
	}
}

// An order that was planned in a former term is not sent under the current one.
func TestOrderOfFormerTermIsNotSent(t *testing.T) {
	var sent atomic.Int64
	peers, listeners := newPeers(t, 1)
	opts := replicaOptions(t, peers, 0)
	opts.Duties = &DutyOptions{
		Discover: func(context.Context) ([]discovery.Server, error) { return nil, nil },
		SendScaleOrder: func(context.Context, DutyHolder, scaling.Order) error {
			sent.Add(1)
			return nil
		},
	}
	r, _ := serveReplica(t, opts, listeners[0])
	awaitVoters(t, r, 1)
	awaitLeader(t, []*Replica{r})
	var holder DutyHolder
	for end, ok := time.Now().Add(readTimeout), false; !ok && time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.duties.mu.Lock()
		holder, ok = r.duties.holder()
		r.duties.mu.Unlock()
	}
	former := DutyHolder{VM: holder.VM, Fence: holder.Fence - 1}
	r.duties.sendOrder(context.Background(), former, scaling.Order{Service: "m"})
	if n := sent.Load(); n != 0 {
		t.Errorf("%d orders of a former term were sent, want none", n)
	}
	r.duties.sendOrder(context.Background(), holder, scaling.Order{Service: "m"})
	if n := sent.Load(); n != 1 {
		t.Errorf("%d orders of the current term were sent, want 1", n)
	}
}

// A list that a replica read before it led is not passed on as the present one: the leader before may have
// read a newer one since, and entries have it.
func TestListFromBeforeTheTermIsOld(t *testing.T) {
	peers, listeners := newPeers(t, 1)
	opts := replicaOptions(t, peers, 0)
	listed := []discovery.Server{{Instance: "i-1", Service: "m"}}
	var down atomic.Bool
	failed := make(chan struct{}, 1)
	opts.Duties = &DutyOptions{Discover: func(context.Context) ([]discovery.Server, error) {
		if down.Load() {
			signal(failed)
			return nil, errors.New("down")
		}
		return listed, nil
	}}
	r, _ := serveReplica(t, opts, listeners[0])
	awaitVoters(t, r, 1)
	awaitLeader(t, []*Replica{r})
	// current reports whether entries get the list as the present one.
	current := func() bool {
		var response wire.DrawResponse
		r.duties.fillList(&wire.DrawRequest{}, &response)
		return response.List != 0 && response.ListAgeMs < savedListAge.Milliseconds()
	}
	for end := time.Now().Add(readTimeout); !current(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a list that was read by the leader counts as old")
		}
	}
	// No later reading replaces the list.
	down.Store(true)
	await(t, failed, "a reading that fails")
	r.duties.mu.Lock()
	r.duties.list.term--
	r.duties.mu.Unlock()
	if current() {
		t.Error("a list that was read before the term counts as the present one")
	}
}
