package e2e

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// rawCaller is a connection to an entry on which a test writes bytes itself.
type rawCaller struct {
	net.Conn
	t *testing.T
}

func (h *hostedCluster) dialRaw(entry string) *rawCaller {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.vms[entry].callerAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{Conn: conn, t: h.t}
}

// send writes a request's header, with further lines, and the beginning of its body.
func (c *rawCaller) send(method, path, id, key, body string, lines ...string) {
	c.t.Helper()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nWaxwingcart-Request-Id: %s\r\nAuthorization: Bearer %s\r\n", method, path, id, key)
	for _, line := range lines {
		head += line + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		c.t.Fatalf("sending %s: %v", id, err)
	}
}

// From a request's ID, its lines tell how it ended: cut off at the caller and why no
// further attempt followed, or refused before its body was read, and how the
// connection was closed.
func TestHostedEndingsAreLogged(t *testing.T) {
	h := newHostedCluster(t, 1)
	engine := h.platform.addEngine(t, "i-m1", "models")
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	engine.cutAfter.Set(5)
	if got := h.call("e1", "POST", "/replies/1", "cut-1", callerKey, "prompt"); got.complete {
		t.Error("the stream that its server cut off looks complete")
	}
	unread := h.dialRaw("e1")
	unread.send("POST", "/replies/1", "unread-1", "nobody", "part", "Content-Length: 1000000")
	for _, want := range []struct{ step, id, fields string }{
		{"request", "cut-1", ` begun=true revision=1 revision_end=1 failure="broken" not_retried="not-repeatable" silence_ms=`},
		{"connection", "cut-1", ` cause="aborted" `},
		{"refuse", "unread-1", ` body_read=false `},
		{"connection", "unread-1", ` cause="body-not-read" `},
	} {
		h.eventually(want.step+" of "+want.id+" is logged", func() bool {
			for _, line := range h.linesWith("e1", `step="`+want.step+`" request="`+want.id+`"`) {
				if strings.Contains(line, want.fields) {
					return true
				}
			}
			return false
		})
	}
	for _, line := range []string{
		`waxwingcart_entry_unanswered_total{begun="true",changed="false",failure="broken",not_retried="not-repeatable",service="models"} 1`,
		`waxwingcart_entry_connections_closed_total{cause="aborted"} 1`,
		`waxwingcart_entry_connections_closed_total{cause="body-not-read"} 1`,
	} {
		if !h.hasMetric("e1", line) {
			t.Errorf("the metrics lack %s", line)
		}
	}
}
