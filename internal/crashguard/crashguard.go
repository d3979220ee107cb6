// Package crashguard runs core/quarantine at an entry: it finds out whether a server that
// broke off an attempt has ended, exchanges evidence and bars with the other entries, and
// logs and counts what changes.
package crashguard

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/wire"
)

const (
	// checkInterval is how often bars are checked for repetition while there are any.
	checkInterval = 250 * time.Millisecond
	// expireInterval is how often bars that are long over are looked for.
	expireInterval = time.Minute
	// changeEnded is the change of a bar that holds no longer, in logs and metrics.
	changeEnded = "ended"
)

// Options configures a Guard.
type Options struct {
	// Now returns the time since the entry was started.
	Now      func() time.Duration
	Seed     uint64
	Logger   *log.Logger
	Registry *prometheus.Registry
	// Send tells the other entries. It must not block.
	Send func(*wire.News)
	// Address is this entry's address, and Peers returns those of the other entries.
	Address string
	Peers   func() []string
	// Peer returns a client of another entry.
	Peer func(address string) wire.Peer
	// Listens reports whether a new connection to an address can be made within a time and
	// stays open, whether it was accepted, and whether it was accepted or refused at all.
	Listens func(ctx context.Context, address string, timeout time.Duration) (listens, accepted, answered bool)
	// Server returns the address of a server, and false if it is not known.
	Server func(instance string) (address string, known bool)
	// Leaving reports whether a server is known to leave.
	Leaving func(instance string) bool
	// Ended is called with each server that has ended, as this or another entry saw.
	Ended func(instance string)
}

// Guard is safe for concurrent use.
type Guard struct {
	opts    Options
	changes *prometheus.CounterVec
	// barred wakes Run when there is a first bar.
	barred chan struct{}

	mu   sync.Mutex
	core *quarantine.Guard
	// sights and findings are under way or just over, by server.
	sights   map[string]*sight
	findings map[string]*finding
	// answered holds when servers last answered a request.
	answered map[string]time.Duration
	report   report
	// leaderBars is what the leader knew when it was asked last.
	leaderBars []quarantine.Bar
}

// New returns a Guard. It registers its metrics.
func New(opts Options) *Guard {
	g := &Guard{
		opts: opts, core: quarantine.New(opts.Seed), barred: make(chan struct{}, 1),
		sights: make(map[string]*sight), findings: make(map[string]*finding), answered: make(map[string]time.Duration),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "waxwingcart", Subsystem: "entry", Name: "barred_parts_total",
			Help: "Prompt parts and requests under which backend servers crash, by change: barred here, adopted from another entry, tried, or ended.",
		}, []string{"change"}),
	}
	if opts.Registry != nil {
		opts.Registry.MustRegister(g.changes)
	}
	return g
}

// Attempt is an attempt at a server.
type Attempt struct {
	Instance string
	Address  string
	Version  string
	// Placed is when it was sent.
	Placed time.Duration
}

// BrokenOff records that a server broke off an attempt before its first event. Head is
// true if the head of the answer had arrived.
func (g *Guard) BrokenOff(p *Request, a Attempt, head bool) {
	at := g.opts.Now()
	go g.investigate(p, a, head, at)
}

// investigate finds out whether the server has ended, and tells the other entries.
func (g *Guard) investigate(p *Request, a Attempt, head bool, at time.Duration) {
	found := g.confirm(context.Background(), a, at)
	leaving := g.opts.Leaving(a.Instance)
	g.opts.Logger.Info().Str("step", "broken off").Str("request", p.ID).Str("server", a.Instance).Str("peer", a.Address).
		Str("version", a.Version).Str("model", p.request.Model).Str("parts", p.logged()).Str("whole", key(p.whole())).
		Bool("head", head).Int64("waited_ms", (at-a.Placed).Milliseconds()).Bool("listens", found.contact == quarantine.ContactOpen).
		Bool("answered", found.contact != quarantine.ContactNone).Bool("ended", found.ended).Bool("sure", found.sure).Bool("leaving", leaving).
		Msg("a backend server broke off an attempt before its first event")
	if found.ended && !leaving {
		g.Crashed(p, a, head, !found.sure, at)
	}
}

