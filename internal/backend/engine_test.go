package backend_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/standin"
)

type stats struct {
	Prefill   int64 `json:"prefill_tokens"`
	Decoded   int64 `json:"decoded_tokens"`
	Cancelled int64 `json:"cancelled"`
}

func statsOf(t *testing.T, address string) stats {
	t.Helper()
	var s stats
	get(t, address, "/standin/stats", &s)
	return s
}

// readEvents reads the given number of events and returns their tokens.
func readEvents(t *testing.T, s *backend.Stream, events int) string {
	t.Helper()
	var got strings.Builder
	for range events {
		event, err := s.Next()
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(tokenOf(t, event))
	}
	return got.String()
}

// Checks that a stream whose connection makes no progress can be resumed without
// computing a token twice, and that Resume does not try an idle connection that
// has failed in the same way.
func TestResumeAfterSilence(t *testing.T) {
	address := startStandin(t, fastModel())
	c := newClient(t, backend.Options{})
	ctx := context.Background()
	// This connection becomes idle and later makes no progress either.
	spare, err := c.Stream(ctx, completion(address, "r-0", "spare", 1))
	if err != nil {
		t.Fatal(err)
	}
	holdAfter(t, address, 5)
	call := completion(address, "r-1", "prompt", 40)
	s, err := c.Stream(ctx, call)
	if err != nil {
		t.Fatal(err)
	}
	readAll(t, spare)
	spare.Close()
	got := readEvents(t, s, 5)

	yes := true
	injectFault(t, address, standin.FaultRequest{Silent: &yes})
	s.SetProgressTimeout(30 * time.Millisecond)
	_, err = s.Next()
	if phase := phaseOf(t, err); phase != backend.PhaseSilent {
		t.Fatalf("got phase %v, %v, want no progress within the timeout", phase, err)
	}
	s.Close()

	holdAfter(t, address, 0)
	call.Attempt = 2
	resumed, err := c.Resume(ctx, call, s.ID, s.Offset())
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Close()
	got += readAll(t, resumed)
	if got != standin.Answer("prompt", 40) {
		t.Error("the response is not complete")
	}
	if decoded := statsOf(t, address).Decoded; decoded != 41 {
		t.Errorf("%d tokens decoded, want 41", decoded)
	}
	if got := runsOf(t, address)["r-1"]; got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}

