package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	core "waxwingcart/internal/core/intake"
	"waxwingcart/internal/intake"
)

// The memory of headers, bodies and answers is given back on every path, or the budget
// would be used up in calm after some time.
func TestMemoryOfCallersIsGivenBack(t *testing.T) {
	engine := &versionEngine{version: "v1"}
	breaking := &versionEngine{version: "v2"}
	breaking.breaks.Store(true)
	e := newTakeUpEntry(t, engine, breaking)
	e.opts.Intake = intake.NewBudget(64<<20, e.logger, prometheus.NewRegistry())
	address := serveCallers(t, e, &http.Server{})
	head := func(path, framing string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nId: x\r\n%s\r\n\r\n", path, framing)
	}
	body := strings.Repeat("x", 100<<10)
	for name, text := range map[string]string{
		"stream":            head("/public/1", fmt.Sprintf("Content-Length: %d", len(body))) + body,
		"two requests":      head("/public/1", "Content-Length: 1") + "x" + head("/public/1", "Content-Length: 1") + "x",
		"chunked":           head("/public/1", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"body breaks off":   head("/public/1", "Content-Length: 200000") + body,
		"declared too long": head("/public/1", "Content-Length: 9999999") + body,
		"too long":          head("/public/1", "Transfer-Encoding: chunked") + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(body), body), 12),
		"broken chunks":     head("/public/1", "Transfer-Encoding: chunked") + "zz\r\n",
		"no route":          head("/nowhere/1", "Content-Length: 5") + "12345",
		"no key":            head("/charged/1", "Content-Length: 5") + "12345",
		"half a header":     "POST /public/1 HTTP/1.1\r\nHost: d",
		"long header":       "POST /public/1 HTTP/1.1\r\nX: " + strings.Repeat("y", 200<<10),
	} {
		for _, waits := range []bool{true, false} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, text)
			if waits {
				_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				_, _ = io.Copy(io.Discard, conn)
			}
			_ = conn.Close()
			for end := time.Now().Add(20 * time.Second); e.opts.Intake.Used() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%s: %d bytes are held after the connection was closed", name, e.opts.Intake.Used())
				}
			}
		}
	}
}

// A request for which there is no memory is refused as not run, with a time to try again.
func TestRefusalWithoutMemory(t *testing.T) {
	engine := &versionEngine{version: "v1"}
	e := newTakeUpEntry(t, engine)
	e.opts.Intake = intake.NewBudget(4<<10, e.logger, prometheus.NewRegistry())
	holder := e.opts.Intake.Open("heirs", httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	defer holder.Close()
	if err := errors.Join(holder.Charge(64<<10), holder.Finish()); err != nil {
		t.Fatal(err)
	}
	w := e.call("/public/1", "Id", "x")
	wait, err := strconv.ParseFloat(w.Header().Get(headerRetryAfter), 64)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(headerOutcome) != outcomeNotRun || err != nil || wait <= 0 {
		t.Errorf("got status %d, %v, want 503, not-run and a Retry-After header", w.Code, w.Header())
	}
	if calls := engine.calls.Load(); calls != 0 {
		t.Errorf("the refused request ran %d times", calls)
	}
}

// A caller that waits for 100 Continue gets 413 in its place if its declared length is over
// the limit, and 100 Continue otherwise.
func TestExpectContinue(t *testing.T) {
	engine := &versionEngine{version: "v1"}
	address := serveCallers(t, newTakeUpEntry(t, engine), &http.Server{})
	for length, want := range map[int]string{1 << 20: "HTTP/1.1 100", 1<<20 + 1: "HTTP/1.1 413"} {
		conn, answers := dialCaller(t, address)
		fmt.Fprintf(conn, "POST /public/1 HTTP/1.1\r\nHost: desk.example\r\nId: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", length)
		if line, err := answers.ReadString('\n'); !strings.HasPrefix(line, want) {
			t.Errorf("length %d: got %q, %v, want %s", length, line, err, want)
		}
	}
}

// Answers that their callers do not read must not keep an entry's memory from others: they
// are cut off when it is needed.
func TestUnreadAnswersGiveWay(t *testing.T) {
	const crowd, answerBytes = 4, 15 << 20
	engine := &versionEngine{version: "v1", body: make([]byte, answerBytes)}
	engine.rejects.Store(http.StatusOK)
	e := newTakeUpEntry(t, engine)
	e.opts.Intake = intake.NewBudget(answerBytes/2, e.logger, prometheus.NewRegistry())
	e.opts.WriteTimeout = time.Hour
	address := serveCallers(t, e, &http.Server{})
	// One answer after the other, as they share the memory for backend servers' answers.
	for i := range crowd {
		conn, _ := dialCaller(t, address)
		fmt.Fprintf(conn, "GET /public/1 HTTP/1.1\r\nHost: desk.example\r\nId: x-%d\r\n\r\n", i)
		for end := time.Now().Add(20 * time.Second); e.opts.Intake.Used() < answerBytes; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are held while an answer of %d bytes waits for its caller", e.opts.Intake.Used(), answerBytes)
			}
		}
	}
	time.Sleep(2 * core.StallTime)
	engine.rejects.Store(http.StatusNoContent)
	if w := e.call("/public/1", "Id", "ordinary"); w.Code != http.StatusNoContent {
		t.Errorf("an ordinary request: got status %d", w.Code)
	}
	for end := time.Now().Add(20 * time.Second); e.opts.Intake.Used() > answerBytes/2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held by answers that nobody reads", e.opts.Intake.Used())
		}
	}
}
