package detour

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/detour"
)

// newDetour returns the Detour of an entry that knows servers and peers.
func newDetour(servers []string, peers ...string) *Detour {
	began := time.Now()
	d := New(Options{
		Now: func() time.Duration { return time.Since(began) }, Seed: 1, Secret: "secret",
		Peers: func() []string { return peers }, HealthPath: func(string) string { return "/health" }, Changed: func() {},
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Registry: prometheus.NewRegistry(),
	})
	d.SetServers(servers)
	return d
}

// startPeer serves the tunnels of an entry that knows servers, and returns it with its address.
func startPeer(t *testing.T, servers ...string) (*Detour, string) {
	t.Helper()
	d := newDetour(servers)
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	return d, strings.TrimPrefix(server.URL, "http://")
}

// startServer accepts connections and hands each to serve.
func startServer(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, d *Detour, server string) net.Conn {
	t.Helper()
	conn, err := d.Dial(t.Context(), server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Bytes pass through unchanged in both directions, and the server's end is seen as such.
func TestTunnelPassesBytes(t *testing.T) {
	const size = 3*chunkBytes + 17
	server := startServer(t, func(conn *net.TCPConn) {
		_, _ = io.CopyN(conn, conn, size)
		_ = conn.Close()
	})
	_, peer := startPeer(t, server)
	conn := dial(t, newDetour([]string{server}, peer), server)
	sent := strings.Repeat("waxwing ", size/8+1)[:size]
	go func() { _, _ = conn.Write([]byte(sent)) }()
	got, err := io.ReadAll(conn)
	if err != nil || string(got) != sent {
		t.Errorf("got %d bytes and %v, want the %d bytes that were sent, and a clean end", len(got), err, size)
	}
}

// An answer without a length ends with its connection. If the server resets the connection, or the
// other entry ends, the answer must not look complete.
func TestBrokenTunnelIsNoEnd(t *testing.T) {
	written := make(chan struct{}, 1)
	server := startServer(t, func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("half an answer"))
		<-written
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	_, peer := startPeer(t, server)
	conn := dial(t, newDetour([]string{server}, peer), server)
	if _, err := io.ReadFull(conn, make([]byte, len("half an answer"))); err != nil {
		t.Fatal(err)
	}
	written <- struct{}{}
	if n, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the server reset its connection: got %d bytes and %v, want an error", n, err)
	}

	// A peer that ends closes the connection without the end of the server's bytes.
	ending := startServer(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: waxwingcart-tunnel\r\n\r\n\x00\x00\x00\x04half"))
		_ = conn.Close()
	})
	conn = dial(t, newDetour([]string{server}, ending), server)
	if got, err := io.ReadAll(conn); string(got) != "half" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the peer ended: got %q and %v, want the bytes before and %v", got, err, io.ErrUnexpectedEOF)
	}
}

// A request whose caller has left is broken off at the server, too.
func TestClosedTunnelClosesServer(t *testing.T) {
	closed := make(chan struct{})
	server := startServer(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	_, peer := startPeer(t, server)
	conn := dial(t, newDetour([]string{server}, peer), server)
	if _, err := conn.Write([]byte("a request")); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the server's connection is open 5 s after the tunnel was closed")
	}
}

// No tunnel leads to addresses that are no servers, to servers that can't be reached, through an
// entry that is cut off itself, or through one that drains.
func TestRefusedTunnels(t *testing.T) {
	server := startServer(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := unused.Addr().String()
	_ = unused.Close()
	for name, test := range map[string]struct {
		server  string
		prepare func(peer *Detour)
	}{
		"unknown server":     {"127.0.0.1:1", func(*Detour) {}},
		"unreachable server": {gone, func(*Detour) {}},
		"cut off itself":     {server, func(peer *Detour) { peer.path.Store(detour.CutOff) }},
		"draining":           {server, func(peer *Detour) { peer.Drain() }},
	} {
		peer, address := startPeer(t, server, gone)
		test.prepare(peer)
		if conn, err := newDetour([]string{test.server}, address).Dial(t.Context(), test.server); err == nil {
			_ = conn.Close()
			t.Errorf("%s: got a connection, want an error", name)
		}
	}
}

// A draining entry keeps the tunnels that are open, and knows when the last has ended.
func TestDrainKeepsTunnels(t *testing.T) {
	server := startServer(t, func(conn *net.TCPConn) { _, _ = io.Copy(conn, conn) })
	peer, address := startPeer(t, server)
	conn := dial(t, newDetour([]string{server}, address), server)
	idle := peer.Drain()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatalf("the tunnel broke: %v", err)
	}
	select {
	case <-idle:
		t.Fatal("the entry counts as idle while a tunnel is open")
	default:
	}
	_ = conn.Close()
	select {
	case <-idle:
	case <-time.After(5 * time.Second):
		t.Error("the entry isn't idle 5 s after the last tunnel was closed")
	}
}

// An entry whose connections to all servers are accepted and stay silent goes through another
// entry, and connects directly again when they answer.
func TestSilentLinks(t *testing.T) {
	sound := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	cut := make(chan struct{})
	var servers []string
	for range 3 {
		server := httptest.NewServer(sound)
		t.Cleanup(server.Close)
		servers = append(servers, strings.TrimPrefix(server.URL, "http://"))
	}
	_, peer := startPeer(t, servers...)
	d := newDetour(servers, peer)
	d.dialDirect = func(ctx context.Context, server string) (net.Conn, error) {
		select {
		case <-cut:
			return (&net.Dialer{}).DialContext(ctx, "tcp", server)
		default:
			ours, _ := net.Pipe()
			return ours, nil
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	var ended []func(bool)
	for i := range 4 {
		ended = append(ended, d.Sent(servers[i%len(servers)]))
	}
	waitFor(t, "the detour begins", func() bool { return d.Active(servers[0]) })
	close(cut)
	waitFor(t, "the detour ends", func() bool { return !d.Active(servers[0]) })
	for _, end := range ended {
		end(false)
	}
}

// Requests that wait for long while others are answered are no sign of a cut.
func TestSlowServersAreNotSilent(t *testing.T) {
	d := newDetour([]string{"a", "b"})
	for range 8 {
		defer d.Sent("a")(false)
	}
	d.Sent("b")(true)
	time.Sleep(silentAfter + 100*time.Millisecond)
	if got := d.path.Load(); got != detour.Direct {
		t.Errorf("got path %v, want %s", got, detour.Direct)
	}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for began := time.Now(); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// A server that resets its connection while a request is being passed on to it has not ended its answer,
// also if it was the request that met the reset.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const answer = "half an answer"
	server := startServer(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 512))
		_, _ = conn.Write([]byte(answer))
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	_, peer := startPeer(t, server)
	d := newDetour([]string{server}, peer)
	upload := bytes.Repeat([]byte("x"), 900<<10)
	const callers, calls = 8, 400
	var ended, begun atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for begun.Add(1) <= calls {
				conn, err := d.Dial(t.Context(), server)
				if err != nil {
					continue
				}
				go func() { _, _ = conn.Write(upload) }()
				if _, err := io.ReadAll(conn); err == nil {
					ended.Add(1)
				}
				_ = conn.Close()
			}
		})
	}
	wg.Wait()
	if n := ended.Load(); n > 0 {
		t.Errorf("%d of %d answers that were broken off seemed to have ended", n, calls)
	}
}
