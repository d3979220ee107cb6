// Package detour connects an entry that is cut off from backend servers to them through other
// entries. Such an entry asks another one for a tunnel: the other connects to the server and
// passes the bytes on. Requests, their retries and their records stay with the entry that took
// them from the caller; only the path of the connection differs, so that a request reaches no
// more servers than on a direct connection.
//
// core/detour decides when; this package owns the connections.
package detour

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/detour"
	"waxwingcart/internal/periodic"
	"waxwingcart/internal/sockbuf"
)

const (
	// tickInterval is how often it is decided whether to ask servers during a suspicion or a detour.
	tickInterval = 100 * time.Millisecond
	// silentAfter is the time without an answer from which on a server counts as silent.
	silentAfter = time.Second
	// dialTimeout bounds connecting to a server, and answerTimeout its answer to a health check.
	dialTimeout   = 150 * time.Millisecond
	answerTimeout = 400 * time.Millisecond
	// peerDialTimeout bounds connecting to another entry, and peerTimeout its answer, which
	// includes its connection to the server.
	peerDialTimeout = 150 * time.Millisecond
	peerTimeout     = 350 * time.Millisecond
)

// Options configures a Detour.
type Options struct {
	// Now is the time since the entry's start.
	Now  func() time.Duration
	Seed uint64
	// Secret authenticates this entry to others, or is empty.
	Secret string
	// Peers returns the addresses of the other entries.
	Peers func() []string
	// HealthPath returns the path of a server's health check.
	HealthPath func(address string) string
	// Changed is called when the entry begins or stops to go through other entries.
	Changed func()
	// Buffers are the receive buffers of the process. They may be nil.
	Buffers  *sockbuf.Buffers
	Logger   *log.Logger
	Registry *prometheus.Registry
}

// Detour is one entry's part: it makes tunnels through others, and serves theirs.
type Detour struct {
	opts Options
	// path is the Decider's path, for readers without the lock.
	path atomic.Value
	// servers holds the addresses of the backend servers.
	servers atomic.Pointer[map[string]bool]
	// answeredAt is when a server last answered a request that was sent directly.
	answeredAt atomic.Int64
	// comparing is true while servers are compared.
	comparing atomic.Bool
	// dialDirect connects to a server for a health check.
	dialDirect func(ctx context.Context, server string) (net.Conn, error)

	mu      sync.Mutex
	decider *detour.Decider

	tunnels tunnels
	made    *prometheus.CounterVec
	served  *prometheus.CounterVec
	// cutOff has no labels; it appears with its first value.
	cutOff *prometheus.GaugeVec
}

// New returns a Detour that connects directly.
func New(opts Options) *Detour {
	dialer := net.Dialer{Timeout: dialTimeout, Control: opts.Buffers.Control}
	d := &Detour{opts: opts, decider: detour.New(opts.Seed), dialDirect: func(ctx context.Context, server string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", server)
	}}
	d.path.Store(detour.Direct)
	d.SetServers(nil)
	d.tunnels.idle = make(chan struct{})
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "waxwingcart", Subsystem: "entry", Name: name, Help: help}, []string{"result"})
	}
	d.made = counter("detours_total", "Connections to backend servers that this entry asked other entries for, by result.")
	d.served = counter("tunnels_total", "Connections to backend servers that other entries asked this one for, by result.")
	d.cutOff = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: "waxwingcart", Subsystem: "entry", Name: "cut_off", Help: "1 while this entry reaches backend servers only through other entries.",
	}, nil)
	opts.Registry.MustRegister(d.made, d.served, d.cutOff)
	return d
}

// SetServers replaces the addresses of the backend servers. Connections to others are always
// direct, and no other entry gets a tunnel to them.
func (d *Detour) SetServers(addresses []string) {
	servers := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		servers[address] = true
	}
	d.servers.Store(&servers)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decider.SetServers(addresses)
}

func (d *Detour) known(address string) bool { return (*d.servers.Load())[address] }

// Active reports whether connections to a server go through other entries.
func (d *Detour) Active(address string) bool {
	return d.path.Load() == detour.CutOff && d.known(address)
}

// Sent records a request that is sent directly. The function that it returns must be called when
// the request is answered or has ended.
func (d *Detour) Sent(address string) func(answered bool) {
	if !d.known(address) {
		return func(bool) {}
	}
	sent := d.opts.Now()
	timer := time.AfterFunc(silentAfter, func() {
		if d.answeredAt.Load() < int64(sent) {
			d.step(detour.Silent{Server: address})
		}
	})
	return func(answered bool) {
		timer.Stop()
		if answered {
			d.answeredAt.Store(int64(d.opts.Now()))
		}
	}
}

