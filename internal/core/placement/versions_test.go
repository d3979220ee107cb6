package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// versioned returns model engines, one for each version.
func versioned(versions ...string) []Server {
	var servers []Server
	for i, version := range versions {
		servers = append(servers, Server{Name: fmt.Sprintf("e%02d", i), Service: "models", Slots: 8, CacheTokens: 100_000, Version: version})
	}
	return servers
}

// Streams begin at the version that has another server for them to go on at, until that
// one is much busier. What goes on is placed at its version in any case.
func TestStreamsBeginWhereTheyCanEnd(t *testing.T) {
	size := RequestSize{PromptTokens: 200, OutputTokens: 10}
	begins := &Request{Service: "models", Size: size, Begins: true}
	share := func(p *Placer, request *Request, version string) (picked int) {
		for range 100 {
			if d, _ := p.Pick(0, request); d.Version == version {
				picked++
			}
		}
		return picked
	}
	p := New(1)
	p.SetServers(versioned("v1", "v2", "v2"))
	if got := share(p, begins, "v1"); got != 0 {
		t.Errorf("%d of 100 streams begin at the version with one server", got)
	}
	if got := share(p, &Request{Service: "models", Size: size}, "v1"); got == 0 {
		t.Error("plain calls avoid the version with one server")
	}
	if got := share(p, &Request{Service: "models", Size: size, Pinned: true, Version: "v1"}, "v1"); got != 100 {
		t.Errorf("%d of 100 streams of v1 go on there", got)
	}
	for n, name := range []string{"e01", "e02"} {
		p.Placed(0, Job{ID: JobID{9, uint64(n)}, Server: name, Work: 50_000})
	}
	if got := share(p, begins, "v1"); got != 100 {
		t.Errorf("%d of 100 streams begin at the idle server, although the others are busy", got)
	}
	q := New(1)
	q.SetServers(versioned("v1", "v1", "v2", "v2"))
	q.SetLeaving(0, "e00", true)
	if got := share(q, begins, "v1"); got != 0 {
		t.Errorf("%d of 100 streams begin at the version whose servers leave", got)
	}
	q.SetLeaving(0, "e02", true)
	if got := share(q, begins, "v1"); got == 0 || got == 100 {
		t.Errorf("%d of 100 streams begin at v1 where both versions have one server", got)
	}
}

// A version is gone when its last server leaves, and returns after a pause.
func TestVersionStays(t *testing.T) {
	p := New(1)
	p.SetServers(versioned("v1", "v2", "v2"))
	p.Suspend(0, "e00", time.Minute)
	if wait, ok := p.SoonestReturnOf(0, "models", "v1"); !ok || wait != time.Minute || !p.VersionStays("models", "v1") {
		t.Errorf("paused version: got a return in %s, %t", wait, ok)
	}
	if _, ok := p.SoonestReturnOf(0, "models", "v2"); ok {
		t.Error("v2 counts as paused")
	}
	p.SetLeaving(0, "e00", true)
	if p.VersionStays("models", "v1") || !p.VersionStays("models", "v2") || p.VersionStays("models", "v3") {
		t.Error("expected v2 alone to stay")
	}
}

// A pinned request never gets a server of another version, whatever leaves, pauses or is
// excluded, and gets one if its version has one.
func TestPinnedRequestsKeepTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"", "v1", "v1.2"}
		versions := rapid.SliceOfN(rapid.SampledFrom(names), 1, 8).Draw(t, "versions")
		servers := versioned(versions...)
		p := New(1)
		p.SetServers(servers)
		request := &Request{Service: "models", Size: RequestSize{PromptTokens: 100}, Pinned: true,
			Version: rapid.SampledFrom(names).Draw(t, "version"), Begins: rapid.Bool().Draw(t, "begins")}
		usable := false
		for _, s := range servers {
			switch rapid.SampledFrom([]string{"takes", "leaves", "pauses", "excluded"}).Draw(t, s.Name) {
			case "takes":
				usable = usable || s.Version == request.Version
			case "leaves":
				p.SetLeaving(0, s.Name, true)
			case "pauses":
				p.Suspend(0, s.Name, time.Minute)
			case "excluded":
				request.Exclude = append(request.Exclude, s.Name)
			}
		}
		decision, ok := p.Pick(0, request)
		if ok != usable || ok && decision.Version != request.Version {
			t.Fatalf("picked %+v, %t for version %q; expected a server: %t", decision, ok, request.Version, usable)
		}
	})
}
