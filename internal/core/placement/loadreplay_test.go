package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
)

// simulatedServer runs work more or less slowly than usual, and reports by how much.
type simulatedServer struct {
	name   string
	number int
	// own is the factor of its own speed; changes lists when disturbances begin and end.
	own     float64
	changes []time.Duration
	// free is when it has read its prompts, or when each of its slots is free.
	free []time.Duration
	// present is the number of requests there, and queued that of those that have not begun.
	present, queued int
	held            map[uint64]bool
}

// disturbance is the factor by which a disturbance slows work down.
const disturbance = 2.5

// disturb draws disturbances of 400 to 700 ms that cover 15% of the time.
func (s *simulatedServer) disturb(random *rand.Rand, length time.Duration) {
	for t := time.Duration(0); t < length; {
		t += time.Duration(random.ExpFloat64() * float64(3100*time.Millisecond))
		s.changes = append(s.changes, t)
		t += 400*time.Millisecond + time.Duration(random.Int64N(int64(300*time.Millisecond)))
		s.changes = append(s.changes, t)
	}
}

// factor returns the factor at a time, and when it changes.
func (s *simulatedServer) factor(now time.Duration) (float64, time.Duration) {
	for i, change := range s.changes {
		if now < change {
			if i%2 == 0 {
				return s.own, change
			}
			return s.own * disturbance, change
		}
	}
	return s.own, 1 << 62
}

// run returns when work is done that begins at a time and takes an average server as long as usual.
func (s *simulatedServer) run(begin, usual time.Duration) time.Duration {
	for {
		factor, until := s.factor(begin)
		end := begin + time.Duration(float64(usual)*factor)
		if end <= until {
			return end
		}
		usual -= time.Duration(float64(until-begin) / factor)
		begin = until
	}
}

// loadReplay is a load on servers of three speeds, from many entries that learn of each other's placements
// 50 to 150 ms late.
type loadReplay struct {
	entries, servers int
	speeds           []float64
	// report returns the load that a server reports; nil means that none does.
	report reporter
	// slots is the number of slots of application servers, and 0 for engines.
	slots  int
	rate   float64
	length time.Duration
	// foreign is the number of requests a second that reach the first server from elsewhere.
	foreign float64
	seed    uint64
}

// began holds what became of the requests of a replay.
type began struct {
	all, within500, within1000, within100 int
	// at is the number of requests by server.
	at map[string]int
	// ignored lists the servers whose reports some entry ignored.
	ignored map[string]int
}

func (b began) share(within int) float64 { return float64(within) / float64(b.all) }

type promptShape struct {
	share               float64
	shared, own, things int
	runs                time.Duration
}

var promptShapes = []promptShape{
	{1. / 6, 5382, 6610, 360, 3 * time.Second},
	{1. / 2, 198, 628, 360, 2 * time.Second},
	{1. / 3, 568, 1800, 360, 100 * time.Millisecond},
}

