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
	"sync/atomic"
	"time"
)

// Sizes of the case on long headers that are remembered.
const (
	historySenders  = 16
	historyRequests = 6000
	historyValue    = 15_800
	historyTime     = 60 * time.Second
	// historyWait is how long an entry must know the list of engines before it takes such streams.
	historyWait = 33 * time.Second
)

// historyHead returns the head of a stream that goes on after an event, with a long value of one header.
func historyHead(number int, long bool) string {
	value := "none"
	if long {
		value = strings.Repeat("\xff", historyValue)
	}
	return fmt.Sprintf("POST /replies/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\nWaxwingcart-Request-Id: late-%d\r\nWaxwingcart-Deadline-Ms: 4000\r\n"+
		"Waxwingcart-Model: m\r\nWaxwingcart-Token-Count: 100,8\r\nLast-Event-Id: 0\r\nResumes: %s\r\nContent-Length: 5\r\n\r\nhello", key, number, value)
}

// history sends streams that go on after an event, some at a time on kept connections. The disruption is a long value of a
// header that the entry remembers.
func history(l *lab) {
	l.startDeployment(1)
	ledger := l.addLedger()
	for i := range partEngines {
		l.addEngine(fmt.Sprintf("i-m%d", i), "models", 64, 2, time.Millisecond)
	}
	l.configure(document())
	m := l.machine["edge-1"]
	l.note("waiting for %s", historyWait)
	time.Sleep(historyWait)
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { l.watchMemory(m, stop) })
	ordinary := l.startOrdinary(m, ledger)
	time.Sleep(2 * time.Second)
	l.note("heads of %d bytes", len(historyHead(historyRequests, l.trouble)))
	var next, served, other, none atomic.Int64
	end := time.Now().Add(historyTime)
	var senders sync.WaitGroup
	for range historySenders {
		senders.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for time.Now().Before(end) && !m.over() {
				number := int(next.Add(1))
				if number > historyRequests {
					break
				}
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", m.at(portFront), time.Second); err != nil {
						conn = nil
						none.Add(1)
						time.Sleep(100 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
				_, err := io.WriteString(conn, historyHead(number, l.trouble))
				var response *http.Response
				if err == nil {
					response, err = http.ReadResponse(reader, nil)
				}
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				switch {
				case err != nil:
					none.Add(1)
					_ = conn.Close()
					conn = nil
				case response.StatusCode == http.StatusOK:
					served.Add(1)
				default:
					other.Add(1)
				}
				if err == nil && response.Close {
					_ = conn.Close()
					conn = nil
				}
			}
		})
	}
	finished := make(chan struct{})
	go func() { senders.Wait(); close(finished) }()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for over := false; !over; {
		select {
		case <-finished:
			over = true
		case <-tick.C:
		}
		l.note("%d sent, %d served, %d other answers, %d without an answer; edge-1 has %d MB",
			next.Load(), served.Load(), other.Load(), none.Load(), m.residentKB()>>10)
	}
	ordinary.end()
	close(stop)
	watching.Wait()
}