// Connected records that a server answered on a new direct connection.
func (d *Detour) Connected(address string) {
	if d.known(address) {
		d.step(detour.Connected{Server: address})
	}
}

// Failed records that no direct connection to a server could be made, or that it was broken off
// before the first byte of an answer.
func (d *Detour) Failed(address string) {
	if d.known(address) {
		d.step(detour.Failed{Server: address})
	}
}

// step applies an event and carries out what follows.
func (d *Detour) step(ev detour.Event) {
	d.mu.Lock()
	effects := d.decider.Step(d.opts.Now(), ev)
	path := d.decider.Path()
	d.path.Store(path)
	d.mu.Unlock()
	if effects.Changed {
		d.changed(path)
	}
	if len(effects.Compare) > 0 && d.comparing.CompareAndSwap(false, true) {
		go d.compare(effects.Compare)
	}
	if effects.Probe != "" {
		go func() { d.step(detour.Probed{Direct: d.answers(effects.Probe, d.dialDirect)}) }()
	}
}

func (d *Detour) changed(path detour.Path) {
	if path == detour.CutOff {
		d.cutOff.WithLabelValues().Set(1)
		d.opts.Logger.Warn().Str("step", "detour").Str("path", string(path)).Msg("backend servers answer this entry only through other entries; it connects to them through these")
	} else {
		d.cutOff.WithLabelValues().Set(0)
		d.opts.Logger.Info().Str("step", "detour").Str("path", string(path)).Msg("backend servers answer this entry directly again; it connects to them directly")
	}
	d.opts.Changed()
}

// Run lets time pass during a suspicion or a detour, until the context ends.
func (d *Detour) Run(ctx context.Context) {
	periodic.Run(ctx, tickInterval, func() {
		if d.path.Load() != detour.Direct {
			d.step(detour.Tick{})
		}
	})
}

// compare asks servers both directly and through another entry.
func (d *Detour) compare(servers []string) {
	defer d.comparing.Store(false)
	var comparing sync.WaitGroup
	for _, server := range servers {
		comparing.Go(func() {
			through := make(chan bool, 1)
			go func() { through <- d.answers(server, d.Dial) }()
			direct := d.answers(server, d.dialDirect)
			result := detour.Compared{Server: server, Direct: direct, Through: <-through}
			d.opts.Logger.Info().Str("step", "detour").Str("server", server).Bool("direct", result.Direct).Bool("through", result.Through).
				Msg("asked a backend server directly and through another entry")
			d.step(result)
		})
	}
	comparing.Wait()
}

// maxAnswerBytes bounds what is read of an answer to a health check.
const maxAnswerBytes = 16 << 10

// answers reports whether a server answers a health check, whatever the answer says: any answer
// shows that the path to the server works.
func (d *Detour) answers(server string, dial func(context.Context, string) (net.Conn, error)) bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	conn, err := dial(ctx, server)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	request, err := http.NewRequest(http.MethodGet, "http://"+server+d.opts.HealthPath(server), nil)
	if err != nil {
		return false
	}
	request.Close = true
	if request.Write(conn) != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxAnswerBytes)), request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

var errNoPeer = errors.New("no other entry is known")

// Dial connects to a server through another entry.
func (d *Detour) Dial(ctx context.Context, server string) (net.Conn, error) {
	peers := d.opts.Peers()
	d.mu.Lock()
	peers = d.decider.Peers(d.opts.Now(), peers)
	d.mu.Unlock()
	lastErr := errNoPeer
	for _, peer := range peers {
		conn, err := d.dialThrough(ctx, peer, server)
		if err == nil {
			d.made.WithLabelValues("connected").Inc()
			d.step(detour.PeerResult{Peer: peer, OK: true})
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		lastErr = err
		d.made.WithLabelValues("failed").Inc()
		if !errors.Is(err, errServerUnreached) {
			d.step(detour.PeerResult{Peer: peer})
		}
		d.opts.Logger.Info().Str("step", "detour").Str("peer", peer).Str("server", server).Err(err).Msg("another entry made no connection to a backend server")
	}
	return nil, fmt.Errorf("through other entries: %w", lastErr)
}

// ServeHTTP serves another entry's request for a tunnel.
func (d *Detour) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	result := d.serve(w, r)
	d.served.WithLabelValues(result).Inc()
}
