package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"waxwingcart/internal/backend"
)

// peer is a raw TCP server that keeps what it was sent.
type peer struct {
	address string

	mu       sync.Mutex
	received bytes.Buffer
	requests int
	conns    int
	open     int
}

// startPeer serves each request by a function, which gets the number of the
// request on its connection and reports whether the connection stays open.
func startPeer(t *testing.T, serve func(w net.Conn, r *http.Request, number int) bool) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &peer{address: listener.Addr().String()}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			p.count(func() { p.conns++; p.open++ })
			t.Cleanup(func() { accepted.Close() })
			go p.serve(accepted, serve)
		}
	}()
	return p
}

func (p *peer) count(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// got returns what was received and the number of whole requests in it.
func (p *peer) got() (string, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received.String(), p.requests
}

// Write keeps what was received.
func (p *peer) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received.Write(data)
}

func (p *peer) serve(c net.Conn, serve func(net.Conn, *http.Request, int) bool) {
	from := bufio.NewReader(io.TeeReader(c, p))
	for number := 1; ; number++ {
		r, err := http.ReadRequest(from)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.count(func() { p.requests++ })
		if !serve(c, r, number) {
			break
		}
	}
	c.Close()
	p.count(func() { p.open-- })
}

// settle waits until all connections made so far have ended.
func (p *peer) settle() {
	for open := 1; open > 0; time.Sleep(time.Millisecond) {
		p.count(func() { open = p.open })
	}
}

// answer writes a whole answer with a header and a body.
func answer(w io.Writer, status, header, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

const eventHeader = "Content-Type: text/event-stream\r\nX-Stream-Id: s-1\r\n"

func TestPhases(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\n" + eventHeader + "Transfer-Encoding: chunked\r\n\r\n"
	event := "id: 0\ndata: {}\n\n"
	tests := map[string]struct {
		serve func(w net.Conn, r *http.Request, number int) bool
		want  backend.Phase
	}{
		"closes without an answer": {func(net.Conn, *http.Request, int) bool { return false }, backend.PhaseHandedOver},
		"never answers":            {func(net.Conn, *http.Request, int) bool { return true }, backend.PhaseSilent},
		"refuses": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "503 Busy", "X-Not-Started: 1\r\n", "busy")
			return true
		}, backend.PhaseRefused},
		"fails without saying that it did not run": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "503 Busy", "", "busy")
			return true
		}, backend.PhaseAnswered},
		"says not-started with success": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "200 OK", eventHeader+"X-Not-Started: 1\r\n", event)
			return true
		}, backend.PhaseTruncated},
		"cuts the body": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(w, "%s%x\r\n%s\r\n", chunked, len(event), event)
			return false
		}, backend.PhaseTruncated},
		"ends without [DONE]": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "200 OK", eventHeader, event)
			return true
		}, backend.PhaseTruncated},
		"goes silent in the body": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(w, "%s%x\r\n%s\r\n", chunked, len(event), event)
			return true
		}, backend.PhaseSilent},
		"sends bytes for ever and no event": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(w, chunked)
			for {
				if _, err := fmt.Fprint(w, "2\r\n:\n\r\n"); err != nil {
					return false
				}
				time.Sleep(time.Millisecond)
			}
		}, backend.PhaseSilent},
		"answers another attempt": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "200 OK", eventHeader+"X-Request-Id: r-1/7\r\n", event+"data: [DONE]\n\n")
			return true
		}, backend.PhaseInvalid},
		"skips an event": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "200 OK", eventHeader, "id: 1\ndata: {}\n\n")
			return true
		}, backend.PhaseInvalid},
		"sends an event that is not JSON": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "200 OK", eventHeader, "id: 0\ndata: {\n\n")
			return true
		}, backend.PhaseInvalid},
		"sends an event that is too large": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "200 OK", eventHeader, "id: 0\ndata: "+strings.Repeat("x", 1<<16)+"\n\n")
			return true
		}, backend.PhaseInvalid},
		"sends no HTTP": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(w, "\x00\xff garbage\r\n\r\n")
			return true
		}, backend.PhaseHandedOver},
		"sends a header that is too large": {func(w net.Conn, _ *http.Request, _ int) bool {
			answer(w, "200 OK", "X-Large: "+strings.Repeat("x", 1<<18)+"\r\n", "")
			return true
		}, backend.PhaseHandedOver},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPeer(t, test.serve)
			c := newClient(t, backend.Options{MaxEventBytes: 1 << 12})
			call := completion(p.address, "r-1", "prompt", 1)
			if test.want == backend.PhaseSilent {
				call.ProgressTimeout = 50 * time.Millisecond
			}
			err := readToError(c, call)
			for test.want == backend.PhaseSilent && phaseOf(t, err) == backend.PhaseDial {
				// A busy machine took the time before the first byte.
				call.ProgressTimeout *= 2
				err = readToError(c, call)
			}
			if got := phaseOf(t, err); got != test.want {
				t.Errorf("%v: got %v, want %v", err, got, test.want)
			}
			if _, requests := p.got(); requests > 1 {
				t.Errorf("the peer got %d requests", requests)
			}
		})
	}
}