// Checks that a stream is exported, imported and resumed without recomputing a
// token, and that an export over the limit and a truncated import fail.
func TestMigration(t *testing.T) {
	from, to := startStandin(t, fastModel()), startStandin(t, fastModel())
	c := newClient(t, backend.Options{})
	ctx := context.Background()
	prompt := strings.Repeat("long prompt ", 500)
	holdAfter(t, from, 3)
	call := completion(from, "r-1", prompt, 50)
	s, err := c.Stream(ctx, call)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	got := readEvents(t, s, 3)
	if _, err := c.Export(ctx, from, s.ID, 10); phaseOf(t, err) != backend.PhaseInvalid {
		t.Errorf("an export over the limit: got %v, want an invalid response", err)
	}
	cache, err := c.Export(ctx, from, s.ID, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Import(ctx, to, cache[:len(cache)-1]); phaseOf(t, err) != backend.PhaseAnswered {
		t.Errorf("a truncated import: got %v, want an error status", err)
	}
	moved, err := c.Import(ctx, to, cache)
	if err != nil {
		t.Fatal(err)
	}
	call.Address, call.Attempt = to, 2
	resumed, err := c.Resume(ctx, call, moved, s.Offset())
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Close()
	if got += readAll(t, resumed); got != standin.Answer(prompt, 50) {
		t.Error("the response is not complete")
	}
	first, second := statsOf(t, from), statsOf(t, to)
	if first.Decoded+second.Decoded != 50 || second.Prefill != 0 {
		t.Errorf("%d and %d tokens decoded, want 50 together; %d prompt tokens computed at the second engine, want 0", first.Decoded, second.Decoded, second.Prefill)
	}
}

func TestCancel(t *testing.T) {
	address := startStandin(t, fastModel())
	c := newClient(t, backend.Options{})
	ctx := context.Background()
	holdAfter(t, address, 3)
	s, err := c.Stream(ctx, completion(address, "r-1", "prompt", 50))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range 2 {
		if err := c.Cancel(ctx, address, s.ID); err != nil {
			t.Fatal(err)
		}
	}
	if got := statsOf(t, address).Cancelled; got != 1 {
		t.Errorf("%d cancelled, want 1", got)
	}
	_, err = c.Resume(ctx, backend.Call{Address: address}, s.ID, 0)
	var failed *backend.Error
	if !errors.As(err, &failed) || failed.Status != http.StatusNotFound {
		t.Errorf("resumed a cancelled stream: got %v, want status 404", err)
	}
}

func TestOrders(t *testing.T) {
	for _, fencing := range []string{"checked", "ignored"} {
		opts := fastModel()
		opts.Fencing = fencing
		address := startStandin(t, opts)
		c := newClient(t, backend.Options{})
		ctx := context.Background()
		if err := c.Order(ctx, address, backend.Order{Fencing: 13, Kind: "set-model", Value: "new"}); err != nil {
			t.Fatal(err)
		}
		err := c.Order(ctx, address, backend.Order{Fencing: 12, Kind: "set-model", Value: "old"})
		want := "old"
		if fencing == "checked" {
			want = "new"
			var failed *backend.Error
			if !errors.As(err, &failed) || failed.Status != http.StatusConflict || failed.Highest != 13 {
				t.Errorf("an order with an older fencing number: got %v, want status 409 and highest number 13", err)
			}
		}
		state, err := c.Orders(ctx, address)
		if err != nil || state.Highest != 13 || state.Desired["set-model"] != want {
			t.Errorf("fencing %s: got orders %+v, %v, want highest number 13 and the model new if fencing is checked, else old", fencing, state, err)
		}
	}
}

// Checks that an engine that was ordered to leave refuses new requests and finishes
// its running streams.
func TestLeavingEngineFinishes(t *testing.T) {
	address := startStandin(t, fastModel())
	c := newClient(t, backend.Options{})
	ctx := context.Background()
	holdAfter(t, address, 3)
	s, err := c.Stream(ctx, completion(address, "r-1", "prompt", 50))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := c.Order(ctx, address, backend.Order{Fencing: 1, Kind: "set-leaving", Value: "true"}); err != nil {
		t.Fatal(err)
	}
	_, err = c.Stream(ctx, completion(address, "r-2", "prompt", 1))
	if phaseOf(t, err) != backend.PhaseRefused || runsOf(t, address)["r-2"] != 0 {
		t.Errorf("a new request at a leaving engine: got %v, want a refusal without a run", err)
	}
	holdAfter(t, address, 0)
	if readAll(t, s) != standin.Answer("prompt", 50) {
		t.Error("the response is not complete")
	}
}

// Checks that lost cache events show as gaps in the sequence numbers.
func TestCacheEventsHaveGaps(t *testing.T) {
	opts := fastModel()
	opts.CacheGapEvery = 2
	address := startStandin(t, opts)
	c := newClient(t, backend.Options{})
	prompts := []string{"first", "second", "third"}
	for _, prompt := range prompts {
		s, err := c.Stream(context.Background(), completion(address, "r-1", prompt, 1))
		if err != nil {
			t.Fatal(err)
		}
		readAll(t, s)
		s.Close()
	}
	events, last, err := c.CacheEvents(context.Background(), address, 0)
	if err != nil || last != 3 || len(events) != 2 {
		t.Fatalf("cache events: got %+v, last %d, %v, want 2 events, last 3", events, last, err)
	}
	want := backend.CacheEvent{Seq: 3, Kind: backend.CacheStored, Prefix: standin.PrefixHash("third")}
	if events[1] != want {
		t.Errorf("got %+v, want %+v", events[1], want)
	}
}

func TestPlatform(t *testing.T) {
	opts := standin.DefaultOptions(standin.KindPlatform, "")
	opts.ReportLag, opts.StartTime = 0, 0
	opts.VMs = []string{"a,north,spot,10.0.0.1:80", "b,south,spot,10.0.0.2:80"}
	opts.Capacity = map[string]int{"spot/north": 1}
	opts.Prices = map[string]float64{"spot/north": 0.42}
	address := startStandin(t, opts)
	c := newClient(t, backend.Options{})
	ctx := context.Background()
	prices, err := c.Prices(ctx, address)
	if err != nil || prices["spot/north"] != 0.42 {
		t.Errorf("prices: got %v, %v, want spot/north at 0.42", prices, err)
	}
	vm, err := c.Rent(ctx, address, "north", "spot")
	if err != nil || vm.Zone != "north" {
		t.Fatalf("rented VM: got %+v, %v, want one in north", vm, err)
	}
	var failed *backend.Error
	if _, err := c.Rent(ctx, address, "north", "spot"); !errors.As(err, &failed) || failed.Status != http.StatusServiceUnavailable {
		t.Errorf("renting beyond the capacity: got %v, want status 503", err)
	}
	post(t, address, "/standin/reclaim", map[string]any{"zone": "north", "seconds": 60})
	notices, last, err := c.Notices(ctx, address, 1)
	if err != nil || last != 2 || len(notices) != 1 || notices[0].VM != vm.Name || notices[0].TimeLeft <= 0 {
		t.Errorf("notices: got %+v, last %d, %v, want one for the rented VM with time left, last 2", notices, last, err)
	}
	if err := c.ReturnVM(ctx, address, vm.Name); err != nil {
		t.Error(err)
	}
	list, err := c.ListVMs(ctx, address)
	if err != nil || len(list.VMs) != 2 {
		t.Fatalf("VM list: got %+v, %v, want 2 VMs", list, err)
	}
	if list.VMs[0].State != backend.VMLeaving || list.VMs[1].State != backend.VMLive {
		t.Errorf("VM states: got %+v, want leaving and live", list.VMs)
	}
}
