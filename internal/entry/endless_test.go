package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/request"
)

// anyAnswer is a protocol that takes every answer.
type anyAnswer struct{ leavingProtocol }

func (anyAnswer) BelongsTo(backend.Call, http.Header) (string, bool) { return "", true }

// Each answer that exceeds a bound is counted once by its kind, and is a failure after
// which the request may have run.
func TestEndlessAnswersAreCounted(t *testing.T) {
	long := strings.Repeat("x", 1<<10)
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, test := range map[string]struct {
		beginning, repeated string
		pause               time.Duration
		want                answers.Kind
	}{
		"head":            {"HTTP/1.1 200 OK\r\nX-Long: ", long, 0, answers.KindHead},
		"headers":         {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: 1\r\n", 300) + "\r\n", long, 0, answers.KindHead},
		"interim":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, answers.KindInterim},
		"chunk extension": {chunked + "1;", long, 0, answers.KindFraming},
		"trailer":         {chunked + "0\r\nX-Long: ", long, 0, answers.KindFraming},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(long, 64), 0, answers.KindBody},
		"event":           {events + "id: 0\ndata: ", long, 0, answers.KindEvent},
		"slow":            {events + "id: 0\ndata: ", "x", 100 * time.Millisecond, answers.KindSlow},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startRepeating(t, test.beginning, test.repeated, test.pause)
			e := newLeavingEntry()
			registry := prometheus.NewRegistry()
			e.metrics = newMetrics(registry)
			e.opts.Routed.Backends = anyAnswer{}
			client := backend.New(e.backendOptions())
			defer client.Close()
			call := backend.Call{Step: "dispatch", Address: address, Method: http.MethodGet, Path: "/x", Instance: "a", ProgressTimeout: time.Hour}
			err := readForwarded(client, call)
			if got := answers.KindOf(err); got != test.want {
				t.Errorf("got %v, want kind %s", err, test.want)
			}
			if failure := failureOf(err, address); failure.Phase != request.PhaseHandedOver || failure.Permanent {
				t.Errorf("got %+v, want a failure after which the request may have run", failure)
			}
			if got := countedByLabel(t, registry, "waxwingcart_entry_endless_answers_total"); len(got) != 1 || got[string(test.want)] != 1 {
				t.Errorf("counted %v, want once as %s", got, test.want)
			}
		})
	}
}

func readForwarded(client *backend.Client, call backend.Call) error {
	upstream, err := client.Forward(context.Background(), call)
	if err != nil {
		return err
	}
	defer upstream.Close()
	if !upstream.Events {
		_, err := upstream.Body(answers.MaxBodyBytes)
		return err
	}
	for err == nil {
		_, _, err = upstream.Next()
	}
	return err
}

// startRepeating starts a server that answers each request with a beginning and then
// with the same bytes again and again.
func startRepeating(t *testing.T, beginning, repeated string, pause time.Duration) string {
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
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err := io.WriteString(conn, beginning)
				for ; err == nil; time.Sleep(pause) {
					_, err = io.WriteString(conn, repeated)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// countedByLabel returns a counter's values by that of its only label.
func countedByLabel(t *testing.T, registry *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counted := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			counted[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	return counted
}
