package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/serverlimit"
)

func brittleServers(servers, slots int) []placement.Server {
	var list []placement.Server
	for i := range servers {
		list = append(list, placement.Server{Name: fmt.Sprint("s", i), Service: "calls", Slots: slots})
	}
	return list
}

// A brittle server gets no more requests than it has slots, one of which is kept for the most urgent,
// and none for a moment after it turned one away.
func TestBrittleServerIsNotFilled(t *testing.T) {
	p := placement.New(1)
	p.SetServers(brittleServers(1, 4))
	p.SetBrittle("s0", true)
	p.SetBrittle("unknown", true)
	number := uint64(0)
	fill := func(now time.Duration, rank int) (placed []placement.JobID) {
		for {
			decision, ok := p.Pick(now, &placement.Request{Service: "calls", Rank: rank})
			if !ok || len(placed) > 8 {
				return placed
			}
			number++
			id := placement.JobID{Origin: 1, Number: number}
			p.Placed(now, placement.NewJob(id, decision, placement.RequestSize{}))
			placed = append(placed, id)
		}
	}
	ordinary, urgent := fill(0, 1), fill(0, 0)
	if len(ordinary) != 3 || len(urgent) != 1 {
		t.Errorf("placed %d ordinary and %d urgent requests at 4 slots, want 3 and 1", len(ordinary), len(urgent))
	}
	p.Ended(0, urgent[0], placement.ResultRefused)
	if n := len(fill(time.Millisecond, 0)); n != 0 {
		t.Errorf("placed %d requests just after one was turned away, want none", n)
	}
	if n := len(fill(time.Second, 0)); n != 1 {
		t.Errorf("placed %d requests a second after one was turned away, want 1", n)
	}
	p.SetBrittle("s0", false)
	if n := len(fill(time.Second, 0)); n < 8 {
		t.Errorf("placed %d requests at a server that isn't brittle any more, want no bound", n)
	}
}

// The rate is that at which requests run without waiting, and changes in steps.
func TestRoomRate(t *testing.T) {
	p := placement.New(1)
	p.SetServers(brittleServers(1, 8))
	if got := p.RoomRate("s0"); got < 7 || got > 8 {
		t.Errorf("got %.2f a second before any request, want 8 or the step below", got)
	}
	rates := make(map[float64]bool)
	for i := range 1000 {
		now := time.Duration(i) * time.Second
		id := placement.JobID{Origin: 1, Number: uint64(i)}
		p.Placed(now, placement.Job{ID: id, Server: "s0"})
		p.Ended(now+400*time.Millisecond+time.Duration(i%7)*time.Millisecond, id, placement.ResultAnswered)
		if i > 100 {
			rates[p.RoomRate("s0")] = true
		}
	}
	if got := p.RoomRate("s0"); got < 17 || got > 20 || len(rates) > 2 {
		t.Errorf("got %.2f a second and %d rates for requests of 0.4 s at 8 slots, want 20 or the step below, and at most 2", got, len(rates))
	}
	if got := p.RoomRate("unknown"); got != 0 {
		t.Errorf("got %.2f a second for an unknown server, want 0", got)
	}
}

// brittleEntry is one of many entries that share brittle servers.
type brittleEntry struct {
	placer *placement.Placer
	share  *serverlimit.Share
	drawAt time.Duration
}

