package e2e

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// raw sends text over a new connection and returns what the entry sends until it
// closes the connection.
func (c *cluster) raw(entry, text string) (string, error) {
	conn, err := net.Dial("tcp", c.vms[entry].callerAddress)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	data, err := io.ReadAll(conn)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return string(data), fmt.Errorf("the entry did not close the connection: %w", err)
	}
	return string(data), nil
}

const rawHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer " + callerKey + "\r\n"

// Invalid requests are refused with the reason, the outcome "not-run" and no
// Retry-After header, and nothing runs.
func TestInvalidRequests(t *testing.T) {
	c := newCluster(t, 1, 1)
	long := strings.Repeat("x", 2<<20)
	tests := []struct {
		name, method, path, key, body string
		status                        int
		reason                        string
	}{
		{"no JSON", "POST", chatPath, "", "\x00\xff{", 400, "bad-request"},
		{"another JSON type", "POST", chatPath, "", `[1, 2]`, 400, "bad-request"},
		{"no model", "POST", chatPath, "", `{"messages": []}`, 400, "bad-request"},
		{"unknown model", "POST", chatPath, "", `{"model": "other"}`, 404, "no-such-service"},
		{"negative tokens", "POST", chatPath, "", `{"model": "briefing-70b", "max_tokens": -1}`, 400, "bad-request"},
		{"oversized body", "POST", chatPath, "", long, 413, "body-too-large"},
		{"oversized booking", "POST", bookingPath, "key", long, 413, "body-too-large"},
		{"unknown service", "POST", "/services/other/bookings", "", "{}", 404, "no-such-service"},
		{"long key", "POST", bookingPath, strings.Repeat("k", 256), "{}", 400, "bad-request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, err := c.call("e1", test.method, test.path, test.key, test.body)
			if err != nil {
				t.Fatal(err)
			}
			if answer.status != test.status || answer.outcome != "not-run" || !strings.Contains(answer.body, `"reason":"`+test.reason+`"`) {
				t.Errorf("got %d %s %.300s, want the status and reason of the test and outcome not-run", answer.status, answer.outcome, answer.body)
			}
			if answer.header.Get("Retry-After") != "" {
				t.Errorf("an invalid request got a Retry-After header, want none")
			}
		})
	}
	if runs := c.totalRuns("a1") + c.totalRuns("m1") + c.totalRuns("m2"); runs != 0 {
		t.Errorf("%d runs, want none", runs)
	}
}

// Connections of callers that send slowly, stop midway or send garbage are closed
// with an error status, and other callers are served meanwhile.
func TestSlowCallers(t *testing.T) {
	c := newCluster(t, 1, 1)
	tests := map[string]string{
		"half a header":   rawHead + "X-Half: ",
		"half a body":     rawHead + "Content-Length: 1000\r\n\r\n{\"model\":",
		"no key":          "POST /v1/chat/completions HTTP/1.1\r\nHost: e1\r\nContent-Length: 1000\r\n\r\n{",
		"garbage":         "\x16\x03\x01\x00\xff\r\n\r\n",
		"endless header":  rawHead + "X-Long: " + strings.Repeat("y", 200<<10) + "\r\n\r\n",
		"broken chunks":   rawHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n",
		"unfinished line": rawHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
	}
	answers := make(map[string]string)
	var mu sync.Mutex
	var group sync.WaitGroup
	for name, text := range tests {
		group.Go(func() {
			answer, err := c.raw("e1", text)
			mu.Lock()
			defer mu.Unlock()
			answers[name] = answer
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	for i := range 20 {
		answer, err := c.call("e1", http.MethodPost, chatPath, "", chatRequest{prompt: fmt.Sprint("good ", i), tokens: 4}.body(false))
		if err != nil || answer.status != http.StatusOK {
			t.Errorf("a valid request got %+v, %v, want status 200", answer, err)
		}
	}
	group.Wait()
	for name, answer := range answers {
		if strings.Contains(answer, " 200 ") {
			t.Errorf("%s: got %.200q, want no status 200", name, answer)
		}
	}
	for name, status := range map[string]string{"half a body": "408", "endless header": "431", "broken chunks": "400", "unfinished line": "408", "no key": "401", "garbage": "400"} {
		if !strings.HasPrefix(answers[name], "HTTP/1.1 "+status) {
			t.Errorf("%s: want %s, got %.200q", name, status, answers[name])
		}
	}
	if runs := c.totalRuns("m1") + c.totalRuns("m2"); runs != 20 {
		t.Errorf("%d runs, want 20", runs)
	}
}
