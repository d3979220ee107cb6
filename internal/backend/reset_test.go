package backend

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startResettingServer starts a server that answers each request at once with a response without a length and resets the
// connection after a delay, while the request may still be written.
func startResettingServer(t *testing.T, delay time.Duration) string {
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
				_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 512))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe beginning of an answer "))
				time.Sleep(delay)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// A response without a length that is cut off by a reset is never complete, also if it was the upload that
// met the reset: the kernel reports a reset to one call only, and the connection seems to have ended orderly afterwards.
func TestResetDuringUploadTruncates(t *testing.T) {
	const callers, calls = 8, 400
	for _, delay := range []time.Duration{0, 200 * time.Microsecond} {
		client := New(Options{})
		address := startResettingServer(t, delay)
		body := bytes.Repeat([]byte("x"), 900<<10)
		var complete, begun atomic.Int64
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for begun.Add(1) <= calls {
					response, err := client.Do(context.Background(), Call{Step: "test", Address: address, Method: http.MethodPost, Path: "/", Body: body, Repeatable: true})
					if err != nil {
						continue
					}
					if _, err := response.ReadAll(1 << 20); err == nil {
						complete.Add(1)
					}
					_ = response.Body.Close()
				}
			})
		}
		wg.Wait()
		client.Close()
		if n := complete.Load(); n > 0 {
			t.Errorf("reset after %v: %d of %d truncated responses were taken as complete", delay, n, calls)
		}
	}
}

// A server may end its side orderly before it has read the whole upload. Its response is complete.
func TestOrderlyEndDuringUploadIsComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	const answer = "a whole answer"
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 512))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + answer))
				_ = conn.(*net.TCPConn).CloseWrite()
				time.Sleep(200 * time.Millisecond)
			}()
		}
	}()
	client := New(Options{})
	defer client.Close()
	// More than the kernel's buffers hold, so that the upload waits.
	body := bytes.Repeat([]byte("x"), 16<<20)
	for range 5 {
		response, err := client.Do(context.Background(), Call{Step: "test", Address: listener.Addr().String(), Method: http.MethodPost, Path: "/", Body: body, Repeatable: true})
		if err != nil {
			t.Fatal(err)
		}
		got, err := response.ReadAll(1 << 20)
		_ = response.Body.Close()
		if err != nil || string(got) != answer {
			t.Errorf("got %q, %v, expected %q", got, err, answer)
		}
	}
}
