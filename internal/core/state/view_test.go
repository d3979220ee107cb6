package state_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
)

// applyChange applies a valid change based on the newest revision.
func applyChange(t testing.TB, m *state.Machine, base []byte, queue int) {
	t.Helper()
	request := state.ChangeRequest{
		ChangeID:     fmt.Sprintf("c%d", m.Revision()),
		BaseRevision: m.Revision(),
		JSON:         []byte(string(base[:len(base)-2]) + fmt.Sprintf(`, "zones": [{"name": "cluj-c"}, {"name": "mures-d"}, {"name": "z%d"}]}`, queue)),
	}
	result := m.Apply(m.Applied()+1, 1, state.Command{Body: m.Prepare(request)}).(state.ChangeResult)
	if !result.Accepted {
		t.Fatalf("change was rejected: %+v", result)
	}
}

func assemble(t testing.TB, m *state.Machine) *fleet.Config {
	c, err := fleet.Assemble(m.Items())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Views receive deltas from replicas and from each other that may be delayed,
// duplicated, incomplete or out of order. Their revision never decreases, their
// configuration is exactly that of their revision, and they catch up in the end.
func TestViewsConverge(t *testing.T) {
	base := readSmall(t)
	rapid.Check(t, func(r *rapid.T) {
		replica := state.New(state.Options{HistoryLimit: 4})
		views := []*state.View{state.NewView(), state.NewView()}
		var configs = []*fleet.Config{nil}
		var responses []state.DeltasReceived
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			view := rapid.SampledFrom(views).Draw(r, "view")
			switch rapid.SampledFrom([]string{"change", "fetch", "ask peer", "deliver", "deliver", "restart"}).Draw(r, "step") {
			case "change":
				applyChange(t, replica, base, rapid.IntRange(0, 2).Draw(r, "zone"))
				configs = append(configs, assemble(t, replica))
			case "fetch":
				deltas, _ := replica.DeltasSince(view.Revision())
				responses = append(responses, state.DeltasReceived{Deltas: deltas, Revision: replica.Revision(), Committed: true})
			case "ask peer":
				peer := rapid.SampledFrom(views).Draw(r, "peer")
				responses = append(responses, state.DeltasReceived{Deltas: peer.Deltas(view.Revision()), Revision: peer.Revision()})
			case "deliver":
				deliver(r, view, responses, configs)
			case "restart":
				i := slices.Index(views, view)
				views[i] = restart(r, view, rapid.Bool().Draw(r, "with disk"))
			}
		}
		for _, view := range views {
			deltas, _ := replica.DeltasSince(view.Revision())
			view.Step(0, state.DeltasReceived{Deltas: deltas, Revision: replica.Revision(), Committed: true})
			if view.Revision() != replica.Revision() || !reflect.DeepEqual(view.Config(), configs[replica.Revision()]) {
				r.Fatalf("view is at revision %d, expected %d", view.Revision(), replica.Revision())
			}
		}
	})
}

// restart returns the view of a restarted process. With disk set it starts from
// the configuration that was in force before.
func restart(r *rapid.T, view *state.View, disk bool) *state.View {
	started := state.NewView()
	if !disk || view.Revision() == 0 {
		return started
	}
	data, err := codec.EncodeDelta(view.Deltas(0)[0])
	if err != nil {
		r.Fatal(err)
	}
	decoded, err := codec.DecodeDelta(data)
	if err != nil {
		r.Fatal(err)
	}
	started.Step(0, state.DeltasReceived{Deltas: []state.Delta{decoded}})
	if started.Revision() != view.Revision() || !reflect.DeepEqual(started.Config(), view.Config()) {
		r.Fatalf("restarted at revision %d, expected %d", started.Revision(), view.Revision())
	}
	return started
}

// deliver passes a random part of a random response to the view. The response may
// have been delivered before.
func deliver(r *rapid.T, view *state.View, responses []state.DeltasReceived, configs []*fleet.Config) {
	if len(responses) == 0 {
		return
	}
	received := rapid.SampledFrom(responses).Draw(r, "answer")
	n := len(received.Deltas)
	from := rapid.IntRange(0, n).Draw(r, "from")
	received.Deltas = received.Deltas[from:rapid.IntRange(from, n).Draw(r, "to")]
	before := view.Revision()
	effects := view.Step(time.Second, received)
	if effects.Err != nil || view.Revision() < before {
		r.Fatalf("revision %d after %d, error %v", view.Revision(), before, effects.Err)
	}
	if !reflect.DeepEqual(view.Config(), configs[view.Revision()]) {
		r.Fatalf("revision %d has the wrong configuration", view.Revision())
	}
	if (effects.Config != nil) != (view.Revision() > before) || effects.Fetch != (view.Revision() < received.Revision) {
		r.Fatalf("revision %d after %d, sender has %d: %+v", view.Revision(), before, received.Revision, effects)
	}
}

// Only a quorum read of the revision in force confirms it.
func TestViewConfirmation(t *testing.T) {
	replica := state.New(state.Options{})
	base := readSmall(t)
	applyChange(t, replica, base, 0)
	deltas, _ := replica.DeltasSince(0)
	view := state.NewView()
	view.Step(1*time.Second, state.DeltasReceived{Deltas: deltas, Revision: 1})
	if _, ok := view.ConfirmedAt(); ok {
		t.Error("an uncommitted response confirmed the revision")
	}
	view.Step(2*time.Second, state.DeltasReceived{Revision: 1, Committed: true})
	view.Step(3*time.Second, state.DeltasReceived{Revision: 2, Committed: true})
	view.Step(4*time.Second, state.DeltasReceived{Revision: 0, Committed: true})
	if at, ok := view.ConfirmedAt(); !ok || at != 2*time.Second {
		t.Errorf("confirmed at %v, %t, expected 2s", at, ok)
	}
}

// A delta with an invalid item is rejected without any effect on the view.
func TestViewRejectsInvalidDelta(t *testing.T) {
	replica := state.New(state.Options{})
	base := readSmall(t)
	applyChange(t, replica, base, 0)
	applyChange(t, replica, base, 1)
	deltas := replica.History(2)
	slices.Reverse(deltas)
	invalid := deltas[1]
	invalid.Items = []fleet.Item{
		{Path: "zones/extra", JSON: []byte(`{"name": "extra"}`)},
		{Path: "zones/mures-d"},
		{Path: "zones/z1", JSON: []byte("{")},
	}
	view := state.NewView()
	effects := view.Step(0, state.DeltasReceived{From: "replica-1", Deltas: []state.Delta{deltas[0], invalid}, Revision: 2})
	if effects.Err == nil || view.Revision() != 1 || effects.Config == nil {
		t.Fatalf("revision %d, expected 1 and an error; effects %+v", view.Revision(), effects)
	}
	if effects = view.Step(0, state.DeltasReceived{Deltas: deltas, Revision: 2}); effects.Err != nil || effects.Stale != 1 {
		t.Fatalf("expected one stale delta and no error; effects %+v", effects)
	}
	if !reflect.DeepEqual(view.Config(), assemble(t, replica)) {
		t.Fatal("the rejected delta changed the configuration")
	}
}
