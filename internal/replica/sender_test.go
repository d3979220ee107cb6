package replica

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/observe"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// unlimited is longer than any test.
	unlimited = time.Hour
	// arrivalTimeout ends a test whose message does not arrive.
	arrivalTimeout = 10 * time.Second
	// overdueSoon makes most deliveries overdue; those that are answered arrive all
	// the same.
	overdueSoon = time.Millisecond
)

// silencer is a listener whose connections can go silent: they stay open, and what
// arrives over them is discarded.
type silencer struct {
	net.Listener
	mu sync.Mutex
	// silent applies to new connections.
	silent bool
	open   []*silenceable
	// discarded gets a value when the first data arrives over a silent connection.
	discarded chan struct{}
}

type silenceable struct {
	net.Conn
	listener *silencer
	silent   bool
}

// silence sets whether new connections are silent, and silences those that are open.
func (l *silencer) silence(open, further bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = further
	for _, conn := range l.open {
		conn.silent = conn.silent || open
	}
}

func (l *silencer) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wrapped := &silenceable{Conn: conn, listener: l, silent: l.silent}
	l.open = append(l.open, wrapped)
	return wrapped, nil
}

func (c *silenceable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	silent := c.silent
	c.listener.mu.Unlock()
	if !silent {
		return n, err
	}
	if n > 0 {
		c.listener.discarded <- struct{}{}
	}
	_, _ = io.Copy(io.Discard, c.Conn)
	return 0, io.EOF
}

// peerStandIn passes each message that arrives to a channel. It holds the answer to
// a delivery that starts with "hold" until release gets a value.
type peerStandIn struct {
	wire.Replica
	arrived  chan string
	release  chan struct{}
	finished chan error
}

func (p *peerStandIn) Deliver(ctx context.Context, req *wire.DeliverRequest) (*wire.DeliverResponse, error) {
	for _, message := range req.Messages {
		p.arrived <- string(message)
	}
	if bytes.HasPrefix(req.Messages[0], []byte("hold")) {
		select {
		case <-p.release:
			p.finished <- nil
		case <-ctx.Done():
			p.finished <- ctx.Err()
		}
	}
	return &wire.DeliverResponse{}, nil
}

// expect waits until a message arrives, whatever arrives before.
func (p *peerStandIn) expect(tb testing.TB, want string) {
	tb.Helper()
	for got := ""; got != want; {
		got = await(tb, p.arrived, "the arrival of "+want[:min(len(want), 20)])
	}
}