func (l *loadReplay) play() began {
	const service, tokensPerMS, newsDelay = "service", 70.0, 50 * time.Millisecond
	// Delays are drawn apart from the load, and those of loads apart from the others, so that replays differ only
	// by the entries' decisions.
	random, delays, loadDelays := rand.New(rand.NewPCG(l.seed, 4)), rand.New(rand.NewPCG(l.seed, 5)), rand.New(rand.NewPCG(l.seed, 6))
	result := began{at: make(map[string]int), ignored: make(map[string]int)}
	servers := make(map[string]*simulatedServer)
	var list []placement.Server
	for i := range l.servers {
		s := &simulatedServer{name: fmt.Sprintf("s%02d", i), number: i, own: l.speeds[i%len(l.speeds)], held: make(map[uint64]bool), free: make([]time.Duration, max(l.slots, 1))}
		s.disturb(random, 2*l.length)
		servers[s.name] = s
		server := placement.Server{Name: s.name, Service: service, Slots: 32, CacheTokens: 696_000, Delay: time.Millisecond}
		if l.slots > 0 {
			server.Slots, server.CacheTokens = l.slots, 0
		}
		list = append(list, server)
	}
	placers := make([]*placement.Placer, l.entries)
	for i := range placers {
		placers[i] = placement.New(uint64(i + 1))
		placers[i].SetServers(list)
		placers[i].SetNewsDelay(newsDelay)
	}
	events := &schedule{}
	tell := func(now time.Duration, delays *rand.Rand, from int, do func(now time.Duration, p *placement.Placer)) {
		late := 50*time.Millisecond + time.Duration(delays.Int64N(int64(100*time.Millisecond)))
		heap.Push(events, at{now + late, func(now time.Duration) {
			for i, p := range placers {
				if i != from {
					do(now, p)
				}
			}
		}})
	}
	// respond gives the entry the response's load and announces it.
	respond := func(now time.Duration, entry int, s *simulatedServer) {
		if l.report == nil {
			return
		}
		if load, ok := l.report(s, now); ok {
			placers[entry].ObserveLoad(now, s.name, load)
		}
	}
	announce := func(now time.Duration, entry int, s *simulatedServer) {
		if report, ok := placers[entry].TakeReport(now, s.name); ok {
			sent := now
			tell(now, loadDelays, entry, func(now time.Duration, p *placement.Placer) {
				report := report
				report.Age += now - sent - newsDelay
				p.ObserveAnnounced(now, s.name, report)
			})
		}
	}
	number := uint64(0)
	arrive := func(now time.Duration) {
		number++
		entry, id := random.IntN(l.entries), placement.JobID{}
		id = placement.JobID{Origin: uint64(entry + 1), Number: number}
		var size placement.RequestSize
		var shape promptShape
		if l.slots == 0 {
			draw := random.Float64()
			for _, shape = range promptShapes {
				if draw -= shape.share; draw < 0 {
					break
				}
			}
			chain := uint64(shape.shared)<<20 + uint64(random.IntN(shape.things))
			size = placement.RequestSize{PromptTokens: shape.shared + shape.own, OutputTokens: 100, Parts: []placement.Part{{Chain: chain, Tokens: shape.shared}}}
		}
		decision, _ := placers[entry].Pick(now, &placement.Request{Service: service, Size: size})
		job := placement.NewJob(id, decision, size)
		s := servers[decision.Server]
		placers[entry].Placed(now, job)
		s.present++
		s.queued++
		if l.slots > 0 {
			slot := 0
			for i := range s.free {
				if s.free[i] < s.free[slot] {
					slot = i
				}
			}
			begins := max(now, s.free[slot])
			heap.Push(events, at{begins, func(time.Duration) { s.queued-- }})
			s.free[slot] = s.run(begins, 30*time.Millisecond)
			l.count(&result, now, s.free[slot], s.name)
			heap.Push(events, at{s.free[slot], func(now time.Duration) {
				respond(now, entry, s)
				s.present--
				placers[entry].Ended(now, id, placement.ResultAnswered)
				announce(now, entry, s)
			}})
			return
		}
		tell(now, delays, entry, func(now time.Duration, p *placement.Placer) { p.Placed(now, job) })
		uncached := size.PromptTokens
		if s.held[size.Parts[0].Chain] {
			uncached = shape.own
		}
		s.held[size.Parts[0].Chain] = true
		prompt := placement.NewJob(id, placement.Decision{UncachedTokens: uncached}, size)
		s.free[0] = s.run(max(now, s.free[0]), time.Duration(prompt.Work/tokensPerMS*float64(time.Millisecond)))
		begins := s.run(s.free[0], 4*time.Millisecond)
		l.count(&result, now, begins, s.name)
		heap.Push(events, at{begins, func(now time.Duration) {
			s.queued--
			respond(now, entry, s)
			placers[entry].Started(now, id, true)
			tell(now, delays, entry, func(now time.Duration, p *placement.Placer) { p.Started(now, id, false) })
			announce(now, entry, s)
		}})
		heap.Push(events, at{begins + shape.runs, func(now time.Duration) {
			s.present--
			placers[entry].Ended(now, id, placement.ResultAnswered)
			tell(now, delays, entry, func(now time.Duration, p *placement.Placer) { p.Ended(now, id, placement.ResultAnswered) })
		}})
	}
	for when := time.Duration(0); when < l.length; {
		when += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
		heap.Push(events, at{when, arrive})
	}
	if l.foreign > 0 {
		s := servers[list[0].Name]
		for when := time.Duration(0); when < l.length; when += time.Duration(float64(time.Second) / l.foreign) {
			heap.Push(events, at{when, func(now time.Duration) {
				s.present++
				s.queued++
				s.free[0] = s.run(max(now, s.free[0]), 40*time.Millisecond)
				heap.Push(events, at{s.free[0], func(time.Duration) { s.queued-- }})
				heap.Push(events, at{s.free[0] + 2*time.Second, func(time.Duration) { s.present-- }})
			}})
		}
	}
	for events.Len() > 0 {
		next := heap.Pop(events).(at)
		next.do(next.when)
	}
	for _, p := range placers {
		for _, ignored := range p.TakeIgnored() {
			result.ignored[ignored.Server]++
		}
	}
	return result
}

// count counts a request, unless it was sent in the first third, while the entries learn.
func (l *loadReplay) count(b *began, sent, begins time.Duration, server string) {
	if sent < l.length/3 {
		return
	}
	b.all++
	b.at[server]++
	for limit, n := range map[time.Duration]*int{100 * time.Millisecond: &b.within100, 500 * time.Millisecond: &b.within500, time.Second: &b.within1000} {
		if begins-sent <= limit {
			*n++
		}
	}
}

