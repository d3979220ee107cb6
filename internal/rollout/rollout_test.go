package rollout

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	core "waxwingcart/internal/core/rollout"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

const (
	service  = "models"
	older    = "v1"
	newer    = "v2"
	longOnes = 12 * time.Second
)

// fakeLog is the replicated log of several leaders.
type fakeLog struct {
	nowMS int64
	table core.Table
	term  uint64
	// doubt makes a commit succeed and report an error.
	doubt bool
	saves int
}

func (f *fakeLog) leader(term uint64, servers []discovery.Server) *Leader {
	return NewLeader(LeaderOptions{
		Logger: &log.Logger{Level: log.PanicLevel},
		Term:   func() Term { return Term{Number: term, Leads: term == f.term} },
		Now:    func() int64 { return f.nowMS },
		Load:   func(context.Context) (core.Table, int64, error) { return f.table, f.nowMS, nil },
		Read:   func(context.Context) (core.Table, error) { return f.table, nil },
		Save: func(_ context.Context, table core.Table) error {
			if term != f.term {
				return errors.New("not the leader")
			}
			f.table = table
			f.saves++
			if f.doubt {
				return errors.New("in doubt")
			}
			return nil
		},
		Servers: func() []discovery.Server { return servers },
	})
}

var bothVersions = []discovery.Server{
	{Instance: "a", Service: service, Software: older}, {Instance: "b", Service: service, Software: newer},
}

// draw makes one draw of an entry over the wire's format.
func draw(t *testing.T, f *fakeLog, l *Leader, term uint64, c *Client, incarnation uint64) *wire.DrawResponse {
	t.Helper()
	request := &wire.DrawRequest{Incarnation: incarnation, Rollouts: c.Reports()}
	data, err := proto.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	decoded, response := &wire.DrawRequest{}, &wire.DrawResponse{}
	if err := proto.Unmarshal(data, decoded); err != nil {
		t.Fatal(err)
	}
	l.Draw(term, decoded, response)
	c.Answered(milliseconds(f.nowMS), response)
	return response
}

func newClient(f *fakeLog) *Client {
	c := NewClient(ClientOptions{Now: func() time.Duration { return milliseconds(f.nowMS) }, Incarnation: 7, Logger: &log.Logger{Level: log.PanicLevel}, Wake: func() {}})
	c.Listed(bothVersions[:1], true)
	return c
}

// call sends one request, and returns the version to which it goes.
func call(t *testing.T, c *Client) string {
	t.Helper()
	var kept Call
	plan := c.Plan(&kept, service, []string{older, newer})
	version := older
	if plan.Prefer != "" {
		version = plan.Prefer
	}
	if !c.Use(&kept, service, version) {
		t.Fatalf("%s was planned without a lease", version)
	}
	return version
}

// Requests go to the target under a lease only; a leader of another term, and one that has not read the log,
// grants nothing.
func TestLeaseOfTheTermOnly(t *testing.T) {
	f := &fakeLog{nowMS: 1_000_000, term: 3}
	l, c := f.leader(3, bothVersions), newClient(f)
	if _, _, err := l.Start(context.Background(), core.Order{Service: service, Target: newer, Duration: longOnes}); err != nil {
		t.Fatal(err)
	}
	l.tick(context.Background())
	draw(t, f, l, 3, c, 7)
	c.Listed(bothVersions, true)
	if got := call(t, c); got != older {
		t.Errorf("without a lease: got %s", got)
	}
	response := draw(t, f, l, 3, c, 7)
	if len(response.Rollouts) != 1 || response.Rollouts[0].Requests == 0 || call(t, c) != newer {
		t.Errorf("got %v, expected a lease and a request to the target", response.Rollouts)
	}
	if response := draw(t, f, l, 4, c, 7); len(response.Rollouts) != 0 || response.RolloutKnowledge != wire.RolloutKnowledge_ROLLOUT_KNOWLEDGE_LOADING {
		t.Errorf("a draw of another term: got %v", response)
	}
	f.nowMS += core.LeaseLifetime.Milliseconds()
	if got := call(t, c); got != older {
		t.Errorf("after the lease: got %s", got)
	}
	fresh := f.leader(3, bothVersions)
	if response := draw(t, f, fresh, 3, c, 7); response.RolloutKnowledge != wire.RolloutKnowledge_ROLLOUT_KNOWLEDGE_LOADING {
		t.Errorf("a leader that has not read the log: got %v", response)
	}
}

