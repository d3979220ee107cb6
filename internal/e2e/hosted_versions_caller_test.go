package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// streamPart is an event of a stream, with the version of the engine that made it.
type streamPart struct {
	id      int
	version string
}

// versionCaller is a caller that reads a stream and takes it up where it ended.
type versionCaller struct {
	h         *hostedCluster
	path, key string
	// first is the ID of the client attempt that brought the first event, last that of
	// the last client attempt.
	first, last string
	parts       []streamPart
	// received counts the events while they arrive.
	received atomic.Int64
}

// partsAnswer is the answer to one client attempt.
type partsAnswer struct {
	status int
	parts  []streamPart
	header http.Header
}

const (
	// allParts makes a caller read a stream to its end.
	allParts = streamEvents + 1
	// takeUpTries is the number of times a caller asks to go on while it is refused.
	takeUpTries = 8
	// longestWait bounds how long a caller waits for Retry-After.
	longestWait = time.Second
)

var versionCalls atomic.Int64

// newVersionCaller returns a caller that has not begun.
func newVersionCaller(h *hostedCluster) *versionCaller {
	return &versionCaller{h: h, path: "/dossiers/1", key: callerKey}
}

// begin starts the stream, with an ID of its own, and disconnects after a number of
// events.
func (c *versionCaller) begin(entry string, events int) partsAnswer {
	c.parts = nil
	got := c.read(entry, events, fmt.Sprintf("begin-%d", versionCalls.Add(1)))
	c.first = c.last
	return got
}

// takeUp goes on after the last event at an entry.
func (c *versionCaller) takeUp(entry string, events int) partsAnswer {
	id := fmt.Sprintf("take-up-%d", versionCalls.Add(1))
	if len(c.parts) == 0 {
		return c.read(entry, events, id)
	}
	return c.read(entry, events, id, "Resumes", c.first, "Last-Event-Id", strconv.Itoa(c.parts[len(c.parts)-1].id))
}

// takeUpPatiently takes up again, after the time that the entry asks for, while it is
// refused. It returns the last answer and reports whether the first one went on.
func (c *versionCaller) takeUpPatiently(entry string, events int) (got partsAnswer, atOnce bool) {
	for try := range takeUpTries {
		got = c.takeUp(entry, events)
		if got.status != http.StatusServiceUnavailable {
			return got, try == 0 && got.status == http.StatusOK
		}
		time.Sleep(min(got.retryAfter(), longestWait))
	}
	return got, false
}

// read sends one client attempt and reads until the stream ends or has brought a
// number of events.
func (c *versionCaller) read(entry string, events int, id string, header ...string) partsAnswer {
	c.last = id
	req, err := http.NewRequest(http.MethodPost, "http://"+c.h.vms[entry].callerAddress+c.path, strings.NewReader("prompt"))
	if err != nil {
		c.h.t.Error(err)
		return partsAnswer{}
	}
	req.Host = "desk.example"
	for name, value := range map[string]string{
		"Waxwingcart-Request-Id": id, "Waxwingcart-Deadline-Ms": "8000", "Waxwingcart-Token-Count": "50,20", "Authorization": "Bearer " + c.key,
	} {
		req.Header.Set(name, value)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	response, err := c.h.client.Do(req)
	if err != nil {
		return partsAnswer{}
	}
	defer response.Body.Close()
	got := partsAnswer{status: response.StatusCode, header: response.Header}
	if got.status == http.StatusOK {
		got.parts = c.readParts(response, events)
		c.parts = append(c.parts, got.parts...)
	}
	return got
}

// readParts reads up to a number of whole events.
func (c *versionCaller) readParts(response *http.Response, events int) []streamPart {
	var parts []streamPart
	part := streamPart{id: -1}
	for lines := bufio.NewScanner(response.Body); len(parts) < events && lines.Scan(); {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			part.id, _ = strconv.Atoi(id)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			part.version, _, _ = strings.Cut(data, " ")
		}
		if line == "" {
			parts = append(parts, part)
			c.received.Add(1)
		}
	}
	return parts
}

// retryAfter returns the time that the answer asks to wait, 0 if it names none.
func (a partsAnswer) retryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// whole reports whether the caller has all events, each once and in order.
func (c *versionCaller) whole() bool { return len(c.parts) == streamEvents && c.ordered() }

func (c *versionCaller) ordered() bool {
	for i, part := range c.parts {
		if part.id != i {
			return false
		}
	}
	return true
}

// mixed reports whether the caller has events of two versions.
func (c *versionCaller) mixed() bool {
	for _, part := range c.parts {
		if part.version != c.parts[0].version {
			return true
		}
	}
	return false
}

// version returns the version at which the stream began, "" if it has no event.
func (c *versionCaller) version() string {
	if len(c.parts) == 0 {
		return ""
	}
	return c.parts[0].version
}

// checkVersions fails the test for streams of two versions or with missing or repeated events.
func checkVersions(t testing.TB, callers []*versionCaller) {
	t.Helper()
	mixed, disordered := 0, 0
	for _, c := range callers {
		if c.mixed() {
			mixed++
		}
		if !c.ordered() {
			disordered++
		}
	}
	if mixed > 0 || disordered > 0 {
		t.Errorf("of %d streams, %d hold events of two versions and %d miss or repeat events, want none", len(callers), mixed, disordered)
	}
}

// parallelCallers bounds the streams at once, so that all fit the engines' slots.
const parallelCallers = 8

// beginStreams has callers begin streams at an entry, which they leave after some events. It
// fails the test if one does not begin.
func (h *hostedCluster) beginStreams(entry string, count, events int) []*versionCaller {
	h.t.Helper()
	callers := make([]*versionCaller, count)
	for i := range callers {
		callers[i] = newVersionCaller(h)
	}
	eachCaller(callers, func(_ int, c *versionCaller) {
		if got := c.begin(entry, events); len(got.parts) != min(events, streamEvents) {
			h.t.Errorf("a new stream got status %d and %d events, want %d events", got.status, len(got.parts), events)
		}
	})
	return callers
}

// eachCaller runs a function for each caller, a few at once.
func eachCaller(callers []*versionCaller, f func(i int, c *versionCaller)) {
	var group sync.WaitGroup
	defer group.Wait()
	free := make(chan struct{}, parallelCallers)
	for i, c := range callers {
		free <- struct{}{}
		group.Go(func() {
			defer func() { <-free }()
			f(i, c)
		})
	}
}
