package placement

import (
	"testing"
	"time"
)

func pickable(p *Placer, now time.Duration) map[string]bool {
	picked := make(map[string]bool)
	request := &Request{Service: "models", Size: RequestSize{PromptTokens: 500, OutputTokens: 10}}
	for {
		decision, ok := p.Pick(now, request)
		if !ok {
			return picked
		}
		picked[decision.Server] = true
		request.Exclude = append(request.Exclude, decision.Server)
	}
}

// A server that has ended comes back under its name with an empty cache: placement expects
// it to read a prompt whose parts it held before.
func TestRestartedServerHoldsNothing(t *testing.T) {
	p := New(1)
	p.SetServers([]Server{{Name: "a", Service: "models", Slots: 8, CacheTokens: 100_000}})
	size := RequestSize{PromptTokens: 1_000, OutputTokens: 10, Parts: []Part{{Chain: 7, Tokens: 900}}}
	pick := func() Decision {
		d, _ := p.Pick(0, &Request{Service: "models", Size: size})
		return d
	}
	p.Placed(0, NewJob(JobID{Number: 1}, pick(), size))
	if got := pick().UncachedTokens; got != 100 {
		t.Fatalf("got %d tokens to read, want 100", got)
	}
	p.Restarted("a")
	if got := pick().UncachedTokens; got != 1_000 {
		t.Errorf("got %d tokens to read after the restart, want 1000", got)
	}
}

// A server that says that it leaves gets no new work, although lists that are read
// later still show it as ready, and although a configuration drops its service for a
// moment. Its streams go on.
func TestServerLeavesByItsOwnWord(t *testing.T) {
	p := New(1)
	p.SetListed(0, []string{"e00", "e01", "e02"})
	p.SetServers(fleet(3))
	p.Placed(0, Job{ID: JobID{1, 1}, Server: "e01", Work: 10})
	if !p.SetLeaving(0, "e01", true) || p.SetLeaving(0, "e01", true) {
		t.Error("SetLeaving: expected true for the first time and false for the second")
	}
	check := func(step string, expected int) {
		t.Helper()
		if got := pickable(p, 0); got["e01"] || len(got) != expected {
			t.Errorf("%s: picked %v, expected %d servers without e01", step, got, expected)
		}
	}
	check("after its word", 2)
	p.SetLeaving(0, "heard", false)
	if got := p.OwnLeaving(); len(got) != 1 || got[0] != "e01" {
		t.Errorf("OwnLeaving: got %v, expected e01 alone", got)
	}
	p.Started(time.Second, JobID{1, 1}, true)
	if p.servers["e01"].running != 1 {
		t.Error("the stream at the leaving server was dropped")
	}
	p.SetListed(time.Second, []string{"e00", "e01", "e02"})
	p.SetServers(fleet(3))
	check("after a list that shows it as ready", 2)
	p.SetServers(nil)
	p.Expire(time.Hour)
	p.SetServers(fleet(3))
	check("after a configuration without its service", 2)
	if p.SetLeaving(0, "e00", true); !p.SetLeaving(0, "e02", true) {
		t.Error("SetLeaving: expected true for another server")
	}
	check("after all have said so", 0)
	if !p.AllLeaving("models") {
		t.Error("AllLeaving: got false after all servers said so, expected true")
	}
}

// Another instance at the same address starts clean. An instance that is no longer
// listed is forgotten after unlistedKept, also if it was never listed.
func TestLeavingBelongsToInstance(t *testing.T) {
	p := New(1)
	p.SetListed(0, []string{"e00"})
	p.SetServers(fleet(1))
	p.SetLeaving(0, "e00", true)
	p.SetLeaving(0, "unlisted", true)
	if len(pickable(p, 0)) != 0 || !p.AllLeaving("models") {
		t.Error("the leaving server was picked")
	}
	p.SetListed(time.Hour, []string{"restarted"})
	p.SetServers([]Server{{Name: "restarted", Service: "models", Slots: 1}})
	if got := pickable(p, time.Hour); !got["restarted"] || p.AllLeaving("models") {
		t.Errorf("picked %v, expected the new instance", got)
	}
	p.Expire(time.Hour + unlistedKept)
	if len(p.leaving) != 1 {
		t.Errorf("%d instances are known as leaving, expected only the one that was listed until an hour", len(p.leaving))
	}
	p.Expire(time.Hour + unlistedKept + 1)
	if len(p.leaving) != 0 {
		t.Errorf("%d instances are known as leaving after unlistedKept, expected none", len(p.leaving))
	}
}

func TestLeavingInstancesAreBounded(t *testing.T) {
	p := New(1)
	for i := range 2 * maxLeaving {
		p.SetLeaving(time.Duration(i), string(rune(i)), true)
	}
	if len(p.leaving) != maxLeaving {
		t.Errorf("%d instances are known as leaving, expected %d", len(p.leaving), maxLeaving)
	}
}

func TestServiceWithoutServersIsNotLeaving(t *testing.T) {
	if New(1).AllLeaving("models") {
		t.Error("AllLeaving: got true for a service without servers, expected false")
	}
}
