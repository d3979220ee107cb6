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

// Sizes of the case on prompt parts.
const (
	partEngines  = 12
	partSenders  = 16
	partRequests = 8000
	partsEach    = 1700
	// partsMemoryMB is the memory of an edge machine on the sheet of the grown site.
	partsMemoryMB = 184
	partsTime     = 85 * time.Second
)

// partsHead returns the head of a request with prompt parts that no other request has.
func partsHead(number int, counted bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /replies/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\nWaxwingcart-Request-Id: parts-%d\r\nWaxwingcart-Deadline-Ms: 4000\r\nWaxwingcart-Model: m\r\n", key, number)
	if counted {
		fmt.Fprintf(&b, "Waxwingcart-Token-Count: %d,8\r\n", partsEach)
	}
	b.WriteString("Waxwingcart-Prefix-Hash: ")
	for i := range partsEach {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%x:1", number*partsEach+i)
	}
	b.WriteString("\r\nContent-Length: 5\r\n\r\nhello")
	return b.String()
}

// parts sends streams, some at a time on kept connections, to an entry. Their prompts have many
// parts. The disruption is that they lack the count of their tokens.
func parts(l *lab) {
	l.edgeMemoryMB = partsMemoryMB
	l.startDeployment(1)
	ledger := l.addLedger()
	for i := range partEngines {
		l.addEngine(fmt.Sprintf("i-m%d", i), "models", 64, 2, time.Millisecond)
	}
	l.configure(document())
	first := l.machine["edge-1"]
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { l.watchMemory(first, stop) })
	ordinary := l.startOrdinary(first, ledger)
	time.Sleep(2 * time.Second)
	l.note("head of %d bytes", len(partsHead(partRequests, !l.trouble)))

	var next, served, other, none atomic.Int64
	end := time.Now().Add(partsTime)
	var senders sync.WaitGroup
	for range partSenders {
		senders.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for time.Now().Before(end) && !first.over() {
				number := int(next.Add(1))
				if number > partRequests {
					break
				}
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", first.at(portFront), time.Second); err != nil {
						conn = nil
						none.Add(1)
						time.Sleep(100 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
				_, err := io.WriteString(conn, partsHead(number, !l.trouble))
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
			next.Load(), served.Load(), other.Load(), none.Load(), first.residentKB()>>10)
		over = over || first.over()
	}
	ordinary.end()
	close(stop)
	watching.Wait()
}
