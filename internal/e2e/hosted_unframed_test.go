package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// unframedAnswer is an answer with neither a length nor chunks, which ends with its
// connection.
type unframedAnswer struct {
	// body is the body from an event on.
	body func(first int) string
	// cut is what is missing at the end of the next answers, in bytes, and cuts the number of
	// these answers.
	cut, cuts atomic.Int64
	// reset makes them end with a reset of the connection.
	reset bool
}

// answer gives the answer. It reports whether it did.
func (u *unframedAnswer) answer(w http.ResponseWriter, req *http.Request, engine string) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	first := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		n, _ := strconv.Atoi(last)
		first = n + 1
	}
	body := u.body(first)
	cut := u.cuts.Add(-1) >= 0
	if cut {
		body = body[:len(body)-int(u.cut.Load())]
	}
	kind := "text/plain"
	if strings.HasPrefix(body, "id: ") {
		kind = "text/event-stream"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: stamp-%s\r\n\r\n%s",
		kind, req.Header.Get("Waxwingcart-Request-Id"), engine, body)
	if tcp, ok := conn.(*net.TCPConn); ok && cut && u.reset {
		// What was sent is read before the reset arrives.
		time.Sleep(100 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
	return true
}

// Answers that end with their connection reach callers whole. A stream that ends inside an
// event, or with a reset, goes on at another server if it may be repeated, and is never
// taken as complete otherwise.
func TestHostedUnframedAnswers(t *testing.T) {
	for _, test := range []struct {
		name, path string
		cut        int64
		reset      bool
		whole      bool
	}{
		{name: "whole", path: "/dossiers/1", whole: true},
		{name: "whole, may not run twice", path: "/replies/1", whole: true},
		{name: "inside an event", path: "/dossiers/1", cut: 5, whole: true},
		{name: "inside an event, may not run twice", path: "/replies/1", cut: 5},
		{name: "reset between two events", path: "/dossiers/1", cut: int64(len("id: 19\ndata: part-19\n\n")), reset: true, whole: true},
		{name: "reset between two events, may not run twice", path: "/replies/1", cut: int64(len("id: 19\ndata: part-19\n\n")), reset: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHostedCluster(t, 1)
			u := &unframedAnswer{body: streamBody, reset: test.reset}
			u.cut.Store(test.cut)
			for _, id := range []string{"i-m1", "i-m2"} {
				h.platform.addEngine(t, id, "models").unframed.Store(u)
			}
			h.platform.addEngine(t, "i-a1", "ledger")
			h.applyDocument(document(7))
			for i := range 3 {
				u.cuts.Store(1)
				got := h.call("e1", "POST", test.path, fmt.Sprintf("u-%d", i), callerKey, "prompt", "Waxwingcart-Token-Count", "50,20")
				if whole := got.complete && got.body == streamBody(0); whole != test.whole || got.complete && !whole && got.status == http.StatusOK {
					t.Errorf("got status %d, complete %t, %d of %d bytes, want the whole stream: %t", got.status, got.complete, len(got.body), len(streamBody(0)), test.whole)
				}
			}
		})
	}
	t.Run("plain answers", func(t *testing.T) {
		h := newHostedCluster(t, 1)
		e := h.platform.addEngine(t, "i-a1", "ledger")
		h.applyDocument(document(7))
		e.unframed.Store(&unframedAnswer{body: func(int) string { return "a plain answer" }})
		for _, path := range []string{"/claims/1", "/records/1"} {
			if got := h.call("e1", "POST", path, "p-"+path, callerKey, "call"); got.status != http.StatusOK || got.body != "a plain answer" || !got.complete {
				t.Errorf("%s: got %+v, want the whole answer", path, got)
			}
		}
	})
}
