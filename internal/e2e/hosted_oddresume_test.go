package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// rawAnswer gives the bytes of an engine's answer from an event on, head included, after which the
// connection is closed, or reset if the bytes end in resetMark.
type rawAnswer func(id string, first int) string

const resetMark = "\x00reset"

func (raw rawAnswer) answer(w http.ResponseWriter, req *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	first := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	data, resets := strings.CutSuffix(raw(req.Header.Get("Waxwingcart-Request-Id"), first), resetMark)
	_, _ = conn.Write([]byte(data))
	if tcp, ok := conn.(*net.TCPConn); ok && resets {
		// What was sent is read before the reset arrives.
		time.Sleep(50 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
}

// oddAnswers are answers of the server at which a broken stream is to go on.
var oddAnswers = map[string]string{
	"server error":               "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 13\r\nWaxwingcart-Request-Id: %s\r\n\r\nan odd answer",
	"client error":               "HTTP/1.1 404 Not Found\r\nContent-Length: 13\r\nWaxwingcart-Request-Id: %s\r\n\r\nan odd answer",
	"error until the end":        "HTTP/1.1 500 Internal Server Error\r\nWaxwingcart-Request-Id: %s\r\n\r\nan odd answer",
	"error as events":            "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\n\r\nid: 5\ndata: an odd answer\n\n",
	"refusal":                    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 13\r\nWaxwingcart-Not-Run: 1\r\nWaxwingcart-Request-Id: %s\r\n\r\nan odd answer",
	"no stream":                  "HTTP/1.1 200 OK\r\nContent-Length: 13\r\nWaxwingcart-Request-Id: %s\r\n\r\nan odd answer",
	"a head in the body":         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\n\r\nHTTP/1.1 500 an odd answer\r\nX: y\r\n\r\nan odd answer\n\n" + resetMark,
	"head cut in the status":     "HTTP/1.1 20",
	"head cut in a line":         "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\nWaxwing",
	"head cut before its end":    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\n",
	"no answer":                  "an odd answer for %s\r\n\r\nan odd answer",
	"events of another position": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\n\r\nid: 9\ndata: an odd answer\n\n" + resetMark,
}

// A stream breaks off in its middle, and the server at which it is to go on gives another answer. The caller
// gets the events before that and nothing of the other answer, and can't take the stream for complete.
func TestHostedBrokenStreamMeetsOddAnswer(t *testing.T) {
	const begun = 5
	h := newHostedCluster(t, 1)
	var engines []*hostedEngine
	for _, id := range []string{"i-m1", "i-m2", "i-m3"} {
		engines = append(engines, h.platform.addEngine(t, id, "models"))
	}
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	beginning := strings.TrimSuffix(streamBody(0), streamBody(begun))
	for name, odd := range oddAnswers {
		for path, cut := range map[string]string{"/dossiers/1": resetMark, "/replies/1": resetMark, "/dossiers/2": "id: 5\ndata: par"} {
			raw := rawAnswer(func(id string, first int) string {
				if first == 0 {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\n%s%s", id, beginning, cut)
				}
				if strings.Contains(odd, "%s") {
					return fmt.Sprintf(odd, id)
				}
				return odd
			})
			for _, e := range engines {
				e.raw.Store(&raw)
			}
			got := h.call("e1", "POST", path, "odd-"+strings.ReplaceAll(name, " ", "-")+strings.ReplaceAll(path, "/", "-"), callerKey, "prompt", "Waxwingcart-Token-Count", "50,20")
			if got.status != http.StatusOK || got.complete || got.body != beginning {
				t.Errorf("%s, %s: got status %d, complete %t, body %q; want the first %d events and no end", name, path, got.status, got.complete, got.body, begun)
			}
		}
	}
}

// An engine that stops at any byte of its answer's head, and closes, has given no answer: no caller
// gets a success, on routes that may be repeated or not.
func TestHostedHeadsCutOff(t *testing.T) {
	h := newHostedCluster(t, 1)
	var engines []*hostedEngine
	for i, service := range []string{"models", "models", "ledger", "ledger"} {
		engines = append(engines, h.platform.addEngine(t, fmt.Sprintf("i-%d", i), service))
	}
	h.applyDocument(document(7))
	for kind, head := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nWaxwingcart-Request-Id: %s\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nWaxwingcart-Request-Id: %s\r\n\r\n",
		"until close": "HTTP/1.1 200 OK\r\nWaxwingcart-Request-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n",
		"interim":     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nWaxwingcart-Request-Id: %s\r\n\r\n",
	} {
		for cut := 0; cut < len(head)-2; cut += 3 {
			raw := rawAnswer(func(id string, _ int) string {
				whole := fmt.Sprintf(head, id)
				return whole[:min(cut*len(whole)/len(head), len(whole)-1)]
			})
			for _, e := range engines {
				e.raw.Store(&raw)
			}
			for _, path := range []string{"/records/1", "/claims/1", "/replies/1"} {
				got := h.call("e1", "POST", path, fmt.Sprintf("%s-%d-%s", kind[:3], cut, path[1:3]), callerKey, "call", "Waxwingcart-Token-Count", "50,20")
				if got.complete && got.status < http.StatusBadRequest || path == "/claims/1" && got.status == http.StatusServiceUnavailable {
					t.Errorf("%s cut at %d, %s: got status %d, complete %t, body %q; want a failure that does not say that nothing ran", kind, cut, path, got.status, got.complete, got.body)
				}
			}
		}
	}
}