func await[T any](tb testing.TB, events <-chan T, what string) T {
	tb.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(arrivalTimeout):
		tb.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// testSender is a sender to a stand-in. ctx ends with the test.
type testSender struct {
	*sender
	ctx      context.Context
	standIn  *peerStandIn
	listener *silencer
	registry *prometheus.Registry
}

// newTestSender returns a sender with the given bounds, which is not running.
func newTestSender(tb testing.TB, timeout, overdueAfter time.Duration, logs io.Writer) *testSender {
	tb.Helper()
	standIn := &peerStandIn{arrived: make(chan string, 1024), release: make(chan struct{}, 64), finished: make(chan error, 64)}
	server := httptest.NewUnstartedServer(wire.NewReplicaServer(standIn))
	listener := &silencer{Listener: server.Listener, discarded: make(chan struct{}, 64)}
	server.Listener = listener
	server.Start()
	registry := prometheus.NewRegistry()
	logger := observe.NewLogger(logs, "info", "r0", "z0")
	s := newSender(strings.TrimPrefix(server.URL, "http://"), "127.0.0.1:1", rpc.NewClient(""), logger, newMetrics(registry))
	s.timeout, s.overdueAfter = timeout, overdueAfter
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(func() {
		cancel()
		s.pending.Wait()
		s.client.CloseIdleConnections()
		server.Close()
	})
	return &testSender{s, ctx, standIn, listener, registry}
}

// startSender is newTestSender for a sender that runs.
func startSender(tb testing.TB, timeout, overdueAfter time.Duration) *testSender {
	tb.Helper()
	s := newTestSender(tb, timeout, overdueAfter, io.Discard)
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.run(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

func (s *testSender) deliverOne(message string) { s.deliver(s.ctx, [][]byte{[]byte(message)}) }

// failures returns the number of deliveries that were counted as failed or overdue.
func (s *testSender) failures(tb testing.TB, reason string) float64 {
	tb.Helper()
	families, err := s.registry.Gather()
	if err != nil {
		tb.Fatal(err)
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != "waxwingcart_replica_delivery_failures_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels := metric.GetLabel()
			if labels[0].GetValue() == s.peer && labels[1].GetValue() == reason {
				total += metric.GetCounter().GetValue()
			}
		}
	}
	return total
}

// Messages reach a peer over a new connection while deliveries over silent ones are
// pending.
func TestSilentConnectionHoldsUpNoMessage(t *testing.T) {
	s := startSender(t, unlimited, overdueSoon)
	s.listener.silence(false, true)
	s.send([]byte("lost"))
	await(t, s.listener.discarded, "a delivery over a silent connection")
	s.listener.silence(false, false)
	s.send([]byte("heartbeat"))
	s.standIn.expect(t, "heartbeat")
}

// After a delivery is overdue, no later one takes an idle connection, which may be
// silent as well.
func TestIdleConnectionIsNotUsedAfterSilence(t *testing.T) {
	s := newTestSender(t, unlimited, unlimited, io.Discard)
	held := make(chan struct{})
	go func() {
		defer close(held)
		s.deliverOne("hold")
	}()
	s.standIn.expect(t, "hold")
	s.deliverOne("over a second connection")
	s.standIn.release <- struct{}{}
	await(t, held, "the end of the held delivery")
	s.listener.silence(true, false)
	s.overdueAfter = overdueSoon
	s.deliverOne("lost")
	s.deliverOne("heartbeat")
	s.standIn.expect(t, "heartbeat")
}

// A large delivery that takes long is not given up, and small messages pass it.
func TestLargeDeliveryMayTakeLong(t *testing.T) {
	s := startSender(t, unlimited, overdueSoon)
	large := "hold" + strings.Repeat("x", maxBatchBytes)
	s.send([]byte(large))
	s.standIn.expect(t, large)
	for range 5 {
		s.send([]byte("heartbeat"))
		s.standIn.expect(t, "heartbeat")
	}
	s.standIn.release <- struct{}{}
	if err := await(t, s.standIn.finished, "the end of the large delivery"); err != nil {
		t.Errorf("the large delivery was given up: %v", err)
	}
}

// While as many large deliveries are pending as may be, further large messages are
// dropped and small ones pass.
func TestLargeDeliveriesAreLimited(t *testing.T) {
	s := newTestSender(t, unlimited, overdueSoon, io.Discard)
	large := "hold" + strings.Repeat("x", smallDeliveryBytes)
	for range maxLargeDeliveries {
		s.deliverOne(large)
		s.standIn.expect(t, large)
	}
	s.deliverOne(large)
	s.deliver(s.ctx, [][]byte{[]byte("vote"), []byte(large), []byte("heartbeat")})
	for _, want := range []string{"vote", "heartbeat"} {
		if got := await(t, s.standIn.arrived, "a small message"); got != want {
			t.Errorf("got a message of %d bytes, want %q", len(got), want)
		}
	}
	for range maxLargeDeliveries {
		s.standIn.release <- struct{}{}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.pending.Wait()
	}()
	await(t, ended, "the end of the large deliveries")
	s.deliverOne(large)
	s.standIn.expect(t, large)
}

// An outage is logged once, and each overdue or failed delivery is counted.
func TestFailedDeliveriesAreCounted(t *testing.T) {
	for _, c := range []struct {
		reason                string
		timeout, overdueAfter time.Duration
	}{
		{"overdue", unlimited, overdueSoon},
		{"failed", overdueSoon, unlimited},
	} {
		t.Run(c.reason, func(t *testing.T) {
			var logs bytes.Buffer
			s := newTestSender(t, c.timeout, c.overdueAfter, &logs)
			s.listener.silence(false, true)
			const deliveries = 3
			for range deliveries {
				s.deliverOne("lost")
			}
			if got := s.failures(t, c.reason); got != deliveries {
				t.Errorf("got %v %s deliveries, want %d", got, c.reason, deliveries)
			}
			if lines := strings.Count(logs.String(), "delivering messages"); lines != 1 {
				t.Errorf("got %d lines for one outage, want 1:\n%s", lines, logs.String())
			}
		})
	}
}

// BenchmarkSilentConnection measures the time until a message arrives after the
// connection to a peer that works went silent.
func BenchmarkSilentConnection(b *testing.B) {
	for range b.N {
		s := startSender(b, deliveryTimeout, overdueAfter)
		s.send([]byte("first"))
		s.standIn.expect(b, "first")
		s.listener.silence(true, false)
		start := time.Now()
		for len(s.standIn.arrived) == 0 {
			s.send([]byte("heartbeat"))
			time.Sleep(10 * time.Millisecond)
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/silence")
	}
}
