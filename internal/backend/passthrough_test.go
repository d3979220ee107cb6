package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startRawServer starts a server that sends the same bytes as the response on each
// connection and then closes or resets the connection. It returns the address.
func startRawServer(t *testing.T, response string, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 4096)
				_, _ = conn.Read(buffer)
				_, _ = io.WriteString(conn, response)
				tcp := conn.(*net.TCPConn)
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = tcp.SetLinger(0)
				} else {
					// Closing with unread bytes would reset the connection.
					_ = tcp.CloseWrite()
					_, _ = io.Copy(io.Discard, conn)
				}
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// chunks encodes the parts as chunks of a chunked body, without the last chunk.
func chunks(parts ...string) string {
	var b strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.String()
}

const eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Signature: s\r\n"

// readPassthrough forwards a response and returns the bytes and numbers of its events
// and the error that ended it.
func readPassthrough(t *testing.T, response string, reset bool) (text string, numbers []int64, err error) {
	t.Helper()
	client := New(Options{ProgressTimeout: time.Second})
	defer client.Close()
	passthrough, err := client.Forward(context.Background(), Call{Step: "dispatch", Address: startRawServer(t, response, reset), Method: http.MethodPost, Path: "/x"})
	if err != nil {
		return "", nil, err
	}
	defer passthrough.Close()
	for {
		data, number, err := passthrough.Next()
		if err != nil {
			return text, numbers, err
		}
		text += string(data)
		numbers = append(numbers, number)
	}
}

// Checks that events are forwarded unchanged, including lines other than id and
// data, and that a stream delimited by the end of its connection is as complete as
// one with a length or a last chunk.
func TestPassthroughIsByteForByte(t *testing.T) {
	first, second := "note: 7\nid: 4\ndata: a\ndata: b\n\n", "id: 5\r\ndata: c\r\n\r\n"
	for name, response := range map[string]string{
		"chunked":  eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks(first[:9], first[9:]+second[:3], second[3:]) + "0\r\n\r\n",
		"length":   eventStreamHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(first+second)) + first + second,
		"unframed": eventStreamHead + "Connection: close\r\n\r\n" + first + second,
	} {
		text, numbers, err := readPassthrough(t, response, false)
		if text != first+second || len(numbers) != 2 || numbers[0] != 4 || numbers[1] != 5 || !errors.Is(err, io.EOF) {
			t.Errorf("%s: got %q, %v, %v, want both events unchanged, numbers 4 and 5, and io.EOF", name, text, numbers, err)
		}
	}
}

// Checks that a truncated response never looks complete, whatever its framing.
func TestTruncatedPassthroughsFail(t *testing.T) {
	event := "id: 4\ndata: a\n\n"
	for name, c := range map[string]struct {
		response string
		reset    bool
	}{
		"no last chunk":       {eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks(event), false},
		"short of its length": {eventStreamHead + "Content-Length: 500\r\n\r\n" + event, false},
		"within an event":     {eventStreamHead + "Connection: close\r\n\r\n" + event + "id: 5\nda", false},
		"within a chunk":      {eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks(event) + "50\r\nid: 5", false},
		"reset, unframed":     {eventStreamHead + "Connection: close\r\n\r\n" + event, true},
		"no number":           {eventStreamHead + "Connection: close\r\n\r\n" + event + "data: x\n\n", false},
	} {
		text, _, err := readPassthrough(t, c.response, c.reset)
		var failed *Error
		if !errors.As(err, &failed) || failed.Phase.NotRun() || !strings.HasPrefix(event, text) {
			t.Errorf("%s: got %q, %v, want no more than the event, and an error that leaves open whether the request ran", name, text, err)
		}
	}
}

// Checks that a response that is not a stream is read completely or fails.
func TestPassthroughBody(t *testing.T) {
	client := New(Options{ProgressTimeout: time.Second})
	defer client.Close()
	read := func(response string) (string, error) {
		passthrough, err := client.Forward(context.Background(), Call{Step: "dispatch", Address: startRawServer(t, response, false), Method: http.MethodGet, Path: "/x"})
		if err != nil {
			return "", err
		}
		defer passthrough.Close()
		if passthrough.Events {
			t.Error("a plain response was treated as a stream")
		}
		body, err := passthrough.Body(10)
		return string(body), err
	}
	if body, err := read("HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nbody"); body != "body" || err != nil {
		t.Errorf("got %q, %v, want the body of the 500 response", body, err)
	}
	if _, err := read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"); err == nil {
		t.Error("a truncated body was accepted")
	}
	if _, err := read("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nlonger body"); err == nil {
		t.Error("a body over the limit was accepted")
	}
}
