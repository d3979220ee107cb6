package routing

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcart/internal/core/fleet"
)

// TestMain fixes the seed so that every run checks the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestPickRespectsConstraints calls a Router in random order. Pick must never
// return an unusable or excluded server and must find a server whenever one is
// eligible. The default policy must return an ejected server only if no other is
// eligible.
func TestPickRespectsConstraints(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const prefixLimit = 4
		r := New(Options{Zone: "z0", Seed: 1, PrefixLimit: prefixLimit})
		r.scanLimit = rapid.SampledFrom([]int{0, scanLimit}).Draw(rt, "scan limit")
		all := benchServers(8)
		for i := range 3 {
			all[i].Zone, all[i].PricePerHour, all[i].Delay = "z0", 1, 0
		}
		all[6].Service, all[7].TokensPerSecond = "app", 0
		r.SetServers(all)
		configured, unusable, inFlight := slices.Clone(all), map[string]bool{}, map[string]int{}
		var now time.Duration
		name := rapid.Custom(func(t *rapid.T) string { return all[rapid.IntRange(0, len(all)-1).Draw(t, "server")].Name })
		size := RequestSize{PromptTokens: 500, OutputTokens: 50, Prefix: 3}
		rt.Repeat(map[string]func(*rapid.T){
			"servers": func(t *rapid.T) {
				configured = rapid.Permutation(all).Draw(t, "order")[:rapid.IntRange(0, len(all)).Draw(t, "count")]
				r.SetServers(configured)
				for n := range unusable {
					if r.servers[n] == nil {
						delete(unusable, n)
					}
				}
				for n := range inFlight {
					if r.servers[n] == nil {
						delete(inFlight, n)
					}
				}
			},
			"usable": func(t *rapid.T) {
				n, usable := name.Draw(t, "name"), rapid.Bool().Draw(t, "usable")
				r.SetUsable(n, usable)
				if r.servers[n] != nil {
					unusable[n] = !usable
				}
			},
			"finish": func(t *rapid.T) {
				n := name.Draw(t, "name")
				inFlight[n] = max(0, inFlight[n]-1)
				r.Finished(now, n, Outcome{Size: size, Result: Result(rapid.IntRange(0, int(ResultAbandoned)).Draw(t, "result")),
					FirstToken: time.Second, Elapsed: time.Duration(rapid.IntRange(-1, 9).Draw(t, "elapsed")) * time.Second,
					OutputTokens: rapid.IntRange(0, 60).Draw(t, "tokens"), CachedTokens: rapid.IntRange(-1, 500).Draw(t, "cached")})
			},
			"report": func(t *rapid.T) {
				r.Report(now, name.Draw(t, "name"), Report{Running: rapid.IntRange(-1, 9).Draw(t, "running"), Waiting: rapid.IntRange(0, 5).Draw(t, "waiting"),
					Slots: rapid.IntRange(-1, 9).Draw(t, "slots"), KVUsed: rapid.Float64Range(0, 2).Draw(t, "kv"), Age: time.Duration(rapid.IntRange(-1, 60).Draw(t, "age")) * time.Second})
			},
			"cache": func(t *rapid.T) {
				r.CacheEvent(name.Draw(t, "name"), rapid.Uint64Range(0, 50).Draw(t, "seq"), CacheEventKind(rapid.IntRange(0, 2).Draw(t, "kind")), rapid.Uint64Range(0, 9).Draw(t, "prefix"))
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			},
			"pick": func(t *rapid.T) {
				policy := benchPolicy
				policy.PrefixAffinity = rapid.Bool().Draw(t, "affinity")
				policy.Routing = rapid.SampledFrom([]fleet.RoutingPolicy{fleet.RouteExpectedCompletion, fleet.RouteRoundRobin, fleet.RouteLeastInFlight, ""}).Draw(t, "routing")
				request := Request{Service: rapid.SampledFrom([]string{"model", "app", "none"}).Draw(t, "service"), PromptTokens: rapid.IntRange(0, 9000).Draw(t, "prompt"),
					OutputTokens: 100, Prefix: rapid.Uint64Range(0, 9).Draw(t, "prefix"), Policy: &policy, Exclude: rapid.SliceOfN(name, 0, 8).Draw(t, "exclude")}
				d, ok := r.Pick(now, request)
				left, notEjected := 0, 0
				for _, s := range configured {
					if s.Service == request.Service && !unusable[s.Name] && !slices.Contains(request.Exclude, s.Name) {
						left++
						if !r.servers[s.Name].ejection.avoided(now) {
							notEjected++
						}
					}
				}
				if ok != (left > 0) {
					t.Fatalf("picked %+v with %d eligible servers", d, left)
				}
				if !ok {
					return
				}
				s := r.servers[d.Server]
				if s.Service != request.Service || unusable[d.Server] || slices.Contains(request.Exclude, d.Server) || d.ExpectedCompletion < d.ExpectedFirstToken {
					t.Fatalf("picked %+v, which the request does not allow", d)
				}
				expected := policy.Routing == fleet.RouteExpectedCompletion || policy.Routing == ""
				if expected && notEjected > 0 && s.ejection.avoided(now) {
					t.Fatalf("picked the ejected server %s although another one was eligible", d.Server)
				}
				r.Started(now, d.Server, size)
				inFlight[d.Server]++
			},
			"": func(t *rapid.T) {
				for n, s := range r.servers {
					if s.ownInFlight != inFlight[n] {
						t.Fatalf("%s: %d in flight, want %d", n, s.ownInFlight, inFlight[n])
					}
				}
				if len(r.prefixes.entries) > prefixLimit || len(r.prefixes.index) != len(r.prefixes.entries) {
					t.Fatalf("%d prefixes in the table, expected at most 4 and as many in its index", len(r.prefixes.entries))
				}
				if n, rate := r.Capacity(now, "model", 3); n < 0 || n > 9*len(all)+inFlightSum(inFlight) || rate < 0 {
					t.Fatalf("capacity of %d requests and %v tokens/s is out of bounds", n, rate)
				}
			},
		})
	})
}

