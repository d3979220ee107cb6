package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A final response with a status that HTTP does not have is a failed attempt: a request that may be repeated gets
// the answer of another server, and any other a failure that does not say that nothing ran. It must not
// reach the caller, nor end the caller's connection without an answer.
func TestHostedInvalidStatus(t *testing.T) {
	h := newHostedCluster(t, 1)
	odd := []*hostedEngine{h.platform.addEngine(t, "i-m1", "models"), h.platform.addEngine(t, "i-a1", "ledger")}
	h.platform.addEngine(t, "i-m2", "models")
	h.platform.addEngine(t, "i-a2", "ledger")
	h.applyDocument(document(7))
	for _, status := range []string{"000", "099", "101", "199", "600", "999"} {
		for form, head := range map[string]string{
			"body":    "HTTP/1.1 %s Odd\r\nContent-Length: 3\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\nodd",
			"no-body": "HTTP/1.1 %s Odd\r\nContent-Length: 0\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\n",
			"events":  "HTTP/1.1 %s Odd\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\nid: 0\ndata: odd\n\n",
		} {
			raw := rawAnswer(func(id string, _ int) string { return fmt.Sprintf(head, status, id) })
			for _, e := range odd {
				e.raw.Store(&raw)
			}
			for i := range 6 {
				for path, repeatable := range map[string]bool{"/records/1": true, "/claims/1": false, "/dossiers/1": true, "/replies/1": false} {
					body := "call"
					if path == "/dossiers/1" || path == "/replies/1" {
						body = "prompt"
					}
					id := fmt.Sprintf("s%s-%s-%d-%s", status, form, i, path[1:3])
					got := h.call("e1", "POST", path, id, callerKey, body, "Waxwingcart-Token-Count", "50,20")
					answered := got.complete && got.status == http.StatusOK && !strings.Contains(got.body, "odd")
					failed := got.status == http.StatusBadGateway
					if !answered && (repeatable || !failed) {
						t.Errorf("status %s, %s, %s: got status %d, complete %t, body %.40q", status, form, path, got.status, got.complete, got.body)
					}
				}
			}
		}
	}
}

// A server answers an upload before it has read it, sends a part of a body without a length, and resets the connection
// while the upload is being written. The caller must not get the part as a whole answer.
func TestHostedEarlyAnswerIsReset(t *testing.T) {
	h := newHostedCluster(t, 1)
	var engines []*hostedEngine
	for _, service := range []string{"models", "models", "ledger", "ledger"} {
		engines = append(engines, h.platform.addEngine(t, fmt.Sprintf("i-%d", len(engines)), service))
	}
	h.applyDocument(document(7))
	for form, answer := range map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\na part",
		"until close":       "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\na part",
		"events, no length": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\nid: 0\ndata: part-0\n\n",
		"older protocol":    "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Stamp: s\r\n\r\na part",
	} {
		raw := rawAnswer(func(id string, _ int) string { return fmt.Sprintf(answer, id) + resetMark })
		for _, e := range engines {
			e.early.Store(&raw)
		}
		for _, size := range []int{10_000, 300_000, 900_000} {
			for _, path := range []string{"/records/1", "/claims/1", "/dossiers/1", "/replies/1"} {
				id := fmt.Sprintf("e-%d-%d-%s", len(form), size, path[1:3])
				got := h.call("e1", "POST", path, id, callerKey, strings.Repeat("x", size), "Waxwingcart-Token-Count", "50,20")
				if got.complete && got.status == http.StatusOK {
					t.Errorf("%s, %d bytes, %s: got a whole answer %q of a response that was reset", form, size, path, got.body)
				}
				if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
					t.Errorf("%s, %d bytes, %s: got status %d, which says that nothing ran", form, size, path, got.status)
				}
			}
		}
	}
}