// A new leader goes on from the log: it grants nothing while leases of the former one may be in use, keeps what
// entries have counted, and decides once.
func TestNewLeaderGoesOn(t *testing.T) {
	f := &fakeLog{nowMS: 1_000_000, term: 1}
	l, c := f.leader(1, bothVersions), newClient(f)
	if _, _, err := l.Start(context.Background(), core.Order{Service: service, Target: newer, Duration: longOnes}); err != nil {
		t.Fatal(err)
	}
	l.tick(context.Background())
	draw(t, f, l, 1, c, 7)
	c.Listed(bothVersions, true)
	for range 8 {
		attempt := c.Began(service, newer, "dossiers", 20*time.Millisecond)
		c.Ended(&attempt, true, true)
	}
	f.term = 2
	next := f.leader(2, bothVersions)
	if err := next.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	next.tick(context.Background())
	if response := draw(t, f, next, 2, c, 7); len(response.Rollouts) != 1 || response.Rollouts[0].Requests != 0 {
		t.Errorf("got %v, expected no lease at the beginning of a term", response.Rollouts)
	}
	l.tick(context.Background())
	next.tick(context.Background())
	if got := f.table.Rollouts[service]; got.State != core.StateReverted || f.saves != 2 {
		t.Errorf("got %+v after %d commits, expected it to be reverted by the failures of the former term", got, f.saves)
	}
	if draw(t, f, next, 2, c, 7); call(t, c) != older {
		t.Error("a request went to a version that was reverted")
	}
}

// An order whose commit was in doubt is not started twice when it is sent again.
func TestOrderInDoubt(t *testing.T) {
	f := &fakeLog{nowMS: 1_000_000, term: 1, doubt: true}
	l := f.leader(1, bothVersions)
	order := core.Order{Service: service, Target: newer, Duration: longOnes}
	if _, _, err := l.Start(context.Background(), order); err == nil {
		t.Fatal("an order in doubt was acknowledged")
	}
	f.doubt = false
	f.nowMS += 300
	if answer, placed, err := l.Start(context.Background(), order); err != nil || answer != core.AnswerRepeated || placed.Number != 1 || placed.OrderedMS != 1_000_000 {
		t.Errorf("got %v, %+v, %v, expected the first order", answer, placed, err)
	}
}

// A leader without roll-outs, such as one of the previous version, names none: all versions are used.
func TestLeaderWithoutRollouts(t *testing.T) {
	f := &fakeLog{nowMS: 1_000_000}
	c := newClient(f)
	c.Answered(milliseconds(f.nowMS), &wire.DrawResponse{})
	c.Listed(bothVersions, true)
	var kept Call
	if plan := c.Plan(&kept, service, []string{older, newer}); plan.Prefer != "" || len(plan.Barred) > 0 {
		t.Errorf("got %+v, expected all versions to be used", plan)
	}
}

// A report with many routes stays small: routes beyond a number are counted together.
func TestReportIsBounded(t *testing.T) {
	f := &fakeLog{nowMS: 1_000_000, term: 1}
	l, c := f.leader(1, bothVersions), newClient(f)
	if _, _, err := l.Start(context.Background(), core.Order{Service: service, Target: newer, Duration: longOnes}); err != nil {
		t.Fatal(err)
	}
	draw(t, f, l, 1, c, 7)
	for i := range 2_000 {
		attempt := c.Began(service, older, fmt.Sprintf("route-%d", i), 20*time.Millisecond)
		c.Started(&attempt)
		c.Ended(&attempt, true, false)
	}
	const limit = 4_000
	if size := proto.Size(&wire.DrawRequest{Rollouts: c.Reports()}); size > limit {
		t.Errorf("got a report of %d bytes, expected at most %d", size, limit)
	}
}

// A stream that goes on at the target gets a lease with the next draw, also at an entry without other requests.
func TestStreamGoesOnAtTheTarget(t *testing.T) {
	f := &fakeLog{nowMS: 1_000_000, term: 1}
	l, c := f.leader(1, bothVersions), newClient(f)
	if _, _, err := l.Start(context.Background(), core.Order{Service: service, Target: newer, Duration: longOnes}); err != nil {
		t.Fatal(err)
	}
	l.tick(context.Background())
	draw(t, f, l, 1, c, 7)
	var kept Call
	if c.Use(&kept, service, newer) || !c.Demand(service, newer) || c.Demand(service, older) {
		t.Fatal("a stream at the target needs a lease, one at the old version does not")
	}
	draw(t, f, l, 1, c, 7)
	if !c.Use(&kept, service, newer) {
		t.Error("the draw after the demand brought no lease")
	}
}