func inFlightSum(inFlight map[string]int) int {
	sum := 0
	for _, n := range inFlight {
		sum += n
	}
	return sum
}

// TestEjectedServerIsProbed checks that a server is avoided after connections to it
// failed, and that a single attempt probes it after the back-off.
func TestEjectedServerIsProbed(t *testing.T) {
	r := New(Options{Seed: 1})
	r.SetServers([]Server{{Name: "a", Service: "s", Slots: 2}, {Name: "b", Service: "s", Slots: 2}})
	pick := func(now time.Duration) string {
		d, _ := r.Pick(now, Request{Service: "s", Policy: &benchPolicy})
		return d.Server
	}
	for range ejectAfter {
		r.Started(0, "a", RequestSize{})
		r.Finished(0, "a", Outcome{Result: ResultUnreachable})
	}
	for i := range 3 {
		if got := pick(0); got != "b" {
			t.Fatalf("pick %d: got %s, expected b", i, got)
		}
		r.Started(0, "b", RequestSize{})
	}
	if got := pick(minEjection); got != "a" {
		t.Fatalf("after the back-off: got %s, expected a", got)
	}
	r.Started(minEjection, "a", RequestSize{})
	if got := pick(minEjection); got != "b" {
		t.Fatalf("during the probe: got %s, expected b", got)
	}
	r.Finished(minEjection, "a", Outcome{Result: ResultCompleted, Elapsed: time.Millisecond})
	if got := pick(minEjection); got != "a" {
		t.Fatalf("after the probe: got %s, expected a", got)
	}
}

// TestPrefersHolderOfPrefix checks which server is picked for a prefix after cache
// events, above the load limit, after missing events, after a restart and after
// eviction.
func TestPrefersHolderOfPrefix(t *testing.T) {
	r := New(Options{Seed: 1})
	r.SetServers(benchServers(4))
	request := Request{Service: "model", PromptTokens: 4000, OutputTokens: 10, Prefix: 7, PrefixTokens: 3900, Policy: &benchPolicy}
	holder := "engine-00003" // has the highest price and network delay
	r.CacheEvent(holder, 1, CacheStored, 7)
	if d, _ := r.Pick(0, request); d.Server != holder || d.Reason != ReasonPrefix {
		t.Fatalf("picked %+v, expected the holder of the prefix", d)
	}
	for i := range 8 {
		r.Started(0, holder, RequestSize{PromptTokens: 10})
		if d, _ := r.Pick(0, request); i == 7 && d.Server == holder {
			t.Fatalf("picked %+v above the load limit, expected another server", d)
		}
	}
	for range 8 {
		r.Finished(0, holder, Outcome{Result: ResultAbandoned})
	}
	r.CacheEvent(holder, 40, CacheStored, 8)
	if d, _ := r.Pick(time.Minute, request); d.Server == holder {
		t.Fatalf("picked %+v after 38 missing events, expected another server", d)
	}
	r.CacheEvent(holder, 41, CacheStored, 7)
	if d, _ := r.Pick(time.Minute, request); d.Server != holder {
		t.Fatalf("picked %+v after a new event, expected the holder of the prefix", d)
	}
	r.CacheReset(holder)
	if d, _ := r.Pick(time.Minute, request); d.Server == holder {
		t.Fatalf("picked %+v after a restart, expected another server", d)
	}
	r.CacheEvent(holder, 1, CacheStored, 7)
	if d, _ := r.Pick(time.Minute, request); d.Server != holder {
		t.Fatalf("picked %+v after the first event of a restarted server, expected that server", d)
	}
	r.CacheEvent(holder, 2, CacheEvicted, 7)
	if d, _ := r.Pick(time.Minute, request); d.Server == holder {
		t.Fatalf("picked %+v after eviction, expected another server", d)
	}
}

// TestSampleFallsBackToScan checks that the only eligible server of many is found
// although random samples often miss it.
func TestSampleFallsBackToScan(t *testing.T) {
	r := New(Options{Seed: 1})
	r.scanLimit = 0
	var servers []Server
	var others []string
	for i := range 20 {
		s := Server{Name: string(rune('a' + i)), Service: "s", Slots: 2}
		servers = append(servers, s)
		if i > 0 {
			others = append(others, s.Name)
		}
	}
	r.SetServers(servers)
	for range 50 {
		if d, ok := r.Pick(0, Request{Service: "s", Policy: &benchPolicy, Exclude: others}); !ok || d.Server != "a" {
			t.Fatalf("picked %+v with all others excluded, expected a", d)
		}
	}
	for _, name := range others {
		for range ejectAfter {
			r.Started(0, name, RequestSize{})
			r.Finished(0, name, Outcome{Result: ResultUnreachable})
		}
	}
	for range 50 {
		if d, _ := r.Pick(0, Request{Service: "s", Policy: &benchPolicy}); d.Server != "a" {
			t.Fatalf("picked %+v with all others ejected, expected a", d)
		}
	}
}
