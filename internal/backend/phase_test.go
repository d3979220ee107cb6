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

// peer is a TCP server that records the bytes it receives.
type peer struct {
	address string

	mu       sync.Mutex
	received bytes.Buffer
	requests int
	// conns counts the connections accepted, and open those not yet closed.
	conns int
	open  int
}

// startPeer starts a peer that handles each request with a function. The function
// gets the number of the request on its connection and reports whether the
// connection stays open.
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
			p.update(func() { p.conns++; p.open++ })
			t.Cleanup(func() { accepted.Close() })
			go p.serve(accepted, serve)
		}
	}()
	return p
}

// update changes the counters of the peer under its lock.
func (p *peer) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// receivedData returns the bytes received and the number of complete requests in
// them.
func (p *peer) receivedData() (string, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received.String(), p.requests
}

// Write records received bytes.
func (p *peer) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received.Write(data)
}

func (p *peer) serve(c net.Conn, serve func(net.Conn, *http.Request, int) bool) {
	source := bufio.NewReader(io.TeeReader(c, p))
	for number := 1; ; number++ {
		r, err := http.ReadRequest(source)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.update(func() { p.requests++ })
		if !serve(c, r, number) {
			break
		}
	}
	c.Close()
	p.update(func() { p.open-- })
}

// waitClosed waits until all connections accepted so far are closed.
func (p *peer) waitClosed() {
	for open := 1; open > 0; time.Sleep(time.Millisecond) {
		p.update(func() { open = p.open })
	}
}