// Eighty entries that learn of each other's requests 80 ms late share brittle servers under half more
// requests than fit. Almost none falls over, and at least half of what fits is served.
func TestManyEntriesAtBrittleServers(t *testing.T) {
	const (
		entries, servers, slots = 80, 6, 8
		mayWait, mayReject      = 2, 3
		takes                   = 400 * time.Millisecond
		newsDelay               = 80 * time.Millisecond
		step                    = 2 * time.Millisecond
		length                  = 30 * time.Second
		stability               = 3 * time.Second
		fits                    = servers * slots * float64(time.Second) / float64(takes)
		perSecond               = 1.5 * fits
	)
	random := rand.New(rand.NewPCG(1, 2))
	leader := serverlimit.NewAllocator()
	all := make([]*brittleEntry, entries)
	for i := range all {
		all[i] = &brittleEntry{placer: placement.New(uint64(i + 1)), share: serverlimit.NewShare(uint64(i + 1))}
		all[i].placer.SetServers(brittleServers(servers, slots))
	}
	type event struct {
		at time.Duration
		do func(now time.Duration)
	}
	var events []event
	after := func(at time.Duration, do func(now time.Duration)) { events = append(events, event{at, do}) }
	held := make(map[string]int)
	rejected := make(map[string][]time.Duration)
	falls, served, number := 0, 0, uint64(0)
	draw := func(now time.Duration, e *brittleEntry) {
		for _, server := range e.share.Granted(now, leader.Renew(now, e.share.Renewal(now)), entries) {
			e.placer.SetBrittle(server, e.share.Brittle(server))
		}
	}
	tell := func(now time.Duration, from *brittleEntry, do func(now time.Duration, p *placement.Placer)) {
		do(now, from.placer)
		after(now+newsDelay, func(now time.Duration) {
			for _, other := range all {
				if other != from {
					do(now, other.placer)
				}
			}
		})
	}
	pick := func(now time.Duration, e *brittleEntry) (placement.Decision, bool) {
		request := &placement.Request{Service: "calls"}
		if e.share.Any() {
			request.Limiter = e.share
		}
		decision, ok := e.placer.Pick(now, request)
		if ok {
			e.share.Use(now, decision.Server)
		}
		return decision, ok
	}
	arrive := func(now time.Duration, e *brittleEntry) {
		decision, ok := pick(now, e)
		if !ok && e.share.Await(now, e.placer.Takers(now, &placement.Request{Service: "calls"})) {
			draw(now, e)
			decision, ok = pick(now, e)
		}
		if !ok {
			return
		}
		number++
		id, server := placement.JobID{Origin: uint64(number), Number: number}, decision.Server
		job := placement.NewJob(id, decision, placement.RequestSize{})
		tell(now, e, func(now time.Duration, p *placement.Placer) { p.Placed(now, job) })
		answer := func(now time.Duration, result placement.Result) {
			tell(now, e, func(now time.Duration, p *placement.Placer) { p.Ended(now, id, result) })
			e.placer.SetBrittle(server, true)
			e.share.Observe(now, server, serverlimit.Word{PerSecond: e.placer.RoomRate(server), Brittle: true, Sent: now - takes, Read: now})
		}
		if held[server] >= slots+mayWait {
			recent := []time.Duration{now}
			for _, at := range rejected[server] {
				if now-at < time.Second {
					recent = append(recent, at)
				}
			}
			if rejected[server] = recent; len(recent) > mayReject && now > stability {
				falls++
				rejected[server] = nil
			}
			answer(now, placement.ResultRefused)
			return
		}
		held[server]++
		after(now+takes, func(now time.Duration) {
			held[server]--
			answer(now, placement.ResultAnswered)
			if now > stability {
				served++
			}
		})
	}
	for now := time.Duration(0); now < length; now += step {
		due := events
		events = nil
		for _, ev := range due {
			if ev.at <= now {
				ev.do(now)
			} else {
				events = append(events, ev)
			}
		}
		for _, e := range all {
			if now >= e.drawAt {
				draw(now, e)
				e.drawAt = now + entries*10*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond)))
			}
		}
		for range poisson(random, perSecond*step.Seconds()) {
			arrive(now, all[random.IntN(entries)])
		}
	}
	fitting := fits * (length - stability).Seconds()
	t.Logf("%d falls, %d served where %.0f fit", falls, served, fitting)
	if allowed := 2 + servers/10; falls > allowed {
		t.Errorf("%d falls, want at most %d", falls, allowed)
	}
	if float64(served) < fitting/2 {
		t.Errorf("%d served where %.0f fit, want at least half", served, fitting)
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for left := mean; ; n++ {
		left -= random.ExpFloat64()
		if left < 0 {
			return n
		}
	}
}
