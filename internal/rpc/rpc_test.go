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

// relay forwards connections to a server. After silence is called, the existing
// connections stay open but carry no data, while new ones work.
type relay struct {
	target   string
	mu       sync.Mutex
	silenced chan struct{}
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
		silenced := r.silenced
		r.mu.Unlock()
		go pipe(conn, upstream, silenced)
		go pipe(upstream, conn, silenced)
	}
}

// pipe copies data from one connection to another until silenced is closed, and
// discards it afterwards.
func pipe(from, to net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-silenced:
		default:
			_, _ = to.Write(buffer[:n])
		}
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silenced)
	r.silenced = make(chan struct{})
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

// All pooled connections to a peer stop carrying data at once, as after a network
// fault. Only the first call may time out: the client must then close the idle
// connections, so that the next call opens a new one.
func TestSilentPooledConnections(t *testing.T) {
	const pooled = 4
	var arrived sync.WaitGroup
	arrived.Add(pooled)
	holding := true
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if holding {
			arrived.Done()
			arrived.Wait()
		}
	}))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	r := &relay{target: server.Listener.Addr().String(), silenced: make(chan struct{})}
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
	holding = false
	r.silence()
	if err := get(client, listener.Addr().String(), 100*time.Millisecond); err == nil {
		t.Fatal("a call over a silenced connection got an answer")
	}
	if err := get(client, listener.Addr().String(), time.Minute); err != nil {
		t.Fatalf("the call after the timeout failed: %v", err)
	}
}

func TestRequireKey(t *testing.T) {
	server := httptest.NewServer(RequireKey(NewKey("secret"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
			t.Errorf("key %q: got status %d, want %d", secret, response.StatusCode, want)
		}
	}
}

// A caller without the key that stops sending in the middle of the request body
// must be refused at once and its connection closed. Otherwise the server waits
// for the rest of the body before it answers.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	server := httptest.NewServer(RequireKey(NewKey("secret"), http.NotFoundHandler()))
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
		t.Fatalf("the server did not close the connection: %v", err)
	}
	if !strings.Contains(string(answer), "401") {
		t.Fatalf("got answer %q, want status 401", answer)
	}
}