// writeResponse writes a complete response with a header and a body.
func writeResponse(w io.Writer, status, header, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

const eventHeader = "Content-Type: text/event-stream\r\nX-Stream-Id: s-1\r\n"

// Checks the phase of the error for each way in which a server can fail.
func TestPhases(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\n" + eventHeader + "Transfer-Encoding: chunked\r\n\r\n"
	event := "id: 0\ndata: {}\n\n"
	tests := map[string]struct {
		serve func(w net.Conn, r *http.Request, number int) bool
		want  backend.Phase
	}{
		"closes without a response": {func(net.Conn, *http.Request, int) bool { return false }, backend.PhaseHandedOver},
		"never responds":            {func(net.Conn, *http.Request, int) bool { return true }, backend.PhaseSilent},
		"refuses": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "503 Busy", "X-Not-Started: 1\r\n", "busy")
			return true
		}, backend.PhaseRefused},
		"fails without saying that it did not run": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "503 Busy", "", "busy")
			return true
		}, backend.PhaseAnswered},
		"says not-started with success": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "200 OK", eventHeader+"X-Not-Started: 1\r\n", event)
			return true
		}, backend.PhaseTruncated},
		"truncates the body": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(w, "%s%x\r\n%s\r\n", chunked, len(event), event)
			return false
		}, backend.PhaseTruncated},
		"ends without [DONE]": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "200 OK", eventHeader, event)
			return true
		}, backend.PhaseTruncated},
		"makes no progress in the body": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(w, "%s%x\r\n%s\r\n", chunked, len(event), event)
			return true
		}, backend.PhaseSilent},
		"sends bytes forever but no event": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(w, chunked)
			for {
				if _, err := fmt.Fprint(w, "2\r\n:\n\r\n"); err != nil {
					return false
				}
				time.Sleep(time.Millisecond)
			}
		}, backend.PhaseSilent},
		"responds to another attempt": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "200 OK", eventHeader+"X-Request-Id: r-1/7\r\n", event+"data: [DONE]\n\n")
			return true
		}, backend.PhaseInvalid},
		"skips an event": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "200 OK", eventHeader, "id: 1\ndata: {}\n\n")
			return true
		}, backend.PhaseInvalid},
		"sends an event that is not JSON": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "200 OK", eventHeader, "id: 0\ndata: {\n\n")
			return true
		}, backend.PhaseInvalid},
		"sends an event that is too large": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "200 OK", eventHeader, "id: 0\ndata: "+strings.Repeat("x", 1<<16)+"\n\n")
			return true
		}, backend.PhaseInvalid},
		"sends no HTTP": {func(w net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(w, "\x00\xff garbage\r\n\r\n")
			return true
		}, backend.PhaseHandedOver},
		"sends a header that is too large": {func(w net.Conn, _ *http.Request, _ int) bool {
			writeResponse(w, "200 OK", "X-Large: "+strings.Repeat("x", 1<<18)+"\r\n", "")
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
				// On a busy machine the timeout can expire before the first byte
				// is written.
				call.ProgressTimeout *= 2
				err = readToError(c, call)
			}
			if got := phaseOf(t, err); got != test.want {
				t.Errorf("%v: got %v, want %v", err, got, test.want)
			}
			if _, requests := p.receivedData(); requests > 1 {
				t.Errorf("the server received %d requests, want at most 1", requests)
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

// Checks that a server that stops reading, and so blocks the request body, causes a
// progress timeout.
func TestServerStopsReading(t *testing.T) {
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
		t.Errorf("got phase %v, %v, want no progress within the timeout", got, err)
	}
}

func TestCallDialTimeout(t *testing.T) {
	p := startPeer(t, func(w net.Conn, _ *http.Request, _ int) bool {
		writeResponse(w, "201 Created", "", "{}")
		return true
	})
	c := newClient(t, backend.Options{DialTimeout: noTimeout})
	for _, repeatable := range []bool{true, false} {
		call := booking(p.address, "r-1", repeatable)
		call.DialTimeout = time.Nanosecond
		_, err := c.Do(context.Background(), call)
		if got := phaseOf(t, err); got != backend.PhaseDial {
			t.Errorf("got phase %v, %v, want a failure to connect", got, err)
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
		t.Errorf("got phase %v, want a failure to connect, which proves that the request did not run", got)
	}
}

// booking returns a call with an Idempotency-Key header.
func booking(address, id string, repeatable bool) backend.Call {
	return backend.Call{
		Step: "dispatch", Address: address, Method: http.MethodPost, Path: "/bookings",
		Header: http.Header{"Idempotency-Key": {"k-1"}}, Body: []byte("seat " + id),
		RequestID: id, Attempt: 1, Repeatable: repeatable,
	}
}

// Checks that no byte of a request reaches the server if its error said that it has
// not run, at whatever moment the call is cancelled.
func TestNotRunIsTrueWheneverCancelled(t *testing.T) {
	p := startPeer(t, func(w net.Conn, _ *http.Request, _ int) bool {
		writeResponse(w, "201 Created", "", "{}")
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
	// Connections are accepted in order, so once this one is accepted the peer
	// has counted all earlier ones.
	last, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	last.Close()
	p.waitClosed()
	received, _ := p.receivedData()
	for id, claimed := range notRun {
		if claimed && strings.Contains(received, id) {
			t.Errorf("%s was received although its error said that it had not run", id)
		}
	}
	t.Logf("cancelled before and after the first byte: %d, %d", seen[true], seen[false])
}

// Checks that no request is sent twice when the server closes a reused connection
// after receiving it: the server may have run the request, so only the caller may
// decide to send it again.
func TestNoAutomaticRetry(t *testing.T) {
	tests := map[string]struct {
		method     string
		body       string
		repeatable bool
	}{
		"booking":                   {http.MethodPost, "seat", false},
		"booking without a body":    {http.MethodPost, "", false},
		"repeatable with a body":    {http.MethodPost, "seat", true},
		"repeatable without a body": {http.MethodPost, "", true},
		"lookup":                    {http.MethodGet, "", true},
		"lookup, not repeatable":    {http.MethodGet, "", false},
		"deletion, not repeatable":  {http.MethodDelete, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := startDroppingPeer(t)
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
				t.Errorf("got phase %v, want one after bytes were written", got)
			}
			received, _ := p.receivedData()
			if got := strings.Count(received, "/second"); got != 1 {
				t.Errorf("sent %d times, want 1", got)
			}
		})
	}
}

// startDroppingPeer starts a peer that responds to the first request of a
// connection and closes the connection after receiving the second.
func startDroppingPeer(t *testing.T) *peer {
	return startPeer(t, func(w net.Conn, _ *http.Request, number int) bool {
		if number == 1 {
			writeResponse(w, "201 Created", "", "{}")
		}
		return number == 1
	})
}

// Checks that TestNoAutomaticRetry is able to detect a retry: the default transport
// of net/http sends the same request twice.
func TestPlainTransportRetries(t *testing.T) {
	p := startDroppingPeer(t)
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
	received, _ := p.receivedData()
	if got := strings.Count(received, "/second"); got != 2 {
		t.Errorf("sent %d times, want 2", got)
	}
}

// Checks that a connection is reused only if its last response was read to the end.
func TestConnectionReuse(t *testing.T) {
	p := startPeer(t, func(w net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Request-Id") == "hangs/1" {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: 999\r\n\r\nid: 0\ndata: {}\n\n", eventHeader)
			return true
		}
		writeResponse(w, "200 OK", eventHeader, "id: 0\ndata: {}\n\nid: 1\ndata: {}\n\ndata: [DONE]\n\n")
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
		p.update(func() {
			if p.conns != step.conns {
				t.Errorf("step %d: %d connections, want %d", i, p.conns, step.conns)
			}
		})
	}
}

// Checks that a surplus response on a connection is not taken for the response to
// the next attempt on that connection.
func TestLateResponseNeverReachesNextAttempt(t *testing.T) {
	p := startPeer(t, func(w net.Conn, r *http.Request, number int) bool {
		name := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n"
		writeResponse(w, "200 OK", name, r.Header.Get("X-Request-Id"))
		writeResponse(w, "200 OK", "X-Request-Id: r-0/1\r\n", "late")
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
