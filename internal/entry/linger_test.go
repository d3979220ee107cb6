package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"waxwingcart/internal/rpc"
)

// connPair returns an accepted connection of an entry and its caller's end.
func connPair(t *testing.T, e *Entry) (*callerConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := e.CallerListener(listener).Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*callerConn), caller
}

// A connection with a refusal and an unread body stays open until its caller closes
// it, has sent what a body may have, or a body's time is over, and no longer than the
// entry accepts requests. Only a caller that closed it is known to have the refusal.
func TestConnectionLingersAfterRefusal(t *testing.T) {
	for _, test := range []struct {
		name     string
		bodyTime time.Duration
		draining bool
		caller   func(net.Conn)
		reported bool
	}{
		{"caller closes", time.Hour, false, func(c net.Conn) { _ = c.Close() }, false},
		{"caller resets", time.Hour, false, func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, false},
		{"caller sends without end", time.Hour, false, func(c net.Conn) {
			for data := make([]byte, 1<<20); ; {
				if _, err := c.Write(data); err != nil {
					return
				}
			}
		}, true},
		{"a body's time is over", time.Millisecond, false, func(net.Conn) {}, true},
		{"the entry has drained", time.Hour, true, func(net.Conn) {}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, registry, _ := newLoggedEntry()
			e.opts.BodyTimeout = test.bodyTime
			if test.draining {
				e.beginDrain()
			}
			conn, caller := connPair(t, e)
			conn.begin("id")
			conn.end(false)
			go test.caller(caller)
			_ = conn.Close()
			if got := counted(t, registry, "waxwingcart_entry_connections_closed_total")[closeBodyNotRead]; (got == 1) != test.reported {
				t.Errorf("counted %v unread bodies, want one: %t", got, test.reported)
			}
		})
	}
}

// idCallers parses calls that have an ID alone.
type idCallers struct{}

func (idCallers) Parse(req *http.Request) (Call, error) {
	return Call{RequestID: req.Header.Get(headerRequestID)}, nil
}

// serveCallers serves an entry's callers until the test ends, and returns the address.
func serveCallers(t testing.TB, e *Entry, server *http.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Handler = http.HandlerFunc(e.ServeRouted)
	server.ConnContext, server.ConnState = ConnContext, ConnState
	serving := make(chan struct{})
	server.BaseContext = func(net.Listener) context.Context {
		close(serving)
		return context.Background()
	}
	go func() { _ = server.Serve(e.CallerListener(listener)) }()
	// A server that is shut down before it serves accepts no connection.
	<-serving
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// newCallersEntry returns an entry, not started, that has no configuration and so
// refuses all calls.
func newCallersEntry() *Entry {
	e := newStartingEntry(rpc.NewClient(""))
	e.opts.Routed.Callers = idCallers{}
	return e
}

// The refusal of a request without a body leaves its connection open for the next
// one.
func TestRefusalWithoutBodyKeepsConnection(t *testing.T) {
	address := serveCallers(t, newCallersEntry(), &http.Server{})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for range 2 {
		if _, err := io.WriteString(conn, "GET /claims/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode != http.StatusServiceUnavailable || response.Close {
			t.Errorf("got status %d, closing %t, want a refusal that leaves the connection open", response.StatusCode, response.Close)
		}
	}
}
