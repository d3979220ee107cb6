package rpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// relay passes connections on to a server until it is told to forget them;
// forgotten connections stay open and silent, new ones work.
type relay struct {
	target string
	mu     sync.Mutex
	epoch  chan struct{}
}

func (r *relay) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.target)
		if err != nil {
			return
		}
		r.mu.Lock()
		epoch := r.epoch
		r.mu.Unlock()
		go pipe(conn, upstream, epoch)
		go pipe(upstream, conn, epoch)
	}
}

// pipe copies until the epoch ends, and drops what comes afterwards.
func pipe(from, to net.Conn, epoch <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-epoch:
		default:
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (r *relay) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.epoch)
	r.epoch = make(chan struct{})
}

func get(client *Client, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

// All pooled connections to a peer go silent: one call pays for it, and the
// next goes over a new connection.
func TestSilentPooledConnections(t *testing.T) {
	const pooled = 4
	var together sync.WaitGroup
	together.Add(pooled)
	first := true
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if first {
			together.Done()
			together.Wait()
		}
	}))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	r := &relay{target: server.Listener.Addr().String(), epoch: make(chan struct{})}
	go r.serve(listener)
	client := NewClient("secret")
	var calls sync.WaitGroup
	for range pooled {
		calls.Go(func() {
			if err := get(client, listener.Addr().String(), time.Minute); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	first = false
	r.forget()
	if err := get(client, listener.Addr().String(), 100*time.Millisecond); err == nil {
		t.Fatal("a call over a silent connection was answered")
	}
	if err := get(client, listener.Addr().String(), time.Minute); err != nil {
		t.Fatalf("the next call: %v", err)
	}
}

func TestRequireKey(t *testing.T) {
	server := httptest.NewServer(Require(NewKey("secret"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})))
	defer server.Close()
	for secret, want := range map[string]int{"secret": http.StatusNoContent, "other": http.StatusUnauthorized, "": http.StatusUnauthorized} {
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := NewClient(secret).Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("key %q: status %d, want %d", secret, response.StatusCode, want)
		}
	}
}

// A caller without the key that stops in the middle of its body is refused at
// once, and its connection is closed.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	server := httptest.NewServer(Require(NewKey("secret"), http.NotFoundHandler()))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("the connection stays open: %v", err)
	}
	if !strings.Contains(string(answer), "401") {
		t.Fatalf("answer %q", answer)
	}
}
