//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case on streams that are taken up while the platform does not answer.
const (
	takeUpStreams = 40
	// takeUpReset is the number of connections that are reset, 0.55 of them.
	takeUpReset    = 22
	takeUpTimeout  = 3 * time.Second
	takeUpDeadline = 3900 * time.Millisecond
	// ruleSlack is the time after the route's timeout by which the rule wants an answer, ruleCount the number
	// of requests from which it counts.
	ruleSlack = 500 * time.Millisecond
	ruleCount = 8
	// silence is how long the platform does not answer, and resetAfter when in it the connections are reset.
	silence    = 5 * time.Second
	resetAfter = 2700 * time.Millisecond
)

// takeUpDocument is the first document with a timeout of 3 s for the streams.
func takeUpDocument() string {
	return strings.Replace(document(), `"type":"stream","timeout_ms":15000`, fmt.Sprintf(`"type":"stream","timeout_ms":%d`, takeUpTimeout.Milliseconds()), 1)
}

// resetter passes connections on to an entry and resets them when told to.
type resetter struct {
	listener net.Listener
	mu       sync.Mutex
	pairs    [][2]*net.TCPConn
}

func (l *lab) newResetter(to string) *resetter {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.251:0", l.network))
	if err != nil {
		l.notRun("%v", err)
	}
	r := &resetter{listener: listener}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			entry, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			r.mu.Lock()
			r.pairs = append(r.pairs, [2]*net.TCPConn{client.(*net.TCPConn), entry.(*net.TCPConn)})
			r.mu.Unlock()
			go func() { _, _ = io.Copy(entry, client); _ = entry.Close() }()
			go func() { _, _ = io.Copy(client, entry); _ = client.Close() }()
		}
	}()
	return r
}

// reset resets a number of connections on both sides.
func (r *resetter) reset(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range r.pairs[:min(count, len(r.pairs))] {
		for _, conn := range pair {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// stream sends one stream on a new connection. It returns the status, the number of the last event and the error.
func stream(address, id, after string, deadline time.Duration) (status, last int, err error) {
	last = -1
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, last, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(conn, "POST /replies/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Deadline-Ms: %d\r\n"+
		"Waxwingcart-Model: m\r\nWaxwingcart-Token-Count: 100,48\r\nWaxwingcart-Prefix-Hash: aa:60,%x:40\r\n%sContent-Length: 5\r\n\r\nhello", key, id, deadline.Milliseconds(), id, after)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, last, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			fmt.Sscan(text, &last)
		}
	}
	return response.StatusCode, last, lines.Err()
}

// takeups breaks streams at one entry, which their clients take up at the two others at once. The disruption
// is that the platform has not answered for a while.
func takeups(l *lab) {
	l.startDeployment(3)
	l.addEngine("i-a1", "ledger", 6, 0, 15*time.Millisecond)
	for i := range 2 {
		l.addEngine(fmt.Sprintf("i-m%d", i), "models", 64, 8, 300*time.Millisecond)
	}
	l.configure(takeUpDocument())
	l.note("waiting for %s, in which nothing is disrupted", historyWait)
	time.Sleep(historyWait)
	proxy := l.newResetter(l.machine["edge-1"].at(portFront))
	others := []*machine{l.machine["edge-2"], l.machine["edge-3"]}

	began := time.Now()
	if l.trouble {
		l.note("the platform falls silent for %s", silence)
		l.platform.setSilent(true)
		time.AfterFunc(silence, func() { l.platform.setSilent(false); l.note("the platform answers again") })
	}
	time.Sleep(resetAfter - time.Second)
	type result struct {
		status, last int
		took         time.Duration
		err          error
		resumed      bool
	}
	results := make([]result, takeUpStreams)
	var clients sync.WaitGroup
	for i := range takeUpStreams {
		clients.Go(func() {
			r := &results[i]
			r.status, r.last, r.err = stream(proxy.listener.Addr().String(), fmt.Sprintf("first-%d", i), "", takeUpDeadline)
			if r.err == nil || r.last < 0 {
				return
			}
			r.resumed = true
			sent := time.Now()
			status, last, err := stream(others[i%2].at(portFront), fmt.Sprintf("again-%d", i), fmt.Sprintf("Last-Event-Id: %d\r\n", r.last), takeUpDeadline)
			r.took = time.Since(sent)
			l.note("again-%d at %s after event %d: status %d, last event %d, %v, after %d ms", i, others[i%2].name, r.last, status, last, err, r.took.Milliseconds())
			r.status, r.last, r.err = status, last, err
		})
	}
	time.Sleep(time.Until(began.Add(resetAfter)))
	l.note("%d of %d connections to edge-1 are reset", takeUpReset, takeUpStreams)
	proxy.reset(takeUpReset)
	clients.Wait()
	resumed, late, unanswered := 0, 0, 0
	for _, r := range results {
		if !r.resumed {
			continue
		}
		resumed++
		if r.took > takeUpTimeout {
			late++
		}
		if r.took > takeUpTimeout+ruleSlack {
			unanswered++
		}
	}
	l.note("%d streams were taken up; %d had no final answer at their route's timeout of %s, %d of these none %s later", resumed, late, takeUpTimeout, unanswered, ruleSlack)
	if resumed < ruleCount {
		l.notRun("only %d streams were taken up", resumed)
	}
	if unanswered >= ruleCount && 2*unanswered > late {
		l.fail("%d of %d requests that lasted longer than their route's timeout had no final answer %s later", unanswered, late, ruleSlack)
	}
}
