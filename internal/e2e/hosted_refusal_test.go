package e2e

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// repeatingServer refuses the first arrival of each request. It runs whatever comes next on the
// same connection, and writes the refusal once more before the answer.
type repeatingServer struct {
	stream bool
	// unnamed makes the refusal that is written again name no request.
	unnamed bool

	mu   sync.Mutex
	seen map[string]bool
	runs map[string]int
}

// arrive counts an arrival, and reports whether the request is refused.
func (s *repeatingServer) arrive(id string, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	refuse := first && !s.seen[id]
	s.seen[id] = true
	if !refuse {
		s.runs[id]++
	}
	return refuse
}

func (s *repeatingServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	refusal := func(named string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nWaxwingcart-Not-Run: full\r\n" + named + "Content-Length: 4\r\n\r\nfull"
	}
	again := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Waxwingcart-Request-Id")
		named := "Waxwingcart-Request-Id: " + id + "\r\n"
		if id != "" && s.arrive(id, again == "") {
			_, _ = io.WriteString(conn, refusal(named))
			if again = refusal(named); s.unnamed {
				again = refusal("")
			}
			continue
		}
		_, _ = io.WriteString(conn, again)
		time.Sleep(30 * time.Millisecond)
		kind, body := "text/plain", "whole"
		if s.stream {
			kind, body = "text/event-stream", streamBody(0)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%sWaxwingcart-Stamp: stamp\r\nContent-Length: %d\r\n\r\n%s", kind, named, len(body), body)
		again = ""
	}
}

// A refusal that a server writes once more on a kept connection is not taken for the answer to the
// same request, which is tried again, nor for that to another one: no caller is told that
// a request which ran has not run.
func TestHostedRefusalWrittenAgain(t *testing.T) {
	for _, test := range []struct {
		name, service, path string
		unnamed, sameID     bool
	}{
		{name: "safe", service: "ledger", path: "/records/1"},
		{name: "safe, without an ID", service: "ledger", path: "/records/1", unnamed: true},
		{name: "safe, the same one", service: "ledger", path: "/records/1", sameID: true},
		{name: "unsafe", service: "ledger", path: "/claims/1"},
		{name: "unsafe, the same one", service: "ledger", path: "/claims/1", sameID: true},
		{name: "resumable stream", service: "models", path: "/dossiers/1"},
		{name: "resumable stream, the same one", service: "models", path: "/dossiers/1", sameID: true},
		{name: "stream that may not run twice", service: "models", path: "/replies/1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHostedCluster(t, 1)
			s := &repeatingServer{stream: test.service == "models", unnamed: test.unnamed, seen: map[string]bool{}, runs: map[string]int{}}
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
					go s.serve(conn)
				}
			}()
			h.platform.mu.Lock()
			h.platform.engines = append(h.platform.engines, &hostedEngine{id: "i-1", service: test.service, address: listener.Addr().String()})
			h.platform.mu.Unlock()
			h.applyDocument(document(7))
			statuses := map[int]int{}
			for i := range 20 {
				id := fmt.Sprintf("again-%d", i/2)
				if !test.sameID {
					id = fmt.Sprintf("other-%d", i)
				}
				got := h.call("e1", "POST", test.path, id, callerKey, "call", "Waxwingcart-Token-Count", "50,20")
				statuses[got.status]++
				time.Sleep(50 * time.Millisecond)
				if got.status == http.StatusServiceUnavailable && s.ran(id) > 0 {
					t.Errorf("%s: the caller is told that it has not run, and it ran %d times", id, s.ran(id))
				}
				if s.ran(id) > 1 {
					t.Errorf("%s ran %d times", id, s.ran(id))
				}
			}
			if want := map[int]int{503: 10, 200: 10}; test.sameID && !maps.Equal(statuses, want) {
				t.Errorf("got answers by status %v, want %v", statuses, want)
			}
			t.Logf("answers by status: %v", statuses)
		})
	}
}