// readToError opens a stream and reads it until it fails.
func readToError(c *backend.Client, call backend.Call) error {
	s, err := c.Stream(context.Background(), call)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if _, err := s.Next(); err != nil {
			return err
		}
	}
}

// A peer that takes no more bytes blocks the sending of a body.
func TestPeerTakesNoBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c := newClient(t, backend.Options{ProgressTimeout: 50 * time.Millisecond})
	call := booking(listener.Addr().String(), "r-1", false)
	call.Body = make([]byte, 64<<20)
	_, err = c.Do(context.Background(), call)
	for phaseOf(t, err) == backend.PhaseDial {
		call.ProgressTimeout += time.Second
		_, err = c.Do(context.Background(), call)
	}
	if got := phaseOf(t, err); got != backend.PhaseSilent {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestDialTimeoutOfTheCall(t *testing.T) {
	p := startPeer(t, func(w net.Conn, _ *http.Request, _ int) bool {
		answer(w, "201 Created", "", "{}")
		return true
	})
	c := newClient(t, backend.Options{DialTimeout: quiet})
	for _, repeatable := range []bool{true, false} {
		call := booking(p.address, "r-1", repeatable)
		call.DialTimeout = time.Nanosecond
		_, err := c.Do(context.Background(), call)
		if got := phaseOf(t, err); got != backend.PhaseDial {
			t.Errorf("got %v, %v", got, err)
		}
	}
}

func TestDialFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	c := newClient(t, backend.Options{})
	_, err = c.Do(context.Background(), booking(address, "r-1", false))
	if got := phaseOf(t, err); got != backend.PhaseDial || !got.NotRun() {
		t.Errorf("got %v", got)
	}
}

// booking is a call that carries an Idempotency-Key.
func booking(address, id string, repeatable bool) backend.Call {
	return backend.Call{
		Step: "dispatch", Address: address, Method: http.MethodPost, Path: "/bookings",
		Header: http.Header{"Idempotency-Key": {"k-1"}}, Body: []byte("seat " + id),
		RequestID: id, Attempt: 1, Repeatable: repeatable,
	}
}

// A connection that is given up at any moment must not carry a byte of a
// request that was said not to have run.
func TestNotRunHoldsAtAnyMoment(t *testing.T) {
	p := startPeer(t, func(w net.Conn, _ *http.Request, _ int) bool {
		answer(w, "201 Created", "", "{}")
		return true
	})
	random := rand.New(rand.NewPCG(1, 1))
	var c *backend.Client
	notRun := map[string]bool{}
	seen := map[bool]int{}
	for i := range 2000 {
		if i%20 == 0 {
			c = newClient(t, backend.Options{})
		}
		id := fmt.Sprintf("r-%d-end", i)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Duration(random.IntN(400))*time.Microsecond, cancel)
		response, err := c.Do(ctx, booking(p.address, id, i%2 == 0))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		} else {
			seen[phaseOf(t, err).NotRun()]++
			notRun[id] = phaseOf(t, err).NotRun()
		}
		cancel()
		if i%20 == 19 {
			c.Close()
		}
	}
	// Connections are accepted in turn, so that after this one all are known.
	last, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	last.Close()
	p.settle()
	received, _ := p.got()
	for id, said := range notRun {
		if said && strings.Contains(received, id) {
			t.Errorf("%s was said not to have run and was received", id)
		}
	}
	t.Logf("given up before and after the first byte: %d, %d", seen[true], seen[false])
}