var threeSpeeds = []float64{0.6, 1, 1.6}

// reporter returns the load that a server reports at a time, and false if it reports none.
type reporter func(s *simulatedServer, now time.Duration) (placement.Load, bool)

func honest(s *simulatedServer, now time.Duration) (placement.Load, bool) {
	factor, _ := s.factor(now)
	return placement.Load{Running: s.present - s.queued, Waiting: s.queued, Factor: factor}, true
}

func withoutFactor(s *simulatedServer, _ time.Duration) (placement.Load, bool) {
	return placement.Load{Running: s.present - s.queued, Waiting: s.queued}, true
}

// except returns a reporter for which six slow servers of 60 report something else.
func except(report reporter) reporter {
	return func(s *simulatedServer, now time.Duration) (placement.Load, bool) {
		if liar(s) {
			return report(s, now)
		}
		return honest(s, now)
	}
}

func liar(s *simulatedServer) bool { return s.number < 18 && s.number%3 == 2 }

func engineReplay(report reporter) *loadReplay {
	return &loadReplay{entries: 71, servers: 60, speeds: threeSpeeds, report: report, rate: 530, length: 10 * time.Second, seed: 1}
}

func appReplay(report reporter, rate float64) *loadReplay {
	return &loadReplay{entries: 71, servers: 4, speeds: []float64{1}, slots: 6, report: report, rate: rate, length: 30 * time.Second, seed: 1}
}

func (b began) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-34s %d requests, begun within 100 ms %.4f, 500 ms %.4f, 1000 ms %.4f; reports ignored at %v",
		name, b.all, b.share(b.within100), b.share(b.within500), b.share(b.within1000), b.ignored)
}

// Engines of three speeds with disturbances: their reports must reach the choice of a server. Without
// them, or with ones of three values, a prompt in 25 begins after 500 ms.
func TestReportedFactorsAtEngines(t *testing.T) {
	before, three, after := engineReplay(nil).play(), engineReplay(withoutFactor).play(), engineReplay(honest).play()
	before.log(t, "no reports")
	three.log(t, "three values")
	after.log(t, "with factors")
	if late := 1 - after.share(after.within500); late > 0.3*(1-before.share(before.within500)) {
		t.Errorf("%.4f of the prompts begin after 500 ms, want a third or less of the %.4f without reports", late, 1-before.share(before.within500))
	}
	if after.share(after.within1000) < 0.999 {
		t.Errorf("%.4f of the prompts begin within 1 s, want 0.999", after.share(after.within1000))
	}
	if !reflect.DeepEqual(before, three) {
		t.Error("reports of three values that agree with the announcements changed decisions")
	}
	if len(after.ignored) > 3 {
		t.Errorf("reports of honest servers are ignored: %v", after.ignored)
	}
}

// Engines whose reports are false, missing, stale or senseless must not do more harm than if no engine reported.
func TestFalseReports(t *testing.T) {
	before := engineReplay(nil).play()
	before.log(t, "no reports")
	random := rand.New(rand.NewPCG(5, 6))
	for _, c := range []struct {
		name string
		// found is true if the entries must find out.
		found  bool
		report reporter
	}{
		{"always idle and usual", false, except(func(*simulatedServer, time.Duration) (placement.Load, bool) {
			return placement.Load{Factor: 1}, true
		})},
		{"always idle and fast", true, except(func(*simulatedServer, time.Duration) (placement.Load, bool) {
			return placement.Load{Factor: 0.6}, true
		})},
		{"always idle and as fast as can be", true, except(func(*simulatedServer, time.Duration) (placement.Load, bool) {
			return placement.Load{Factor: 0.1}, true
		})},
		{"own speed, never disturbed", false, except(func(s *simulatedServer, _ time.Duration) (placement.Load, bool) {
			return placement.Load{Running: s.present, Factor: s.own}, true
		})},
		{"a second old", false, func(s *simulatedServer, now time.Duration) (placement.Load, bool) {
			factor, _ := s.factor(max(now-time.Second, 0))
			return placement.Load{Running: s.present, Factor: factor}, true
		}},
		{"random", false, except(func(*simulatedServer, time.Duration) (placement.Load, bool) {
			return placement.Load{Running: random.IntN(1_000_000), Waiting: random.IntN(1_000_000), Factor: 0.1 + 99.9*random.Float64()}, true
		})},
		{"none", false, except(func(*simulatedServer, time.Duration) (placement.Load, bool) {
			return placement.Load{}, false
		})},
		{"half of the reports", false, func(s *simulatedServer, now time.Duration) (placement.Load, bool) {
			load, _ := honest(s, now)
			return load, random.IntN(2) == 0
		}},
	} {
		after := engineReplay(c.report).play()
		after.log(t, c.name)
		if after.share(after.within500) < before.share(before.within500) || after.share(after.within1000) < before.share(before.within1000) {
			t.Errorf("%s: %.4f begin within 500 ms and %.4f within 1 s, without reports %.4f and %.4f", c.name,
				after.share(after.within500), after.share(after.within1000), before.share(before.within500), before.share(before.within1000))
		}
		if c.found && (after.ignored["s02"] < 60 || after.ignored["s17"] < 60) {
			t.Errorf("%s: the reports are ignored at %v entries of 71 by server", c.name, after.ignored)
		}
	}
}

