package entry

import (
	"bytes"
	"context"
	"errors"
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
