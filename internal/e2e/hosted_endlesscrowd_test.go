package e2e

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// The smallest VM of an entry, and the callers whose answers it reads at once.
const (
	crowdMemoryMB    = 144
	crowdDescriptors = 3075
	endlessCrowd     = 1200
)

// answersInPart are beginnings of answers after which the server sends more, with a pause between, until the
// connection is closed. With a pause, an entry holds what it has for as long as its callers wait.
var answersInPart = map[string]struct {
	beginning, repeated string
	pause               time.Duration
}{
	"heads":              {"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 14<<10), "x", 500 * time.Millisecond},
	"bodies":             {"HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n" + strings.Repeat("x", 60<<10), strings.Repeat("x", 1<<10), 500 * time.Millisecond},
	"events":             {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 0\ndata: " + strings.Repeat("x", 60<<10), strings.Repeat("x", 1<<10), 500 * time.Millisecond},
	"heads without end":  {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: 1\r\n", 100), 0},
	"bodies without end": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n", 0},
}

// answerInPart begins an answer and adds to it until the connection is closed.
func (e *hostedEngine) answerInPart(w http.ResponseWriter, name string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	answer := answersInPart[name]
	for _, err = io.WriteString(conn, answer.beginning); err == nil; _, err = io.WriteString(conn, answer.repeated) {
		time.Sleep(answer.pause)
	}
}

// An entry must bear that the answers to all its callers stay incomplete or don't end: its memory stays below that of
// its VM,
// and callers of other services are served.
func TestHostedCrowdOfAnswersInPart(t *testing.T) {
	for name := range answersInPart {
		t.Run(name, func(t *testing.T) {
			h := newHostedCluster(t, 1)
			h.platform.addEngine(t, "i-a1", "ledger")
			h.platform.addEngine(t, "i-m1", "faulty").inPart.Store(&name)
			content := document(7, map[string]any{
				"name": "faulty", "host": "desk.example", "path_prefix": "/faulty/", "type": "unsafe",
				"timeout_ms": 10000, "attempts": 1, "service": "faulty",
			})
			content["services"] = append(content["services"].([]map[string]any), map[string]any{"name": "faulty"})
			h.applyDocument(content)
			h.restartSmall("e1", crowdMemoryMB, crowdDescriptors, crowdDescriptors)
			h.eventually("a caller is served", h.servesCaller)
			var crowd sync.WaitGroup
			for i := range endlessCrowd {
				conn, err := net.Dial("tcp", h.vms["e1"].callerAddress)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				crowd.Go(func() { _, _ = io.WriteString(conn, crowdHead("/faulty/1", i, "Content-Length: 4")+"call") })
			}
			crowd.Wait()
			served := 0
			const ordinary = 20
			for range ordinary {
				if h.servesCaller() {
					served++
				}
				time.Sleep(100 * time.Millisecond)
			}
			peakMB := h.peakKB("e1") >> 10
			t.Logf("largest resident size %d MB, %d of %d ordinary requests served", peakMB, served, ordinary)
			if peakMB > crowdMemoryMB {
				t.Errorf("the entry had %d MB in memory, its VM has %d MB", peakMB, crowdMemoryMB)
			}
			if served < ordinary {
				t.Errorf("%d of %d ordinary requests were served beside the crowd", served, ordinary)
			}
		})
	}
}
