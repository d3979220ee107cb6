package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/callerlimits"
	"waxwingcart/internal/core/routes"
)

func idleLimits(idle time.Duration) routes.CallerLimits {
	return routes.CallerLimits{IdleTimeout: idle, HeaderTimeout: idle}
}

// exchangeRequest sends a request on a connection and reads the answer's status, or 0.
func exchangeRequest(conn net.Conn, answers *bufio.Reader, headerBytes int) int {
	head := "GET /claims/1 HTTP/1.1\r\nHost: desk.example\r\nX-Filler: " + strings.Repeat("f", headerBytes) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return 0
	}
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func dialCaller(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// A connection may rest for as long as the document in force says, although the
// process's own settings say less. A request that is sent within that time is answered.
func TestRequestAfterRestOfDocument(t *testing.T) {
	e := newCallersEntry()
	e.callerLimits.Set(e.now(), idleLimits(time.Hour))
	address := serveCallers(t, e, &http.Server{IdleTimeout: 20 * time.Millisecond, ReadHeaderTimeout: 20 * time.Millisecond})
	conn, answers := dialCaller(t, address)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		if got := exchangeRequest(conn, answers, 0); got != http.StatusServiceUnavailable {
			t.Fatalf("got status %d on a connection that rested, want an answer", got)
		}
	}
}

// A connection that rests longer than the document in force says is closed, although
// the process's own settings say more.
func TestConnectionClosesAfterRestOfDocument(t *testing.T) {
	e := newCallersEntry()
	e.callerLimits.Transit = 0
	e.callerLimits.Set(e.now(), routes.CallerLimits{IdleTimeout: time.Millisecond})
	address := serveCallers(t, e, &http.Server{IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour})
	conn, answers := dialCaller(t, address)
	if got := exchangeRequest(conn, answers, 0); got != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want an answer", got)
	}
	if _, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the connection to be closed", err)
	}
}

// waitingConn returns a connection in a phase whose time began, and its caller's end.
func waitingConn(t *testing.T, e *Entry, in phase) (*callerConn, net.Conn) {
	t.Helper()
	conn, caller := connPair(t, e)
	if in == phaseIdle {
		ConnState(conn, http.StateIdle)
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	return conn, caller
}

var waitingPhases = map[string]phase{"header": phaseHeader, "idle": phaseIdle}

// A document with longer limits applies to connections that already wait.
func TestLongerLimitAppliesToWaitingConnection(t *testing.T) {
	for name, in := range waitingPhases {
		t.Run(name, func(t *testing.T) {
			e := newCallersEntry()
			e.callerLimits.Transit = 0
			e.callerLimits.Set(e.now(), idleLimits(time.Millisecond))
			conn, caller := waitingConn(t, e, in)
			e.callerLimits.Set(e.now(), idleLimits(time.Hour))
			time.Sleep(50 * time.Millisecond)
			read := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 16))
				read <- err
			}()
			time.Sleep(2 * lastReadTime)
			_, _ = io.WriteString(caller, "G")
			if err := <-read; err != nil {
				t.Errorf("reading a request under the longer limit: %v", err)
			}
		})
	}
}

// A document with shorter limits closes no connection on which a caller may still
// follow the one before.
func TestShorterLimitSparesCallersOfOlderDocument(t *testing.T) {
	for name, in := range waitingPhases {
		t.Run(name, func(t *testing.T) {
			e := newCallersEntry()
			e.callerLimits.Transit = 0
			e.callerLimits.Set(e.now(), idleLimits(time.Hour))
			conn, caller := waitingConn(t, e, in)
			e.callerLimits.Set(e.now(), idleLimits(time.Millisecond))
			later, _ := waitingConn(t, e, in)
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(caller, "G")
			if _, err := conn.Read(make([]byte, 16)); err != nil {
				t.Errorf("reading a request on a connection that waited before the change: %v", err)
			}
			if left := later.timeLeft(e.now()); left < time.Minute {
				t.Errorf("a connection that waits since the change is closed after %s, want the older limit for now", left)
			}
		})
	}
}

// Bytes that arrived within a limit are read after it, as when the process was held up.
// Without such bytes the connection ends.
func TestBytesUnreadAtLimitAreRead(t *testing.T) {
	for name, in := range waitingPhases {
		t.Run(name, func(t *testing.T) {
			e := newCallersEntry()
			e.callerLimits.Transit = 0
			e.callerLimits.Set(e.now(), idleLimits(time.Millisecond))
			conn, caller := waitingConn(t, e, in)
			_, _ = io.WriteString(caller, "G")
			time.Sleep(50 * time.Millisecond)
			if _, err := conn.Read(make([]byte, 16)); err != nil {
				t.Errorf("reading bytes that arrived in time: %v", err)
			}
			if _, err := conn.Read(make([]byte, 16)); err == nil {
				t.Error("read more bytes than were sent")
			}
		})
	}
}

// The header of a request may be as long as the document in force says, whether the
// process's own settings say less or more. A longer one is refused whole.
func TestHeaderLimitOfDocument(t *testing.T) {
	for _, test := range []struct {
		process, document, header, want int
	}{
		{1 << 10, 64 << 10, 32 << 10, http.StatusServiceUnavailable},
		{64 << 10, 1 << 10, 32 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{64 << 10, 0, 32 << 10, http.StatusServiceUnavailable},
		{1 << 10, 0, 32 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		e := newCallersEntry()
		e.opts.HeaderLimit = test.process
		e.callerLimits.Set(e.now(), routes.CallerLimits{HeaderBytes: test.document})
		address := serveCallers(t, e, &http.Server{MaxHeaderBytes: callerlimits.MaxHeaderBytes, IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour})
		conn, answers := dialCaller(t, address)
		if got := exchangeRequest(conn, answers, test.header); got != test.want {
			t.Errorf("limits of %d and %d bytes: got status %d for a header of %d, want %d", test.process, test.document, got, test.header, test.want)
		}
		if test.want != http.StatusRequestHeaderFieldsTooLarge {
			continue
		}
		if rest, err := io.ReadAll(answers); err != nil || len(rest) > 0 {
			t.Errorf("got %q (%v) after the refusal, want the end of the connection", rest, err)
		}
	}
}