// A server that takes a request on a reused connection and closes it may have
// run it: nothing may send it again without being told to.
func TestNothingIsSentAgain(t *testing.T) {
	tests := map[string]struct {
		method     string
		body       string
		repeatable bool
	}{
		"booking":                  {http.MethodPost, "seat", false},
		"booking without a body":   {http.MethodPost, "", false},
		"repeatable with a body":   {http.MethodPost, "seat", true},
		"repeatable without":       {http.MethodPost, "", true},
		"lookup":                   {http.MethodGet, "", true},
		"lookup, not repeatable":   {http.MethodGet, "", false},
		"deletion, not repeatable": {http.MethodDelete, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := dropsSecond(t)
			c := newClient(t, backend.Options{})
			call := booking(p.address, "r-1", true)
			first, err := c.Do(context.Background(), call)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, first.Body)
			first.Body.Close()

			call.Method, call.Body, call.Repeatable = test.method, []byte(test.body), test.repeatable
			call.Path = "/second"
			response, err := c.Do(context.Background(), call)
			if err == nil {
				response.Body.Close()
			} else if got := phaseOf(t, err); got != backend.PhaseHandedOver {
				t.Errorf("got %v", got)
			}
			received, _ := p.got()
			if got := strings.Count(received, "/second"); got != 1 {
				t.Errorf("sent %d times", got)
			}
		})
	}
}

// dropsSecond is a peer that answers the first request of a connection and
// closes the connection on the second.
func dropsSecond(t *testing.T) *peer {
	return startPeer(t, func(w net.Conn, _ *http.Request, number int) bool {
		if number == 1 {
			answer(w, "201 Created", "", "{}")
		}
		return number == 1
	})
}

// The check above can see a second sending: net/http's own client does it.
func TestPlainTransportSendsAgain(t *testing.T) {
	p := dropsSecond(t)
	plain := &http.Client{Transport: &http.Transport{}}
	defer plain.CloseIdleConnections()
	for _, path := range []string{"/first", "/second"} {
		request, _ := http.NewRequest(http.MethodPost, "http://"+p.address+path, strings.NewReader("seat"))
		request.Header.Set("Idempotency-Key", "k-1")
		response, err := plain.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	received, _ := p.got()
	if got := strings.Count(received, "/second"); got != 2 {
		t.Errorf("sent %d times, want 2", got)
	}
}

func TestConnectionsAreUsedAgainOnlyWhenClean(t *testing.T) {
	p := startPeer(t, func(w net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Request-Id") == "hangs/1" {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: 999\r\n\r\nid: 0\ndata: {}\n\n", eventHeader)
			return true
		}
		answer(w, "200 OK", eventHeader, "id: 0\ndata: {}\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n")
		return true
	})
	c := newClient(t, backend.Options{})
	for i, step := range []struct {
		id     string
		events int
		conns  int
	}{{"whole", 3, 1}, {"whole", 3, 1}, {"hangs", 1, 1}, {"whole", 3, 2}, {"hangs", 0, 2}, {"whole", 3, 3}} {
		s, err := c.Stream(context.Background(), completion(p.address, step.id, "prompt", 2))
		if err != nil {
			t.Fatal(err)
		}
		for range step.events {
			if _, err := s.Next(); err != nil && err != io.EOF {
				t.Fatal(err)
			}
		}
		s.Close()
		p.count(func() {
			if p.conns != step.conns {
				t.Errorf("step %d: %d connections, want %d", i, p.conns, step.conns)
			}
		})
	}
}

// An answer that arrives after its attempt was answered must not be taken for
// that of the next one on the same connection.
func TestLateAnswerNeverReachesTheNextAttempt(t *testing.T) {
	p := startPeer(t, func(w net.Conn, r *http.Request, number int) bool {
		name := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
		answer(w, "200 OK", name, r.Header.Get("X-Request-Id"))
		answer(w, "200 OK", "X-Request-Id: r-0/1\r\n", "late")
		return true
	})
	c := newClient(t, backend.Options{})
	for attempt := range 50 {
		call := booking(p.address, "r-1", true)
		call.Attempt = attempt
		response, err := c.Do(context.Background(), call)
		if err != nil {
			phaseOf(t, err)
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if want := fmt.Sprintf("r-1/%d", attempt); err == nil && string(body) != want {
			t.Fatalf("got %q, want %q", body, want)
		}
	}
}
