package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/standin"
)

// Checks that the answer of another process that has no end fails long before the
// memory of the smallest VM is full.
func TestEndlessPeerAnswers(t *testing.T) {
	const (
		maxBytes = 64 << 20
		timeout  = time.Minute
	)
	for name, answer := range map[string]struct{ beginning, repeated string }{
		"head line":         {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 1<<20)},
		"long head":         {"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 0\r\n\r\n", "x"},
		"headers":           {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: 1\r\n", 100_000)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20_000)},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<20)},
		"compressed body":   {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", strings.Repeat("\x00", 1<<20)},
		"body of a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", strings.Repeat("x", 1<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			closed := make(chan int64, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				sent, err := io.WriteString(conn, answer.beginning)
				for n := 0; err == nil; sent += n {
					n, err = io.WriteString(conn, answer.repeated)
				}
				closed <- int64(sent)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
			if err != nil {
				t.Fatal(err)
			}
			client := NewClient("secret")
			response, err := client.Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 2*maxBytes))
				_ = response.Body.Close()
			}
			if err == nil || ctx.Err() != nil {
				t.Errorf("got %v (time ran out: %t), want an error", err, ctx.Err() != nil)
			}
			if sent := <-closed; sent > maxBytes {
				t.Errorf("the process took %d MB, want at most %d MB", sent>>20, maxBytes>>20)
			}
		})
	}
}

// An answer that trickles in ends with its call's deadline, and its connection is closed.
func TestTricklingPeerAnswers(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for name, beginning := range map[string]string{
		"head line":         "HTTP/1.1 200 OK\r\nX-Long: ",
		"body":              "HTTP/1.1 200 OK\r\n\r\n",
		"body of a length":  "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
		"chunk extension":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
		"unfinished status": "HTTP/1.1 200 O",
	} {
		t.Run(name, func(t *testing.T) {
			address, closed, err := standin.Trickle(beginning, timeout/20)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := NewClient("secret").Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if err == nil {
				t.Error("got an answer, want an error")
			}
			select {
			case <-closed:
			case <-time.After(time.Minute):
				t.Error("the connection stays open")
			}
		})
	}
}
