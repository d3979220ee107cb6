package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawCaller is a connection to an entry on which a test writes bytes itself.
type rawCaller struct {
	net.Conn
	t testing.TB
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

// discardedBytes is more than an entry discards of the body of a refused request.
const discardedBytes = 20 << 20

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

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
	unread.send("POST", "/replies/1", "unread-1", "nobody", "", fmt.Sprintf("Content-Length: %d", 2*discardedBytes))
	// Fails once the entry has closed the connection.
	go func() { _, _ = io.Copy(unread, io.LimitReader(zeros{}, 2*discardedBytes)) }()
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

// rawPiece and rawPieces bound the bodies that a raw caller sends piece by piece,
// rawPause apart: longer in all than a server waits by itself before it closes a
// connection with unread bytes.
const (
	rawPiece  = 16 << 10
	rawPieces = 24
	rawPause  = 60 * time.Millisecond
)

// sendSlowly sends the pieces of a body, in chunks or as they are.
func (c *rawCaller) sendSlowly(pieces int, chunked bool) error {
	piece := strings.Repeat("b", rawPiece)
	if chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", rawPiece, piece)
	}
	for range pieces {
		if _, err := io.WriteString(c, piece); err != nil {
			return err
		}
		time.Sleep(rawPause)
	}
	return nil
}

// refusal reads an answer and returns its status, or 0 if it did not arrive whole.
func (c *rawCaller) refusal() int {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		c.t.Logf("reading the answer: %v", err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		c.t.Logf("reading the answer's body: %v", err)
		return 0
	}
	return response.StatusCode
}

// A call that is refused before its body was read, or because the body is too long,
// gets its refusal at once and whole: a caller that has sent a part of its body and
// waits reads it, and one that sends its body slowly to the end may go on and reads it
// then.
func TestHostedRefusalOfUnreadBody(t *testing.T) {
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-m1", "models")
	h.platform.addEngine(t, "i-a1", "ledger")
	content := document(7)
	content["limits"] = map[string]any{"max_body_bytes": 4 * rawPiece}
	h.applyDocument(content)
	for _, test := range []struct {
		name, path, key string
		status          int
	}{
		{"unknown key", "/claims/1", "nobody", 401},
		{"unknown route", "/nowhere/1", callerKey, 404},
		{"too long", "/claims/1", callerKey, 413},
	} {
		for _, chunked := range []bool{false, true} {
			for _, readFirst := range []bool{false, true} {
				name := fmt.Sprintf("%s, chunked %t, reads first %t", test.name, chunked, readFirst)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					c := h.dialRaw("e1")
					c.t = t
					length := fmt.Sprintf("Content-Length: %d", rawPieces*rawPiece)
					if chunked {
						length = "Transfer-Encoding: chunked"
					}
					c.send("POST", test.path, strings.ReplaceAll(name, " ", "-"), test.key, "", length)
					sent := rawPieces
					if readFirst {
						sent = 6
					}
					if err := c.sendSlowly(sent, chunked); err != nil {
						t.Errorf("sending the body: %v", err)
					}
					if got := c.refusal(); got != test.status {
						t.Errorf("got status %d, want a whole refusal with %d", got, test.status)
					}
				})
			}
		}
	}
}

// A document may allow longer headers than the settings of the entries' processes.
func TestHostedHeaderLimit(t *testing.T) {
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-a1", "ledger")
	content := document(7)
	content["limits"] = map[string]any{"max_body_bytes": 1 << 20, "max_header_bytes": 200 << 10, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	h.applyDocument(content)
	filler := strings.Repeat("f", 100<<10)
	if got := h.call("e1", "GET", "/records/1", "long-1", callerKey, "", "X-Filler", filler); got.status != 200 {
		t.Errorf("got status %d for a header within the document's limit, want 200", got.status)
	}
}
