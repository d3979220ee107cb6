package e2e

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// hostedEndless holds answers without end by name: their head after the ID, and the
// bytes that follow again and again.
var hostedEndless = map[string]struct{ head, repeated string }{
	"head":    {"X-Long: ", strings.Repeat("x", 1<<10)},
	"body":    {"Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"},
	"framing": {"Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10)},
	"event":   {"Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 0\ndata: ", strings.Repeat("x", 1<<10)},
}

// answerEndless answers until the caller closes the connection.
func (e *hostedEngine) answerEndless(w http.ResponseWriter, id, name string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	answer := hostedEndless[name]
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: stamp-%s\r\n%s", id, e.id, answer.head)
	for err == nil {
		_, err = io.WriteString(conn, answer.repeated)
	}
}

// A caller whose server answers without end is told that its request may have run, with
// 502, or gets the answer of another server if the request may be repeated. A stream
// never looks complete. The entry counts each such answer.
func TestHostedEndlessAnswers(t *testing.T) {
	h := newHostedCluster(t, 1)
	ledger, other := h.platform.addEngine(t, "i-a1", "ledger"), h.platform.addEngine(t, "i-a2", "ledger")
	model := h.platform.addEngine(t, "i-m1", "models")
	h.applyDocument(document(7))
	for _, name := range []string{"head", "body", "framing"} {
		ledger.endless.Store(&name)
		reached := 0
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", name, i)
			got := h.call("e1", "GET", "/records/1", id, callerKey, "")
			if got.status != 200 || got.header.Get("Waxwingcart-Stamp") != "stamp-i-a2" {
				t.Errorf("record %s: got %+v, want the other server's answer", id, got)
			}
			if ledger.header(id) != nil {
				reached++
			}
		}
		other.endless.Store(&name)
		got := h.call("e1", "POST", "/claims/1", name+"-claim", callerKey, "call")
		if got.status != 502 || got.header.Get("Waxwingcart-Stamp") != "" {
			t.Errorf("claim, %s: got %+v, want status 502 without a stamp", name, got)
		}
		ledger.mu.Lock()
		other.mu.Lock()
		if runs := ledger.runs[name+"-claim"] + other.runs[name+"-claim"]; runs != 1 {
			t.Errorf("claim, %s: ran %d times, want once", name, runs)
		}
		other.mu.Unlock()
		ledger.mu.Unlock()
		other.endless.Store(nil)
		t.Logf("%s: %d of 12 records were tried at the server without end", name, reached)
	}
	event := "event"
	model.endless.Store(&event)
	if got := h.call("e1", "POST", "/replies/1", "reply", callerKey, "prompt"); got.status == 200 && got.complete {
		t.Errorf("reply: got %d bytes that look complete", len(got.body))
	}
	model.endless.Store(nil)
	metrics := h.metricsOf("e1")
	for _, kind := range []string{"head", "body", "framing", "event"} {
		if !strings.Contains(metrics, `waxwingcart_entry_endless_answers_total{kind="`+kind+`"}`) {
			t.Errorf("no answer of kind %s was counted", kind)
		}
	}
}

// metricsOf returns the metrics of a process.
func (h *hostedCluster) metricsOf(name string) string {
	response, err := h.client.Get("http://" + h.vms[name].adminAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}

var residentPattern = regexp.MustCompile(`(?m)^process_resident_memory_bytes (\S+)$`)

// BenchmarkHostedEndless measures callers' latency at an entry beside 200 calls at once
// whose servers answer without end, and the entry's memory.
func BenchmarkHostedEndless(b *testing.B) {
	const concurrent = 200
	for _, name := range []string{"none", "head", "body", "event"} {
		b.Run(name, func(b *testing.B) {
			h := newHostedCluster(b, 1)
			h.platform.addEngine(b, "i-a1", "ledger")
			model := h.platform.addEngine(b, "i-m1", "models")
			h.applyDocument(document(7))
			stop, done := make(chan struct{}), sync.WaitGroup{}
			var ended atomic.Int64
			if name != "none" {
				model.endless.Store(&name)
				for i := range concurrent {
					done.Go(func() {
						for n := 0; ; n++ {
							select {
							case <-stop:
								return
							default:
							}
							h.call("e1", "POST", "/replies/1", fmt.Sprintf("endless-%d-%d", i, n), callerKey, "prompt")
							ended.Add(1)
						}
					})
				}
			}
			var latencies []time.Duration
			peak, failed, began := 0.0, 0, time.Now()
			for i := 0; b.Loop(); i++ {
				started := time.Now()
				if got := h.call("e1", "GET", "/records/1", fmt.Sprintf("sound-%d", i), callerKey, ""); got.status != 200 {
					failed++
				}
				latencies = append(latencies, time.Since(started))
				if i%50 == 0 {
					if found := residentPattern.FindStringSubmatch(h.metricsOf("e1")); found != nil {
						resident, _ := strconv.ParseFloat(found[1], 64)
						peak = max(peak, resident)
					}
				}
			}
			elapsed := time.Since(began)
			close(stop)
			done.Wait()
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(peak/(1<<20), "resident-MB")
			b.ReportMetric(float64(failed), "failed")
			b.ReportMetric(float64(ended.Load())/elapsed.Seconds(), "endless/s")
		})
	}
}