// Requests that reach an engine from elsewhere show in its reports only: the engine must get less.
func TestForeignRequestsAtAnEngine(t *testing.T) {
	replay := func(report reporter) began {
		l := engineReplay(report)
		l.foreign, l.speeds = 15, []float64{1}
		return l.play()
	}
	before, after := replay(nil), replay(withoutFactor)
	before.log(t, "no reports")
	after.log(t, "three values")
	t.Logf("requests at the engine: %d without reports, %d with reports", before.at["s00"], after.at["s00"])
	if 4*after.at["s00"] > 3*before.at["s00"] {
		t.Errorf("%d requests at the engine with reports, %d without, want three quarters or less", after.at["s00"], before.at["s00"])
	}
}

// appLate returns the share of the calls of eight replays that take longer than 100 ms, and the servers whose reports
// entries ignored.
func appLate(report reporter, rate float64, speeds []float64) (share float64, ignored map[string]int) {
	all, late := 0, 0
	ignored = make(map[string]int)
	for seed := range 8 {
		l := appReplay(report, rate)
		l.seed, l.speeds = uint64(seed+1), speeds
		result := l.play()
		all, late = all+result.all, late+result.all-result.within100
		for server, entries := range result.ignored {
			ignored[server] += entries
		}
	}
	return float64(late) / float64(all), ignored
}

// Application servers with disturbances: calls must avoid the servers that are disturbed, and reports of three
// values must change nothing.
func TestReportedFactorsAtApplicationServers(t *testing.T) {
	for _, c := range []struct{ rate, factors float64 }{{200, 1}, {300, 0.9}, {400, 0.7}} {
		before, _ := appLate(nil, c.rate, []float64{1})
		three, _ := appLate(withoutFactor, c.rate, []float64{1})
		after, _ := appLate(honest, c.rate, []float64{1})
		t.Logf("%v calls a second: over 100 ms without reports %.4f, with three values %.4f, with factors %.4f", c.rate, before, three, after)
		if three != before {
			t.Errorf("%v calls a second: %.4f take longer than 100 ms with three values, %.4f without reports", c.rate, three, before)
		}
		if after > c.factors*before {
			t.Errorf("%v calls a second: %.4f take longer than 100 ms with factors, want %.1f of the %.4f without reports", c.rate, after, c.factors, before)
		}
	}
}

// One of four application servers is slow and reports something else: calls must not meet there, queues must not make
// entries ignore the honest servers, and no more calls may be late than without reports.
func TestFalseReportsAtApplicationServers(t *testing.T) {
	speeds := []float64{1, 1, 1, 1.6}
	for _, rate := range []float64{200, 300} {
		before, _ := appLate(nil, rate, speeds)
		for _, c := range []struct {
			name  string
			found bool
			load  placement.Load
		}{
			{"idle and usual", true, placement.Load{Factor: 1}},
			{"idle and fast", true, placement.Load{Factor: 0.6}},
			{"idle and as fast as can be", true, placement.Load{Factor: 0.1}},
			{"full and as slow as can be", false, placement.Load{Running: 900_000, Waiting: 900_000, Factor: 100}},
		} {
			after, ignored := appLate(func(s *simulatedServer, now time.Duration) (placement.Load, bool) {
				if s.number == 3 {
					return c.load, true
				}
				return honest(s, now)
			}, rate, speeds)
			t.Logf("%v calls a second, %s: over 100 ms %.4f, without reports %.4f; ignored at %v", rate, c.name, after, before, ignored)
			if after > before {
				t.Errorf("%v calls a second, %s: %.4f take longer than 100 ms, %.4f without reports", rate, c.name, after, before)
			}
			if c.found && ignored["s03"] < 500 {
				t.Errorf("%v calls a second, %s: the reports are ignored at %d entries of 568", rate, c.name, ignored["s03"])
			}
			if honest := ignored["s00"] + ignored["s01"] + ignored["s02"]; honest > 170 {
				t.Errorf("%v calls a second, %s: honest reports are ignored at %v, want a tenth at most", rate, c.name, ignored)
			}
		}
	}
}
