package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessServer answers each request with a beginning and then with the same bytes
// again and again until the connection is closed.
type endlessServer struct {
	address string
	// conns counts the accepted connections, and closed those that the client closed.
	conns, closed atomic.Int64
}

// startEndless starts a server that waits for pause between two repetitions.
func startEndless(t *testing.T, beginning, repeated string, pause time.Duration) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &endlessServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, beginning)
				for ; err == nil; time.Sleep(pause) {
					_, err = io.WriteString(conn, repeated)
				}
				s.closed.Add(1)
			}()
		}
	}()
	return s
}

const (
	endlessHead    = "HTTP/1.1 200 OK\r\n"
	endlessChunked = endlessHead + "Transfer-Encoding: chunked\r\n\r\n"
	endlessEvents  = eventStreamHead + "Connection: close\r\n\r\n"
	// endlessTestTimeout is longer than any bound on an answer.
	endlessTestTimeout = time.Minute
)

// endlessAnswers are answers without end that arrive as fast as they are read.
var endlessAnswers = map[string]struct{ beginning, repeated string }{
	"head line":           {endlessHead + "X-Long: ", strings.Repeat("x", 1000)},
	"status line":         {"HTTP/1.1 200 ", strings.Repeat("x", 1000)},
	"headers":             {endlessHead, strings.Repeat("X-More: 1\r\n", 100)},
	"interim responses":   {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 50)},
	"chunk extension":     {endlessChunked + "1;", strings.Repeat("x", 1000)},
	"chunk extensions":    {endlessChunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
	"trailer line":        {endlessChunked + "0\r\nX-Long: ", strings.Repeat("x", 1000)},
	"trailers":            {endlessChunked + "0\r\n", strings.Repeat("X-More: 1\r\n", 100)},
	"body in chunks":      {endlessChunked, chunks(strings.Repeat("x", 32<<10))},
	"body to the close":   {endlessHead + "\r\n", strings.Repeat("x", 32<<10)},
	"body of a length":    {endlessHead + "Content-Length: 9000000000000000000\r\n\r\n", strings.Repeat("x", 32<<10)},
	"event line":          {endlessEvents + "id: 0\ndata: ", strings.Repeat("x", 1000)},
	"event of many lines": {endlessEvents + "id: 0\n", strings.Repeat("data: x\n", 100)},
	"events":              {endlessEvents, "id: 7\ndata: " + strings.Repeat("x", 32<<10) + "\n\n"},
}

// slowAnswers are answers without end that arrive a few bytes at a time.
var slowAnswers = map[string]struct{ beginning, repeated string }{
	"head line":          {endlessHead + "X-Long: ", "x"},
	"headers":            {endlessHead, "X-More: 1\r\n"},
	"chunk extension":    {endlessChunked + "1;", "x"},
	"trailer":            {endlessChunked + "0\r\nX-Long: ", "x"},
	"body in chunks":     {endlessChunked, chunks("x")},
	"body to the close":  {endlessHead + "\r\n", "x"},
	"body of a length":   {endlessHead + "Content-Length: 1000000\r\n\r\n", "x"},
	"event":              {endlessEvents + "id: 0\ndata: ", "x"},
	"end of a stream":    {eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks("id: 0\ndata: x\n\n") + "0\r\nX-Long: ", "x"},
	"event in chunks":    {eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n", chunks("x")},
	"event after events": {endlessEvents + "id: 0\ndata: x\n\nid: 1\ndata: x\n\n", "x"},
}

// Checks that an answer without end fails although nothing but the caller's deadline
// bounds the wait for progress, that its connection is closed, and that the next call
// takes another one.
func TestEndlessAnswers(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkAnswerEnds(t, startEndless(t, answer.beginning, answer.repeated, 0))
		})
	}
}

// Checks the same for an answer that arrives slowly.
func TestSlowAnswers(t *testing.T) {
	for name, answer := range slowAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkAnswerEnds(t, startEndless(t, answer.beginning, answer.repeated, 100*time.Millisecond))
		})
	}
}

func checkAnswerEnds(t *testing.T, server *endlessServer) {
	t.Helper()
	client := New(Options{})
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), endlessTestTimeout)
	defer cancel()
	call := Call{
		Step: "dispatch", Address: server.address, Method: http.MethodGet, Path: "/x",
		Repeatable: true, ProgressTimeout: time.Hour,
	}
	err := readWhole(ctx, client, call)
	var callErr *Error
	if !errors.As(err, &callErr) || callErr.Phase.NotRun() || ctx.Err() != nil {
		t.Fatalf("got %v (time ran out: %t), want an error that leaves open whether the request ran", err, ctx.Err() != nil)
	}
	for ; server.closed.Load() == 0; time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("the connection was not closed")
		}
	}
	for server.conns.Load() < 2 && ctx.Err() == nil {
		short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		_ = readWhole(short, client, call)
		stop()
	}
	if got := server.conns.Load(); got < 2 {
		t.Errorf("the server got %d connections, want a new one for the next call", got)
	}
}

// readWhole forwards a call and reads its answer as the entry does.
func readWhole(ctx context.Context, client *Client, call Call) error {
	upstream, err := client.Forward(ctx, call)
	if err != nil {
		return err
	}
	defer upstream.Close()
	if !upstream.Events {
		_, err := upstream.Body(16 << 20)
		return err
	}
	for {
		if _, _, err := upstream.Next(); err != nil {
			return err
		}
	}
}

// Checks that a server may fall silent anywhere in its answer and go on later.
func TestPauseWithinAnswer(t *testing.T) {
	body, event := "0123456789", "id: 0\ndata: x\n\n"
	for name, answer := range map[string]string{
		"whole":   endlessHead + "Content-Length: 10\r\n\r\n" + body,
		"chunked": endlessChunked + chunks(body) + "0\r\n\r\n",
		"stream":  eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks(event) + "0\r\n\r\n",
	} {
		for at := 1; at < len(answer); at += len(answer) / 3 {
			t.Run(fmt.Sprintf("%s %d", name, at), func(t *testing.T) {
				t.Parallel()
				const pause = 7 * time.Second
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = listener.Close() }()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, answer[:at])
					time.Sleep(pause)
					_, _ = io.WriteString(conn, answer[at:])
				}()
				client := New(Options{})
				t.Cleanup(client.Close)
				call := Call{Step: "dispatch", Address: listener.Addr().String(), Method: http.MethodGet, Path: "/x", ProgressTimeout: time.Hour}
				err = readWhole(context.Background(), client, call)
				if err != nil && !errors.Is(err, io.EOF) {
					t.Errorf("got %v, want the whole answer", err)
				}
			})
		}
	}
}
