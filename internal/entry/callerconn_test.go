package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/request"
	"waxwingcart/internal/observe"
)

// newLoggedEntry returns an entry, not started, with its registry and its log.
func newLoggedEntry() (*Entry, *prometheus.Registry, *bytes.Buffer) {
	e := newFleetEntry()
	registry, out := prometheus.NewRegistry(), new(bytes.Buffer)
	e.metrics, e.logger = newMetrics(registry), observe.NewLogger(out, "info", "e1", "kochi-a")
	return e, registry, out
}

// counted returns the value of a counter by the values of its labels, joined by
// spaces in the order of the labels' names.
func counted(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, label.GetValue())
			}
			values[strings.Join(labels, " ")] = metric.GetCounter().GetValue()
		}
	}
	return values
}

// failingConn is a connection whose writes fail.
type failingConn struct {
	net.Conn
	err error
}

func (c failingConn) Write([]byte) (int, error) { return 0, c.err }

// A connection that is closed before its request was fully answered has one line
// and one count, by cause. One that the caller closed, or whose answer is whole, has
// none.
func TestClosedConnectionCauses(t *testing.T) {
	for _, test := range []struct {
		name string
		use  func(*callerConn)
		want string
	}{
		{"no request", func(*callerConn) {}, ""},
		{"whole answer", func(c *callerConn) { c.begin("id"); c.readBody(); c.end(false) }, ""},
		{"idle after an answer", func(c *callerConn) { c.begin("id"); c.end(false); c.idle() }, ""},
		{"cut off", func(c *callerConn) { c.begin("id"); c.readBody(); c.end(true) }, closeAborted},
		{"body not read", func(c *callerConn) { c.begin("id"); c.end(false) }, closeBodyNotRead},
		{"write timed out", func(c *callerConn) {
			c.begin("id")
			c.readBody()
			_ = c.SetWriteDeadline(time.Now().Add(-time.Second))
			_, _ = c.Write([]byte("answer"))
			c.end(false)
		}, closeWriteTimeout},
		{"write failed", func(c *callerConn) {
			c.begin("id")
			c.Conn = failingConn{c.Conn, errors.New("no route")}
			_, _ = c.Write([]byte("answer"))
			c.end(true)
		}, closeWriteFailed},
		{"caller closed", func(c *callerConn) {
			c.begin("id")
			c.Conn = failingConn{c.Conn, syscall.EPIPE}
			_, _ = c.Write([]byte("answer"))
			c.end(true)
		}, ""},
	} {
		e, registry, out := newLoggedEntry()
		near, far := net.Pipe()
		conn := &callerConn{Conn: near, entry: e}
		test.use(conn)
		_ = conn.Close()
		_ = conn.Close()
		_ = far.Close()
		values := counted(t, registry, "waxwingcart_entry_connections_closed_total")
		lines := strings.Count(out.String(), `step="connection"`)
		if test.want == "" {
			if len(values) != 0 || lines != 0 {
				t.Errorf("%s: counted %v in %d lines, want none", test.name, values, lines)
			}
			continue
		}
		if len(values) != 1 || values[test.want] != 1 || lines != 1 || !strings.Contains(out.String(), `request="id" cause="`+test.want+`"`) {
			t.Errorf("%s: counted %v, logged %q, want once as %s", test.name, values, out, test.want)
		}
	}
}

// Without a connection of CallerListener nothing is noted.
func TestRequestWithoutCallerConnection(t *testing.T) {
	conn := callerConnOf(context.Background())
	conn.begin("id")
	conn.readBody()
	conn.end(true)
	ConnState(failingConn{}, http.StateIdle)
}

// The longest silence is measured between the signs of one attempt, and up to the
// end of one that gave none. The time between two attempts is no silence.
func TestLongestSilence(t *testing.T) {
	var n ending
	n.measure(time.Minute)
	n.attemptBegan(time.Minute)
	n.sign(time.Minute+time.Second, request.Opened{}, false)
	n.sign(time.Minute+3*time.Second, request.Silence{}, false)
	n.sign(time.Minute+4*time.Second, request.Token{}, false)
	n.sign(time.Minute+5*time.Second, request.Failed{Failure: request.Failure{Phase: request.PhaseHandedOver, Silent: true}}, false)
	if n.silence != 3*time.Second || n.failureName() != "silent" {
		t.Errorf("got a silence of %s and failure %q, want 3s and silent", n.silence, n.failureName())
	}
	n.attemptBegan(2 * time.Minute)
	n.measure(2*time.Minute + 7*time.Second)
	if n.silence != 7*time.Second {
		t.Errorf("got a silence of %s at the end of a mute attempt, want 7s", n.silence)
	}
	n.sign(2*time.Minute+7*time.Second, request.Failed{}, true)
	n.measure(2*time.Minute + 17*time.Second)
	if n.silence != 10*time.Second {
		t.Errorf("got a silence of %s of the attempt that stayed open, want 10s", n.silence)
	}
}

// A request whose header was read, and that http.Server drops without a handler because
// it shuts down, is refused. Before the end of a header there is nothing to answer.
func TestRequestReadAtShutdownIsRefused(t *testing.T) {
	for _, test := range []struct {
		name     string
		wait     func(*callerConn)
		answered bool
	}{
		{"header read", func(c *callerConn) {
			_ = c.SetReadDeadline(time.Now().Add(time.Hour))
			_ = c.SetReadDeadline(time.Time{})
		}, true},
		{"header under way", func(c *callerConn) { _ = c.SetReadDeadline(time.Now().Add(time.Hour)) }, false},
		{"idle", func(c *callerConn) { _ = c.SetReadDeadline(time.Time{}); ConnState(c, http.StateIdle) }, false},
		{"refused by http.Server", func(c *callerConn) {
			_ = c.SetReadDeadline(time.Time{})
			_, _ = c.Write([]byte("HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n"))
		}, false},
	} {
		e, registry, _ := newLoggedEntry()
		conn, caller := connPair(t, e)
		test.wait(conn)
		_ = conn.Close()
		answer, _ := io.ReadAll(caller)
		if got := strings.HasPrefix(string(answer), "HTTP/1.1 503 "); got != test.answered {
			t.Errorf("%s: got %q, want a refusal: %t", test.name, answer, test.answered)
		}
		if got := counted(t, registry, "waxwingcart_entry_connections_closed_total")[closeShutdown]; (got == 1) != test.answered {
			t.Errorf("%s: counted %v, want one: %t", test.name, got, test.answered)
		}
	}
}

// A request whose header ends while http.Server shuts down gets an answer.
func TestRequestDuringShutdownIsAnswered(t *testing.T) {
	e := newCallersEntry()
	server := &http.Server{IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour}
	address := serveCallers(t, e, server)
	conn, answers := dialCaller(t, address)
	if _, err := io.WriteString(conn, "GET /claims/1 HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := make(chan struct{})
	server.RegisterOnShutdown(func() { close(begun) })
	go func() { _ = server.Shutdown(ctx) }()
	<-begun
	if _, err := io.WriteString(conn, "Host: desk.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(answers, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v (%v), want status 503", response, err)
	}
}
