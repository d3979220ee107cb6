package intake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/intake"
	"waxwingcart/internal/observe"
)

var testRequest = httptest.NewRequest(http.MethodPost, "/", nil)

func newTestBudget(size int64) *Budget {
	return NewBudget(size, observe.NewLogger(io.Discard, "error", "e1", "kochi-a"), prometheus.NewRegistry())
}

// deadlines is a response writer whose deadlines end reads and writes.
type deadlines struct {
	http.ResponseWriter
	read, written chan struct{}
}

func newDeadlines() *deadlines {
	return &deadlines{ResponseWriter: httptest.NewRecorder(), read: make(chan struct{}), written: make(chan struct{})}
}

func (d *deadlines) SetReadDeadline(time.Time) error  { close(d.read); return nil }
func (d *deadlines) SetWriteDeadline(time.Time) error { close(d.written); return nil }

// Read blocks until the read deadline.
func (d *deadlines) Read([]byte) (int, error) {
	<-d.read
	return 0, os.ErrDeadlineExceeded
}

// A request that is alone is served although its body exceeds the budget, and in pieces
// of any size, and gives all its memory back.
func TestSingleBodyOfMaximumSize(t *testing.T) {
	body := strings.Repeat("x", 4<<20)
	for _, declared := range []int64{4 << 20, -1} {
		b := newTestBudget(1 << 20)
		share := b.Open("heirs", newDeadlines(), testRequest)
		data, err := share.ReadAll(iotest.HalfReader(strings.NewReader(body)), declared, 4<<20)
		if err != nil || string(data) != body {
			t.Errorf("declared %d: got %d bytes, %v, want the whole body", declared, len(data), err)
		}
		share.Close()
		if used := b.used.Load(); used != 0 {
			t.Errorf("declared %d: %d bytes are still held", declared, used)
		}
	}
}

// A body over the limit is refused before it is read if its length is declared, and at
// the first byte beyond the limit if not.
func TestBodyOverLimit(t *testing.T) {
	for _, declared := range []int64{101, -1} {
		reader := strings.NewReader(strings.Repeat("x", 1000))
		share := newTestBudget(1<<20).Open("heirs", newDeadlines(), testRequest)
		if _, err := share.ReadAll(reader, declared, 100); !errors.Is(err, ErrTooLong) {
			t.Errorf("declared %d: got %v, want ErrTooLong", declared, err)
		}
		if read := 1000 - reader.Len(); declared > 0 && read > 0 || read > 101 {
			t.Errorf("declared %d: %d bytes were read", declared, read)
		}
	}
}

// A stalled body gives way to another one, whose request is served, and its read ends
// with ErrStalled.
func TestStalledBodyGivesWay(t *testing.T) {
	b := newTestBudget(256 << 10)
	w := newDeadlines()
	stalled := b.Open("crowd", w, testRequest)
	ended := make(chan error, 1)
	go func() {
		_, err := stalled.ReadAll(io.MultiReader(strings.NewReader(strings.Repeat("x", 200<<10)), w), -1, 1<<20)
		ended <- err
	}()
	for stalled.arrived.Load() < 200<<10 {
		time.Sleep(time.Millisecond)
	}
	stalled.last.Add(-int64(2 * intake.StallTime))
	other := b.Open("heirs", newDeadlines(), testRequest)
	if _, err := other.ReadAll(strings.NewReader(strings.Repeat("x", 100<<10)), 100<<10, 1<<20); err != nil {
		t.Errorf("the other body: %v", err)
	}
	if err := <-ended; !errors.Is(err, ErrStalled) {
		t.Errorf("the stalled body: got %v, want ErrStalled", err)
	}
	stalled.Close()
	other.Close()
	if used := b.used.Load(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}

// Bodies of requests that may run never give way; new ones are refused instead.
func TestRunningRequestsStay(t *testing.T) {
	b := newTestBudget(64 << 10)
	running := b.Open("heirs", newDeadlines(), testRequest)
	if _, err := running.ReadAll(bytes.NewReader(make([]byte, 70<<10)), 70<<10, 1<<20); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Open("clerks", newDeadlines(), testRequest).ReadAll(bytes.NewReader(make([]byte, 20<<10)), 20<<10, 1<<20); !errors.Is(err, ErrFull) {
		t.Errorf("another body: got %v, want ErrFull", err)
	}
	if err := running.err(); err != nil {
		t.Errorf("the running request gave way: %v", err)
	}
}

// An answer whose caller reads nothing is cut off when its memory is needed.
func TestUnreadAnswerGivesWay(t *testing.T) {
	b := newTestBudget(64 << 10)
	w := newDeadlines()
	reader := b.Open("crowd", w, testRequest)
	if err := reader.Finish(); err != nil {
		t.Fatal(err)
	}
	began, ended := make(chan struct{}), make(chan struct{})
	go func() {
		reader.Write(60<<10, func() {
			close(began)
			<-w.written
		})
		close(ended)
	}()
	<-began
	reader.last.Add(-int64(2 * intake.StallTime))
	if err := b.Open("heirs", newDeadlines(), testRequest).Charge(8 << 10); err != nil {
		t.Errorf("another request: %v", err)
	}
	<-ended
}

// The handler sees the whole body. Bodies over the limit are refused with 413.
func TestBuffered(t *testing.T) {
	server := httptest.NewServer(Buffered(newTestBudget(1<<20), 1000, time.Minute, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		data, _ := io.ReadAll(req.Body)
		_, _ = io.WriteString(w, strconv.Itoa(len(data)))
	})))
	defer server.Close()
	for size, want := range map[int]int{0: 200, 1000: 200, 1001: 413} {
		for _, body := range []io.Reader{strings.NewReader(strings.Repeat("x", size)), io.MultiReader(strings.NewReader(strings.Repeat("x", size)))} {
			response, err := http.Post(server.URL, "", body)
			if err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode != want || want == 200 && string(got) != strconv.Itoa(size) {
				t.Errorf("%d bytes: got status %d, %q, want %d", size, response.StatusCode, got, want)
			}
		}
	}
}

// At the limit a new connection is served, and the oldest one without a request is
// closed, but none with a request.
func TestListenerClosesOldestIdle(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := observe.NewLogger(io.Discard, "error", "e1", "kochi-a")
	listener := Listen(inner, ListenerOptions{Name: "callers", Limit: 2, Budget: newTestBudget(1 << 20), Logger: logger, Metrics: NewMetrics(prometheus.NewRegistry())})
	defer listener.Close()
	open := func() (net.Conn, net.Conn) {
		caller, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = caller.Close() })
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return caller, conn
	}
	busy, busyConn := open()
	ConnState(busyConn, http.StateActive)
	oldest, _ := open()
	open()
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection without a request is open")
	}
	_ = busy.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := busy.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection with a request: got %v, want it open", err)
	}
}