// Crashed records that a server has ended under an attempt, and tells the other entries.
// Unsure is true if nothing confirms it: the server may be behind a cut link.
func (g *Guard) Crashed(p *Request, a Attempt, head, unsure bool, at time.Duration) {
	c := quarantine.Crash{
		Instance: a.Instance, Release: p.release(a.Version), At: at, Placed: a.Placed, Request: p.hash, Customer: p.request.Customer,
		Head: head && !unsure, Unsure: unsure, Parts: p.request.Parts, Own: p.request.Own,
	}
	g.mu.Lock()
	now := g.opts.Now()
	c = g.core.Open(c)
	bars := g.core.Crashed(now, c)
	g.mu.Unlock()
	g.opts.Ended(c.Instance)
	g.opts.Send(crashNews(now, c))
	g.announce(bars, "barred", p.ID)
}

// Begun records that an answer has begun at a version.
func (g *Guard) Begun(p *Request, version string) {
	g.mu.Lock()
	now := g.opts.Now()
	tell, ended := g.core.Begun(now, p.release(version), p.request.Parts, p.request.Own)
	g.mu.Unlock()
	if !tell.None() {
		g.opts.Send(acquittedNews(now, tell))
	}
	g.note(ended, changeEnded, p.ID)
}

// Check returns at which of the service's versions a request must not be placed.
func (g *Guard) Check(p *Request, versions []string) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Check(g.opts.Now(), &p.request, versions, g.rank)
}

// Tried records that a request was placed at a version after Check.
func (g *Guard) Tried(p *Request, version string, v quarantine.Verdict) {
	g.mu.Lock()
	bars := g.core.Tried(g.opts.Now(), &p.request, version, v)
	g.mu.Unlock()
	g.announce(bars, "tried", p.ID)
}

// Suspicious reports whether servers have ended under the parts of a request, without an
// answer that has begun since.
func (g *Guard) Suspicious(p *Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Suspicious(&p.request)
}

// rank returns how many entries come before this one in making a trial of a part: those whose
// addresses have a higher hash with the part.
func (g *Guard) rank(part quarantine.Part) int {
	own, before := weight(part, g.opts.Address), 0
	for _, peer := range g.opts.Peers() {
		if weight(part, peer) > own {
			before++
		}
	}
	return before
}

func weight(part quarantine.Part, address string) uint64 {
	return xxhash.Sum64String(key(part) + "/" + address)
}

// Run repeats the bars to the other entries until the context ends.
func (g *Guard) Run(ctx context.Context) {
	expireAt := g.opts.Now() + expireInterval
	for {
		idle := g.Repeat() == 0
		if now := g.opts.Now(); now >= expireAt {
			expireAt = now + expireInterval
			g.expire(now)
		}
		if !sleep(ctx, idle, g.barred) {
			return
		}
	}
}

// Repeat repeats the bars that are due, and returns the number of bars.
func (g *Guard) Repeat() int {
	g.mu.Lock()
	now, held := g.opts.Now(), g.core.Bars()
	due := g.core.Due(now)
	for _, b := range due {
		g.report.add(now, b, false)
	}
	g.mu.Unlock()
	for _, b := range due {
		g.opts.Send(barNews(now, b))
	}
	return held
}

func (g *Guard) expire(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Expire(now)
}

// sleep waits for the next check, or for the first bar if there is none. It returns false
// if the context has ended.
func sleep(ctx context.Context, idle bool, barred <-chan struct{}) bool {
	if idle {
		select {
		case <-barred:
			return true
		case <-ctx.Done():
			return false
		}
	}
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// announce tells the other entries of bars that changed here.
func (g *Guard) announce(bars []quarantine.Bar, change, request string) {
	for _, b := range bars {
		g.opts.Send(barNews(g.opts.Now(), b))
	}
	g.note(bars, change, request)
}

// note logs and counts changes of bars. The request is the one of this entry that caused
// them, if any.
func (g *Guard) note(bars []quarantine.Bar, change, request string) {
	for _, b := range bars {
		g.changes.WithLabelValues(change).Inc()
		now := g.opts.Now()
		g.opts.Logger.Info().Str("step", "quarantine").Str("change", change).Str("part", key(b.Part)).Str("service", b.Release.Service).
			Str("version", b.Release.Version).Str("model", b.Release.Model).Bool("all_customers", b.All).Int("trials", b.Trials).Str("request", request).
			Int64("next_trial_ms", (b.Next-now).Milliseconds()).Int64("last_crash_ms", (now - b.LastCrash).Milliseconds()).
			Msg("the quarantine of a prompt part or a request under which backend servers crash changed")
	}
	g.mu.Lock()
	for _, b := range bars {
		g.report.add(g.opts.Now(), b, change == changeEnded)
	}
	g.mu.Unlock()
	if len(bars) > 0 {
		select {
		case g.barred <- struct{}{}:
		default:
		}
	}
}
